//! Decides which new connections are served while the process lacks processor time.
//!
//! A caller gives up on an entry that has not read its request after a second, and the entry then works for nobody. So
//! the delay with which ready tasks run is measured, and when it passes a target, new connections are closed unread:
//! their callers turn to another entry at once, and the requests that were read are served in time. While the delay
//! lasts, none is served, as in CoDel (Nichols and Jacobson, Controlling queue delay, ACM Queue 2012); afterwards the
//! rate at which they are served grows from less than it was, and is lowered whenever the delay is back (Chiu and
//! Jain, Analysis of the increase and decrease algorithms for congestion avoidance, 1989). The number of connections
//! does not matter: on a small Host a few are too many.

use std::time::Duration;

/// Delay up to which requests are read and answered in time: a tenth of a caller's patience of a second, as long as a
/// Host's processor quota holds a process up within one period.
const TARGET_DELAY: Duration = Duration::from_millis(100);
/// Time for which the delay must stay above the target until no connection is served, and between two reductions of
/// the rate.
const INTERVAL: Duration = Duration::from_millis(200);
/// Factor by which the rate is reduced.
const DECREASE: f64 = 0.7;
/// Growth of the rate per second without delay.
const GROWTH_PER_S: f64 = 0.8;
/// Time constant over which the rate of connections is measured, in seconds.
const RATE_WINDOW_S: f64 = 1.0;
/// Time without a closed connection after which the rate is no longer limited, and between two delays after which the
/// later one counts as single.
const RECOVERY: Duration = Duration::from_secs(3);
/// Connections that may be served at once under a limited rate.
const BURST: f64 = 2.0;

/// Limit of the rate at which connections are served.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RateLimit {
    /// Connections per second.
    rate: f64,
    /// Connections that may be served now.
    tokens: f64,
    reduced_at: Duration,
    /// When a connection was last closed.
    closed_at: Duration,
}

/// Which new connections are served, given the delays that were measured.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AcceptControl {
    /// Since when all delays have been above the target.
    above_since: Option<Duration>,
    /// When the last delay above the target was measured.
    last_above: Option<Duration>,
    limit: Option<RateLimit>,
    /// Connections served per second, as of `updated_at`.
    served_rate: f64,
    /// The same when the delays began.
    rate_before: f64,
    updated_at: Duration,
}

impl AcceptControl {
    /// Records that a task which was ready at `now - delay` has run at `now`.
    pub fn record(&mut self, delay: Duration, now: Duration) {
        let elapsed = self.advance(now);
        if delay > TARGET_DELAY {
            // A single delay may be a pause of the whole Host.
            let is_repeated = self.last_above.is_some_and(|at| now < at + RECOVERY);
            self.last_above = Some(now);
            if self.above_since.is_none() {
                self.above_since = Some(now.saturating_sub(delay));
                self.rate_before = self.served_rate * (delay.as_secs_f64() / RATE_WINDOW_S).exp();
            }
            if is_repeated {
                self.reduce(now);
            }
            return;
        }
        self.above_since = None;
        if let Some(limit) = &mut self.limit {
            limit.rate *= 1.0 + GROWTH_PER_S * elapsed.as_secs_f64();
        }
        self.limit = self.limit.filter(|limit| now < limit.closed_at + RECOVERY);
    }

    /// Whether a connection that is accepted now is served.
    pub fn admit(&mut self, now: Duration) -> bool {
        self.advance(now);
        let is_blocked = self.above_since.is_some_and(|since| since + INTERVAL <= now);
        if is_blocked {
            return false;
        }
        if let Some(limit) = &mut self.limit {
            if limit.tokens < 1.0 {
                limit.closed_at = now;
                return false;
            }
            limit.tokens -= 1.0;
        }
        self.served_rate += 1.0 / RATE_WINDOW_S;
        true
    }

    /// Whether there are delays, or were a moment ago, so that connections may be closed.
    pub fn is_limiting(&self) -> bool {
        self.above_since.is_some() || self.limit.is_some()
    }

    /// Lowers the limit, or sets it, unless that was done a moment ago.
    fn reduce(&mut self, now: Duration) {
        if self.limit.is_some_and(|limit| now < limit.reduced_at + INTERVAL) {
            return;
        }
        let rate = self.limit.map_or(self.rate_before, |limit| limit.rate);
        let rate = (rate * DECREASE).max(1.0 / RATE_WINDOW_S);
        let closed_at = self.limit.map_or(now, |limit| limit.closed_at);
        self.limit = Some(RateLimit { rate, tokens: 0.0, reduced_at: now, closed_at });
    }

    /// Brings the measured rate and the tokens up to date and returns the time since the last call.
    fn advance(&mut self, now: Duration) -> Duration {
        let elapsed = now.saturating_sub(std::mem::replace(&mut self.updated_at, now));
        self.served_rate *= (-elapsed.as_secs_f64() / RATE_WINDOW_S).exp();
        if let Some(limit) = &mut self.limit {
            limit.tokens = (limit.tokens + limit.rate * elapsed.as_secs_f64()).min(BURST);
        }
        elapsed
    }
}
