//! Computes `Retry-After` for callers whose requests no server could take.
//!
//! The duration of an overload is not known in advance, but one that has lasted for some time can
//! be expected to last about as long again. Callers that retry too early meet the same overload,
//! and most of them retry only once. So the wait grows with the time for which servers have been
//! refusing requests, with jitter so that callers refused together do not return together
//! (docs/decisions/0014).

use std::time::Duration;

/// Wait after the first refusal: a slot becomes free within a fraction of a second.
const MIN_WAIT: Duration = Duration::from_millis(200);
/// Longest mean wait, about a third of the longest deadline in use, 20 s.
const MAX_WAIT: Duration = Duration::from_secs(6);
/// Time without a refusal after which an overload has ended: ten slots have become free by then.
const QUIET_PERIOD: Duration = Duration::from_secs(1);
/// Range of the random factor on the mean wait.
const JITTER: (f64, f64) = (0.5, 1.5);

/// Tracks how long the servers of one service have been refusing requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Overload {
    started_at: Duration,
    last_refusal: Option<Duration>,
}

impl Overload {
    /// Records a refusal and returns the time since the first one of this overload.
    pub fn record_refusal(&mut self, now: Duration) -> Duration {
        if self.last_refusal.is_none_or(|last| now > last + QUIET_PERIOD) {
            self.started_at = now;
        }
        self.last_refusal = Some(now);
        now.saturating_sub(self.started_at)
    }
}

/// The wait after a refusal in an overload that has lasted this long; `draw` is a random number
/// from 0 to 1.
pub fn retry_after(lasted: Duration, draw: f64) -> Duration {
    let (min, max) = JITTER;
    let mean = lasted.clamp(MIN_WAIT, MAX_WAIT);
    mean.mul_f64(min + (max - min) * draw.clamp(0.0, 1.0))
}
