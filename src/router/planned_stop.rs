//! The planned stop of an entry, as the request path sees it: what is still accepted or sent, and when waiting ends.

use std::{future::Future, time::Duration};

use crate::{
    policy::{
        attempt_log::AttemptLog,
        lifecycle::LifecycleEvent,
        shutdown::{PendingSend, PlannedStop},
    },
    router::{
        Router,
        request::{
            refusal::{NotRunCause, Refusal},
            request_context::RequestContext,
        },
    },
    routing::Route,
};

/// Time until the load balancer has noticed that this entry is no longer ready: two checks one second apart, plus a
/// margin.
pub(crate) const READINESS_LAG: Duration = Duration::from_millis(2_500);
/// `Retry-After` while the load balancer sends new connections to other entries.
const RETRY_OTHER_ENTRY: Duration = Duration::from_millis(50);
/// Time from the exit of a process until its successor on the same Host accepts requests; 0.5 to 0.6 s in the logs
/// of the first sites.
const RESTART_TIME: Duration = Duration::from_millis(700);

impl Router {
    /// Records the start of a planned stop. Requests that are waiting learn that their time may end sooner.
    pub(crate) fn begin_stop(&self) -> PlannedStop {
        let grace = self.settings.load().shutdown_grace;
        let stop = *self.planned_stop.get_or_init(|| PlannedStop { started_at: self.now(), grace });
        self.advance(LifecycleEvent::Leave);
        self.clock.wake_waiters();
        stop
    }

    /// A deadline, or the end of the planned stop if that comes first.
    pub(crate) fn limit_to_stop(&self, deadline: Duration) -> Duration {
        self.planned_stop.get().map_or(deadline, |stop| deadline.min(stop.end()))
    }

    /// Runs `work` until a deadline or the end of a planned stop, also of one that begins meanwhile; `None` once the
    /// time is over.
    pub(crate) async fn timeout_at<F: Future>(
        &self,
        deadline: Duration,
        work: F,
    ) -> Option<F::Output> {
        self.clock.timeout_until(|| Some(self.limit_to_stop(deadline)), work).await
    }

    /// Runs `work` until the end of a planned stop; without one, for as long as it takes.
    pub(crate) async fn until_stop_ends<F: Future>(&self, work: F) -> Option<F::Output> {
        self.clock.timeout_until(|| self.planned_stop.get().map(PlannedStop::end), work).await
    }

    /// Whether the time for answers in a planned stop is over. What is given up then is no evidence against its server.
    pub(crate) fn has_stop_ended(&self) -> bool {
        self.planned_stop.get().is_some_and(|stop| self.now() >= stop.end())
    }

    /// Until when a request with this deadline may be sent for the first time; `None` if no planned stop has begun.
    pub(crate) fn latest_first_send(&self, route: &Route, deadline: Duration) -> Option<Duration> {
        let stop = self.planned_stop.get()?;
        let work = PendingSend {
            kind: route.kind,
            deadline,
            objective: route.objective,
            replaces_failure: false,
        };
        Some(stop.latest_start(&work))
    }

    /// Whether a request with this deadline is still accepted: during a planned stop, only if it can finish in time.
    pub(crate) fn accepts(&self, route: &Route, deadline: Duration) -> bool {
        self.latest_first_send(route, deadline).is_none_or(|latest| self.now() < latest)
    }

    /// Whether the next attempt of a request can still be made: during a planned stop, only if it can finish in time.
    pub(crate) fn may_send(&self, ctx: &RequestContext) -> bool {
        let has_fallback = ctx.head_deadline.is_some();
        let has_failed = ctx.attempts.prove_not_run().is_none();
        self.can_finish(ctx, has_failed && !has_fallback)
    }

    /// Whether a request that is given up at one server can still be answered by another.
    pub(crate) fn may_send_again(&self, ctx: &RequestContext) -> bool {
        self.can_finish(ctx, ctx.head_deadline.is_none())
    }

    /// Whether a larger model can still answer a request for which the answer of a smaller one is at hand.
    pub(crate) fn may_escalate(&self, ctx: &RequestContext) -> bool {
        self.can_finish(ctx, false)
    }

    fn can_finish(&self, ctx: &RequestContext, replaces_failure: bool) -> bool {
        let Some(stop) = self.planned_stop.get() else {
            return true;
        };
        let (kind, objective) = (ctx.route.kind, ctx.route.objective);
        let work = PendingSend { kind, deadline: ctx.deadline, objective, replaces_failure };
        self.now() < stop.latest_start(&work)
    }

    /// The refusal of a request that a stopping entry doesn't run. The load balancer sends new connections here only
    /// until it notices the stop, or if no other entry is ready; in the latter case the caller has to wait for the next
    /// process on this Host.
    pub(crate) fn leaving_refusal(&self, connected_at: Duration, attempts: &AttemptLog) -> Refusal {
        let awaited = self
            .planned_stop
            .get()
            .filter(|stop| connected_at >= stop.started_at + READINESS_LAG)
            .map(|stop| stop.started_at + stop.grace + RESTART_TIME);
        let retry_after =
            awaited.map_or(RETRY_OTHER_ENTRY, |next_at| next_at.saturating_sub(self.now()));
        Refusal::not_run(NotRunCause::Leaving { retry_after }, attempts)
    }
}
