//! Servers that announce draining or ask for pauses in their answers, and checks of the requests that reach them.

use std::{
    collections::HashMap,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::{
    record::{Exchange, Record},
    system::{Backend, System},
};

/// Time for which a draining server continues to serve requests, as the entries' settings have by default.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time from the first drain announcement until the server exits.
const EXIT_AFTER: Duration = Duration::from_secs(6);
/// Pause that a server asks for; [`RETRY_AFTER`] is the same in seconds, as the server sends it.
const PAUSE: Duration = Duration::from_secs(2);
pub const RETRY_AFTER: &str = "2";
/// Time for which a server rejects all requests.
const REJECTION_DURATION: Duration = Duration::from_millis(2_500);
/// Time after a rejection in which requests that were already in transit may still arrive.
const IN_TRANSIT: Duration = Duration::from_millis(500);
/// Number of requests within one pause that the platform tolerates.
const MAX_REQUESTS_PER_PAUSE: usize = 2;

/// A request that a server rejected while it asked for a pause.
#[derive(Clone, Debug)]
pub struct Rejection {
    pub server: String,
    pub id: String,
    pub at: Instant,
}

/// A time span in which a server announced draining in its answers.
#[derive(Clone, Debug)]
pub struct DrainSpan {
    pub server: String,
    pub from: Instant,
    pub to: Instant,
}

/// Makes one server announce draining in its answers only and exit, and two servers ask for pauses. Draws from a
/// generator of its own, so that the disruptions under a seed stay the same.
pub async fn run_unavailability(system: &System, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(32));
    let first = rng.random_range(0..system.servers.len());
    let server = |number: usize| &system.servers[(first + number) % system.servers.len()];
    let mut draw_delay = || Duration::from_millis(rng.random_range(100..2_000));
    let (one, two, three) = (draw_delay(), draw_delay(), draw_delay());
    tokio::join!(drain(system, server(0), one), reject(server(1), two), reject(server(2), three));
}

/// Makes a server announce draining after a delay, and exit unless it has restarted in between.
async fn drain(system: &System, server: &Backend, delay: Duration) {
    sleep(delay).await;
    server.announce_drain();
    let from = Instant::now();
    let has_restarted = || server.has_started_since(from);
    while from.elapsed() < EXIT_AFTER && !has_restarted() {
        sleep(Duration::from_millis(20)).await;
    }
    let span = DrainSpan { server: server.id().into(), from, to: Instant::now() };
    system.record.drain_spans.lock().unwrap().push(span);
    if !has_restarted() {
        server.exit();
    }
}

/// Makes a server reject all requests for a while after a delay.
async fn reject(server: &Backend, delay: Duration) {
    sleep(delay).await;
    server.is_rejecting.store(true, Ordering::SeqCst);
    sleep(REJECTION_DURATION).await;
    server.is_rejecting.store(false, Ordering::SeqCst);
}

/// Describes the requests that should not have reached a server.
pub fn violations(record: &Record, exchanges: &[Exchange]) -> Vec<String> {
    let by_id: HashMap<&str, &Exchange> = exchanges.iter().map(|e| (&*e.id, e)).collect();
    let drain_spans = record.drain_spans.lock().unwrap();
    let mut violations: Vec<String> =
        drain_spans.iter().flat_map(|span| late_requests(record, &by_id, span)).collect();
    violations.extend(check_pauses(record, &by_id));
    violations
}

/// Describes the requests that reached a draining server although they were sent more than [`DRAIN_TIME`] after
/// their entry had received the first answer with an announcement.
fn late_requests(
    record: &Record,
    by_id: &HashMap<&str, &Exchange>,
    span: &DrainSpan,
) -> Vec<String> {
    let executions = record.executions.lock().unwrap();
    let at_server = |at: &Instant| span.from <= *at && *at < span.to;
    let executions = executions
        .iter()
        .filter(|execution| execution.server == span.server && at_server(&execution.at));
    let reached: Vec<(&Exchange, Instant)> = executions
        .filter_map(|execution| Some((*by_id.get(&*execution.id)?, execution.at)))
        .collect();
    let mut known_since: HashMap<usize, Instant> = HashMap::new();
    for (exchange, _) in reached.iter().filter(|(exchange, _)| exchange.is_served()) {
        let ended = known_since.entry(exchange.entry).or_insert(exchange.ended);
        *ended = exchange.ended.min(*ended);
    }
    let is_late = |(exchange, at): &&(&Exchange, Instant)| {
        let known_since = known_since.get(&exchange.entry);
        known_since.is_some_and(|known_since| {
            exchange.sent > *known_since + DRAIN_TIME
                && !record.was_interrupted(exchange.entry, *known_since, *at)
        })
    };
    println!("{} is draining: {} requests reached it", span.server, reached.len());
    let describe = |(exchange, _): &(&Exchange, Instant)| {
        format!("{}: reached {}, which had announced draining", exchange.id, span.server)
    };
    reached.iter().filter(is_late).map(describe).collect()
}

/// Describes the pauses in which a server received too many requests from the entry that it had asked to pause.
fn check_pauses(record: &Record, by_id: &HashMap<&str, &Exchange>) -> Vec<String> {
    let rejections = record.rejections.lock().unwrap();
    let entry_of = |rejection: &Rejection| by_id.get(&*rejection.id).map(|e| e.entry);
    let mut violations = Vec::new();
    let mut max_in_pause = 0;
    for first in rejections.iter() {
        let Some(entry) = entry_of(first) else { continue };
        let (from, to) = (first.at + IN_TRANSIT, first.at + PAUSE);
        let is_within = |r: &&Rejection| {
            r.server == first.server && from < r.at && r.at < to && entry_of(r) == Some(entry)
        };
        let within = rejections.iter().filter(is_within).count();
        if record.was_interrupted(entry, first.at, to)
            || record.was_link_degraded(&first.server, to)
        {
            continue;
        }
        max_in_pause = max_in_pause.max(within);
        if within > MAX_REQUESTS_PER_PAUSE {
            violations.push(format!(
                "{}: asked entry {entry} for a pause and received {within} requests",
                first.server
            ));
        }
    }
    println!(
        "{} rejections with a pause: at most {max_in_pause} requests in one pause",
        rejections.len()
    );
    violations
}
