//! The recent failure rate of a server, so that one that fails some of its requests receives fewer.
//!
//! A server that fails all requests is ejected by [`crate::policy::outlier`]. One that fails a few
//! out of ten does not reach the number of consecutive failures for that.

use std::time::Duration;

/// Weight of a new outcome in the moving average.
const SMOOTHING_FACTOR: f64 = 0.15;
/// Time in which the rate decays by half, so that a server without requests is tried again.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Exponentially weighted moving average of failures, from 0 to 1, that decays over time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FailureRate {
    rate: f64,
    updated_at: Duration,
}

impl FailureRate {
    /// Records the outcome of a request.
    pub fn record(&mut self, is_failure: bool, now: Duration) {
        let before = self.get(now);
        let outcome = if is_failure { 1.0 } else { 0.0 };
        self.rate = before + (outcome - before) * SMOOTHING_FACTOR;
        self.updated_at = now;
    }

    /// The current rate.
    pub fn get(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.rate * 0.5f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
