//! Rows that an entry can't take from the entry that it follows: it asks the store instead, and the link stays.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use ciborium::Value;
use futures_util::{SinkExt, StreamExt};
use mintmoor::ids::Revision;
use tokio::net::{TcpListener, TcpStream};
use tokio_tungstenite::{WebSocketStream, accept_async, client_async};

use crate::{
    server::Action,
    site::{Site, configuration, list_server, start_server, store_with_servers, wait_until},
    store::Store,
    urgent_updates::{decode, encode, relay_messages},
};

const GOOD: Action = Action::Respond { status: 200, body: "good" };
/// Bytes of the document of one large row.
const LARGE: usize = 64 << 10;
/// Changes that the follower has to learn of one by one.
const CHANGES: Revision = 6;

/// A seed that relays the messages of another one and counts the links that followers open.
struct Relay {
    address: SocketAddr,
    follows: Arc<AtomicUsize>,
}

/// Replaces the rows of all updates of a message by bytes that are no rows.
fn damage_rows(value: &mut Value) {
    match value {
        Value::Map(fields) => {
            for (name, field) in fields {
                match field {
                    Value::Bytes(rows) if name.as_text() == Some("rows") => *rows = vec![0xff; 4],
                    field => damage_rows(field),
                }
            }
        }
        Value::Array(all) => all.iter_mut().for_each(damage_rows),
        _ => {}
    }
}

async fn relay_link(
    mut socket: WebSocketStream<TcpStream>,
    seed: SocketAddr,
    damage: fn(&mut Value),
    follows: &AtomicUsize,
) -> Option<()> {
    let asked = decode(&socket.next().await?.ok()?)?;
    if !asked.as_map()?.iter().any(|(name, _)| name.as_text() == Some("Follow")) {
        while socket.next().await?.is_ok() {}
        return None;
    }
    follows.fetch_add(1, Ordering::SeqCst);
    let stream = TcpStream::connect(seed).await.ok()?;
    let (mut seed, _) = client_async("ws://seed/", stream).await.ok()?;
    seed.send(encode(&asked)).await.ok()?;
    relay_messages(socket, seed, damage).await
}

impl Relay {
    async fn start(seed: SocketAddr, damage: fn(&mut Value)) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let follows = Arc::new(AtomicUsize::new(0));
        let counted = follows.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let counted = counted.clone();
                tokio::spawn(async move {
                    if let Ok(socket) = accept_async(stream).await {
                        relay_link(socket, seed, damage, &counted).await;
                    }
                });
            }
        });
        Self { address, follows }
    }
}

/// Starts a seed, and an entry that follows it through a relay.
async fn start_behind_relay(store: &Store, damage: fn(&mut Value)) -> (Site, Site, Relay) {
    let first = Site::start_seed(store.clone(), None).await;
    first.wait_for_servers(1).await;
    let relay = Relay::start(first.entry.addresses.peer.unwrap(), damage).await;
    let seed = relay.address;
    let second = Site::start_with_settings(store.clone(), |host| host.seed_peers = vec![seed]);
    let second = second.await;
    (first, second, relay)
}

async fn assert_learns_changes(store: &Store, site: &Site) {
    for version in 2..2 + CHANGES {
        store.put("op", "config", &configuration(version));
        let known = || site.entry.router.table.load().as_ref().as_ref().map_or(0, |t| t.version);
        wait_until("the configuration is known", || known() == version).await;
    }
    let late = start_server("i-2", GOOD).await;
    list_server(store, &late, "app", "v1", "ready");
    site.wait_for_servers(2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn updates_that_cannot_be_decoded_do_not_make_a_follower_open_its_link_again_and_again() {
    let server = start_server("i-1", GOOD).await;
    let store = store_with_servers(&[(&server, "app", "v1")]).await;

    let (_first, second, relay) = start_behind_relay(&store, damage_rows).await;

    second.wait_for_servers(1).await;
    assert_learns_changes(&store, &second).await;
    assert_eq!(relay.follows.load(Ordering::SeqCst), 1);
}

/// The field with this name in a message, at any depth.
fn find<'a>(value: &'a Value, wanted: &str) -> Option<&'a Value> {
    match value {
        Value::Map(fields) => fields.iter().find_map(|(name, field)| {
            let is_wanted = name.as_text() == Some(wanted);
            if is_wanted { Some(field) } else { find(field, wanted) }
        }),
        _ => None,
    }
}

/// Bytes of rows in the first heartbeat on a link to a seed, by the name of their table.
async fn first_updates(seed: &Site) -> Vec<(String, usize)> {
    let stream = TcpStream::connect(seed.entry.addresses.peer.unwrap()).await.unwrap();
    let (mut link, _) = client_async("ws://seed/", stream).await.unwrap();
    let fields = vec![("version".into(), 0.into()), ("host".into(), "tester".into())];
    link.send(encode(&Value::Map(vec![("Follow".into(), Value::Map(fields))]))).await.unwrap();
    loop {
        let message = decode(&link.next().await.unwrap().unwrap()).unwrap();
        let Some(updates) = find(&message, "updates") else {
            continue;
        };
        let updates = updates.as_array().unwrap().iter();
        let table = |update| find(update, "table").unwrap().as_text().unwrap().to_owned();
        let bytes = |update| find(update, "rows").unwrap().as_bytes().unwrap().len();
        return updates.map(|update| (table(update), bytes(update))).collect();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn rows_above_the_limit_of_followers_are_not_sent_and_the_other_tables_are() {
    let server = start_server("i-1", GOOD).await;
    let store = store_with_servers(&[(&server, "app", "v1")]).await;
    store.put("servers", "large", &"x".repeat(130 * LARGE).into());
    let seed = Site::start_seed(store, None).await;
    seed.wait_for_servers(1).await;
    wait_until("the orders are read", || seed.entry.router.is_ready()).await;

    let updates = first_updates(&seed).await;

    let bytes = |table: &str| updates.iter().find(|update| update.0 == table).unwrap().1;
    assert_eq!(bytes("servers"), 0);
    assert!(bytes("op") > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_follower_takes_rows_from_its_link_again_once_a_whole_table_can_be_read() {
    let server = start_server("i-1", GOOD).await;
    let store = store_with_servers(&[(&server, "app", "v1")]).await;
    let first = Site::start_seed(store.clone(), None).await;
    first.wait_for_servers(1).await;
    let second = Site::start_follower(store.clone(), &first).await;
    let follows = || second.entry.router.dump()["follows_another_entry"] == true;
    wait_until("the second entry follows", follows).await;

    store.put("servers", "large", &"x".repeat(130 * LARGE).into());
    wait_until("the second entry asks the store", || !follows()).await;
    store.remove("servers", "large");
    store.drop_history();

    wait_until("the second entry follows again", follows).await;
    assert_learns_changes(&store, &second).await;
}
