//! How long a server's silence is borne before another one is tried.
//!
//! A server that still answers others is slow, and leaving it only makes more work; one from
//! which nothing at all has come is taken as dark, and sooner.

use std::time::Duration;

use crate::routing::RouteKind;

/// Silence of a server on all its connections after which it is taken as dark. Reading a long
/// prompt holds the events of a sound engine back by up to 0.8 s, and a pause of 1.2 s is late.
const DARK_AFTER: Duration = Duration::from_millis(1_100);
/// Wait for a head as a multiple of the mean wait for such heads.
const MEAN_WAITS: u32 = 4;
/// Least wait for a head from a server that answers others, as a part of the objective: a
/// request that hangs may then still be in time elsewhere.
const OBJECTIVE_PART: f64 = 0.7;
/// Wait for a stream's next event, as a multiple of the longest pause that is on time.
const PAUSES: f64 = 1.5;
/// Pause assumed where the route declares none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(1_200);

/// The two waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// With a server that is silent on all its connections.
    pub dark: Duration,
    /// With a server that answers others.
    pub slow: Duration,
}

/// Wait for an answer's head where another server may be tried after.
pub fn head_patience(
    kind: RouteKind,
    objective: Duration,
    mean: Option<Duration>,
    reading: Duration,
) -> Patience {
    let by_mean = mean.unwrap_or(objective) * MEAN_WAITS;
    let least = objective.mul_f64(OBJECTIVE_PART);
    let slow = by_mean.max(least) + reading;
    if kind != RouteKind::Stream {
        return Patience { dark: slow, slow };
    }
    Patience { dark: DARK_AFTER + reading, slow: slow.max(DARK_AFTER) }
}

/// Wait for a stream's next event where the stream may go on at another server.
pub fn event_patience(allowed_pause: Option<Duration>) -> Patience {
    let slow = allowed_pause.unwrap_or(DEFAULT_PAUSE).mul_f64(PAUSES);
    Patience { dark: DARK_AFTER, slow }
}
