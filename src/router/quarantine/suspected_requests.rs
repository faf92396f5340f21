//! Handling of requests during which servers crashed.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};

use crate::{
    policy::quarantine::QuarantineStatus,
    router::{
        Released, Router,
        quarantine::{quarantine_row::TrialRequest, quarantine_trial::QuarantineTrial},
        request::request_context::RequestContext,
    },
    routing::Fingerprint,
    telemetry::event,
};

/// Maximum wait for the store's answer about a trial: ten times the duration of two calls of 5 ms.
const TRIAL_CLAIM_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after a peer's last message from which it is considered lost: four heartbeats.
const PEER_MESSAGE_LIFETIME: Duration = Duration::from_millis(1_200);
/// `Retry-After` for a request that only an operator can release: as long as it is remembered.
const PERMANENT_RETRY_AFTER: Duration = Duration::from_secs(24 * 60 * 60);
/// Minimum `Retry-After`. If a trial is due but cannot be made now, another entry is making it or
/// the store is unreachable.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(5);

impl Router {
    /// Whether a request may be sent, is suspected or is refused, based on the servers that crashed
    /// during it.
    pub(crate) fn quarantine_status(&self, ctx: &RequestContext) -> QuarantineStatus {
        if self.quarantine.is_idle() {
            return QuarantineStatus::Free;
        }
        self.quarantine.status(&ctx.fingerprint(), self.now())
    }

    /// Whether a request is refused because of the servers that crashed during it.
    pub(crate) fn is_refused(&self, ctx: &RequestContext) -> bool {
        !ctx.is_quarantine_trial()
            && matches!(self.quarantine_status(ctx), QuarantineStatus::Refused { .. })
    }

    /// Claims the trial of a refused request, which is made by a single entry. The store is asked
    /// only if a trial is due.
    pub(crate) async fn claim_trial(
        self: &Arc<Self>,
        ctx: &RequestContext,
    ) -> Option<QuarantineTrial> {
        if !self.is_refused(ctx) {
            return None;
        }
        let fingerprint = ctx.fingerprint();
        if self.quarantine.is_trial_due(&fingerprint, self.now()) {
            let (answer, answered) = oneshot::channel();
            if self.trials.0.try_send((fingerprint, answer)).is_ok() {
                // A slow store must not delay the caller. A trial that it grants later waits for the next request.
                let _ = timeout(TRIAL_CLAIM_TIMEOUT, answered).await;
            }
        }
        QuarantineTrial::take(self, fingerprint)
    }

    /// The receiver of trial requests for the control thread; none after the first call.
    pub(crate) fn take_trial_requests(&self) -> Option<mpsc::Receiver<TrialRequest>> {
        self.trials.1.lock().expect("no code panics while holding this lock").take()
    }

    /// Whether this entry receives updates from no other entry.
    pub(crate) fn is_isolated(&self) -> bool {
        let now = self.now();
        let is_reported = now < self.table_views.peer_message_at() + PEER_MESSAGE_LIFETIME;
        !is_reported && self.load_reports.entry_count(now) <= 1
    }

    /// Waits until a request is refused.
    pub(crate) async fn wait_until_refused(&self, ctx: &RequestContext) {
        let mut changes = self.quarantine.changes();
        while !self.is_refused(ctx) {
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Records that a server answered a request completely, so the request does not crash servers.
    pub(crate) fn record_complete_answer(&self, ctx: &RequestContext) {
        if self.quarantine_status(ctx) != QuarantineStatus::Free {
            self.quarantine.clear(ctx.fingerprint(), self.now());
        }
    }

    /// When the caller of a refused request may retry.
    pub(crate) fn refusal_retry_after(&self, ctx: &RequestContext) -> Duration {
        if self.quarantine.has_trial(&ctx.fingerprint()) {
            return MIN_RETRY_AFTER;
        }
        match self.quarantine_status(ctx) {
            QuarantineStatus::Refused { trial_in: Some(trial_in) } => trial_in.max(MIN_RETRY_AFTER),
            _ => PERMANENT_RETRY_AFTER,
        }
    }

    /// Clears a request by its fingerprint as shown in the state dump. Other entries are informed.
    pub fn release(&self, fingerprint: &str) -> Released {
        let Ok(number) = u128::from_str_radix(fingerprint, 16) else {
            return Released::Unreadable;
        };
        if !self.quarantine.clear(Fingerprint(number), self.now()) {
            return Released::Unknown;
        }
        event::QUARANTINE_RELEASED.log(format_args!("fingerprint={fingerprint}"));
        Released::Done
    }
}
