//! Exponential backoff with jitter for what a process needs in order to serve and may get later, such as an address
//! that its predecessor still uses.

use std::time::Duration;

/// Longest delay after the first failed attempt.
const FIRST_DELAY: Duration = Duration::from_millis(20);
/// Longest delay.
const MAX_DELAY: Duration = Duration::from_millis(500);
/// Range of the random factor on the delay; at most 1, so that the longest delay is a bound.
const JITTER: (f64, f64) = (0.5, 1.0);
/// Failed attempts for each one that is logged.
const LOG_EVERY: u32 = 20;

/// Delays between the attempts at one thing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Whether the next failure is logged: the first one, and then one of many.
    pub fn is_logged(&self) -> bool {
        self.failures.is_multiple_of(LOG_EVERY)
    }

    /// Records a failed attempt and returns the delay before the next one; `draw` is a random number from 0 to 1.
    pub fn record_failure(&mut self, draw: f64) -> Duration {
        // Doubling ends long before the exponent overflows.
        let longest = FIRST_DELAY.saturating_mul(1 << self.failures.min(16)).min(MAX_DELAY);
        self.failures = self.failures.saturating_add(1);
        let (min, max) = JITTER;
        longest.mul_f64(min + (max - min) * draw.clamp(0.0, 1.0))
    }
}
