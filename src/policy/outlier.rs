//! Taking a failing BackendServer out of the choice, and putting it back.
//!
//! The rules weighed are those of "Taking an Unhealthy Node Out of Rotation" (Harper Fabric
//! guide); which of them measured better here is in `docs/MEASUREMENTS.md`.

use std::time::Duration;

/// Which rules are in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierConfig {
    /// Failures in a row that take a server out.
    pub consecutive_failures: u32,
    /// Time a server stays out the first time.
    pub base_ejection: Duration,
    /// Longest time out; each time out in a row is twice the one before.
    pub max_ejection: Duration,
    /// Answers in a row before a server counts as recovered and its times out start anew.
    pub recovery_answers: u32,
    /// Largest share of a pool that may be out; the last server never is.
    pub max_ejected_share: f64,
}

impl Default for OutlierConfig {
    fn default() -> Self {
        Self {
            consecutive_failures: 3,
            base_ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(30),
            recovery_answers: 10,
            max_ejected_share: 0.5,
        }
    }
}

impl OutlierConfig {
    /// The plain rule that the others are measured against: out for a fixed time, no trial
    /// memory, and any number of servers may be out.
    pub fn flat() -> Self {
        Self {
            max_ejection: Duration::from_secs(1),
            recovery_answers: 1,
            max_ejected_share: 1.0,
            ..Self::default()
        }
    }
}

/// Record of one server; times are on the entry's monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutlierDetector {
    failures: u32,
    answers: u32,
    ejections: u32,
    ejected_until: Duration,
    trial_in_flight: bool,
}

impl OutlierDetector {
    /// Notes an answer.
    pub fn note_answer(&mut self, config: &OutlierConfig) {
        self.failures = 0;
        self.trial_in_flight = false;
        self.answers += 1;
        if self.answers >= config.recovery_answers {
            self.ejections = 0;
        }
    }

    /// Notes a failure; a server that fails its trial goes out again at once.
    pub fn note_failure(&mut self, config: &OutlierConfig, now: Duration) {
        let on_trial = self.is_on_trial();
        self.answers = 0;
        self.failures += 1;
        if self.failures < config.consecutive_failures && !on_trial {
            return;
        }
        self.eject(config, now);
    }

    /// Notes that the server can't be reached at all, which takes it out at once.
    pub fn note_unreachable(&mut self, config: &OutlierConfig, now: Duration) {
        self.answers = 0;
        self.eject(config, now);
    }

    fn eject(&mut self, config: &OutlierConfig, now: Duration) {
        let time = config.base_ejection * 2u32.saturating_pow(self.ejections.min(16));
        self.ejections += 1;
        self.failures = 0;
        self.trial_in_flight = false;
        self.ejected_until = now + time.min(config.max_ejection);
    }

    /// Whether the server is out now.
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Whether the server should be passed over: out, or on trial with a request under way.
    pub fn should_skip(&self, now: Duration) -> bool {
        self.is_ejected(now) || (self.is_on_trial() && self.trial_in_flight)
    }

    /// Notes that the server was chosen, which begins its trial if it is on one.
    pub fn note_chosen(&mut self, now: Duration) {
        if !self.is_ejected(now) && self.is_on_trial() {
            self.trial_in_flight = true;
        }
    }

    /// A server that was out and has not answered since gets one request at a time.
    fn is_on_trial(&self) -> bool {
        self.ejections > 0 && self.answers == 0
    }
}

/// Whether being out is respected: not when too much of the pool is out.
pub fn honors_ejection(ejected: usize, pool: usize, config: &OutlierConfig) -> bool {
    ejected < pool && ejected as f64 <= pool as f64 * config.max_ejected_share
}
