//! A request on its way through this entry, and what its attempts ask for.

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use crate::{
    policy::attempt::{self, AttemptEvent, AttemptState},
    router::{Router, serve::InFlightGuard},
    routing::{Fingerprint, Organisation, Request, Route},
};

/// A request on its way through this entry.
#[derive(Debug)]
pub(crate) struct RequestContext {
    pub(crate) req: Request,
    pub(crate) route: Arc<Route>,
    /// Service that runs it.
    pub(crate) service: Box<str>,
    pub(crate) organisation: Option<Arc<Organisation>>,
    /// When the caller or the route gives up, on the entry's clock as all times here.
    pub(crate) deadline: Duration,
    /// When the next answer has to begin, while an earlier stage's answer is in hand.
    pub(crate) head_deadline: Option<Duration>,
    /// When it arrived.
    pub(crate) arrived_at: Duration,
    /// Counts it as in flight, also while its stream is passed on.
    _in_flight: InFlightGuard,
    pub(crate) attempts: Vec<AttemptState>,
    /// Attempts that may have run.
    pub(crate) runs: u32,
    /// Attempts that reached a server.
    pub(super) deliveries: u32,
    /// Whether a repeated send was taken from the budget and not used yet.
    pub(super) has_retry: bool,
    pub(super) tried_servers: Vec<Box<str>>,
    /// Servers that could not be reached.
    pub(super) unreachable_servers: Vec<Box<str>>,
    /// Whether it is sent once to see whether it still ends servers.
    pub(crate) is_quarantine_trial: bool,
    /// Computed when it is first asked for: most requests never need it.
    fingerprint: OnceLock<Fingerprint>,
}

impl RequestContext {
    pub(crate) fn new(
        req: Request,
        route: Arc<Route>,
        service: Box<str>,
        organisation: Option<Arc<Organisation>>,
        wait: Duration,
        in_flight: InFlightGuard,
    ) -> Self {
        let (attempts, tried_servers) = (Vec::new(), Vec::new());
        Self {
            req,
            route,
            service,
            organisation,
            deadline: in_flight.arrived_at + wait,
            head_deadline: None,
            arrived_at: in_flight.arrived_at,
            _in_flight: in_flight,
            attempts,
            runs: 0,
            deliveries: 0,
            has_retry: false,
            tried_servers,
            unreachable_servers: Vec::new(),
            is_quarantine_trial: false,
            fingerprint: OnceLock::new(),
        }
    }

    /// What it is known by when it comes again.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| Fingerprint::of(&self.req, self.organisation.as_deref()))
    }

    /// Runs that it may still cause.
    pub(crate) fn runs_left(&self) -> u32 {
        self.route.max_attempts.saturating_sub(self.runs)
    }

    pub(crate) fn time_left(&self, router: &Router) -> Duration {
        self.deadline.saturating_sub(router.now())
    }

    /// When servers are waited for no longer.
    pub(super) fn attempt_deadline(&self) -> Duration {
        self.head_deadline.unwrap_or(self.deadline)
    }

    /// Takes a repeated send from the budget, unless one is in hand; false when there is none.
    pub(super) fn take_retry(&mut self, router: &Router) -> bool {
        self.has_retry = self.has_retry || router.take_retry(&self.service);
        self.has_retry
    }

    /// Whether a server could not be reached for this request. With the last one of a service gone, each request
    /// asked it 10 to 12 times within 40 ms, and logged each time, before it was refused.
    pub(super) fn is_unreachable(&self, server: &str) -> bool {
        self.unreachable_servers.iter().any(|unreachable_servers| **unreachable_servers == *server)
    }

    /// The next send in metrics.
    pub(crate) fn send_kind(&self) -> &'static str {
        if self.attempts.is_empty() { "first" } else { "further" }
    }

    pub(super) fn has_tried(&self, server: &str) -> bool {
        self.tried_servers.iter().any(|tried_servers| **tried_servers == *server)
    }

    /// Notes that a repeated send was taken from the budget for what comes next.
    pub(crate) fn mark_retry_taken(&mut self) {
        self.has_retry = true;
    }

    /// Notes that an attempt which had been sent came to nothing.
    pub(crate) fn mark_last_attempt_lost(&mut self) {
        if let Some(last) = self.attempts.last_mut() {
            *last = attempt::advance(*last, AttemptEvent::LinkLost);
        }
    }

    pub(crate) fn priority(&self) -> u8 {
        let of_organisation = self.organisation.as_ref().and_then(|o| o.priority);
        of_organisation.unwrap_or(self.route.priority)
    }
}

/// What an attempt is to ask for.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptParams<'a> {
    /// Model that we chose.
    pub(crate) model: Option<&'a str>,
    /// Last event the caller has.
    pub(crate) last_event: Option<u64>,
}
