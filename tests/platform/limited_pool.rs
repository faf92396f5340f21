//! A pool with a rate-limited server behind several entries, and the load on it.

use std::{sync::Arc, time::Duration};

use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    pool::Pool,
    server::{Act, Seen, Server},
    site::{
        Answer, Site, list_server_with_start_time, request_bytes_with_id, start_server,
        store_with_servers,
    },
};

/// Events of a whole answer.
const EVENTS: u64 = 4;
/// The choice of the model is left to the entry.
const ANY_MODEL: &str = "X-Model: *\r\n";
/// Time between two requests of callers.
const ASK_EVERY: Duration = Duration::from_millis(15);
/// Time in which all entries have to keep to a limit after the server first named it.
pub const CONTACT: Duration = Duration::from_secs(3);
/// Length of the windows that the platform looks at.
const WINDOW: Duration = Duration::from_secs(4);

/// A server whose answers every entry is content with.
pub async fn healthy(id: &str) -> Server {
    start_server(id, Act::Stream { to: EVENTS, is_whole: true, confidence: 90 }).await
}

/// A server from which more work goes on elsewhere: streams that break off, and answers of a small model that
/// is not sure.
pub async fn flaky(id: &str) -> Server {
    let script = |seen: &Seen| match seen.at.elapsed().subsec_nanos() % 2 {
        _ if !seen.header("last-event-id").is_empty() => {
            Act::Stream { to: EVENTS, is_whole: true, confidence: 90 }
        }
        0 => Act::Stream { to: EVENTS / 2, is_whole: false, confidence: 90 },
        _ => Act::Stream { to: EVENTS, is_whole: true, confidence: 5 },
    };
    Server::start(id, script).await
}

/// Model servers of one service in a store of their own, each in its first life.
pub async fn pool_of(servers: &[&Server]) -> Pool {
    let store = store_with_servers(&[]).await;
    servers.iter().for_each(|server| list_server_with_start_time(&store, server, "llm", 1_000));
    Pool::of(store, servers.iter().map(|server| (*server).clone()).collect())
}

/// Asks all entries in turn for so long; how many were asked and how many served whole.
pub async fn load(sites: &[Arc<Site>], lasts: Duration) -> (usize, usize) {
    let answers = answers_under_load(sites, lasts).await;
    let served = answers.iter().filter(|(answer, _)| answer.status == 200 && answer.is_whole);
    (answers.len(), served.count())
}

/// Asks all entries in turn for so long; the answers, and how long each took.
pub async fn answers_under_load(sites: &[Arc<Site>], lasts: Duration) -> Vec<(Answer, Duration)> {
    let mut asking = JoinSet::new();
    let until = Instant::now() + lasts;
    for (number, site) in sites.iter().cycle().enumerate() {
        if Instant::now() >= until {
            break;
        }
        let site = site.clone();
        asking.spawn(async move {
            let id = format!("load-{number}");
            let asked = Instant::now();
            let req = request_bytes_with_id(&id, "POST", "/chat/load", ANY_MODEL, &id);
            (site.send(&req).await, asked.elapsed())
        });
        sleep(ASK_EVERY).await;
    }
    asking.join_all().await
}

/// When requests reached a server from a time on.
pub fn arrivals(server: &Server, from: std::time::Instant) -> Vec<std::time::Instant> {
    server.seen().iter().map(|seen| seen.at).filter(|at| *at >= from).collect()
}

/// The most that arrived within any window of this length.
pub fn most_within(arrivals: &[std::time::Instant], window: Duration) -> usize {
    let within =
        |i: usize| arrivals[i..].iter().take_while(|at| **at < arrivals[i] + window).count();
    (0..arrivals.len()).map(within).max().unwrap_or(0)
}

/// The most that the platform allows in a window of four seconds: one and a half times the limit, and five.
pub fn bound(rate: f64) -> usize {
    (1.5 * rate * WINDOW.as_secs_f64() + 5.0) as usize
}

/// No window had more than the platform allows.
pub fn assert_within_limit(server: &Server, from: std::time::Instant, rate: f64) {
    let most = most_within(&arrivals(server, from), WINDOW);
    let bound = bound(rate);
    println!("{}: at most {most} in 4 s, {bound} are allowed", server.id);
    assert!(most <= bound, "{} got {most} in 4 s, {bound} are allowed", server.id);
}
