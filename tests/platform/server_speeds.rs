//! The speed of servers' machines, as servers report it and as entries report it to each other.

use std::{net::SocketAddr, time::Duration};

use ciborium::{Value, cbor};
use futures_util::{SinkExt, StreamExt};
use mintmoor::policy::placement::hash_id;
use tokio::net::TcpStream;
use tokio_tungstenite::{WebSocketStream, client_async, tungstenite::Message};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    crashes::{start_restarted_server, wait_for_start},
    pool::post,
    server::{Action, Server},
    site::{
        Site, configuration, list_server_with_start_time, start_server, store_with_servers,
        wait_until,
    },
    store::Store,
};

const SUCCESS: Action = Action::Respond { status: 200, body: "good" };
/// Load header of a server on a machine that takes 0.55 of the usual time.
const FAST: &str = "X-Instance-Load: 1,0,8,55";

/// Starts a server on a machine that takes 0.55 of the usual time.
async fn start_fast_server() -> Server {
    let server = start_server("i-1", SUCCESS).await;
    server.set_extra_headers(&[FAST]);
    server
}

/// Starts a seed and a follower of it that know one server, which started at time 1,000.
async fn start_seed_and_follower(server: &Server) -> (Site, Site) {
    let store = Store::start().await;
    store.put("op", "config", &configuration(1));
    list_server_with_start_time(&store, server, "app", 1_000);
    let seed = Site::start_seed(store.clone(), None).await;
    let follower = Site::start_follower(store, &seed).await;
    for site in [&seed, &follower] {
        site.wait_for_servers(1).await;
    }
    (seed, follower)
}

/// Time factor of the only server that an entry knows; null if it is unknown.
fn time_factor(site: &Site) -> serde_json::Value {
    site.entry.router.dump()["servers"][0]["time_factor"].clone()
}

/// The short hash of an incarnation, as reports contain it.
fn short_hash(id: &str, born: u64) -> u32 {
    xxh3_64_with_seed(&born.to_le_bytes(), hash_id(id)) as u32
}

/// A link to an entry, without an entry at this end.
struct RawLink(WebSocketStream<TcpStream>);

impl RawLink {
    async fn open(peer: SocketAddr) -> Self {
        let stream = TcpStream::connect(peer).await.unwrap();
        Self(client_async(format!("ws://{peer}/"), stream).await.unwrap().0)
    }

    async fn send(&mut self, message: &Value) {
        let mut bytes = Vec::new();
        ciborium::into_writer(message, &mut bytes).unwrap();
        self.0.send(Message::binary(bytes)).await.unwrap();
    }

    /// Reports these speeds as another entry would.
    async fn report(&mut self, speeds: &[(u32, f64)]) {
        let speeds: Vec<Value> =
            speeds.iter().map(|(hash, percent)| cbor!([hash, percent]).unwrap()).collect();
        let report = cbor!({"loads" => [], "evidence" => [], "kept" => [], "speeds" => speeds});
        let report = report.unwrap();
        self.send(&cbor!({"Report" => {"host" => "raw", "report" => report}}).unwrap()).await;
    }

    /// The next heartbeat's speeds, if it has the field.
    async fn next_speeds(&mut self) -> Option<Vec<Value>> {
        loop {
            let message = self.0.next().await.unwrap().unwrap();
            let message: Value = ciborium::from_reader(&message.into_data()[..]).unwrap();
            let Some((_, beat)) = message.as_map().unwrap().first() else { continue };
            let Some(fields) = beat.as_map().filter(|fields| fields.len() > 1) else { continue };
            let speeds = fields.iter().find(|(name, _)| name.as_text() == Some("speeds"));
            return speeds.map(|(_, speeds)| speeds.as_array().unwrap().clone());
        }
    }
}

/// Opens a link that follows an entry.
async fn follow(site: &Site) -> RawLink {
    let mut link = RawLink::open(site.entry.addresses.peer.unwrap()).await;
    link.send(&cbor!({"Follow" => {"version" => 0}}).unwrap()).await;
    link
}

/// Opens a link that reports to an entry.
async fn report_to(site: &Site, speeds: &[(u32, f64)]) -> RawLink {
    let mut link = RawLink::open(site.entry.addresses.peer.unwrap()).await;
    link.report(speeds).await;
    link
}

/// Value of a metric of an entry; 0 if it is missing.
fn metric(site: &Site, name: &str) -> u64 {
    let text = site.entry.router.metrics.render();
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.map_or(0, |value| value.trim().parse().unwrap())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_speed_that_one_entry_heard_is_known_to_the_others_and_to_a_new_one() {
    let server = start_fast_server().await;
    let (seed, follower) = start_seed_and_follower(&server).await;
    assert!(time_factor(&follower).is_null());

    assert_eq!(follower.request("GET", "/safe/a", "").await.status, 200);

    assert_eq!(time_factor(&follower), 0.55);
    wait_until("the seed knows the speed", || time_factor(&seed) == 0.55).await;
    let third = Site::start_follower(seed.store.clone(), &seed).await;
    wait_until("a new entry knows the speed", || time_factor(&third) == 0.55).await;
    for site in [&seed, &follower, &third] {
        let controls_overload = site.entry.router.dump()["controls_overload"].clone();
        assert_eq!(controls_overload, false, "its settings don't expect overload");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_next_incarnation_starts_with_an_unknown_speed() {
    let server = start_fast_server().await;
    let (seed, follower) = start_seed_and_follower(&server).await;
    follower.request("GET", "/safe/a", "").await;
    wait_until("the seed knows the speed", || time_factor(&seed) == 0.55).await;

    list_server_with_start_time(&seed.store, &server, "app", 2_000);
    wait_until("both have forgotten it", || {
        time_factor(&seed).is_null() && time_factor(&follower).is_null()
    })
    .await;
    // A new entry is sent what is known of the earlier incarnation as well.
    let third = Site::start_follower(seed.store.clone(), &seed).await;
    third.wait_for_servers(1).await;
    wait_until("the new entry was told", || {
        metric(&third, r#"mintmoor_speed_reports_total{outcome="news"}"#) == 1
    })
    .await;

    assert!(time_factor(&third).is_null());
}

/// A server answers for up to a second before its row shows the new start (docs/incidents/0018).
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_counts_for_the_incarnation_that_gave_it() {
    let (server, site) = start_restarted_server(Duration::ZERO).await;
    server.set_extra_headers(&[FAST]);

    assert_eq!(post(&site, "/once/a", "harmless").await.status, 200);
    assert!(time_factor(&site).is_null(), "the listed incarnation has ended");
    list_server_with_start_time(&site.store, &server, "app", 2_000);
    wait_for_start(&site, 2_000).await;
    assert!(time_factor(&site).is_null(), "nothing is known of the new one");

    assert_eq!(post(&site, "/once/b", "harmless").await.status, 200);
    assert_eq!(time_factor(&site), 0.55);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_report_that_is_ahead_of_the_servers_row_is_kept_until_then() {
    let seed = Site::start_seed(store_with_servers(&[]).await, None).await;
    let mut reporter = report_to(&seed, &[(short_hash("i-1", 2_000), 55.0)]).await;
    wait_until("the report was received", || {
        metric(&seed, r#"mintmoor_speed_reports_total{outcome="news"}"#) == 1
    })
    .await;

    let server = start_server("i-1", SUCCESS).await;
    list_server_with_start_time(&seed.store, &server, "app", 2_000);

    wait_until("the speed is known with the row", || time_factor(&seed) == 0.55).await;
    reporter.report(&[]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn reported_speeds_that_can_not_be_right_are_counted_and_ignored() {
    let server = start_server("i-1", SUCCESS).await;
    let (seed, follower) = start_seed_and_follower(&server).await;
    let hash = short_hash("i-1", 1_000);
    let absurd = [0.0, -55.0, 1e9, f64::NAN, f64::INFINITY];

    let _reporter = report_to(&seed, &absurd.map(|percent| (hash, percent))).await;

    wait_until("all are ignored", || {
        metric(&seed, r#"mintmoor_speed_reports_total{outcome="disbelieved"}"#) == 5
    })
    .await;
    assert!(time_factor(&seed).is_null());
    assert!(time_factor(&follower).is_null());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_follower_gets_all_speeds_in_messages_of_bounded_size() {
    let seed = Site::start_seed(store_with_servers(&[]).await, None).await;
    let speeds: Vec<(u32, f64)> = (0..1_200).map(|hash| (hash, 120.0)).collect();
    let _reporter = report_to(&seed, &speeds).await;
    wait_until("all were received", || {
        metric(&seed, r#"mintmoor_speed_reports_total{outcome="news"}"#) == 1_200
    })
    .await;

    let mut link = follow(&seed).await;
    let mut messages = Vec::new();
    while messages.iter().map(Vec::len).sum::<usize>() < 1_200 {
        messages.push(link.next_speeds().await.expect("more speeds"));
    }

    assert!(messages.iter().all(|message| message.len() <= 512), "5 KB");
    let mut bytes = Vec::new();
    ciborium::into_writer(&messages[0], &mut bytes).unwrap();
    assert!(bytes.len() <= 9 * messages[0].len() + 3, "{} bytes", bytes.len());
    assert_eq!(link.next_speeds().await, None, "nothing is told twice");
}

#[tokio::test(flavor = "multi_thread")]
async fn where_servers_report_no_speed_entries_send_none() {
    let server = start_server("i-1", SUCCESS).await;
    server.set_extra_headers(&["X-Instance-Load: 1,0,8"]);
    let (seed, follower) = start_seed_and_follower(&server).await;
    let mut link = follow(&seed).await;

    follower.request("GET", "/safe/a", "").await;

    for _ in 0..4 {
        assert_eq!(link.next_speeds().await, None);
    }
    assert!(time_factor(&follower).is_null());
    assert_eq!(follower.entry.router.dump()["controls_overload"], false);
}
