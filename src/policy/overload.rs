//! When a caller that no server could take should come back.
//!
//! How long an overload will last is not known; one that has lasted for some time lasts about as long again.
//! Callers who come back at once meet the overload that refused them, and most have one try only. So
//! the wait grows with the time for which servers have been refusing, and is spread so that those who were
//! refused together don't come back together (docs/decisions/0014).

use std::time::Duration;

/// Wait after the first refusal: a place frees up in a fraction of a second.
const MIN_WAIT: Duration = Duration::from_millis(200);
/// Longest wait; callers with the longest deadlines here, 20 s, wait a third of it at most.
const MAX_WAIT: Duration = Duration::from_secs(6);
/// Time without a refusal after which an overload is over: ten places have freed up by then.
const QUIET_PERIOD: Duration = Duration::from_secs(1);
/// The wait is drawn from this range of its mean.
const JITTER: (f64, f64) = (0.5, 1.5);

/// The refusals of a service's servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Overload {
    started_at: Duration,
    last_refusal: Option<Duration>,
}

impl Overload {
    /// Notes a refusal. Gives the time for which servers have been refusing.
    pub fn note_refusal(&mut self, now: Duration) -> Duration {
        if self.last_refusal.is_none_or(|last| now > last + QUIET_PERIOD) {
            self.started_at = now;
        }
        self.last_refusal = Some(now);
        now.saturating_sub(self.started_at)
    }
}

/// When to come back after a refusal in an overload that has lasted so long; `draw` from 0 to 1.
pub fn retry_after(lasted: Duration, draw: f64) -> Duration {
    let (min, max) = JITTER;
    let mean = lasted.clamp(MIN_WAIT, MAX_WAIT);
    mean.mul_f64(min + (max - min) * draw.clamp(0.0, 1.0))
}
