//! What callers and servers saw, and what of it breaks a promise.

use std::{
    collections::{HashMap, HashSet},
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::{
    site::events,
    unavailable::{self, DrainSpan, Rejection},
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
    TimedOut,
}

/// One request and what became of it.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub id: String,
    pub kind: RequestKind,
    pub entry: usize,
    pub key: &'static str,
    pub sent: Instant,
    pub ended: Instant,
    pub outcome: Outcome,
}

/// Kinds of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    Idempotent,
    NonIdempotent,
    Stream,
}

impl Exchange {
    pub fn is_served(&self) -> bool {
        matches!(self.outcome, Outcome::Answered { status: 200, .. })
    }
}

/// What was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisruptionKind {
    /// Planned work, which must cut nothing off.
    Planned,
    /// Trouble with the store, which must cut nothing off either, but may delay changes.
    Store,
    /// Processes and servers that fail.
    Fault,
}

/// A span in which something was done to an entry or to everything.
#[derive(Clone, Debug)]
pub struct DisruptionSpan {
    /// None: all entries.
    pub entry: Option<usize>,
    pub kind: DisruptionKind,
    /// Whether it stops, restarts or suspends the entry's process.
    pub interrupts_process: bool,
    pub from: Instant,
    pub to: Instant,
}

/// Time before and after a disturbance that it may still explain.
const ATTRIBUTION_SLACK: Duration = Duration::from_millis(600);
/// Events of every whole stream.
pub const EVENTS_PER_STREAM: u64 = 6;
/// Time after a change in the store in which it must be in force, with the store at rest: 2 s, and
/// a second for a machine that is busy.
pub const CHANGE_PROPAGATION: Duration = Duration::from_secs(3);

/// A run of a request at a server.
#[derive(Clone, Debug)]
pub struct Execution {
    pub id: String,
    /// Session the request belongs to.
    pub session: String,
    pub server: String,
    pub service: &'static str,
    pub version: &'static str,
    pub at: Instant,
    /// Whether the server breaks its answer off.
    pub breaks_answer: bool,
    /// The request that ends servers, if it is one.
    pub crashing_body: Option<String>,
}

/// Begin of the bodies that end servers.
pub const CRASHING_BODY_PREFIX: &str = "ends whoever runs it";
/// Time after the third end in which all entries have to know; the deployments' least.
pub const CONTACT_BOUND: Duration = Duration::from_secs(3);
/// Sends after that which are allowed.
const MAX_LATE_SENDS: usize = 3;

/// A span in which a server named a limit in its answers.
#[derive(Clone, Debug)]
pub struct RateLimitSpan {
    pub server: String,
    /// Requests a second.
    pub rate: f64,
    pub from: Instant,
    pub to: Instant,
}

/// Length of the windows in which arrivals at a rate-limited server are counted.
const RATE_WINDOW: Duration = Duration::from_secs(4);
/// Time for which a way that was spoiled may still deliver what it held up.
const DELAYED_DELIVERY: Duration = Duration::from_secs(1);

/// A server that was listed as leaving.
#[derive(Clone, Debug)]
pub struct ExclusionSpan {
    pub server: String,
    /// When the store had acknowledged it.
    pub acknowledged_at: Instant,
    /// Until when it was so.
    pub to: Instant,
}

/// The service that is rolled out, and its versions.
pub const ROLLED_OUT_SERVICE: &str = "app";
pub const OLD_VERSION: &str = "v1";
pub const NEW_VERSION: &str = "v2";

/// A good roll-out that was ordered.
#[derive(Clone, Copy, Debug)]
pub struct OrderedRollOut {
    pub at: Instant,
    pub within: Duration,
}

/// Time in which entries come to agree that a session is on the new version: the lines of a roll-out
/// that an entry reads after a restart are up to 250 ms late, and a machine that is busy is later.
const SESSION_AGREEMENT: Duration = Duration::from_secs(1);

/// Everything that was seen.
#[derive(Debug, Default)]
pub struct Record {
    pub exchanges: Mutex<Vec<Exchange>>,
    pub executions: Mutex<Vec<Execution>>,
    pub disruptions: Mutex<Vec<DisruptionSpan>>,
    pub exclusions: Mutex<Vec<ExclusionSpan>>,
    /// What reached servers, whatever they did with it.
    pub arrivals: Mutex<Vec<(String, Instant)>>,
    pub rate_limit_spans: Mutex<Vec<RateLimitSpan>>,
    pub drain_spans: Mutex<Vec<DrainSpan>>,
    pub rejections: Mutex<Vec<Rejection>>,
    /// Servers whose way was spoiled, from when to when.
    pub degraded_links: Mutex<Vec<(String, Instant, Instant)>>,
    pub roll_out: Mutex<Option<OrderedRollOut>>,
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
            self.disruptions.lock().unwrap().len(),
        )
    }

    /// All broken promises, in words.
    pub fn violations(&self) -> Vec<String> {
        let exchanges = self.exchanges.lock().unwrap();
        let executions = self.executions.lock().unwrap().clone();
        let mut by_id: HashMap<&str, Vec<&Execution>> = HashMap::new();
        executions
            .iter()
            .for_each(|execution| by_id.entry(&execution.id).or_default().push(execution));
        let mut violations = Vec::new();
        let asked: HashSet<&str> = exchanges.iter().map(|e| &*e.id).collect();
        for exchange in exchanges.iter() {
            let executions = by_id.get(&*exchange.id).map_or(&[][..], Vec::as_slice);
            let execution_count = executions.len();
            violations.extend(check_answer(exchange, execution_count));
            violations.extend(self.check_cut_answers(exchange, executions));
            violations.extend(self.check_withdrawn_key(exchange, execution_count));
        }
        for execution in executions.iter().filter(|execution| !asked.contains(&*execution.id)) {
            violations.push(format!("{}: ran, but nobody asked for it", execution.id));
        }
        violations.extend(
            executions.iter().filter_map(|execution| self.check_excluded_server(execution)),
        );
        violations.extend(
            executions.iter().filter_map(|execution| self.check_first_half_of_roll_out(execution)),
        );
        violations.extend(self.check_sessions_moved_back(&executions));
        violations.extend(self.check_crashing_requests(&executions, &exchanges));
        violations.extend(
            self.rate_limit_spans
                .lock()
                .unwrap()
                .iter()
                .filter_map(|span| self.check_rate_limit(span)),
        );
        violations.extend(unavailable::violations(self, &exchanges));
        violations
    }

    /// In the first half of a roll-out no session is moved to the new version.
    fn check_first_half_of_roll_out(&self, execution: &Execution) -> Option<String> {
        let roll_out = (*self.roll_out.lock().unwrap())?;
        let is_early =
            execution.version == NEW_VERSION && execution.at < roll_out.at + roll_out.within / 2;
        (is_early && self.had_only_planned_work(roll_out.at, execution.at))
            .then(|| format!("{}: ran on the new version in the first half", execution.id))
    }

    /// A session that is on the new version stays there, whichever entry serves it.
    fn check_sessions_moved_back(&self, executions: &[Execution]) -> Vec<String> {
        let Some(roll_out) = *self.roll_out.lock().unwrap() else {
            return Vec::new();
        };
        let mut on_new_since: HashMap<&str, Instant> = HashMap::new();
        for execution in executions.iter().filter(|execution| execution.version == NEW_VERSION) {
            on_new_since.entry(&execution.session).or_insert(execution.at);
        }
        let is_back = |execution: &&Execution| {
            let since = on_new_since.get(&*execution.session);
            execution.service == ROLLED_OUT_SERVICE
                && execution.version == OLD_VERSION
                && since.is_some_and(|since| *since + SESSION_AGREEMENT < execution.at)
                && self.had_only_planned_work(roll_out.at, execution.at)
        };
        let describe =
            |execution: &Execution| format!("{}: its session was moved back", execution.id);
        executions.iter().filter(is_back).map(describe).collect()
    }

    /// A request under which three servers ended reaches three more at most, from entries at rest.
    fn check_crashing_requests(
        &self,
        executions: &[Execution],
        exchanges: &[Exchange],
    ) -> Vec<String> {
        let entry_of: HashMap<&str, usize> = exchanges.iter().map(|e| (&*e.id, e.entry)).collect();
        let mut by_body: HashMap<&str, Vec<&Execution>> = HashMap::new();
        for execution in executions {
            if let Some(body) = &execution.crashing_body {
                by_body.entry(body).or_default().push(execution);
            }
        }
        let is_late = |execution: &&&Execution, third: &Execution| {
            let entry = entry_of.get(&*execution.id);
            execution.at > third.at + CONTACT_BOUND
                && entry.is_some_and(|entry| self.is_in_contact(*entry, execution.at))
        };
        let mut violations = Vec::new();
        for (body, executions) in by_body {
            let Some(third) = executions.get(2) else { continue };
            let late = executions.iter().filter(|execution| is_late(execution, third)).count();
            if late > MAX_LATE_SENDS {
                violations.push(format!("{body}: {late} sends late, {} in all", executions.len()));
            }
        }
        violations
    }

    /// A rate-limited server gets no more than is allowed in any window, from all entries together, once all have had
    /// time to know: those that were killed, paused or cut meanwhile as well.
    fn check_rate_limit(&self, span: &RateLimitSpan) -> Option<String> {
        let arrivals = self.arrivals.lock().unwrap();
        let known = span.from + CONTACT_BOUND;
        let counted =
            |at: &Instant| known <= *at && *at < span.to && !self.may_be_delayed(span, *at);
        let of_server = arrivals.iter().filter(|(server, _)| *server == span.server);
        let at: Vec<Instant> = of_server.map(|(_, at)| *at).filter(counted).collect();
        let within = |from: &Instant| {
            at.iter().filter(|a| *from <= **a && **a < *from + RATE_WINDOW).count()
        };
        let max_in_window = at.iter().map(within).max().unwrap_or(0);
        let allowed = (1.5 * span.rate * RATE_WINDOW.as_secs_f64() + 5.0) as usize;
        let RateLimitSpan { server, rate, .. } = span;
        println!(
            "{server} advertises {rate} a second: at most {max_in_window} in 4 s, {allowed} are allowed"
        );
        (max_in_window > allowed)
            .then(|| format!("{server} advertises {rate} a second and got {max_in_window} in 4 s"))
    }

    /// Whether what arrived at a server then may have been held up on its way.
    fn may_be_delayed(&self, span: &RateLimitSpan, at: Instant) -> bool {
        self.was_link_degraded(&span.server, at)
    }

    /// Whether the way to a server was spoiled then or shortly before.
    pub fn was_link_degraded(&self, server: &str, at: Instant) -> bool {
        let degraded_links = self.degraded_links.lock().unwrap();
        let covers = |from: Instant, to: Instant| from <= at && at < to + DELAYED_DELIVERY;
        degraded_links.iter().any(|(degraded, from, to)| *degraded == server && covers(*from, *to))
    }

    /// Whether an entry's process was stopped, restarted or suspended between two times.
    pub fn was_interrupted(&self, entry: usize, from: Instant, to: Instant) -> bool {
        let disruptions = self.disruptions.lock().unwrap();
        disruptions
            .iter()
            .any(|d| d.interrupts_process && d.entry == Some(entry) && d.from < to && from < d.to)
    }

    /// Whether nothing was done to an entry or the store for long enough before.
    fn is_in_contact(&self, entry: usize, at: Instant) -> bool {
        let disruptions = self.disruptions.lock().unwrap();
        !disruptions.iter().any(|d| {
            let is_relevant = d.entry == Some(entry) || d.kind == DisruptionKind::Store;
            is_relevant && d.from < at && at < d.to + CONTACT_BOUND
        })
    }

    /// A server that leaves gets nothing once that must be known.
    fn check_excluded_server(&self, execution: &Execution) -> Option<String> {
        let exclusions = self.exclusions.lock().unwrap();
        let is_excluded = |span: &&ExclusionSpan| {
            span.server == execution.server
                && span.acknowledged_at + CHANGE_PROPAGATION < execution.at
                && execution.at < span.to
        };
        let exclusion = exclusions.iter().find(is_excluded)?;
        self.had_only_planned_work(exclusion.acknowledged_at, execution.at)
            .then(|| format!("{}: reached {} though it leaves", execution.id, execution.server))
    }

    /// Notes that something is done, from now on.
    pub fn begin_disruption(&self, span: DisruptionSpan) -> usize {
        let mut disruptions = self.disruptions.lock().unwrap();
        disruptions.push(span);
        disruptions.len() - 1
    }

    /// Notes that it is over.
    pub fn end_disruption(&self, number: usize) {
        self.disruptions.lock().unwrap()[number].to = Instant::now();
    }

    /// Whether nothing but planned work was done from shortly before one time to another.
    fn had_only_planned_work(&self, from: Instant, to: Instant) -> bool {
        let disruptions = self.disruptions.lock().unwrap();
        !disruptions.iter().any(|d| {
            d.kind != DisruptionKind::Planned && d.from < to && from < d.to + CHANGE_PROPAGATION
        })
    }

    /// A planned stop, reload or change cuts off nothing.
    fn check_cut_answers(&self, exchange: &Exchange, executions: &[&Execution]) -> Option<String> {
        // A request that crosses the end of its connection and reaches nobody may be lost.
        let is_cut = match exchange.outcome {
            Outcome::Broken { .. } => true,
            Outcome::NoAnswer => !executions.is_empty(),
            _ => false,
        };
        // A server may break off the last attempt that the route allows.
        let is_broken_by_server =
            executions.last().is_some_and(|execution| execution.breaks_answer);
        if !is_cut || is_broken_by_server {
            return None;
        }
        let disruptions = self.disruptions.lock().unwrap();
        let mut overlapping = disruptions.iter().filter(|d| {
            d.entry.is_none_or(|entry| entry == exchange.entry)
                && d.from < exchange.ended + ATTRIBUTION_SLACK
                && exchange.sent < d.to + ATTRIBUTION_SLACK
        });
        let is_explained = overlapping.any(|d| d.kind == DisruptionKind::Fault);
        (!is_explained).then(|| {
            format!(
                "{}: {:?} at entry {} without a fault",
                exchange.id, exchange.outcome, exchange.entry
            )
        })
    }

    /// A key that was withdrawn opens nothing.
    fn check_withdrawn_key(&self, exchange: &Exchange, execution_count: usize) -> Option<String> {
        let withdrawn = (*self.key_withdrawn.lock().unwrap())?;
        let is_late =
            exchange.key == WITHDRAWN_KEY && exchange.sent > withdrawn + CHANGE_PROPAGATION;
        let had_only_planned_work = self.had_only_planned_work(withdrawn, exchange.ended);
        (is_late && had_only_planned_work && execution_count > 0)
            .then(|| format!("{}: ran with a withdrawn key", exchange.id))
    }
}

/// The key that is withdrawn midway.
pub const WITHDRAWN_KEY: &str = "key-2";

fn check_answer(exchange: &Exchange, execution_count: usize) -> Vec<String> {
    let id = &exchange.id;
    let mut violations = Vec::new();
    if exchange.kind == RequestKind::NonIdempotent && execution_count > 1 {
        violations.push(format!("{id}: ran {execution_count} times, may run once"));
    }
    match &exchange.outcome {
        Outcome::Answered { status: 200, body, is_signed } => {
            if !is_signed || execution_count == 0 {
                violations.push(format!("{id}: a success that no server gave"));
            }
            let wanted = match exchange.kind {
                RequestKind::Stream => events(EVENTS_PER_STREAM),
                _ => id.clone(),
            };
            if *body != wanted {
                violations.push(format!("{id}: got {body:?}"));
            }
        }
        Outcome::Answered { status: 408 | 421 | 429 | 503, .. }
            if exchange.kind == RequestKind::NonIdempotent && execution_count > 0 =>
        {
            violations.push(format!("{id}: answered as not run, and it ran"));
        }
        Outcome::Broken { body }
            if exchange.kind == RequestKind::Stream
                && !events(EVENTS_PER_STREAM).starts_with(body.as_str()) =>
        {
            violations.push(format!("{id}: got {body:?} of a broken stream"));
        }
        _ => {}
    }
    violations
}
