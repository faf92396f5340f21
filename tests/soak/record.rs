//! What callers and servers saw, and what of it breaks a promise.

use std::{
    collections::{HashMap, HashSet},
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::{
    site::events,
    unavailable::{self, Draining, Rejection},
};

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer.
    Answered { status: u16, body: String, is_signed: bool },
    /// An answer that broke off; what came of its body.
    Broken { body: String },
    /// The connection ended without an answer.
    NoAnswer,
    /// The request was never sent.
    NotSent,
    /// The caller gave up on it.
    GaveUp,
}

/// One request and what became of it.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub id: String,
    pub kind: Kind,
    pub entry: usize,
    pub key: &'static str,
    pub sent: Instant,
    pub ended: Instant,
    pub outcome: Outcome,
}

/// Kinds of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Idempotent,
    OnceOnly,
    Stream,
}

impl Exchange {
    pub fn is_served(&self) -> bool {
        matches!(self.outcome, Outcome::Answered { status: 200, .. })
    }
}

/// What was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// Planned work, which must cut nothing off.
    Planned,
    /// Trouble with the store, which must cut nothing off either, but may delay changes.
    Store,
    /// Processes and servers that fail.
    Fault,
}

/// A span in which something was done to an entry or to everything.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// None: all entries.
    pub entry: Option<usize>,
    pub what: What,
    /// Whether it stops, restarts or suspends the entry's process.
    pub interrupts: bool,
    pub from: Instant,
    pub to: Instant,
}

/// Time before and after a disturbance that it may still explain.
const SLACK: Duration = Duration::from_millis(600);
/// Events of every whole stream.
pub const EVENTS: u64 = 6;
/// Time after a change in the store in which it must be in force, with the store at rest: 2 s, and
/// a second for a machine that is busy.
pub const IN_FORCE: Duration = Duration::from_secs(3);

/// A run of a request at a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    /// Session the request belongs to.
    pub session: String,
    pub server: String,
    pub service: &'static str,
    pub version: &'static str,
    pub at: Instant,
    /// Whether the server breaks its answer off.
    pub breaks: bool,
    /// The request that ends servers, if it is one.
    pub crashing: Option<String>,
}

/// Begin of the bodies that end servers.
pub const CRASHING: &str = "ends whoever runs it";
/// Time after the third end in which all entries have to know; the deployments' least.
pub const CONTACT: Duration = Duration::from_secs(3);
/// Sends after that which are allowed.
const ALLOWED: usize = 3;

/// A span in which a server named a limit in its answers.
#[derive(Clone, Debug)]
pub struct RateLimited {
    pub server: String,
    /// Requests a second.
    pub rate: f64,
    pub from: Instant,
    pub to: Instant,
}

/// Length of the windows in which arrivals at a rate-limited server are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time for which a way that was spoiled may still deliver what it held up.
const HELD_UP: Duration = Duration::from_secs(1);

/// A server that was listed as leaving.
#[derive(Clone, Debug)]
pub struct Barred {
    pub server: String,
    /// When the store had acknowledged it.
    pub acknowledged: Instant,
    /// Until when it was so.
    pub to: Instant,
}

/// The service that is rolled out, and its versions.
pub const ROLLED_OUT: &str = "app";
pub const OLD: &str = "v1";
pub const NEW: &str = "v2";

/// A good roll-out that was ordered.
#[derive(Clone, Copy, Debug)]
pub struct Ordered {
    pub at: Instant,
    pub within: Duration,
}

/// Time in which entries come to agree that a session is on the new version: the lines of a roll-out
/// that an entry reads after a restart are up to 250 ms late, and a machine that is busy is later.
const AGREED: Duration = Duration::from_secs(1);

/// Everything that was seen.
#[derive(Debug, Default)]
pub struct Record {
    pub exchanges: Mutex<Vec<Exchange>>,
    pub runs: Mutex<Vec<Run>>,
    pub disturbances: Mutex<Vec<Disturbance>>,
    pub barred: Mutex<Vec<Barred>>,
    /// What reached servers, whatever they did with it.
    pub arrivals: Mutex<Vec<(String, Instant)>>,
    pub rate_limited: Mutex<Vec<RateLimited>>,
    pub draining: Mutex<Vec<Draining>>,
    pub rejections: Mutex<Vec<Rejection>>,
    /// Servers whose way was spoiled, from when to when.
    pub spoiled: Mutex<Vec<(String, Instant, Instant)>>,
    pub ordered: Mutex<Option<Ordered>>,
    /// From when a withdrawn key must not be taken.
    pub key_withdrawn: Mutex<Option<Instant>>,
}

impl Record {
    /// What was asked and answered, in one line.
    pub fn summary(&self) -> String {
        let exchanges = self.exchanges.lock().unwrap();
        let count = |is: fn(&Outcome) -> bool| exchanges.iter().filter(|e| is(&e.outcome)).count();
        format!(
            "{} requests, {} served, {} refused or failed, {} broken, {} unanswered, {} deeds",
            exchanges.len(),
            exchanges.iter().filter(|e| e.is_served()).count(),
            count(|o| matches!(o, Outcome::Answered { status, .. } if *status != 200)),
            count(|o| matches!(o, Outcome::Broken { .. })),
            count(|o| matches!(o, Outcome::NoAnswer)),
            self.disturbances.lock().unwrap().len(),
        )
    }

    /// All broken promises, in words.
    pub fn findings(&self) -> Vec<String> {
        let exchanges = self.exchanges.lock().unwrap();
        let runs = self.runs.lock().unwrap().clone();
        let mut by_id: HashMap<&str, Vec<&Run>> = HashMap::new();
        runs.iter().for_each(|run| by_id.entry(&run.id).or_default().push(run));
        let mut found = Vec::new();
        let asked: HashSet<&str> = exchanges.iter().map(|e| &*e.id).collect();
        for exchange in exchanges.iter() {
            let runs = by_id.get(&*exchange.id).map_or(&[][..], Vec::as_slice);
            let ran = runs.len();
            found.extend(check_answer(exchange, ran));
            found.extend(self.check_stop(exchange, runs));
            found.extend(self.check_key(exchange, ran));
        }
        for run in runs.iter().filter(|run| !asked.contains(&*run.id)) {
            found.push(format!("{}: ran, but nobody asked for it", run.id));
        }
        found.extend(runs.iter().filter_map(|run| self.check_leaving(run)));
        found.extend(runs.iter().filter_map(|run| self.check_first_half(run)));
        found.extend(self.check_moved_back(&runs));
        found.extend(self.check_crashing(&runs, &exchanges));
        found.extend(
            self.rate_limited
                .lock()
                .unwrap()
                .iter()
                .filter_map(|limited| self.check_rate_limit(limited)),
        );
        found.extend(unavailable::findings(self, &exchanges));
        found
    }

    /// In the first half of a roll-out no session is moved to the new version.
    fn check_first_half(&self, run: &Run) -> Option<String> {
        let ordered = (*self.ordered.lock().unwrap())?;
        let is_early = run.version == NEW && run.at < ordered.at + ordered.within / 2;
        (is_early && self.is_calm(ordered.at, run.at))
            .then(|| format!("{}: ran on the new version in the first half", run.id))
    }

    /// A session that is on the new version stays there, whichever entry serves it.
    fn check_moved_back(&self, runs: &[Run]) -> Vec<String> {
        let Some(ordered) = *self.ordered.lock().unwrap() else {
            return Vec::new();
        };
        let mut on_new: HashMap<&str, Instant> = HashMap::new();
        for run in runs.iter().filter(|run| run.version == NEW) {
            on_new.entry(&run.session).or_insert(run.at);
        }
        let is_back = |run: &&Run| {
            let since = on_new.get(&*run.session);
            run.service == ROLLED_OUT
                && run.version == OLD
                && since.is_some_and(|since| *since + AGREED < run.at)
                && self.is_calm(ordered.at, run.at)
        };
        let describe = |run: &Run| format!("{}: its session was moved back", run.id);
        runs.iter().filter(is_back).map(describe).collect()
    }

    /// A request under which three servers ended reaches three more at most, from entries at rest.
    fn check_crashing(&self, runs: &[Run], exchanges: &[Exchange]) -> Vec<String> {
        let entry_of: HashMap<&str, usize> = exchanges.iter().map(|e| (&*e.id, e.entry)).collect();
        let mut of_body: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in runs {
            if let Some(body) = &run.crashing {
                of_body.entry(body).or_default().push(run);
            }
        }
        let is_late = |run: &&&Run, third: &Run| {
            let entry = entry_of.get(&*run.id);
            run.at > third.at + CONTACT
                && entry.is_some_and(|entry| self.is_in_touch(*entry, run.at))
        };
        let mut found = Vec::new();
        for (body, runs) in of_body {
            let Some(third) = runs.get(2) else { continue };
            let late = runs.iter().filter(|run| is_late(run, third)).count();
            if late > ALLOWED {
                found.push(format!("{body}: {late} sends late, {} in all", runs.len()));
            }
        }
        found
    }

    /// A rate-limited server gets no more than is allowed in any window, from all entries together, once all have had
    /// time to know: those that were killed, paused or cut meanwhile as well.
    fn check_rate_limit(&self, limited: &RateLimited) -> Option<String> {
        let arrivals = self.arrivals.lock().unwrap();
        let known = limited.from + CONTACT;
        let counted =
            |at: &Instant| known <= *at && *at < limited.to && !self.is_held_up(limited, *at);
        let of_server = arrivals.iter().filter(|(server, _)| *server == limited.server);
        let at: Vec<Instant> = of_server.map(|(_, at)| *at).filter(counted).collect();
        let within =
            |from: &Instant| at.iter().filter(|a| *from <= **a && **a < *from + WINDOW).count();
        let most = at.iter().map(within).max().unwrap_or(0);
        let allowed = (1.5 * limited.rate * WINDOW.as_secs_f64() + 5.0) as usize;
        let RateLimited { server, rate, .. } = limited;
        println!(
            "{server} advertises {rate} a second: at most {most} in 4 s, {allowed} are allowed"
        );
        (most > allowed)
            .then(|| format!("{server} advertises {rate} a second and got {most} in 4 s"))
    }

    /// Whether what arrived at a server then may have been held up on its way.
    fn is_held_up(&self, limited: &RateLimited, at: Instant) -> bool {
        self.is_spoiled(&limited.server, at)
    }

    /// Whether the way to a server was spoiled then or shortly before.
    pub fn is_spoiled(&self, server: &str, at: Instant) -> bool {
        let spoiled = self.spoiled.lock().unwrap();
        let is_hit = |from: Instant, to: Instant| from <= at && at < to + HELD_UP;
        spoiled.iter().any(|(spoiled, from, to)| *spoiled == server && is_hit(*from, *to))
    }

    /// Whether an entry's process was stopped, restarted or suspended between two times.
    pub fn is_interrupted(&self, entry: usize, from: Instant, to: Instant) -> bool {
        let all = self.disturbances.lock().unwrap();
        all.iter().any(|d| d.interrupts && d.entry == Some(entry) && d.from < to && from < d.to)
    }

    /// Whether nothing was done to an entry or the store for long enough before.
    fn is_in_touch(&self, entry: usize, at: Instant) -> bool {
        let all = self.disturbances.lock().unwrap();
        !all.iter().any(|d| {
            let concerns = d.entry == Some(entry) || d.what == What::Store;
            concerns && d.from < at && at < d.to + CONTACT
        })
    }

    /// A server that leaves gets nothing once that must be known.
    fn check_leaving(&self, run: &Run) -> Option<String> {
        let barred = self.barred.lock().unwrap();
        let is_hit = |b: &&Barred| {
            b.server == run.server && b.acknowledged + IN_FORCE < run.at && run.at < b.to
        };
        let hit = barred.iter().find(is_hit)?;
        self.is_calm(hit.acknowledged, run.at)
            .then(|| format!("{}: reached {} though it leaves", run.id, run.server))
    }

    /// Notes that something is done, from now on.
    pub fn begin(&self, disturbance: Disturbance) -> usize {
        let mut all = self.disturbances.lock().unwrap();
        all.push(disturbance);
        all.len() - 1
    }

    /// Notes that it is over.
    pub fn end(&self, number: usize) {
        self.disturbances.lock().unwrap()[number].to = Instant::now();
    }

    /// Whether nothing but planned work was done from shortly before one time to another.
    fn is_calm(&self, from: Instant, to: Instant) -> bool {
        let all = self.disturbances.lock().unwrap();
        !all.iter().any(|d| d.what != What::Planned && d.from < to && from < d.to + IN_FORCE)
    }

    /// A planned stop, reload or change cuts off nothing.
    fn check_stop(&self, exchange: &Exchange, runs: &[&Run]) -> Option<String> {
        // A request that crosses the end of its connection and reaches nobody may be lost.
        let is_cut = match exchange.outcome {
            Outcome::Broken { .. } => true,
            Outcome::NoAnswer => !runs.is_empty(),
            _ => false,
        };
        // A server may break off the last attempt that the route allows.
        let is_servers_own = runs.last().is_some_and(|run| run.breaks);
        if !is_cut || is_servers_own {
            return None;
        }
        let disturbances = self.disturbances.lock().unwrap();
        let mut near = disturbances.iter().filter(|d| {
            d.entry.is_none_or(|entry| entry == exchange.entry)
                && d.from < exchange.ended + SLACK
                && exchange.sent < d.to + SLACK
        });
        let is_explained = near.any(|d| d.what == What::Fault);
        (!is_explained).then(|| {
            format!(
                "{}: {:?} at entry {} without a fault",
                exchange.id, exchange.outcome, exchange.entry
            )
        })
    }

    /// A key that was withdrawn opens nothing.
    fn check_key(&self, exchange: &Exchange, ran: usize) -> Option<String> {
        let withdrawn = (*self.key_withdrawn.lock().unwrap())?;
        let is_late = exchange.key == WITHDRAWN_KEY && exchange.sent > withdrawn + IN_FORCE;
        let is_calm = self.is_calm(withdrawn, exchange.ended);
        (is_late && is_calm && ran > 0)
            .then(|| format!("{}: ran with a withdrawn key", exchange.id))
    }
}

/// The key that is withdrawn midway.
pub const WITHDRAWN_KEY: &str = "key-2";

fn check_answer(exchange: &Exchange, ran: usize) -> Vec<String> {
    let id = &exchange.id;
    let mut found = Vec::new();
    if exchange.kind == Kind::OnceOnly && ran > 1 {
        found.push(format!("{id}: ran {ran} times, may run once"));
    }
    match &exchange.outcome {
        Outcome::Answered { status: 200, body, is_signed } => {
            if !is_signed || ran == 0 {
                found.push(format!("{id}: a success that no server gave"));
            }
            let wanted = match exchange.kind {
                Kind::Stream => events(EVENTS),
                _ => id.clone(),
            };
            if *body != wanted {
                found.push(format!("{id}: got {body:?}"));
            }
        }
        Outcome::Answered { status: 408 | 421 | 429 | 503, .. }
            if exchange.kind == Kind::OnceOnly && ran > 0 =>
        {
            found.push(format!("{id}: answered as not run, and it ran"));
        }
        Outcome::Broken { body }
            if exchange.kind == Kind::Stream && !events(EVENTS).starts_with(body.as_str()) =>
        {
            found.push(format!("{id}: got {body:?} of a broken stream"));
        }
        _ => {}
    }
    found
}
