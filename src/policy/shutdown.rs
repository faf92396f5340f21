//! What an entry still takes once a planned stop has begun.
//!
//! The balancer goes on sending requests to a leaving entry when all others leave too, so a
//! request is refused only when it could not be finished within the grace.

use std::time::Duration;

use crate::routing::{Route, RouteKind};

/// Time that any stream may take. With the grace of 8 s no stream is taken later than 2.8 s after
/// the request to stop: from 3 s on, one that is cut counts as lost. Streams of the smallest
/// model alone, which end sooner, were tried until 5.4 s: on a busy engine some were cut too.
const MAX_STREAM_TIME: Duration = Duration::from_millis(4_900);

/// Whether a request on this route can be finished with so much time left.
pub fn can_finish(route: &Route, time_left: Duration) -> bool {
    let max_time = match route.kind {
        RouteKind::Stream => MAX_STREAM_TIME,
        RouteKind::Idempotent | RouteKind::AtMostOnce => route.timeout,
    };
    time_left > max_time
}
