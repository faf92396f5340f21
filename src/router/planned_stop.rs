//! The planned stop of an entry, as the request path sees it: what is still accepted or sent, and when waiting ends.

use std::{future::Future, time::Duration};

use crate::{
    policy::{
        lifecycle::LifecycleEvent,
        shutdown::{PlannedStop, can_finish},
    },
    router::Router,
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

    /// Whether the time for answers in a planned stop is over. What is given up then is no evidence against its server.
    pub(crate) fn has_stop_ended(&self) -> bool {
        self.planned_stop.get().is_some_and(|stop| self.now() >= stop.end())
    }

    /// Whether a request on this route is still accepted: during a planned stop, only if it can finish in time.
    pub(crate) fn accepts(&self, route: &Route) -> bool {
        let left = |stop: &PlannedStop| stop.end().saturating_sub(self.now());
        self.planned_stop.get().is_none_or(|stop| can_finish(route, left(stop)))
    }

    /// `Retry-After` for a caller that a stopping entry rejects. The load balancer sends new connections here
    /// only until it notices the stop, or if no other entry is ready; in the latter case the caller has to wait
    /// for the next process on this Host.
    pub(crate) fn leaving_retry_after(&self, connected_at: Duration) -> Duration {
        let Some(stop) = self.planned_stop.get() else {
            return RETRY_OTHER_ENTRY;
        };
        if connected_at < stop.started_at + READINESS_LAG {
            return RETRY_OTHER_ENTRY;
        }
        (stop.started_at + stop.grace + RESTART_TIME).saturating_sub(self.now())
    }
}
