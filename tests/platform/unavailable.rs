//! Servers that drain or ask for a pause in their answers.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use serde_json::Value;
use tokio::time::sleep;

use crate::{
    limited_pool::{answers_under_load, arrivals, flaky, load, pool_of},
    pool::Pool,
    server::{Act, Seen, Server},
    site::{
        Site, list_server, list_server_with_start_time, start_server, store_with_servers,
        wait_until,
    },
    store::Fault,
};

/// Time after a rejection in which requests may arrive that were on their way.
const ON_THEIR_WAY: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_secs(3);
/// Time for which a draining server may be a last resort.
const LAST_RESORT: Duration = Duration::from_secs(3);

/// What an entry's state dump has of a server.
fn dump_of(site: &Site, server: &Server) -> Value {
    let dump = site.entry.router.dump();
    let servers = dump["servers"].as_array().unwrap();
    servers.iter().find(|s| s["id"] == *server.id).cloned().unwrap_or_default()
}

/// Whether an entry knows that one server drains and another one asked for a pause.
fn knows_both(site: &Site, draining: &Server, paused: &Server) -> bool {
    let is_draining = !dump_of(site, draining)["draining_ms"].is_null();
    is_draining && dump_of(site, paused)["paused_ms"] != 0
}

/// A server whose answers take half a second, so that load builds up on all servers.
async fn busy(id: &str) -> Server {
    start_server(id, Act::Paced { to: 5, pause: Duration::from_millis(100) }).await
}

/// A pool of three busy servers behind one entry.
async fn three_servers() -> (Pool, Vec<Arc<Site>>, [Server; 3]) {
    let servers = [busy("i-0").await, busy("i-1").await, busy("i-2").await];
    let pool = pool_of(&servers.each_ref()).await;
    let sites = pool.entries_apart(1).await;
    load(&sites, Duration::from_millis(300)).await;
    (pool, sites, servers)
}

/// What an entry counted of sends to servers that should get none.
fn unavailable_sends(site: &Site) -> Vec<String> {
    let text = site.entry.router.metrics.render();
    let lines = text.lines().filter(|line| line.starts_with("mintmoor_unavailable_sends_total"));
    lines.map(str::to_owned).collect()
}

/// Requests that reached a paused server until the end of its pause, but for those on their way at its first rejection.
fn arrivals_in_pause(server: &Server, from: Instant) -> usize {
    let rejected = arrivals(server, from);
    let began = *rejected.first().expect("it rejected none");
    let is_within = |at: &&Instant| **at > began + ON_THEIR_WAY && **at < began + PAUSE;
    rejected.iter().filter(is_within).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_announced_draining_in_an_answer_gets_no_further_request() {
    let (_pool, sites, [draining, ..]) = three_servers().await;
    draining.drain();
    load(&sites, Duration::from_millis(300)).await;
    wait_until("it is known", || !dump_of(&sites[0], &draining)["draining_ms"].is_null()).await;

    let from = Instant::now();
    let (asked, served) = load(&sites, Duration::from_secs(3)).await;

    println!("{:?}", unavailable_sends(&sites[0]));
    assert_eq!(arrivals(&draining, from).len(), 0, "of {asked} requests");
    assert_eq!(served, asked);
    assert_eq!(dump_of(&sites[0], &draining)["idle_connections"], 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_asked_for_a_pause_gets_no_request_until_it_ends() {
    let (_pool, sites, [paused, ..]) = three_servers().await;
    let from = Instant::now();
    paused.ask_for_pause(Some("3"));

    let (asked, served) = load(&sites, PAUSE).await;

    println!("{:?}", unavailable_sends(&sites[0]));
    assert_eq!(arrivals_in_pause(&paused, from), 0, "of {asked} requests");
    assert_eq!(served, asked);
    paused.ask_for_pause(None);
    sleep(Duration::from_millis(200)).await;
    let from = Instant::now();
    load(&sites, Duration::from_secs(1)).await;
    assert!(!arrivals(&paused, from).is_empty(), "it is not used again");
}

#[tokio::test(flavor = "multi_thread")]
async fn where_all_servers_drain_they_serve_for_half_of_the_drain_time_and_get_nothing_later() {
    let servers = [busy("i-0").await, busy("i-1").await, busy("i-2").await];
    let pool = pool_of(&servers.each_ref()).await;
    let site =
        Site::start_with_settings(pool.store.clone(), |host| host.drain_time = 2 * LAST_RESORT)
            .await;
    site.wait_for_servers(servers.len()).await;
    let sites = [Arc::new(site)];
    servers.iter().for_each(Server::drain);
    let (asked, served) = load(&sites, Duration::from_millis(700)).await;
    assert_eq!(served, asked);

    sleep(LAST_RESORT).await;
    let from = Instant::now();
    let answers = answers_under_load(&sites, Duration::from_secs(1)).await;

    let later: usize = servers.iter().map(|server| arrivals(server, from).len()).sum();
    assert_eq!(later, 0, "of {} requests", answers.len());
    for (answer, took) in &answers {
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(*took < Duration::from_secs(1), "{answer:?} after {took:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_row_that_lapses_and_returns_for_the_same_life_ends_neither_draining_nor_a_pause() {
    let (pool, sites, [draining, paused, _]) = three_servers().await;
    draining.drain();
    paused.ask_for_pause(Some("60"));
    load(&sites, Duration::from_millis(300)).await;
    wait_until("both are known", || knows_both(&sites[0], &draining, &paused)).await;

    for server in [&draining, &paused] {
        pool.store.remove("servers", &server.id);
    }
    sites[0].wait_for_servers(1).await;
    for server in [&draining, &paused] {
        list_server_with_start_time(&pool.store, server, "llm", 1_000);
    }
    sites[0].wait_for_servers(3).await;
    sleep(ON_THEIR_WAY).await;
    let from = Instant::now();
    let (asked, served) = load(&sites, Duration::from_secs(2)).await;

    assert_eq!(arrivals(&draining, from).len(), 0, "of {asked} requests");
    assert_eq!(arrivals(&paused, from).len(), 0, "of {asked} requests");
    assert_eq!(served, asked);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_whose_address_another_one_has_is_not_asked_again_when_its_row_returns() {
    let (replaced, healthy) = (start_server("i-0", Act::OtherServer).await, busy("i-1").await);
    let pool = pool_of(&[&replaced, &healthy]).await;
    let sites = pool.entries_apart(1).await;
    load(&sites, Duration::from_millis(300)).await;
    assert!(!replaced.seen().is_empty());

    pool.store.remove("servers", &replaced.id);
    sites[0].wait_for_servers(1).await;
    list_server_with_start_time(&pool.store, &replaced, "llm", 1_000);
    sites[0].wait_for_servers(2).await;
    let from = Instant::now();
    load(&sites, Duration::from_secs(1)).await;

    assert_eq!(arrivals(&replaced, from).len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn what_servers_announce_holds_while_the_store_is_away() {
    let (pool, sites, [draining, paused, _]) = three_servers().await;
    pool.store.set_fault(Fault::Down);
    draining.drain();
    paused.ask_for_pause(Some("60"));
    load(&sites, Duration::from_millis(300)).await;
    wait_until("both are known", || knows_both(&sites[0], &draining, &paused)).await;

    let from = Instant::now();
    let (asked, served) = load(&sites, Duration::from_secs(2)).await;

    assert_eq!(arrivals(&draining, from).len(), 0, "of {asked} requests");
    assert_eq!(arrivals(&paused, from).len(), 0, "of {asked} requests");
    assert_eq!(served, asked);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_life_of_a_server_neither_drains_nor_pauses() {
    let (pool, sites, [draining, paused, _]) = three_servers().await;
    draining.drain();
    paused.ask_for_pause(Some("60"));
    load(&sites, Duration::from_millis(300)).await;
    draining.announce(&[]);
    paused.ask_for_pause(None);

    list_server_with_start_time(&pool.store, &draining, "llm", 2_000);
    list_server_with_start_time(&pool.store, &paused, "llm", 2_000);
    wait_until("both are new", || {
        let is_new = |server| dump_of(&sites[0], server)["paused_ms"] == 0;
        is_new(&paused) && dump_of(&sites[0], &draining)["draining_ms"].is_null()
    })
    .await;

    let from = Instant::now();
    load(&sites, Duration::from_secs(1)).await;
    assert!(!arrivals(&draining, from).is_empty());
    assert!(!arrivals(&paused, from).is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_pause_ends_while_the_host_is_suspended() {
    let (_pool, sites, [paused, ..]) = three_servers().await;
    paused.ask_for_pause(Some("60"));
    load(&sites, Duration::from_millis(300)).await;
    paused.ask_for_pause(None);
    assert_ne!(dump_of(&sites[0], &paused)["paused_ms"], 0);

    sites[0].entry.router.clock.simulate_suspension(Duration::from_secs(60));

    let from = Instant::now();
    load(&sites, Duration::from_secs(1)).await;
    assert!(!arrivals(&paused, from).is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_resumed_streams_and_larger_models_keep_away_from_such_servers() {
    let (draining, paused, flaky) = (busy("i-0").await, busy("i-1").await, flaky("i-2").await);
    let pool = pool_of(&[&draining, &paused, &flaky]).await;
    let sites = pool.entries_apart(1).await;
    load(&sites, Duration::from_millis(300)).await;
    draining.drain();
    paused.ask_for_pause(Some("60"));
    load(&sites, Duration::from_millis(300)).await;
    wait_until("both are known", || knows_both(&sites[0], &draining, &paused)).await;

    // Until then the draining server may serve what the flaky one did not.
    sleep(sites[0].entry.router.settings.load().drain_time / 2 + ON_THEIR_WAY).await;
    let from = Instant::now();
    load(&sites, Duration::from_secs(2)).await;

    let is_resumed = |seen: &Seen| !seen.header("last-event-id").is_empty();
    assert!(flaky.seen().iter().any(is_resumed), "no stream was resumed");
    assert_eq!(arrivals(&draining, from).len(), 0);
    assert_eq!(arrivals(&paused, from).len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn what_is_announced_in_an_answer_of_another_server_is_not_believed() {
    for act in [Act::Unsigned, Act::WrongId, Act::Encoded, Act::OtherServer] {
        let (other, healthy) = (start_server("i-0", act.clone()).await, busy("i-1").await);
        let pool = pool_of(&[&other, &healthy]).await;
        let sites = pool.entries_apart(1).await;
        other.announce(&["Server-Leaving: 1", "Retry-After: 60"]);

        load(&sites, Duration::from_millis(500)).await;

        assert!(!other.seen().is_empty());
        let dumped = dump_of(&sites[0], &other);
        assert!(dumped["draining_ms"].is_null(), "{act:?}");
        assert_eq!(dumped["paused_ms"], 0, "{act:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_pause_that_cant_be_read_changes_nothing() {
    let (_pool, sites, [server, ..]) = three_servers().await;
    for junk in ["soon", "-3", "NaN", ""] {
        server.ask_for_pause(Some(junk));
        let (asked, served) = load(&sites, Duration::from_millis(300)).await;
        assert_eq!(served, asked, "{junk}");
        assert_eq!(dump_of(&sites[0], &server)["paused_ms"], 0, "{junk}");
    }
}

/// Its connections end and nobody listens any more, with streams at work.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_exits_after_a_drain_notice_in_an_answer_is_not_taken_for_crashed() {
    let (leaving, other) = (busy("i-0").await, busy("i-1").await);
    let pool = pool_of(&[&leaving, &other]).await;
    let sites = pool.entries_apart(1).await;
    leaving.drain();
    let work = load(&sites, Duration::from_millis(600));
    let exit = async {
        sleep(Duration::from_millis(400)).await;
        assert!(leaving.at_work() > 0);
        leaving.crash();
    };

    tokio::join!(work, exit);

    let text = sites[0].entry.router.metrics.render();
    assert!(text.contains("mintmoor_server_ends_total 0"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_header_that_nothing_reads_shows_in_the_metrics() {
    let (_pool, sites, [server, ..]) = three_servers().await;
    server.announce(&["Server-Mood: grim"]);

    load(&sites, Duration::from_millis(300)).await;

    let text = sites[0].entry.router.metrics.render();
    assert!(text.contains("mintmoor_unread_headers_total{name=\"server-mood\"}"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn where_all_servers_asked_for_a_pause_requests_are_rejected_without_sending_them() {
    let (_pool, sites, servers) = three_servers().await;
    let from = Instant::now();
    servers.iter().for_each(|server| server.ask_for_pause(Some("3")));

    let answers = answers_under_load(&sites, PAUSE).await;

    println!("{:?}", unavailable_sends(&sites[0]));
    let in_pause: Vec<usize> = servers.iter().map(|s| arrivals_in_pause(s, from)).collect();
    assert_eq!(in_pause, [0, 0, 0], "of {} requests", answers.len());
    for (answer, took) in &answers {
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.head.contains("retry-after: "), "{answer:?}");
        assert!(*took < Duration::from_secs(1), "{answer:?} after {took:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_drained_before_the_entry_started_gets_nothing() {
    let draining = busy("i-0").await;
    let store = store_with_servers(&[]).await;
    list_server(&store, &draining, "llm", "v1", "draining");
    let site = Site::start_with_store(store).await;
    site.wait_for_servers(1).await;

    let answer = site.request("POST", "/chat/a", "X-Model: small\r\n").await;

    assert_eq!(answer.status, 503);
    assert!(draining.seen().is_empty());
}
