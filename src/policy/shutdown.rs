//! What a process may still begin, and until when it answers, after a planned stop has begun.
//!
//! The load balancer keeps sending requests to a leaving entry if all others are leaving, too. A request is
//! therefore refused only if it could not be completed within the grace period.

use std::time::Duration;

use crate::routing::RouteKind;

/// Maximum duration of a stream. With a grace period of 8 s no stream is accepted later than 2.8 s after
/// the request to stop: from 3 s on, a stream that is cut off counts as lost. Streams of the smallest model,
/// which end sooner, were accepted until 5.4 s in a trial, but some of them were cut off on a busy engine.
const MAX_STREAM_TIME: Duration = Duration::from_millis(4_900);
/// Time before the end of the grace period at which idle connections are closed.
const IDLE_CLOSE_MARGIN: Duration = Duration::from_millis(700);
/// Time before the end of the grace period at which each request that is still waiting gets its final answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// Time before the end of the grace period at which the process ends, whatever callers have not taken by then.
const EXIT_MARGIN: Duration = Duration::from_millis(100);

/// A planned stop that has begun. All times are on the entry's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    /// When the process was asked to stop.
    pub started_at: Duration,
    /// Time from then on after which the process is killed.
    pub grace: Duration,
}

/// Work that is about to be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingSend {
    /// Kind of its route.
    pub kind: RouteKind,
    /// When the timeout of its caller or its route ends.
    pub deadline: Duration,
    /// The operator's objective for its duration, or for the time to the first event of a stream.
    pub objective: Duration,
    /// Whether its caller gets a failure without it, since an earlier attempt may have run. Otherwise the caller gets
    /// a refusal that promises that nothing ran, or the answer of a smaller model.
    pub replaces_failure: bool,
}

impl PlannedStop {
    /// When each request that is still waiting gets its final answer.
    pub fn end(&self) -> Duration {
        self.started_at + self.grace.saturating_sub(ANSWER_MARGIN)
    }

    /// When idle connections are closed, also while requests are in flight.
    pub fn idle_close_at(&self) -> Duration {
        self.started_at + self.grace.saturating_sub(IDLE_CLOSE_MARGIN)
    }

    /// When the process ends in any case.
    pub fn exit_at(&self) -> Duration {
        self.started_at + self.grace.saturating_sub(EXIT_MARGIN)
    }

    /// Until when work may be sent so that it ends before the stop does; zero if it can't. What a failure would
    /// replace needs only its usual time, because waiting costs its caller nothing more.
    pub fn latest_start(&self, work: &PendingSend) -> Duration {
        let end = self.end();
        if work.deadline <= end {
            return work.deadline;
        }
        match work.kind {
            _ if work.replaces_failure => end.saturating_sub(work.objective),
            RouteKind::Stream => end.saturating_sub(MAX_STREAM_TIME),
            RouteKind::Idempotent | RouteKind::AtMostOnce => Duration::ZERO,
        }
    }
}
