//! Servers that drain or ask for pauses in their answers, and what may reach them.

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

/// Time for which a draining server serves on, the default of the entries' settings.
const DRAIN: Duration = Duration::from_secs(2);
/// Time from the first drain notice in an answer to the exit.
const DRAIN_LASTS: Duration = Duration::from_secs(6);
/// Pause that a server asks for, and the number of seconds that it writes.
const PAUSE: Duration = Duration::from_secs(2);
pub const RETRY_AFTER: &str = "2";
/// Time for which a server rejects everything.
const REJECTS_FOR: Duration = Duration::from_millis(2_500);
/// Time after a rejection in which requests may arrive that were on their way.
const ON_THEIR_WAY: Duration = Duration::from_millis(500);
/// Arrivals within one pause that the platform tolerates.
const TOLERATED: usize = 2;

/// A request that was rejected with a pause.
#[derive(Clone, Debug)]
pub struct Rejection {
    pub server: String,
    pub id: String,
    pub at: Instant,
}

/// A span in which a server announced in its answers that it is draining.
#[derive(Clone, Debug)]
pub struct Draining {
    pub server: String,
    pub from: Instant,
    pub to: Instant,
}

/// Lets one server drain by its answers alone and exit, and two ask for pauses, drawn apart from the deeds.
pub async fn be_unavailable(system: &System, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(32));
    let first = rng.random_range(0..system.servers.len());
    let server = |number: usize| &system.servers[(first + number) % system.servers.len()];
    let mut begins = || Duration::from_millis(rng.random_range(100..2_000));
    let (one, two, three) = (begins(), begins(), begins());
    tokio::join!(drain(system, server(0), one), reject(server(1), two), reject(server(2), three));
}

async fn drain(system: &System, server: &Backend, begins: Duration) {
    sleep(begins).await;
    server.drain();
    let from = Instant::now();
    let has_exited = || server.has_started_since(from);
    while from.elapsed() < DRAIN_LASTS && !has_exited() {
        sleep(Duration::from_millis(20)).await;
    }
    let draining = Draining { server: server.id().into(), from, to: Instant::now() };
    system.record.draining.lock().unwrap().push(draining);
    if !has_exited() {
        server.exit();
    }
}

async fn reject(server: &Backend, begins: Duration) {
    sleep(begins).await;
    server.rejects.store(true, Ordering::SeqCst);
    sleep(REJECTS_FOR).await;
    server.rejects.store(false, Ordering::SeqCst);
}

/// What reached a server and should not have.
pub fn findings(record: &Record, exchanges: &[Exchange]) -> Vec<String> {
    let by_id: HashMap<&str, &Exchange> = exchanges.iter().map(|e| (&*e.id, e)).collect();
    let draining = record.draining.lock().unwrap();
    let mut found: Vec<String> =
        draining.iter().flat_map(|drain| late_at(record, &by_id, drain)).collect();
    found.extend(check_pauses(record, &by_id));
    found
}

/// Requests that reached a draining server and were sent too long after their entry had passed on a notice.
fn late_at(record: &Record, by_id: &HashMap<&str, &Exchange>, drain: &Draining) -> Vec<String> {
    let runs = record.runs.lock().unwrap();
    let at_server = |at: &Instant| drain.from <= *at && *at < drain.to;
    let runs = runs.iter().filter(|run| run.server == drain.server && at_server(&run.at));
    let reached: Vec<(&Exchange, Instant)> =
        runs.filter_map(|run| Some((*by_id.get(&*run.id)?, run.at))).collect();
    let mut known: HashMap<usize, Instant> = HashMap::new();
    for (exchange, _) in reached.iter().filter(|(exchange, _)| exchange.is_served()) {
        let ended = known.entry(exchange.entry).or_insert(exchange.ended);
        *ended = exchange.ended.min(*ended);
    }
    let is_late = |(exchange, at): &&(&Exchange, Instant)| {
        let known = known.get(&exchange.entry);
        known.is_some_and(|known| {
            exchange.sent > *known + DRAIN && !record.is_interrupted(exchange.entry, *known, *at)
        })
    };
    println!("{} drains: {} reached it", drain.server, reached.len());
    let describe = |(exchange, _): &(&Exchange, Instant)| {
        format!("{}: reached {}, which had announced draining", exchange.id, drain.server)
    };
    reached.iter().filter(is_late).map(describe).collect()
}

/// Pauses in which more requests reached their server from the entry that it had rejected than are tolerated.
fn check_pauses(record: &Record, by_id: &HashMap<&str, &Exchange>) -> Vec<String> {
    let rejections = record.rejections.lock().unwrap();
    let entry_of = |rejection: &Rejection| by_id.get(&*rejection.id).map(|e| e.entry);
    let mut found = Vec::new();
    let mut most = 0;
    for began in rejections.iter() {
        let Some(entry) = entry_of(began) else { continue };
        let (from, to) = (began.at + ON_THEIR_WAY, began.at + PAUSE);
        let is_within = |r: &&Rejection| {
            r.server == began.server && from < r.at && r.at < to && entry_of(r) == Some(entry)
        };
        let within = rejections.iter().filter(is_within).count();
        if record.is_interrupted(entry, began.at, to) || record.is_spoiled(&began.server, to) {
            continue;
        }
        most = most.max(within);
        if within > TOLERATED {
            found.push(format!(
                "{}: asked entry {entry} for a pause and got {within} requests",
                began.server
            ));
        }
    }
    println!("{} rejections with a pause: at most {most} requests in one", rejections.len());
    found
}
