//! Servers that announce in response headers that they are draining, or ask for a pause with
//! `Retry-After`.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use serde_json::Value;
use tokio::time::sleep;

use crate::{
    limited_pool::{arrival_times, flaky_server, responses_under_load, run_load, start_pool},
    pool::Pool,
    server::{Action, ReceivedRequest, Server},
    site::{
        Site, list_server, list_server_with_start_time, start_server, store_with_servers,
        wait_until,
    },
    store::Fault,
};

/// Time after the first rejection in which requests sent before it may still arrive.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// Length of the pause that servers ask for.
const PAUSE: Duration = Duration::from_secs(3);
/// Time for which a draining server may be used if there is no other: half of the drain time.
const LAST_RESORT_TIME: Duration = Duration::from_secs(3);

/// A server's section of an entry's state dump.
fn server_dump(site: &Site, server: &Server) -> Value {
    let dump = site.entry.router.dump();
    let servers = dump["servers"].as_array().unwrap();
    servers.iter().find(|s| s["id"] == *server.id).cloned().unwrap_or_default()
}

/// Whether an entry knows that one server is draining and that another one is paused.
fn knows_draining_and_paused(site: &Site, draining: &Server, paused: &Server) -> bool {
    let is_draining = !server_dump(site, draining)["draining_ms"].is_null();
    is_draining && server_dump(site, paused)["paused_ms"] != 0
}

/// A server whose responses take half a second, so that the load spreads over all servers.
async fn busy_server(id: &str) -> Server {
    start_server(id, Action::PacedStream { last_event: 5, interval: Duration::from_millis(100) })
        .await
}

/// Starts a pool of three busy servers behind one entry, under load for a moment.
async fn start_three_server_pool() -> (Pool, Vec<Arc<Site>>, [Server; 3]) {
    let servers = [busy_server("i-0").await, busy_server("i-1").await, busy_server("i-2").await];
    let pool = start_pool(&servers.each_ref()).await;
    let sites = pool.start_isolated_entries(1).await;
    run_load(&sites, Duration::from_millis(300)).await;
    (pool, sites, servers)
}

/// Lines of an entry's metric of sends to unavailable servers.
fn unavailable_sends(site: &Site) -> Vec<String> {
    let text = site.entry.router.metrics.render();
    let lines = text.lines().filter(|line| line.starts_with("mintmoor_unavailable_sends_total"));
    lines.map(str::to_owned).collect()
}

/// Number of requests that arrived at a server during its pause, without those that may have been
/// sent before its first rejection was known.
fn arrivals_during_pause(server: &Server, from: Instant) -> usize {
    let rejected_at = arrival_times(server, from);
    let pause_start = *rejected_at.first().expect("the server rejected no request");
    let is_during_pause =
        |at: &&Instant| **at > pause_start + IN_FLIGHT_TIME && **at < pause_start + PAUSE;
    rejected_at.iter().filter(is_during_pause).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_announced_draining_in_a_response_gets_no_further_request() {
    let (_pool, sites, [draining, ..]) = start_three_server_pool().await;
    draining.announce_draining();
    run_load(&sites, Duration::from_millis(300)).await;
    wait_until("the draining is known", || {
        !server_dump(&sites[0], &draining)["draining_ms"].is_null()
    })
    .await;

    let from = Instant::now();
    let (sent, served) = run_load(&sites, Duration::from_secs(3)).await;

    println!("{:?}", unavailable_sends(&sites[0]));
    assert_eq!(arrival_times(&draining, from).len(), 0, "of {sent} requests");
    assert_eq!(served, sent);
    assert_eq!(server_dump(&sites[0], &draining)["idle_connections"], 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_sent_retry_after_gets_no_request_until_the_pause_ends() {
    let (_pool, sites, [paused, ..]) = start_three_server_pool().await;
    let from = Instant::now();
    paused.set_retry_after(Some("3"));

    let (sent, served) = run_load(&sites, PAUSE).await;

    println!("{:?}", unavailable_sends(&sites[0]));
    assert_eq!(arrivals_during_pause(&paused, from), 0, "of {sent} requests");
    assert_eq!(served, sent);
    paused.set_retry_after(None);
    sleep(Duration::from_millis(200)).await;
    let from = Instant::now();
    run_load(&sites, Duration::from_secs(1)).await;
    assert!(!arrival_times(&paused, from).is_empty(), "the server is not used again");
}

#[tokio::test(flavor = "multi_thread")]
async fn when_all_servers_drain_they_serve_for_half_of_the_drain_time_only() {
    let servers = [busy_server("i-0").await, busy_server("i-1").await, busy_server("i-2").await];
    let pool = start_pool(&servers.each_ref()).await;
    let site = Site::start_with_settings(pool.store.clone(), |host| {
        host.drain_time = 2 * LAST_RESORT_TIME
    })
    .await;
    site.wait_for_servers(servers.len()).await;
    let sites = [Arc::new(site)];
    servers.iter().for_each(Server::announce_draining);
    let (sent, served) = run_load(&sites, Duration::from_millis(700)).await;
    assert_eq!(served, sent);

    sleep(LAST_RESORT_TIME).await;
    let from = Instant::now();
    let answers = responses_under_load(&sites, Duration::from_secs(1)).await;

    let later: usize = servers.iter().map(|server| arrival_times(server, from).len()).sum();
    assert_eq!(later, 0, "of {} requests", answers.len());
    for (answer, took) in &answers {
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(*took < Duration::from_secs(1), "{answer:?} after {took:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_row_that_returns_for_the_same_incarnation_ends_neither_draining_nor_a_pause() {
    let (pool, sites, [draining, paused, _]) = start_three_server_pool().await;
    draining.announce_draining();
    paused.set_retry_after(Some("60"));
    run_load(&sites, Duration::from_millis(300)).await;
    wait_until("the draining and the pause are known", || {
        knows_draining_and_paused(&sites[0], &draining, &paused)
    })
    .await;

    for server in [&draining, &paused] {
        pool.store.remove("servers", &server.id);
    }
    sites[0].wait_for_servers(1).await;
    for server in [&draining, &paused] {
        list_server_with_start_time(&pool.store, server, "llm", 1_000);
    }
    sites[0].wait_for_servers(3).await;
    sleep(IN_FLIGHT_TIME).await;
    let from = Instant::now();
    let (sent, served) = run_load(&sites, Duration::from_secs(2)).await;

    assert_eq!(arrival_times(&draining, from).len(), 0, "of {sent} requests");
    assert_eq!(arrival_times(&paused, from).len(), 0, "of {sent} requests");
    assert_eq!(served, sent);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_whose_address_was_reused_gets_no_request_when_its_row_returns() {
    let (replaced, healthy) =
        (start_server("i-0", Action::Misrouted).await, busy_server("i-1").await);
    let pool = start_pool(&[&replaced, &healthy]).await;
    let sites = pool.start_isolated_entries(1).await;
    run_load(&sites, Duration::from_millis(300)).await;
    assert!(!replaced.requests().is_empty());

    pool.store.remove("servers", &replaced.id);
    sites[0].wait_for_servers(1).await;
    list_server_with_start_time(&pool.store, &replaced, "llm", 1_000);
    sites[0].wait_for_servers(2).await;
    let from = Instant::now();
    run_load(&sites, Duration::from_secs(1)).await;

    assert_eq!(arrival_times(&replaced, from).len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_and_pauses_are_respected_while_the_store_is_down() {
    let (pool, sites, [draining, paused, _]) = start_three_server_pool().await;
    pool.store.set_fault(Fault::Down);
    draining.announce_draining();
    paused.set_retry_after(Some("60"));
    run_load(&sites, Duration::from_millis(300)).await;
    wait_until("the draining and the pause are known", || {
        knows_draining_and_paused(&sites[0], &draining, &paused)
    })
    .await;

    let from = Instant::now();
    let (sent, served) = run_load(&sites, Duration::from_secs(2)).await;

    assert_eq!(arrival_times(&draining, from).len(), 0, "of {sent} requests");
    assert_eq!(arrival_times(&paused, from).len(), 0, "of {sent} requests");
    assert_eq!(served, sent);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_server_is_neither_draining_nor_paused() {
    let (pool, sites, [draining, paused, _]) = start_three_server_pool().await;
    draining.announce_draining();
    paused.set_retry_after(Some("60"));
    run_load(&sites, Duration::from_millis(300)).await;
    draining.set_extra_headers(&[]);
    paused.set_retry_after(None);

    list_server_with_start_time(&pool.store, &draining, "llm", 2_000);
    list_server_with_start_time(&pool.store, &paused, "llm", 2_000);
    wait_until("the restart of both is known", || {
        let is_new = |server| server_dump(&sites[0], server)["paused_ms"] == 0;
        is_new(&paused) && server_dump(&sites[0], &draining)["draining_ms"].is_null()
    })
    .await;

    let from = Instant::now();
    run_load(&sites, Duration::from_secs(1)).await;
    assert!(!arrival_times(&draining, from).is_empty());
    assert!(!arrival_times(&paused, from).is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_pause_expires_while_the_host_is_suspended() {
    let (_pool, sites, [paused, ..]) = start_three_server_pool().await;
    paused.set_retry_after(Some("60"));
    run_load(&sites, Duration::from_millis(300)).await;
    paused.set_retry_after(None);
    assert_ne!(server_dump(&sites[0], &paused)["paused_ms"], 0);

    sites[0].entry.router.clock.simulate_suspension(Duration::from_secs(60));

    let from = Instant::now();
    run_load(&sites, Duration::from_secs(1)).await;
    assert!(!arrival_times(&paused, from).is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_resumed_streams_and_escalations_avoid_draining_and_paused_servers() {
    let (draining, paused, flaky) =
        (busy_server("i-0").await, busy_server("i-1").await, flaky_server("i-2").await);
    let pool = start_pool(&[&draining, &paused, &flaky]).await;
    let sites = pool.start_isolated_entries(1).await;
    run_load(&sites, Duration::from_millis(300)).await;
    draining.announce_draining();
    paused.set_retry_after(Some("60"));
    run_load(&sites, Duration::from_millis(300)).await;
    wait_until("the draining and the pause are known", || {
        knows_draining_and_paused(&sites[0], &draining, &paused)
    })
    .await;

    // Until then the draining server may be used as a last resort for what the flaky one fails to
    // serve.
    sleep(sites[0].entry.router.settings.load().drain_time / 2 + IN_FLIGHT_TIME).await;
    let from = Instant::now();
    run_load(&sites, Duration::from_secs(2)).await;

    let is_resumed = |request: &ReceivedRequest| !request.header("last-event-id").is_empty();
    assert!(flaky.requests().iter().any(is_resumed), "no stream was resumed");
    assert_eq!(arrival_times(&draining, from).len(), 0);
    assert_eq!(arrival_times(&paused, from).len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn announcements_in_invalid_responses_are_ignored() {
    for action in [Action::Unsigned, Action::WrongRequestId, Action::Gzip, Action::Misrouted] {
        let (other, healthy) =
            (start_server("i-0", action.clone()).await, busy_server("i-1").await);
        let pool = start_pool(&[&other, &healthy]).await;
        let sites = pool.start_isolated_entries(1).await;
        other.set_extra_headers(&["Server-Leaving: 1", "Retry-After: 60"]);

        run_load(&sites, Duration::from_millis(500)).await;

        assert!(!other.requests().is_empty());
        let dump = server_dump(&sites[0], &other);
        assert!(dump["draining_ms"].is_null(), "{action:?}");
        assert_eq!(dump["paused_ms"], 0, "{action:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unreadable_retry_after_is_ignored() {
    let (_pool, sites, [server, ..]) = start_three_server_pool().await;
    for value in ["soon", "-3", "NaN", ""] {
        server.set_retry_after(Some(value));
        let (sent, served) = run_load(&sites, Duration::from_millis(300)).await;
        assert_eq!(served, sent, "{value}");
        assert_eq!(server_dump(&sites[0], &server)["paused_ms"], 0, "{value}");
    }
}

/// The server process exits while it is sending streams: its connections break and its port is
/// closed.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_exits_after_announcing_draining_is_not_counted_as_crashed() {
    let (draining, other) = (busy_server("i-0").await, busy_server("i-1").await);
    let pool = start_pool(&[&draining, &other]).await;
    let sites = pool.start_isolated_entries(1).await;
    draining.announce_draining();
    let work = run_load(&sites, Duration::from_millis(600));
    let exit = async {
        sleep(Duration::from_millis(400)).await;
        assert!(draining.active_requests() > 0);
        draining.crash();
    };

    tokio::join!(work, exit);

    let text = sites[0].entry.router.metrics.render();
    assert!(text.contains("mintmoor_server_ends_total 0"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_response_header_is_counted_in_the_metrics() {
    let (_pool, sites, [server, ..]) = start_three_server_pool().await;
    server.set_extra_headers(&["Server-Mood: grim"]);

    run_load(&sites, Duration::from_millis(300)).await;

    let text = sites[0].entry.router.metrics.render();
    assert!(text.contains("mintmoor_unread_headers_total{name=\"server-mood\"}"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn when_all_servers_are_paused_requests_are_rejected_without_being_sent() {
    let (_pool, sites, servers) = start_three_server_pool().await;
    let from = Instant::now();
    servers.iter().for_each(|server| server.set_retry_after(Some("3")));

    let answers = responses_under_load(&sites, PAUSE).await;

    println!("{:?}", unavailable_sends(&sites[0]));
    let in_pause: Vec<usize> = servers.iter().map(|s| arrivals_during_pause(s, from)).collect();
    assert_eq!(in_pause, [0, 0, 0], "of {} requests", answers.len());
    for (answer, took) in &answers {
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.head.contains("retry-after: "), "{answer:?}");
        assert!(*took < Duration::from_secs(1), "{answer:?} after {took:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_already_draining_when_the_entry_starts_gets_no_request() {
    let draining = busy_server("i-0").await;
    let store = store_with_servers(&[]).await;
    list_server(&store, &draining, "llm", "v1", "draining");
    let site = Site::start_with_store(store).await;
    site.wait_for_servers(1).await;

    let answer = site.request("POST", "/chat/a", "X-Model: small\r\n").await;

    assert_eq!(answer.status, 503);
    assert!(draining.requests().is_empty());
}
