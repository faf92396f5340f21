//! The state of one request while this entry handles it, and the parameters of its attempts.

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use crate::{
    policy::{attempt_log::AttemptLog, misdirected_by::MisdirectedBy, quarantine::Suspect},
    router::{
        Router, quarantine::quarantine_trial::QuarantineTrial, request::in_flight::InFlightGuard,
    },
    routing::{Fingerprint, Organisation, PartId, Request, Route},
};

/// Maximum number of prompt parts in a log line; prompts have two to five.
const MAX_LOGGED_PARTS: usize = 8;
/// Maximum number of prompt parts of one request that are suspected, so that the caller can't exhaust the memory.
const MAX_SUSPECT_PARTS: usize = 32;

/// A request that is being handled, with the record of its attempts.
#[derive(Debug)]
pub(crate) struct RequestContext {
    pub(crate) req: Request,
    pub(crate) route: Arc<Route>,
    /// Service that runs the request.
    pub(crate) service: Box<str>,
    pub(crate) organisation: Option<Arc<Organisation>>,
    /// When the timeout of the caller or the route ends. This and the other times are on the entry's clock.
    pub(crate) deadline: Duration,
    /// When the response of a larger model has to begin, while that of an earlier cascade stage is held as a
    /// fallback.
    pub(crate) head_deadline: Option<Duration>,
    /// When the request arrived.
    pub(crate) arrived_at: Duration,
    /// Counts the request as in flight until its response has been relayed.
    pub(crate) in_flight: InFlightGuard,
    pub(crate) attempts: AttemptLog,
    /// Attempts that may have run on a server.
    pub(crate) runs: u32,
    /// Whether the current attempt repeats one that failed.
    pub(crate) is_repeat: bool,
    /// Attempts that reached a server.
    pub(crate) deliveries: u32,
    /// Whether a retry was taken from the budget and not used yet.
    pub(crate) has_retry: bool,
    pub(crate) tried_servers: Vec<Box<str>>,
    /// Servers that could not be reached.
    pub(crate) unreachable_servers: Vec<Box<str>>,
    /// Servers at whose addresses the request was rejected with status 421, and by whom.
    pub(crate) misdirected: Vec<(Box<str>, MisdirectedBy)>,
    /// Set if this is a trial of a quarantined request: it is run once to see whether it still crashes servers.
    pub(crate) quarantine_trial: Option<QuarantineTrial>,
    /// Computed on first use, since most requests never need them.
    suspects: OnceLock<Arc<[Suspect]>>,
    /// When the first run began that a server has confirmed; usage counts requests, not runs.
    first_run_at: OnceLock<Duration>,
}

impl RequestContext {
    pub(crate) fn new(
        req: Request,
        route: Arc<Route>,
        service: Box<str>,
        organisation: Option<Arc<Organisation>>,
        deadline: Duration,
        in_flight: InFlightGuard,
    ) -> Self {
        Self {
            req,
            route,
            service,
            organisation,
            deadline,
            head_deadline: None,
            arrived_at: in_flight.arrived_at,
            in_flight,
            attempts: AttemptLog::default(),
            runs: 0,
            is_repeat: false,
            deliveries: 0,
            has_retry: false,
            tried_servers: Vec::new(),
            unreachable_servers: Vec::new(),
            misdirected: Vec::new(),
            quarantine_trial: None,
            suspects: OnceLock::new(),
            first_run_at: OnceLock::new(),
        }
    }

    /// Identifies the request when it is sent again under another id.
    fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(&self.req, self.organisation.as_deref())
    }

    /// The request and the shared parts of its prompt, each of which may crash servers; the request is the first.
    pub(crate) fn suspects(&self) -> &Arc<[Suspect]> {
        self.suspects.get_or_init(|| {
            let request = Suspect::Request(self.fingerprint());
            std::iter::once(request).chain(self.shared_parts().map(Suspect::Part)).collect()
        })
    }

    /// The request itself as a suspect.
    pub(crate) fn own_suspect(&self) -> Suspect {
        self.suspects()[0]
    }

    /// The prompt parts that other requests may share.
    pub(crate) fn shared_parts(&self) -> impl Iterator<Item = PartId> + Clone {
        self.req.head.shared_parts().iter().take(MAX_SUSPECT_PARTS).map(|part| part.id)
    }

    /// Whether an attempt that a server may have run got no complete response.
    pub(crate) fn has_lost_attempt(&self) -> bool {
        self.attempts.has_lost_attempt()
    }

    /// The prompt parts that other requests may share, for log lines: hexadecimal ids separated by commas.
    pub(crate) fn log_shared_parts(&self) -> String {
        let parts = self.shared_parts().take(MAX_LOGGED_PARTS);
        let ids: Vec<String> = parts.map(|part| format!("{part:x}")).collect();
        ids.join(",")
    }

    /// Records when a run began; returns whether it is the first one of the request.
    pub(crate) fn record_run_start(&self, began_at: Duration) -> bool {
        self.first_run_at.set(began_at).is_ok()
    }

    /// Whether this is a trial of a quarantined request.
    pub(crate) fn is_quarantine_trial(&self) -> bool {
        self.quarantine_trial.is_some()
    }

    /// Whether this is a trial of this suspect.
    pub(crate) fn is_trial_of(&self, suspect: &Suspect) -> bool {
        self.quarantine_trial.as_ref().is_some_and(|trial| trial.covers(suspect))
    }

    /// Records whether a server may run or have run the trial, if this is one.
    pub(crate) fn mark_trial_sent(&self, is_sent: bool) {
        if let Some(trial) = &self.quarantine_trial {
            trial.set_sent(is_sent);
        }
    }

    /// Number of further runs that the route allows.
    pub(crate) fn runs_left(&self) -> u32 {
        self.route.max_attempts.saturating_sub(self.runs)
    }

    /// Time until the deadline or the end of a planned stop.
    pub(crate) fn time_left(&self, router: &Router) -> Duration {
        router.limit_to_stop(self.deadline).saturating_sub(router.now())
    }

    /// When the next attempt has to have begun to respond, if no planned stop ends before.
    pub(crate) fn attempt_deadline(&self) -> Duration {
        self.head_deadline.unwrap_or(self.deadline)
    }

    /// Takes a retry from the budget unless an unused one is held; false if the budget is exhausted.
    pub(crate) fn take_retry(&mut self, router: &Router) -> bool {
        self.has_retry = self.has_retry || router.take_retry(&self.service);
        self.has_retry
    }

    /// Whether a server could not be reached for this request. Without this check, when the last server of a
    /// service was gone, each request tried it 10 to 12 times within 40 ms, with a log line each, before the
    /// request was refused.
    pub(crate) fn is_unreachable(&self, server: &str) -> bool {
        self.unreachable_servers.iter().any(|id| **id == *server)
    }

    /// Whether another attempt at a server is pointless: it could not be reached, or the request was rejected there with
    /// status 421, which doesn't change within moments.
    pub(crate) fn is_excluded(&self, server: &str) -> bool {
        self.is_unreachable(server) || self.misdirected.iter().any(|(id, _)| **id == *server)
    }

    /// Number of servers that don't take the request: they rejected it themselves with status 421.
    pub(crate) fn rejecting_servers(&self) -> usize {
        let is_rejecting = |(_, by): &&(_, MisdirectedBy)| *by == MisdirectedBy::Itself;
        self.misdirected.iter().filter(is_rejecting).count()
    }

    /// Value of the `send` label in metrics for the next attempt.
    pub(crate) fn send_kind(&self) -> &'static str {
        if self.attempts.is_empty() { "first" } else { "further" }
    }

    /// Whether an attempt was made at this server.
    pub(crate) fn has_tried(&self, server: &str) -> bool {
        self.tried_servers.iter().any(|id| **id == *server)
    }

    /// Records that a retry was taken from the budget for the next attempt.
    pub(crate) fn mark_retry_taken(&mut self) {
        self.has_retry = true;
    }

    /// Records that the response to the last attempt was lost.
    pub(crate) fn mark_last_attempt_lost(&mut self) {
        self.attempts.mark_last_lost();
    }

    /// Priority of the Organisation, or else of the route.
    pub(crate) fn priority(&self) -> u8 {
        let of_organisation = self.organisation.as_ref().and_then(|o| o.priority);
        of_organisation.unwrap_or(self.route.priority)
    }
}

/// What an attempt requests beyond the caller's own request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptParams<'a> {
    /// Model chosen by the cascade.
    pub(crate) model: Option<&'a str>,
    /// Id of the last event that the caller has received, after which a resumed stream continues.
    pub(crate) last_event_id: Option<u64>,
}
