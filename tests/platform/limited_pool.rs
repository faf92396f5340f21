//! Pools with rate-limited servers behind several entries, and the load on them.

use std::{sync::Arc, time::Duration};

use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    pool::Pool,
    server::{Action, ReceivedRequest, Server},
    site::{
        Answer, Site, list_server_with_start_time, request_bytes_with_id, start_server,
        store_with_servers,
    },
};

/// Number of events in a complete response.
const EVENT_COUNT: u64 = 4;
/// Leaves the choice of the model to the entry.
const ANY_MODEL_HEADER: &str = "X-Model: *\r\n";
/// Time between two requests of the load.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);
/// Time after a server first advertises a rate limit from which all entries together have to keep
/// to it.
pub const LIMIT_PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Length of the windows in which the platform counts requests.
const WINDOW: Duration = Duration::from_secs(4);

/// A server whose responses are complete and need no escalation to a larger model.
pub async fn healthy_server(id: &str) -> Server {
    start_server(id, Action::Stream { last_event: EVENT_COUNT, is_complete: true, confidence: 90 })
        .await
}

/// A server that causes further requests to other servers: each new stream, chosen by chance, either
/// breaks off and has to be resumed, or has a low confidence and is escalated to a larger model.
pub async fn flaky_server(id: &str) -> Server {
    let script = |request: &ReceivedRequest| match request.received_at.elapsed().subsec_nanos() % 2
    {
        _ if !request.header("last-event-id").is_empty() => {
            Action::Stream { last_event: EVENT_COUNT, is_complete: true, confidence: 90 }
        }
        0 => Action::Stream { last_event: EVENT_COUNT / 2, is_complete: false, confidence: 90 },
        _ => Action::Stream { last_event: EVENT_COUNT, is_complete: true, confidence: 5 },
    };
    Server::start(id, script).await
}

/// Creates a pool of model servers in a new store, each in its first incarnation.
pub async fn start_pool(servers: &[&Server]) -> Pool {
    let store = store_with_servers(&[]).await;
    servers.iter().for_each(|server| list_server_with_start_time(&store, server, "llm", 1_000));
    Pool::with_servers(store, servers.iter().map(|server| (*server).clone()).collect())
}

/// Sends requests to the entries in turn for this duration; returns how many were sent and how many
/// got a complete response.
pub async fn run_load(sites: &[Arc<Site>], duration: Duration) -> (usize, usize) {
    let answers = responses_under_load(sites, duration).await;
    let served = answers.iter().filter(|(answer, _)| answer.status == 200 && answer.is_whole);
    (answers.len(), served.count())
}

/// Sends requests to the entries in turn for this duration; returns each response and the time it
/// took.
pub async fn responses_under_load(
    sites: &[Arc<Site>],
    duration: Duration,
) -> Vec<(Answer, Duration)> {
    let mut requests = JoinSet::new();
    let end = Instant::now() + duration;
    for (number, site) in sites.iter().cycle().enumerate() {
        if Instant::now() >= end {
            break;
        }
        let site = site.clone();
        requests.spawn(async move {
            let id = format!("load-{number}");
            let sent_at = Instant::now();
            let req = request_bytes_with_id(&id, "POST", "/chat/load", ANY_MODEL_HEADER, &id);
            (site.send(&req).await, sent_at.elapsed())
        });
        sleep(REQUEST_INTERVAL).await;
    }
    requests.join_all().await
}

/// Times at which requests arrived at a server, from `from` on.
pub fn arrival_times(server: &Server, from: std::time::Instant) -> Vec<std::time::Instant> {
    server.requests().iter().map(|request| request.received_at).filter(|at| *at >= from).collect()
}

/// Maximum number of arrivals within any window of this length.
pub fn max_in_window(arrivals: &[std::time::Instant], window: Duration) -> usize {
    let within =
        |i: usize| arrivals[i..].iter().take_while(|at| **at < arrivals[i] + window).count();
    (0..arrivals.len()).map(within).max().unwrap_or(0)
}

/// Maximum number of requests that the platform allows in a window of four seconds: one and a half
/// times the rate limit, plus five.
pub fn max_arrivals_per_window(rate: f64) -> usize {
    (1.5 * rate * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Asserts that no window had more arrivals than the platform allows.
pub fn assert_within_limit(server: &Server, from: std::time::Instant, rate: f64) {
    let most = max_in_window(&arrival_times(server, from), WINDOW);
    let bound = max_arrivals_per_window(rate);
    println!("{}: at most {most} in 4 s, {bound} are allowed", server.id);
    assert!(most <= bound, "{} got {most} in 4 s, {bound} are allowed", server.id);
}
