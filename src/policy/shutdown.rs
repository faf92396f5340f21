//! What a process may still begin, and until when it answers, after a planned stop has begun.
//!
//! The load balancer keeps sending requests to a leaving entry if all others are leaving, too. A request is
//! therefore refused only if it could not be completed within the grace period.

use std::time::Duration;

use crate::routing::{Route, RouteKind};

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
}

/// Whether a request on this route can be completed in the time left.
pub fn can_finish(route: &Route, time_left: Duration) -> bool {
    let max_time = match route.kind {
        RouteKind::Stream => MAX_STREAM_TIME,
        RouteKind::Idempotent | RouteKind::AtMostOnce => route.timeout,
    };
    time_left > max_time
}
