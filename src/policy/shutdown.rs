//! Which requests an entry still accepts after a planned shutdown has begun.
//!
//! The load balancer keeps sending requests to a leaving entry if all others are leaving, too. A request is
//! therefore refused only if it could not be completed within the grace period.

use std::time::Duration;

use crate::routing::{Route, RouteKind};

/// Maximum duration of a stream. With a grace period of 8 s no stream is accepted later than 2.8 s after
/// the request to stop: from 3 s on, a stream that is cut off counts as lost. Streams of the smallest model,
/// which end sooner, were accepted until 5.4 s in a trial, but some of them were cut off on a busy engine.
const MAX_STREAM_TIME: Duration = Duration::from_millis(4_900);

/// Whether a request on this route can be completed in the time left.
pub fn can_finish(route: &Route, time_left: Duration) -> bool {
    let max_time = match route.kind {
        RouteKind::Stream => MAX_STREAM_TIME,
        RouteKind::Idempotent | RouteKind::AtMostOnce => route.timeout,
    };
    time_left > max_time
}
