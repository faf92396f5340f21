//! Handling of requests during which servers crashed, or others with a part of the same prompt.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::{MutexGuard, mpsc, oneshot},
    time::timeout,
};

use crate::{
    policy::quarantine::Suspect,
    router::{
        Released, Router,
        quarantine::{quarantine_row::TrialRequest, quarantine_trial::QuarantineTrial},
        request::{
            refusal::{NotRunCause, Refusal},
            request_context::RequestContext,
        },
    },
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
    /// Those of a request's suspects that are refused and that it is not a trial of, each with the time until its
    /// next trial.
    fn refused_suspects(&self, ctx: &RequestContext) -> Vec<(Suspect, Option<Duration>)> {
        if self.quarantine.is_idle() {
            return Vec::new();
        }
        let mut refused = self.quarantine.refused_among(ctx.suspects(), self.now());
        refused.retain(|(suspect, _)| !ctx.is_trial_of(suspect));
        refused
    }

    /// Whether a request is refused because of the servers that crashed during it or during others with a part of its
    /// prompt.
    pub(crate) fn is_refused(&self, ctx: &RequestContext) -> bool {
        let is_untried = |suspect: &&Suspect| !ctx.is_trial_of(suspect);
        !self.quarantine.is_idle()
            && self.quarantine.is_any_refused(ctx.suspects().iter().filter(is_untried))
    }

    /// The request or the part of its prompt by which it is placed because servers crashed during it.
    pub(crate) fn placing_suspect(&self, ctx: &RequestContext) -> Option<Suspect> {
        if self.quarantine.is_idle() {
            return None;
        }
        self.quarantine.placing_suspect(ctx.suspects())
    }

    /// Claims the trial of a refused request, which is made by a single entry. The store is asked
    /// only if a trial of all its refused suspects is due.
    pub(crate) async fn claim_trial(
        self: &Arc<Self>,
        ctx: &RequestContext,
    ) -> Option<QuarantineTrial> {
        let refused = self.refused_suspects(ctx);
        if refused.is_empty() || !self.quarantine.is_trial_conclusive(ctx.suspects()) {
            return None;
        }
        let is_due = refused.iter().all(|(_, trial_in)| *trial_in == Some(Duration::ZERO));
        let suspects: Box<[Suspect]> = refused.into_iter().map(|(suspect, _)| suspect).collect();
        if is_due {
            let (answer, answered) = oneshot::channel();
            if self.trials.0.try_send((suspects.clone(), answer)).is_ok() {
                // A slow store must not delay the caller. A trial that it grants later waits for the next request.
                let _ = timeout(TRIAL_CLAIM_TIMEOUT, answered).await;
            }
        }
        QuarantineTrial::take(self, suspects)
    }

    /// The receiver of trial requests for the control thread, until the guard is dropped.
    pub(crate) async fn trial_requests(&self) -> MutexGuard<'_, mpsc::Receiver<TrialRequest>> {
        self.trials.1.lock().await
    }

    /// Whether this entry receives updates from no other entry.
    pub(crate) fn is_isolated(&self) -> bool {
        let now = self.now();
        let is_reported = now < self.table_views.peer_message_at() + PEER_MESSAGE_LIFETIME;
        !is_reported && self.load_reports.entry_count(now) <= 1
    }

    /// Waits until a request is refused.
    pub(crate) async fn wait_until_refused(&self, ctx: &RequestContext) {
        // Most requests are over before anything is suspected, and their suspects need not be computed.
        self.quarantine.wait_until_active().await;
        let untried = ctx.suspects().iter().filter(|suspect| !ctx.is_trial_of(suspect));
        let waiter = self.quarantine.register_waiter(untried.copied().collect());
        while !self.is_refused(ctx) {
            waiter.wait().await;
        }
    }

    /// Records that a server answered a request completely, so the request does not crash servers.
    pub(crate) fn record_complete_answer(&self, ctx: &RequestContext) {
        if !self.quarantine.is_idle() {
            self.quarantine.record_answer(ctx.own_suspect(), self.now());
        }
    }

    /// Records that a server answered a request completely and successfully, so the parts of its prompt do not crash
    /// servers. An answer pieced together from several servers shows nothing: each may have crashed after its piece.
    pub(crate) fn record_answered_parts(&self, ctx: &RequestContext) {
        if !ctx.has_lost_attempt() && !ctx.req.head.shared_parts().is_empty() {
            self.quarantine.record_answered_parts(ctx.shared_parts(), self.now());
        }
    }

    /// The refusal of a request that is in quarantine and was not run.
    pub(crate) fn quarantine_refusal(&self, ctx: &RequestContext) -> Option<Refusal> {
        let refused = self.refused_suspects(ctx);
        let retry_after = refused.iter().map(|(suspect, trial_in)| {
            if self.quarantine.has_trial(suspect) {
                return MIN_RETRY_AFTER;
            }
            trial_in.map_or(PERMANENT_RETRY_AFTER, |trial_in| trial_in.max(MIN_RETRY_AFTER))
        });
        let retry_after = retry_after.max()?;
        let part = refused.iter().find_map(|(suspect, _)| match suspect {
            Suspect::Part(part) => Some(*part),
            Suspect::Request(_) => None,
        });
        let cause = match part {
            Some(part) => NotRunCause::PartQuarantined { part, retry_after },
            None => NotRunCause::Quarantined { retry_after },
        };
        Some(Refusal::not_run(cause, &ctx.attempts))
    }

    /// Clears a request or prompt part by its fingerprint as shown in the state dump. Other entries are informed.
    pub fn release(&self, fingerprint: &str) -> Released {
        let Ok(number) = u128::from_str_radix(fingerprint, 16) else {
            return Released::Unreadable;
        };
        if !self.quarantine.release(Suspect::from_bits(number), self.now()) {
            return Released::Unknown;
        }
        event::QUARANTINE_RELEASED.log(format_args!("fingerprint={fingerprint}"));
        Released::Done
    }
}
