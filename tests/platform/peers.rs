//! Links between entries: an entry that follows another makes no calls to the store, and returns to
//! the store at once when the other entry stops or cannot reach its own.
//!
//! Most entries here have a store of their own, so that tests can see where an entry's state comes from.

use std::{net::SocketAddr, time::Duration};

use futures_util::SinkExt;
use serde_json::{Value, json};
use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};
use tokio_tungstenite::{WebSocketStream, client_async, tungstenite::Message};

use crate::{
    server::Action,
    site::{
        Site, configuration, list_server, request_bytes, start_server, store_with_servers,
        wait_until,
    },
    store::{Fault, Store},
};

const GOOD: Action = Action::Respond { status: 200, body: "good" };

fn version(site: &Site) -> u64 {
    site.entry.router.table.load().as_ref().as_ref().map_or(0, |table| table.version)
}

fn follows(site: &Site) -> bool {
    site.entry.router.dump()["follows_another_entry"] == true
}

/// A store with this number of changes: the more changes, the newer the versions of its rows.
async fn store_after_changes(changes: usize) -> Store {
    let store = Store::start().await;
    for _ in 0..changes {
        store.put("op", "config", &configuration(1));
    }
    store
}

/// Starts a seed and an entry that follows it; the seed's store has the newer versions.
async fn start_seed_and_follower() -> (Site, Site) {
    let first = Site::start_seed(store_after_changes(20).await, None).await;
    wait_until("the seed is ready", || first.entry.router.is_ready()).await;
    let second = Site::start_follower(store_after_changes(1).await, &first).await;
    wait_until("the second entry follows the seed", || follows(&second)).await;
    (first, second)
}

/// Writes a configuration so often that its row is newer than those of the other store.
fn write_newer_rows(store: &Store, version: u64) {
    for _ in 0..60 {
        store.put("op", "config", &configuration(version));
    }
}

/// Waits until the store has had no new call for 3.3 s, so that no long poll is pending; returns its number of calls.
async fn wait_for_idle_store(store: &Store) -> usize {
    loop {
        let calls = store.calls();
        tokio::time::sleep(std::time::Duration::from_millis(3_300)).await;
        if store.calls() == calls {
            return calls;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_follower_makes_no_store_calls() {
    let server = start_server("i-1", GOOD).await;
    let (first, second) = start_seed_and_follower().await;
    let calls = wait_for_idle_store(&second.store).await;

    list_server(&first.store, &server, "app", "v1", "ready");
    first.store.put("op", "config", &configuration(5));
    wait_until("the new configuration is in force", || version(&second) == 5).await;
    wait_until("the server is known", || second.entry.router.fleet.load().len() == 1).await;

    assert_eq!(second.request("GET", "/safe/a", "").await.status, 200);
    first.store.remove("servers", "i-1");
    wait_until("the server is gone", || second.entry.router.fleet.load().is_empty()).await;
    assert_eq!(second.store.calls(), calls);
}

/// Otherwise a hundred entries that start at once would read all tables of the store a hundred times.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_with_a_running_seed_makes_no_store_calls() {
    let server = start_server("i-1", GOOD).await;
    let first = Site::start_seed(store_with_servers(&[(&server, "app", "v1")]).await, None).await;
    first.wait_for_servers(1).await;

    let second = Site::start_follower(Store::start().await, &first).await;
    second.wait_for_servers(1).await;

    assert_eq!(second.request("GET", "/safe/a", "").await.status, 200);
    assert_eq!(second.store.calls(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_reads_the_store_when_no_seed_answers() {
    let server = start_server("i-1", GOOD).await;
    let nobody = "127.0.0.1:1".parse().unwrap();
    let store = store_with_servers(&[(&server, "app", "v1")]).await;

    let site = Site::start_with_settings(store, |host| host.seed_peers = vec![nobody]).await;

    site.wait_for_servers(1).await;
    assert_eq!(site.request("GET", "/safe/a", "").await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_follower_returns_to_the_store_when_its_seed_stops() {
    let (first, second) = start_seed_and_follower().await;

    drop(first.entry);
    wait_until("the link has ended", || !follows(&second)).await;
    write_newer_rows(&second.store, 9);

    wait_until("the configuration of the own store is in force", || version(&second) == 9).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_follower_returns_to_the_store_while_its_seed_cannot_reach_its_own() {
    let (first, second) = start_seed_and_follower().await;

    first.store.set_fault(Fault::Down);
    wait_until("the seed is no longer followed", || !follows(&second)).await;
    write_newer_rows(&second.store, 9);
    wait_until("the configuration of the own store is in force", || version(&second) == 9).await;

    first.store.set_fault(Fault::None);
    wait_until("the seed is followed again", || follows(&second)).await;
}

/// An entry first asks all seeds for their zones; a seed that is down must not keep it from following the other.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_follows_a_seed_of_another_zone_when_the_others_are_gone() {
    let far = Site::start_seed(store_after_changes(20).await, None).await;
    wait_until("the seed is ready", || far.entry.router.is_ready()).await;
    let seeds = vec!["127.0.0.1:1".parse().unwrap(), far.entry.addresses.peer.unwrap()];

    let entry = Site::start_with_settings(store_after_changes(1).await, |host| {
        host.zone = "zone-b".into();
        host.seed_peers = seeds;
    })
    .await;

    wait_until("the entry follows a seed", || follows(&entry)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn another_seed_is_followed_when_the_first_cannot_reach_its_store() {
    for lost in 0..2 {
        let seeds = [
            Site::start_seed(store_after_changes(20).await, None).await,
            Site::start_seed(store_after_changes(20).await, None).await,
        ];
        wait_until("both are ready", || seeds.iter().all(|seed| seed.entry.router.is_ready()))
            .await;
        let peers = seeds.iter().map(|seed| seed.entry.addresses.peer.unwrap()).collect();
        // The entry's own store is empty, so all that it knows comes from a seed.
        let entry =
            Site::start_with_settings(Store::start().await, |host| host.seed_peers = peers).await;
        wait_until("the entry follows a seed", || follows(&entry)).await;

        seeds[lost].store.set_fault(Fault::Down);
        write_newer_rows(&seeds[1 - lost].store, 5);

        wait_until("the configuration of the other seed is in force", || {
            version(&entry) == 5 && follows(&entry)
        })
        .await;
    }
}

/// The store may refuse a third of the entries for seconds, and every call to it is charged.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_stops_calling_a_failing_store_once_it_follows_a_seed() {
    let first = Site::start_seed(store_after_changes(20).await, None).await;
    wait_until("the seed is ready", || first.entry.router.is_ready()).await;
    let refusing = store_after_changes(1).await;
    let second = Site::start_follower(refusing, &first).await;
    wait_until("the second entry follows the seed", || follows(&second)).await;
    second.store.set_fault(Fault::Down);
    first.store.set_fault(Fault::Down);
    let asked = || second.entry.router.metrics.render().contains("store_errors");
    wait_until("the second entry has called its store", asked).await;

    first.store.set_fault(Fault::None);
    wait_until("the second entry follows the seed again", || follows(&second)).await;
    let calls = wait_for_idle_store(&second.store).await;
    first.store.put("op", "config", &configuration(5));
    wait_until("the new configuration is in force", || version(&second) == 5).await;

    assert_eq!(second.store.calls(), calls);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_follower_learns_of_a_roll_out_over_the_link() {
    let (first, second) = start_seed_and_follower().await;
    let calls = wait_for_idle_store(&second.store).await;
    let roll_out = || second.entry.router.dump()["roll_outs"][0].clone();

    let order = json!({"service": "app", "to": "v2", "duration-s": 600.0});
    first.store.put("op", "rollout/app", &order);
    wait_until("the start of the roll-out is known", || roll_out()["began"] == true).await;
    first.store.put("status", "rollout/app", &json!({"state": "rolled_back", "to": "v2"}));
    wait_until("the end of the roll-out is known", || roll_out()["progress"] == "RolledBack").await;

    assert_eq!(second.store.calls(), calls);
}

/// An entry's estimate of the load on the only server that it knows.
fn known_load(site: &Site) -> f64 {
    site.entry.router.dump()["servers"][0]["load"].as_f64().unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_know_the_load_that_others_put_on_a_server() {
    let server = start_server("i-1", Action::EndlessStream).await;
    let (first, second) = start_seed_and_follower().await;
    list_server(&first.store, &server, "llm", "v1", "ready");
    wait_until("both entries know the server", || {
        [&first, &second].iter().all(|site| site.entry.router.fleet.load().len() == 1)
    })
    .await;

    for (asking, other) in [(&first, &second), (&second, &first)] {
        wait_until("the server is idle", || known_load(other) < 0.1).await;
        let mut stream = TcpStream::connect(asking.caller).await.unwrap();
        let asked = request_bytes("POST", "/chat/a", "X-Model: *\r\n", "");
        stream.write_all(asked.as_bytes()).await.unwrap();
        wait_until("the other entry knows the load", || known_load(other) > 0.6).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn all_entries_know_the_number_of_entries() {
    let (first, second) = start_seed_and_follower().await;
    let third = Site::start_follower(store_after_changes(1).await, &first).await;

    for site in [&first, &second, &third] {
        wait_until("the entry knows of three entries", || site.entry.router.dump()["entries"] == 3)
            .await;
    }
}

/// Otherwise it would replace the reports of the former process on its Host, which still serves.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_waits_for_its_address_is_no_entry_yet() {
    let seed = Site::start_seed(store_after_changes(1).await, None).await;
    let occupant = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let waiting = Site::start_with_settings(store_after_changes(1).await, |host| {
        host.caller_address = occupant.local_addr().unwrap();
        host.seed_peers = seed.entry.addresses.peer.into_iter().collect();
    })
    .await;
    wait_until("the waiting process has a configuration", || version(&waiting) > 0).await;
    let other = Site::start_follower(store_after_changes(1).await, &seed).await;
    let entries = |site: &Site| site.entry.router.dump()["entries"].as_u64().unwrap();

    wait_until("both know of each other", || entries(&seed) >= 2 && entries(&other) == 2).await;
    for _ in 0..30 {
        assert_eq!(entries(&seed), 2);
        sleep(Duration::from_millis(50)).await;
    }
    drop(occupant);

    wait_until("the process that serves is counted", || entries(&seed) == 3).await;
}

/// Opens a link to an entry and sends one message on it.
async fn open_link(peer: SocketAddr, asked: &Value) -> WebSocketStream<TcpStream> {
    let stream = TcpStream::connect(peer).await.unwrap();
    let (mut socket, _) = client_async(format!("ws://{peer}/"), stream).await.unwrap();
    let mut message = Vec::new();
    ciborium::into_writer(asked, &mut message).unwrap();
    socket.send(Message::binary(message)).await.unwrap();
    socket
}

/// The system is designed for 360 entries. Each reports to every seed, and all follow the same seed
/// when the others are down.
#[tokio::test(flavor = "multi_thread")]
async fn a_seed_accepts_the_links_of_all_entries() {
    let seed = Site::start_seed(store_after_changes(20).await, None).await;
    wait_until("the seed is ready", || seed.entry.router.is_ready()).await;
    let peer = seed.entry.addresses.peer.unwrap();
    let follow = json!({"Follow": {"version": 0}});
    let mut links = Vec::new();
    for i in 0..358 {
        let report = json!({"loads": [], "evidence": [], "kept": []});
        let report = json!({"Report": {"host": format!("host-{i}"), "report": report}});
        links.push(open_link(peer, &follow).await);
        links.push(open_link(peer, &report).await);
    }

    let last = Site::start_follower(store_after_changes(1).await, &seed).await;

    wait_until("the last entry follows the seed", || follows(&last)).await;
    assert_eq!(links.len(), 2 * 358);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_followers_evidence_on_a_version_counts_at_the_seed() {
    let (old, new) = (start_server("i-1", GOOD).await, start_server("i-2", GOOD).await);
    let (first, second) = start_seed_and_follower().await;
    list_server(&first.store, &old, "app", "v1", "ready");
    list_server(&first.store, &new, "app", "v2", "ready");
    let order = json!({"service": "app", "to": "v2", "duration-s": 600.0});
    first.store.put("op", "rollout/app", &order);
    let roll_out = |site: &Site| site.entry.router.dump()["roll_outs"][0].clone();
    wait_until("the start of the roll-out is known", || roll_out(&second)["began"] == true).await;

    // The second server may become known 0.8 s after the first and is not used for another half second.
    second.wait_for_servers(2).await;
    let mut asked = 0;
    while roll_out(&second)["answers"] == 0 {
        assert!(asked < 5_000, "no request went to the new version");
        second.request("GET", &format!("/safe/{asked}"), "").await;
        asked += 1;
    }
    let seen = roll_out(&second)["answers"].clone();

    wait_until("the seed counts the answer", || roll_out(&first)["answers_of_all"] == seen).await;
    assert_eq!(
        roll_out(&first)["answers"],
        0,
        "the seed counts answers that it did not get itself"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_roll_out_completes_on_the_combined_answers_of_all_entries() {
    let (old, new) = (start_server("i-1", GOOD).await, start_server("i-2", GOOD).await);
    let store = store_with_servers(&[(&old, "app", "v1"), (&new, "app", "v2")]).await;
    let first = Site::start_seed(store.clone(), None).await;
    let second = Site::start_follower(store.clone(), &first).await;
    first.wait_for_servers(2).await;
    second.wait_for_servers(2).await;
    let order = json!({"service": "app", "to": "v2", "duration-s": 12.0});
    store.put("op", "rollout/app", &order);
    let ordered_at = tokio::time::Instant::now();
    let knows = |site: &Site| site.entry.router.dump()["roll_outs"][0]["began"] == true;
    wait_until("both entries know the order", || knows(&first) && knows(&second)).await;
    for i in 0..20 {
        first.request("GET", "/safe/a", &format!("Session: f-{i}\r\n")).await;
        second.request("GET", "/safe/a", &format!("Session: s-{i}\r\n")).await;
    }
    // From 0.93 of the duration on, all requests run on the new version.
    tokio::time::sleep_until(ordered_at + std::time::Duration::from_millis(11_250)).await;

    // Too few answers of the new version for a verdict of one entry alone, and enough for both together
    // (tests/roll_out_verdicts.rs).
    for i in 0..14 {
        first.request("GET", "/safe/a", &format!("Session: f-{i}\r\n")).await;
        second.request("GET", "/safe/a", &format!("Session: s-{i}\r\n")).await;
    }

    let state = || store.read("status", "rollout/app").map(|s| s["state"].clone());
    wait_until("the roll-out is completed", || state() == Some(json!("completed"))).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cached_tokens_of_a_server_are_known_to_other_entries_and_to_a_new_one() {
    let stream = Action::Stream { last_event: 4, is_complete: true, confidence: 90 };
    let server = start_server("i-1", stream).await;
    let store = store_with_servers(&[(&server, "llm", "v1")]).await;
    let first = Site::start_seed(store.clone(), None).await;
    let second = Site::start_follower(store.clone(), &first).await;
    first.wait_for_servers(1).await;
    second.wait_for_servers(1).await;
    let prompt =
        "X-Token-Usage: 1250,80\r\nX-Prefix-Hash: 5c1e:800,91bd:410,e440:40\r\nX-Model: *\r\n";

    second.request("POST", "/chat/a", prompt).await;

    let kept = |site: &Site| site.entry.router.dump()["servers"][0]["kept_tokens"] == 1_210;
    wait_until("the sender and the seed know the cached tokens", || kept(&second) && kept(&first))
        .await;
    let third = Site::start_follower(store.clone(), &first).await;
    wait_until("a new entry knows the cached tokens", || kept(&third)).await;
}
