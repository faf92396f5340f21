//! Probes by which a follower proves the age of what another entry sends, between entries of different versions.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use ciborium::{Value, cbor};
use futures_util::{SinkExt, StreamExt};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use tokio_tungstenite::{WebSocketStream, accept_async, client_async, tungstenite::Message};

use crate::{
    server::Action,
    site::{Site, configuration, start_server, store_with_servers, wait_until},
    store::Store,
    urgent_updates::{decode, encode},
};

const GOOD: Action = Action::Respond { status: 200, body: "good" };
/// Time in which a link that is never proved young would be left.
const LONG: Duration = Duration::from_millis(2_500);
/// Heartbeats that a follower is sent ahead of its probes.
const AHEAD: usize = 4;
/// Longest pause between two heartbeats that are not held back.
const PAUSE: Duration = Duration::from_millis(600);

async fn start_seed() -> Site {
    let server = start_server("i-1", GOOD).await;
    let store = store_with_servers(&[(&server, "app", "v1")]).await;
    let seed = Site::start_seed(store, None).await;
    seed.wait_for_servers(1).await;
    seed
}

/// Opens a link to a seed and follows it with these fields.
async fn follow(seed: &Site, request: Value) -> WebSocketStream<TcpStream> {
    let address = seed.entry.addresses.peer.unwrap();
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut link, _) = client_async(format!("ws://{address}/"), stream).await.unwrap();
    link.send(encode(&cbor!({"Follow" => request}).unwrap())).await.unwrap();
    link
}

/// The heartbeats that arrive until none does for a while.
async fn heartbeats(link: &mut WebSocketStream<TcpStream>, most: usize) -> Vec<Value> {
    let mut all = Vec::new();
    while all.len() < most {
        let Ok(Some(Ok(message))) = timeout(PAUSE, link.next()).await else {
            break;
        };
        let message = decode(&message).unwrap();
        if let Some(beat) = field(&message, "Beat") {
            all.push(beat.clone());
        }
    }
    all
}

fn field<'a>(value: &'a Value, wanted: &str) -> Option<&'a Value> {
    let fields = value.as_map()?;
    fields.iter().find(|(name, _)| name.as_text() == Some(wanted)).map(|(_, field)| field)
}

/// An entry of an earlier version, which returns no probes: a relay to a seed that leaves them out and counts what
/// followers send after their request.
async fn start_earlier_seed(seed: SocketAddr) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let counted = sent.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(relay_as_earlier_seed(stream, seed, counted.clone()));
        }
    });
    (address, sent)
}

async fn relay_as_earlier_seed(
    stream: TcpStream,
    seed: SocketAddr,
    sent: Arc<AtomicUsize>,
) -> Option<()> {
    let mut follower = accept_async(stream).await.ok()?;
    let mut asked = decode(&follower.next().await?.ok()?)?;
    let Value::Map(variants) = &mut asked else { return None };
    let (name, request) = &mut variants[0];
    if name.as_text() != Some("Follow") {
        while follower.next().await?.is_ok() {}
        return None;
    }
    remove(request, "probe");
    let stream = TcpStream::connect(seed).await.ok()?;
    let (mut seed, _) = client_async("ws://seed/", stream).await.ok()?;
    seed.send(encode(&asked)).await.ok()?;
    loop {
        tokio::select! {
            message = seed.next() => follower.send(message?.ok()?).await.ok()?,
            message = follower.next() => {
                if let Message::Binary(_) = message?.ok()? {
                    sent.fetch_add(1, Ordering::SeqCst);
                }
            }
        }
    }
}

fn remove(value: &mut Value, unwanted: &str) {
    if let Value::Map(fields) = value {
        fields.retain(|(name, _)| name.as_text() != Some(unwanted));
    }
}

/// Guards against a loop between entries of two versions: an earlier one answers each message by a heartbeat.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_returns_no_probes_is_followed_and_sent_none() {
    let seed = start_seed().await;
    let (address, sent) = start_earlier_seed(seed.entry.addresses.peer.unwrap()).await;
    let follower = Site::start_with_settings(Store::start().await, |host| {
        host.seed_peers = vec![address];
    })
    .await;
    let follows = || follower.entry.router.dump()["follows_another_entry"] == true;
    wait_until("it follows", follows).await;

    sleep(LONG).await;

    assert!(follows());
    assert_eq!(sent.load(Ordering::SeqCst), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_follower_that_sends_no_probes_gets_all_heartbeats() {
    let seed = start_seed().await;
    let mut link = follow(&seed, cbor!({"version" => 0}).unwrap()).await;

    let all = heartbeats(&mut link, 2 * AHEAD).await;

    assert_eq!(all.len(), 2 * AHEAD);
    assert!(all.iter().all(|beat| field(beat, "probe").is_none()));
}

/// Guards against heartbeats that wait in the queue of a slow link and are old when they arrive.
#[tokio::test(flavor = "multi_thread")]
async fn a_follower_that_is_behind_gets_its_updates_in_one_heartbeat() {
    let seed = start_seed().await;
    let mut link = follow(&seed, cbor!({"version" => 0, "probe" => 7}).unwrap()).await;
    let ahead = heartbeats(&mut link, AHEAD).await;
    for version in 2..5 {
        seed.store.put("op", "config", &configuration(version));
        let known = || seed.entry.router.table.load().as_ref().as_ref().map_or(0, |t| t.version);
        wait_until("the configuration is known", || known() == version).await;
    }

    link.send(encode(&cbor!({"Probe" => 8}).unwrap())).await.unwrap();
    let next = heartbeats(&mut link, 1).await;

    assert!(ahead.iter().all(|beat| field(beat, "probe") == Some(&Value::from(7))));
    assert_eq!(field(&next[0], "probe"), Some(&Value::from(8)));
    let updates = field(&next[0], "updates").unwrap().as_array().unwrap();
    assert!(updates.len() >= 3, "{} updates", updates.len());
}
