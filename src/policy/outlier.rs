//! Outlier detection: ejects a failing BackendServer from server selection and readmits it.
//!
//! The rules considered are those of "Taking an Unhealthy Node Out of Rotation" (Harper Fabric
//! guide); `docs/MEASUREMENTS.md` compares their results.

use std::time::Duration;

/// Parameters of outlier detection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierConfig {
    /// Consecutive failures after which a server is ejected.
    pub consecutive_failures: u32,
    /// Duration of the first ejection.
    pub base_ejection: Duration,
    /// Maximum duration of an ejection; each consecutive one is twice as long as the one before.
    pub max_ejection: Duration,
    /// Consecutive answers after which a server has recovered and its ejection time starts over.
    pub recovery_answers: u32,
    /// Largest share of a pool that may be ejected; the last server never is.
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
    /// The baseline that the default is measured against: ejections of a fixed duration, recovery
    /// after a single answer, and no limit on the ejected share of the pool.
    pub fn flat() -> Self {
        Self {
            max_ejection: Duration::from_secs(1),
            recovery_answers: 1,
            max_ejected_share: 1.0,
            ..Self::default()
        }
    }
}

/// Outlier state of one server; times are on the entry's monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutlierDetector {
    failures: u32,
    answers: u32,
    ejections: u32,
    ejected_until: Duration,
    trial_in_flight: bool,
}

impl OutlierDetector {
    /// Records an answer.
    pub fn record_answer(&mut self, config: &OutlierConfig) {
        self.failures = 0;
        self.trial_in_flight = false;
        self.answers += 1;
        if self.answers >= config.recovery_answers {
            self.ejections = 0;
        }
    }

    /// Records a failure; a server that fails its trial request is ejected again immediately.
    pub fn record_failure(&mut self, config: &OutlierConfig, now: Duration) {
        let on_trial = self.is_on_trial();
        self.answers = 0;
        self.failures += 1;
        if self.failures < config.consecutive_failures && !on_trial {
            return;
        }
        self.eject(config, now);
    }

    /// Records that the server cannot be reached, which ejects it immediately.
    pub fn record_unreachable(&mut self, config: &OutlierConfig, now: Duration) {
        self.answers = 0;
        self.eject(config, now);
    }

    fn eject(&mut self, config: &OutlierConfig, now: Duration) {
        let duration = config.base_ejection * 2u32.saturating_pow(self.ejections.min(16));
        self.ejections += 1;
        self.failures = 0;
        self.trial_in_flight = false;
        self.ejected_until = now + duration.min(config.max_ejection);
    }

    /// Whether the server is ejected.
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Whether the server should not be selected: it is ejected, or its trial request is in flight.
    pub fn should_skip(&self, now: Duration) -> bool {
        self.is_ejected(now) || (self.is_on_trial() && self.trial_in_flight)
    }

    /// Records that the server was selected; if it is on trial, this is its trial request.
    pub fn record_selection(&mut self, now: Duration) {
        if !self.is_ejected(now) && self.is_on_trial() {
            self.trial_in_flight = true;
        }
    }

    /// Whether the server has not answered since its last ejection. It then receives one request
    /// at a time.
    fn is_on_trial(&self) -> bool {
        self.ejections > 0 && self.answers == 0
    }
}

/// Whether ejections are honored: not if too large a share of the pool is ejected.
pub fn honors_ejection(ejected: usize, pool: usize, config: &OutlierConfig) -> bool {
    ejected < pool && ejected as f64 <= pool as f64 * config.max_ejected_share
}
