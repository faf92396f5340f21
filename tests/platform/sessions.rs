//! Sessions whose requests come through several entries while a version is being rolled out.

use std::time::Duration;

use mintmoor::{router::Fleet, routing::BackendServer};
use serde_json::json;

use crate::{
    roll_outs::request_until_state,
    server::Act,
    site::{Site, list_server, start_server, store_with_servers, wait_until},
};

const GOOD: Act = Act::Answer { status: 200, body: "good" };

fn begun(site: &Site) -> bool {
    site.entry.router.dump()["roll_outs"][0]["began"] == true
}

/// What callers saw: on a quiet day, in the first half of a good roll-out, a conversation that had
/// begun on the old version was answered by the new one.
///
/// Order of events: the old version answers a request of the session at one entry; the roll-out is
/// ordered; the session's next request comes through another entry, which sends it to the new
/// version.
///
/// Cause: what tells a running session from a new one was a note at the entry that had served it.
/// Callers are spread over the entries by connection, so the next request mostly meets an entry
/// without the note, and that one draws for the session as if it had just begun.
///
/// Evidence: of 218 requests of sessions that 32 entries sent to the new version in the first half,
/// 217 were of sessions of which their entry had no note at all; of 1,104 sessions with several
/// requests 1,075 came through several entries.
#[tokio::test(flavor = "multi_thread")]
async fn a_session_that_another_entry_served_stays_on_the_old_version_in_the_first_half() {
    let (old, new) = (start_server("i-1", GOOD).await, start_server("i-2", GOOD).await);
    let store = store_with_servers(&[(&old, "app", "v1")]).await;
    let one = Site::start_with_store(store.clone()).await;
    let other = Site::start_with_store(store.clone()).await;
    one.wait_for_servers(1).await;
    other.wait_for_servers(1).await;
    let sessions: Vec<String> = (0..200).map(|i| format!("Session: s-{i}\r\n")).collect();
    for session in &sessions {
        one.request("GET", "/safe/a", session).await;
    }

    store.put("op", "rollout/app", &json!({"service": "app", "to": "v2", "duration-s": 600.0}));
    list_server(&store, &new, "app", "v2", "ready");
    wait_until("both know of it", || begun(&one) && begun(&other)).await;
    one.wait_for_servers(2).await;
    other.wait_for_servers(2).await;
    for session in &sessions {
        other.request("GET", "/safe/a", session).await;
    }

    assert_eq!(old.seen().len(), 2 * sessions.len());
    assert_eq!(new.seen().len(), 0, "sessions moved to the new version in the first half");
}

/// What callers saw: for two seconds after an entry was restarted, requests of sessions that were on the
/// new version for good ran on the old one again, or failed where its servers had been stopped.
///
/// Order of events: a roll-out is completed; an entry starts, reads the order, and takes the roll-out as
/// just begun until it has heard how far it got.
///
/// Cause: an entry that follows another waits for that one to note the begin of a new order, and was
/// told only of rows newer than those that it had read, though it had read other tables.
///
/// Evidence: in the soak an entry that started 0.16 s after the end logged the order at once and the
/// verdict 2.01 s later; eight requests of sessions that were on the new version ran on the old one.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_after_a_roll_out_knows_how_it_ended() {
    let (old, new) = (start_server("i-1", GOOD).await, start_server("i-2", GOOD).await);
    let first = Site::start(&[(&old, "app", "v1"), (&new, "app", "v2")]).await;
    let order = json!({"service": "app", "to": "v2", "duration-s": 1.0});
    first.store.put("op", "rollout/app", &order);
    request_until_state(&first, "completed").await;
    let before = old.seen().len();

    let next = Site::start_follower(first.store.clone(), &first).await;
    wait_until("it is ready", || next.entry.router.is_ready()).await;
    for i in 0..100 {
        next.request("GET", "/safe/a", &format!("Session: s-{i}\r\n")).await;
    }

    assert_eq!(old.seen().len(), before, "requests ran on the old version after the roll-out");
}

fn listed(id: &str, version: &str) -> BackendServer {
    BackendServer {
        id: id.into(),
        started_at: None,
        service: "app".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "zone-a".into(),
        version: version.into(),
        slots: 8,
        is_draining: false,
        remaining_cold_time: Duration::ZERO,
        sequence: 1,
        written_at: mintmoor::ids::StoreVersion::default(),
        models: Vec::new(),
    }
}

/// Ids of the servers that wait for the orders to be read.
fn unannounced(fleet: &Fleet, now: Duration) -> Vec<&str> {
    let members = fleet.of_service("app").iter();
    let mut ids: Vec<&str> =
        members.filter(|m| m.awaits_roll_out_order(now)).map(|m| &*m.server.id).collect();
    ids.sort_unstable();
    ids
}

/// Servers and orders are read apart. With a configuration changed just before the order of a roll-out,
/// the servers of the new version were in view up to 30 ms before the order, and served any session.
#[test]
fn servers_of_a_version_that_is_new_to_the_service_wait_until_orders_have_been_read() {
    let ms = Duration::from_millis;
    let (v1, v2, next_v2) = (listed("i-1", "v1"), listed("i-2", "v2"), listed("i-3", "v2"));

    let first = Fleet::default().with_servers([v1.clone()].into_iter(), ms(1_000));
    let second = first.with_servers([v1.clone(), v2.clone()].into_iter(), ms(2_000));
    let third = second.with_servers([v1, v2, next_v2].into_iter(), ms(2_300));

    assert!(unannounced(&first, ms(1_000)).is_empty(), "the first version has nothing to wait for");
    assert_eq!(unannounced(&second, ms(2_000)), ["i-2"]);
    assert_eq!(unannounced(&third, ms(2_300)), ["i-2", "i-3"]);
    assert!(unannounced(&third, ms(2_500)).is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_is_the_only_one_left_serves_at_once() {
    let (old, new) = (start_server("i-1", GOOD).await, start_server("i-2", GOOD).await);
    let site = Site::start(&[(&old, "app", "v1")]).await;

    site.store.remove("servers", "i-1");
    list_server(&site.store, &new, "app", "v2", "ready");
    wait_until("only the new one is in view", || {
        let fleet = site.entry.router.fleet.load();
        fleet.of_service("app").iter().map(|m| &*m.server.id).eq(["i-2"])
    })
    .await;

    assert_eq!(site.request("GET", "/safe/a", "").await.status, 200);
}
