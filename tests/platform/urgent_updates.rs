//! Urgent updates (rate limits and server ends) reach an entry also when the seed that it follows does not pass them
//! on: each entry is linked to every seed, and any other seed may still work.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use ciborium::Value;
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_tungstenite::{WebSocketStream, accept_async, client_async, tungstenite::Message};

use crate::{
    limited_pool::{healthy_server, run_load, start_pool},
    pool::{CRASHING_BODY, Pool, post},
    site::{Site, wait_until},
};

type Socket = WebSocketStream<TcpStream>;

/// Fields that the faulty seed leaves out of its updates.
const OMITTED_FIELDS: [&str; 2] = ["ends", "limits"];

pub fn decode(message: &Message) -> Option<Value> {
    let Message::Binary(data) = message else {
        return None;
    };
    ciborium::from_reader(&data[..]).ok()
}

pub fn encode(value: &Value) -> Message {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).unwrap();
    Message::binary(bytes)
}

/// Removes [`OMITTED_FIELDS`] from a message at every depth.
fn remove_omitted_fields(value: &mut Value) {
    match value {
        Value::Map(fields) => {
            fields.retain(|(name, _)| {
                !name.as_text().is_some_and(|name| OMITTED_FIELDS.contains(&name))
            });
            fields.iter_mut().for_each(|(_, field)| remove_omitted_fields(field));
        }
        Value::Array(all) => all.iter_mut().for_each(remove_omitted_fields),
        _ => {}
    }
}

/// Serves one link: relays the healthy seed's updates to a follower without the urgent fields, and discards reports.
async fn serve_filtered_link(mut socket: Socket, healthy: SocketAddr) -> Option<()> {
    let asked = loop {
        let message = socket.next().await?.ok()?;
        if let Some(asked) = decode(&message) {
            break asked;
        }
    };
    let is_follower = asked.as_map()?.iter().any(|(name, _)| name.as_text() == Some("Follow"));
    if !is_follower {
        while socket.next().await?.is_ok() {}
        return None;
    }
    let stream = TcpStream::connect(healthy).await.ok()?;
    let (mut seed, _) = client_async(format!("ws://{healthy}/"), stream).await.ok()?;
    seed.send(encode(&asked)).await.ok()?;
    relay_messages(socket, seed, remove_omitted_fields).await
}

/// Relays the messages of a link in both directions, those of the seed with a change, until it ends.
pub async fn relay_messages(
    mut follower: WebSocketStream<TcpStream>,
    mut seed: WebSocketStream<TcpStream>,
    change: fn(&mut Value),
) -> Option<()> {
    loop {
        tokio::select! {
            message = seed.next() => {
                let mut message = decode(&message?.ok()?)?;
                change(&mut message);
                follower.send(encode(&message)).await.ok()?;
            }
            message = follower.next() => seed.send(message?.ok()?).await.ok()?,
        }
    }
}

/// Starts a faulty seed that passes on everything except urgent updates; returns its address.
async fn start_filtering_seed(healthy: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                if let Ok(socket) = accept_async(stream).await {
                    serve_filtered_link(socket, healthy).await;
                }
            });
        }
    });
    address
}

/// Starts a healthy seed, and an entry that follows a faulty seed and reports to both.
async fn start_with_filtering_seed(pool: &Pool) -> [Arc<Site>; 2] {
    let healthy = Site::start_seed(pool.store.clone(), None).await;
    healthy.wait_for_servers(pool.servers.len()).await;
    let healthy_peer = healthy.entry.addresses.peer.unwrap();
    let filtering_peer = start_filtering_seed(healthy_peer).await;
    let entry = pool.start_entry(&[filtering_peer, healthy_peer], None).await;
    entry.wait_for_servers(pool.servers.len()).await;
    let follows = || entry.entry.router.dump()["follows_another_entry"] == true;
    wait_until("the entry follows a seed", follows).await;
    wait_until("the entry reports to the healthy seed", || {
        healthy.entry.router.dump()["entries"] == 2
    })
    .await;
    [Arc::new(healthy), Arc::new(entry)]
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rate_limit_reaches_an_entry_whose_followed_seed_omits_it() {
    let limited = healthy_server("i-limited").await;
    let pool = start_pool(&[&limited]).await;
    let [seed, entry] = start_with_filtering_seed(&pool).await;

    limited.advertise_limit(&["1.9"]);
    run_load(std::slice::from_ref(&seed), Duration::from_millis(100)).await;

    let limits = || entry.entry.router.dump()["limits"].clone();
    wait_until("the entry knows the rate limit", || limits()[0]["rate"] == 1.9).await;
    assert_eq!(limits()[0]["received_here"], false);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_quarantine_reaches_an_entry_whose_followed_seed_omits_it() {
    let pool = Pool::start("app", 6, false).await;
    let [seed, entry] = start_with_filtering_seed(&pool).await;

    for _ in 0..3 {
        // The route allows one attempt for each request.
        post(&seed, "/once/a", CRASHING_BODY).await;
    }

    assert_eq!(pool.crash_record.crash_count(), 3);
    let refused = || entry.entry.router.dump()["quarantine"][0]["refused"] == true;
    wait_until("the entry refuses the request", refused).await;
}
