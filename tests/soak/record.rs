//! Records what callers and servers observe, and finds the observations that break a promise.

use std::{
    collections::{HashMap, HashSet},
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::{
    site::events,
    unavailable::{self, DrainSpan, Rejection},
};

/// Outcome of a request as its caller observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer.
    Answered { status: u16, body: String, is_signed: bool },
    /// An answer that broke off, with the part of its body that arrived.
    Broken { body: String },
    /// The connection ended without an answer.
    NoAnswer,
    /// The request was never sent.
    NotSent,
    /// The caller stopped waiting for the answer.
    TimedOut,
}

/// A request and its outcome.
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

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    Idempotent,
    NonIdempotent,
    Stream,
}

impl Exchange {
    /// Returns whether the caller got a complete answer with status 200.
    pub fn is_served(&self) -> bool {
        matches!(self.outcome, Outcome::Answered { status: 200, .. })
    }
}

/// Kind of a disruption.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisruptionKind {
    /// Planned work, which must not cut off any answer.
    Planned,
    /// Store faults, which must not cut off any answer either, but may delay changes.
    Store,
    /// Faults of processes, servers and their links.
    Fault,
}

/// A time span in which a disruption affected one entry or all of them.
#[derive(Clone, Debug)]
pub struct DisruptionSpan {
    /// The affected entry; `None` means all entries.
    pub entry: Option<usize>,
    pub kind: DisruptionKind,
    /// Whether the disruption stops, restarts or suspends the entry's process.
    pub interrupts_process: bool,
    pub from: Instant,
    pub to: Instant,
}

/// Time before and after a disruption in which it may still explain a cut-off answer.
const ATTRIBUTION_SLACK: Duration = Duration::from_millis(600);
/// Number of events in a complete stream.
pub const EVENTS_PER_STREAM: u64 = 6;
/// Time after a change in the store until it must be in force if there are no store faults: 2 s, plus 1 s for a
/// busy machine.
pub const CHANGE_PROPAGATION: Duration = Duration::from_secs(3);

/// An execution of a request by a server.
#[derive(Clone, Debug)]
pub struct Execution {
    pub id: String,
    /// Session that the request belongs to.
    pub session: String,
    pub server: String,
    pub service: &'static str,
    pub version: &'static str,
    pub at: Instant,
    /// Whether the server breaks off its answer.
    pub breaks_answer: bool,
    /// What crashes servers if the request does: its body or a part of its prompt.
    pub crash_cause: Option<String>,
}

/// Prefix of the bodies of requests that crash servers.
pub const CRASHING_BODY_PREFIX: &str = "ends whoever runs it";
/// Time after the third crash until all entries must know the crashing request: the smallest value of the
/// deployments.
pub const CONTACT_BOUND: Duration = Duration::from_secs(3);
/// Prefix of prompt parts that crash servers.
pub const CRASHING_PART_PREFIX: &str = "bad";
/// Number of later sends of a crashing request that are allowed.
const MAX_LATE_SENDS: usize = 3;

/// A time span in which a server advertised a rate limit in its answers.
#[derive(Clone, Debug)]
pub struct RateLimitSpan {
    pub server: String,
    /// Requests per second.
    pub rate: f64,
    pub from: Instant,
    pub to: Instant,
}

/// Length of the windows in which arrivals at a rate-limited server are counted.
const RATE_WINDOW: Duration = Duration::from_secs(4);
/// Time after the end of a link's degradation in which delayed requests may still arrive.
const DELAYED_DELIVERY: Duration = Duration::from_secs(1);

/// A time span in which a server was listed as draining or its zone was evacuated.
#[derive(Clone, Debug)]
pub struct ExclusionSpan {
    pub server: String,
    /// When the store had acknowledged the change.
    pub acknowledged_at: Instant,
    /// When the change was reverted.
    pub to: Instant,
}

/// Service for which a roll-out from the old to the new version is ordered.
pub const ROLLED_OUT_SERVICE: &str = "app";
pub const OLD_VERSION: &str = "v1";
pub const NEW_VERSION: &str = "v2";

/// An ordered roll-out to a version without faults.
#[derive(Clone, Copy, Debug)]
pub struct OrderedRollOut {
    pub at: Instant,
    pub within: Duration,
}

/// Time until all entries agree that a session is on the new version: an entry that reads the rows of a roll-out
/// after a restart is up to 250 ms late, and later on a busy machine.
const SESSION_AGREEMENT: Duration = Duration::from_secs(1);

/// All observations of a soak.
#[derive(Debug, Default)]
pub struct Record {
    pub exchanges: Mutex<Vec<Exchange>>,
    pub executions: Mutex<Vec<Execution>>,
    pub disruptions: Mutex<Vec<DisruptionSpan>>,
    pub exclusions: Mutex<Vec<ExclusionSpan>>,
    /// Server and time of all requests that reached servers, including the rejected ones.
    pub arrivals: Mutex<Vec<(String, Instant)>>,
    pub rate_limit_spans: Mutex<Vec<RateLimitSpan>>,
    pub drain_spans: Mutex<Vec<DrainSpan>>,
    pub rejections: Mutex<Vec<Rejection>>,
    /// Servers whose link was degraded, with the begin and end.
    pub degraded_links: Mutex<Vec<(String, Instant, Instant)>>,
    pub roll_out: Mutex<Option<OrderedRollOut>>,
    /// When the key was withdrawn.
    pub key_withdrawn: Mutex<Option<Instant>>,
}

impl Record {
    /// Returns the counts of requests, outcomes and disruptions in one line.
    pub fn summary(&self) -> String {
        let exchanges = self.exchanges.lock().unwrap();
        let count = |is: fn(&Outcome) -> bool| exchanges.iter().filter(|e| is(&e.outcome)).count();
        format!(
            "{} requests, {} served, {} refused or failed, {} broken, {} unanswered, {} disruptions",
            exchanges.len(),
            exchanges.iter().filter(|e| e.is_served()).count(),
            count(|o| matches!(o, Outcome::Answered { status, .. } if *status != 200)),
            count(|o| matches!(o, Outcome::Broken { .. })),
            count(|o| matches!(o, Outcome::NoAnswer)),
            self.disruptions.lock().unwrap().len(),
        )
    }

    /// Describes all broken promises.
    pub fn violations(&self) -> Vec<String> {
        let exchanges = self.exchanges.lock().unwrap();
        let executions = self.executions.lock().unwrap().clone();
        let mut by_id: HashMap<&str, Vec<&Execution>> = HashMap::new();
        executions
            .iter()
            .for_each(|execution| by_id.entry(&execution.id).or_default().push(execution));
        let mut violations = Vec::new();
        let sent_ids: HashSet<&str> = exchanges.iter().map(|e| &*e.id).collect();
        for exchange in exchanges.iter() {
            let executions = by_id.get(&*exchange.id).map_or(&[][..], Vec::as_slice);
            let execution_count = executions.len();
            violations.extend(check_answer(exchange, execution_count));
            violations.extend(self.check_cut_answers(exchange, executions));
            violations.extend(self.check_withdrawn_key(exchange, execution_count));
        }
        for execution in executions.iter().filter(|execution| !sent_ids.contains(&*execution.id)) {
            violations.push(format!("{}: ran, but no caller sent it", execution.id));
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

    /// Checks that no session is moved to the new version in the first half of the roll-out.
    fn check_first_half_of_roll_out(&self, execution: &Execution) -> Option<String> {
        let roll_out = (*self.roll_out.lock().unwrap())?;
        let is_early =
            execution.version == NEW_VERSION && execution.at < roll_out.at + roll_out.within / 2;
        (is_early && self.had_only_planned_work(roll_out.at, execution.at))
            .then(|| format!("{}: ran on the new version in the first half", execution.id))
    }

    /// Checks that a session on the new version stays there, whichever entry serves it.
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

    /// Checks that a request that has crashed three servers, and requests with a part that has crashed five, are sent
    /// at most three more times by entries that are in contact with the others.
    fn check_crashing_requests(
        &self,
        executions: &[Execution],
        exchanges: &[Exchange],
    ) -> Vec<String> {
        let entry_of: HashMap<&str, usize> = exchanges.iter().map(|e| (&*e.id, e.entry)).collect();
        let mut by_cause: HashMap<&str, Vec<&Execution>> = HashMap::new();
        for execution in executions {
            if let Some(cause) = &execution.crash_cause {
                by_cause.entry(cause).or_default().push(execution);
            }
        }
        let is_late = |execution: &&&Execution, last: &Execution| {
            let entry = entry_of.get(&*execution.id);
            execution.at > last.at + CONTACT_BOUND
                && entry.is_some_and(|entry| self.is_in_contact(*entry, execution.at))
        };
        let mut violations = Vec::new();
        for (cause, executions) in by_cause {
            let allowed = if cause.starts_with(CRASHING_PART_PREFIX) { 5 } else { 3 };
            println!("{cause}: {} crashes", executions.len());
            let Some(last) = executions.get(allowed - 1) else { continue };
            let late = executions.iter().filter(|execution| is_late(execution, last)).count();
            if late > MAX_LATE_SENDS {
                violations.push(format!("{cause}: {late} sends late, {} in all", executions.len()));
            }
        }
        violations
    }

    /// Checks that all entries together keep a server's rate limit in every window once they have had time to learn
    /// of it, including entries that were killed, suspended or disconnected meanwhile.
    fn check_rate_limit(&self, span: &RateLimitSpan) -> Option<String> {
        let arrivals = self.arrivals.lock().unwrap();
        let known_from = span.from + CONTACT_BOUND;
        let counted =
            |at: &Instant| known_from <= *at && *at < span.to && !self.may_be_delayed(span, *at);
        let of_server = arrivals.iter().filter(|(server, _)| *server == span.server);
        let at: Vec<Instant> = of_server.map(|(_, at)| *at).filter(counted).collect();
        let within = |from: &Instant| {
            at.iter().filter(|a| *from <= **a && **a < *from + RATE_WINDOW).count()
        };
        let max_in_window = at.iter().map(within).max().unwrap_or(0);
        let allowed = (1.5 * span.rate * RATE_WINDOW.as_secs_f64() + 5.0) as usize;
        let RateLimitSpan { server, rate, .. } = span;
        println!(
            "{server} advertises {rate} requests/s: at most {max_in_window} in 4 s, {allowed} allowed"
        );
        (max_in_window > allowed).then(|| {
            format!("{server} advertises {rate} requests/s and got {max_in_window} in 4 s")
        })
    }

    /// Returns whether a request that arrived at a rate-limited server may have been delayed by its link.
    fn may_be_delayed(&self, span: &RateLimitSpan, at: Instant) -> bool {
        self.was_link_degraded(&span.server, at)
    }

    /// Returns whether the link to a server was degraded at a time or shortly before.
    pub fn was_link_degraded(&self, server: &str, at: Instant) -> bool {
        let degraded_links = self.degraded_links.lock().unwrap();
        let covers = |from: Instant, to: Instant| from <= at && at < to + DELAYED_DELIVERY;
        degraded_links.iter().any(|(degraded, from, to)| *degraded == server && covers(*from, *to))
    }

    /// Returns whether an entry's process was stopped, restarted or suspended between two times.
    pub fn was_interrupted(&self, entry: usize, from: Instant, to: Instant) -> bool {
        let disruptions = self.disruptions.lock().unwrap();
        disruptions
            .iter()
            .any(|d| d.interrupts_process && d.entry == Some(entry) && d.from < to && from < d.to)
    }

    /// Returns whether neither the entry nor the store was disrupted for [`CONTACT_BOUND`] before a time.
    fn is_in_contact(&self, entry: usize, at: Instant) -> bool {
        let disruptions = self.disruptions.lock().unwrap();
        !disruptions.iter().any(|d| {
            let is_relevant = d.entry == Some(entry) || d.kind == DisruptionKind::Store;
            is_relevant && d.from < at && at < d.to + CONTACT_BOUND
        })
    }

    /// Checks that a draining or evacuated server receives no request once the entries must know of the change.
    fn check_excluded_server(&self, execution: &Execution) -> Option<String> {
        let exclusions = self.exclusions.lock().unwrap();
        let is_excluded = |span: &&ExclusionSpan| {
            span.server == execution.server
                && span.acknowledged_at + CHANGE_PROPAGATION < execution.at
                && execution.at < span.to
        };
        let exclusion = exclusions.iter().find(is_excluded)?;
        self.had_only_planned_work(exclusion.acknowledged_at, execution.at).then(|| {
            format!(
                "{}: reached {}, which is draining or evacuated",
                execution.id, execution.server
            )
        })
    }

    /// Records the begin of a disruption; returns its number.
    pub fn begin_disruption(&self, span: DisruptionSpan) -> usize {
        let mut disruptions = self.disruptions.lock().unwrap();
        disruptions.push(span);
        disruptions.len() - 1
    }

    /// Records the end of a disruption.
    pub fn end_disruption(&self, number: usize) {
        self.disruptions.lock().unwrap()[number].to = Instant::now();
    }

    /// Returns whether only planned work was done between two times and for [`CHANGE_PROPAGATION`] before.
    fn had_only_planned_work(&self, from: Instant, to: Instant) -> bool {
        let disruptions = self.disruptions.lock().unwrap();
        !disruptions.iter().any(|d| {
            d.kind != DisruptionKind::Planned && d.from < to && from < d.to + CHANGE_PROPAGATION
        })
    }

    /// Checks that an answer was cut off only by a server or near a fault, not by planned work or a store fault.
    fn check_cut_answers(&self, exchange: &Exchange, executions: &[&Execution]) -> Option<String> {
        // A request that races with the close of its connection and reaches no server may be lost.
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
                "{}: cut off without a fault: {:?} at entry {}",
                exchange.id, exchange.outcome, exchange.entry
            )
        })
    }

    /// Checks that no request runs with a withdrawn key.
    fn check_withdrawn_key(&self, exchange: &Exchange, execution_count: usize) -> Option<String> {
        let withdrawn = (*self.key_withdrawn.lock().unwrap())?;
        let is_late =
            exchange.key == WITHDRAWN_KEY && exchange.sent > withdrawn + CHANGE_PROPAGATION;
        let had_only_planned_work = self.had_only_planned_work(withdrawn, exchange.ended);
        (is_late && had_only_planned_work && execution_count > 0)
            .then(|| format!("{}: ran with a withdrawn key", exchange.id))
    }
}

/// Header of requests that the servers don't take; its value is a number.
pub const ODD_HEADER: &str = "x-odd";
/// The key that is withdrawn during the soak.
pub const WITHDRAWN_KEY: &str = "key-2";

/// Checks an answer against what the servers ran.
fn check_answer(exchange: &Exchange, execution_count: usize) -> Vec<String> {
    let id = &exchange.id;
    let mut violations = Vec::new();
    if exchange.kind == RequestKind::NonIdempotent && execution_count > 1 {
        violations.push(format!("{id}: ran {execution_count} times, may run once"));
    }
    match &exchange.outcome {
        Outcome::Answered { status: 200, body, is_signed } => {
            if !is_signed || execution_count == 0 {
                violations.push(format!("{id}: answered with a success that no server sent"));
            }
            let wanted = match exchange.kind {
                RequestKind::Stream => events(EVENTS_PER_STREAM),
                _ => id.clone(),
            };
            if *body != wanted {
                violations.push(format!("{id}: wrong body {body:?}"));
            }
        }
        Outcome::Answered { status: 408 | 421 | 429 | 503, .. }
            if exchange.kind == RequestKind::NonIdempotent && execution_count > 0 =>
        {
            violations.push(format!("{id}: answered as not run although it ran"));
        }
        Outcome::Broken { body }
            if exchange.kind == RequestKind::Stream
                && !events(EVENTS_PER_STREAM).starts_with(body.as_str()) =>
        {
            violations.push(format!("{id}: wrong body {body:?} in a broken stream"));
        }
        _ => {}
    }
    violations
}
