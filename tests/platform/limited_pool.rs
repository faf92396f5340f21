//! A pool with a rate-limited server behind several entries, and the load on it.

use std::{sync::Arc, time::Duration};

use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    pool::Pool,
    server::{Action, ReceivedRequest, Server},
    site::{Answer, Site, always, list_life, request_with_id, store_with},
};

/// Events of a whole answer.
const EVENT_COUNT: u64 = 4;
/// The choice of the model is left to the entry.
const ANY_MODEL_HEADER: &str = "X-Model: *\r\n";
/// Time between two requests of callers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);
/// Time in which all entries have to keep to a limit after the server first named it.
pub const LIMIT_PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Length of the windows that the platform looks at.
const WINDOW: Duration = Duration::from_secs(4);

/// A server whose answers every entry is content with.
pub async fn healthy_server(id: &str) -> Server {
    always(id, Action::Stream { last_event: EVENT_COUNT, is_complete: true, confidence: 90 }).await
}

/// A server from which more work goes on elsewhere: streams that break off, and answers of a small model that
/// is not sure.
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

/// Model servers of one service in a store of their own, each in its first life.
pub async fn start_pool(servers: &[&Server]) -> Pool {
    let store = store_with(&[]).await;
    servers.iter().for_each(|server| list_life(&store, server, "llm", 1_000));
    Pool::with_servers(store, servers.iter().map(|server| (*server).clone()).collect())
}

/// Asks all entries in turn for so long; how many were asked and how many served whole.
pub async fn run_load(sites: &[Arc<Site>], duration: Duration) -> (usize, usize) {
    let answers = responses_under_load(sites, duration).await;
    let served = answers.iter().filter(|(answer, _)| answer.status == 200 && answer.is_whole);
    (answers.len(), served.count())
}

/// Asks all entries in turn for so long; the answers, and how long each took.
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
            let req = request_with_id(&id, "POST", "/chat/load", ANY_MODEL_HEADER, &id);
            (site.send(&req).await, sent_at.elapsed())
        });
        sleep(REQUEST_INTERVAL).await;
    }
    requests.join_all().await
}

/// When requests reached a server from a time on.
pub fn arrival_times(server: &Server, from: std::time::Instant) -> Vec<std::time::Instant> {
    server.requests().iter().map(|request| request.received_at).filter(|at| *at >= from).collect()
}

/// The most that arrived within any window of this length.
pub fn max_in_window(arrivals: &[std::time::Instant], window: Duration) -> usize {
    let within =
        |i: usize| arrivals[i..].iter().take_while(|at| **at < arrivals[i] + window).count();
    (0..arrivals.len()).map(within).max().unwrap_or(0)
}

/// The most that the platform allows in a window of four seconds: one and a half times the limit, and five.
pub fn max_arrivals_per_window(rate: f64) -> usize {
    (1.5 * rate * WINDOW.as_secs_f64() + 5.0) as usize
}

/// No window had more than the platform allows.
pub fn assert_within_limit(server: &Server, from: std::time::Instant, rate: f64) {
    let most = max_in_window(&arrival_times(server, from), WINDOW);
    let bound = max_arrivals_per_window(rate);
    println!("{}: at most {most} in 4 s, {bound} are allowed", server.id);
    assert!(most <= bound, "{} got {most} in 4 s, {bound} are allowed", server.id);
}
