//! Taking a failing BackendServer out of the choice, and putting it back.
//!
//! The rules weighed are those of "Taking an Unhealthy Node Out of Rotation" (Harper Fabric
//! guide); which of them measured better here is in `docs/MEASUREMENTS.md`.

use std::time::Duration;

/// Which rules are in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierRules {
    /// Failures in a row that take a server out.
    pub out_after: u32,
    /// Time a server stays out the first time.
    pub first_out: Duration,
    /// Longest time out; each time out in a row is twice the one before.
    pub longest_out: Duration,
    /// Answers in a row before a server counts as recovered and its times out start anew.
    pub back_after: u32,
    /// Largest share of a pool that may be out; the last server never is.
    pub most_out: f64,
}

impl Default for OutlierRules {
    fn default() -> Self {
        Self {
            out_after: 3,
            first_out: Duration::from_secs(1),
            longest_out: Duration::from_secs(30),
            back_after: 10,
            most_out: 0.5,
        }
    }
}

impl OutlierRules {
    /// The plain rule that the others are measured against: out for a fixed time, no trial
    /// memory, and any number of servers may be out.
    pub fn flat() -> Self {
        Self {
            longest_out: Duration::from_secs(1),
            back_after: 1,
            most_out: 1.0,
            ..Self::default()
        }
    }
}

/// Record of one server; times are on the entry's monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outlier {
    failures: u32,
    answers: u32,
    times_out: u32,
    out_until: Duration,
    trying: bool,
}

impl Outlier {
    /// Notes an answer.
    pub fn note_answer(&mut self, rules: &OutlierRules) {
        self.failures = 0;
        self.trying = false;
        self.answers += 1;
        if self.answers >= rules.back_after {
            self.times_out = 0;
        }
    }

    /// Notes a failure; a server that fails its trial goes out again at once.
    pub fn note_failure(&mut self, rules: &OutlierRules, now: Duration) {
        let on_trial = self.is_on_trial();
        self.answers = 0;
        self.failures += 1;
        if self.failures < rules.out_after && !on_trial {
            return;
        }
        self.take_out(rules, now);
    }

    /// Notes that the server can't be reached at all, which takes it out at once.
    pub fn note_unreachable(&mut self, rules: &OutlierRules, now: Duration) {
        self.answers = 0;
        self.take_out(rules, now);
    }

    fn take_out(&mut self, rules: &OutlierRules, now: Duration) {
        let time = rules.first_out * 2u32.saturating_pow(self.times_out.min(16));
        self.times_out += 1;
        self.failures = 0;
        self.trying = false;
        self.out_until = now + time.min(rules.longest_out);
    }

    /// Whether the server is out now.
    pub fn is_out(&self, now: Duration) -> bool {
        now < self.out_until
    }

    /// Whether the server should be passed over: out, or on trial with a request under way.
    pub fn is_passed_over(&self, now: Duration) -> bool {
        self.is_out(now) || (self.is_on_trial() && self.trying)
    }

    /// Notes that the server was chosen, which begins its trial if it is on one.
    pub fn note_chosen(&mut self, now: Duration) {
        if !self.is_out(now) && self.is_on_trial() {
            self.trying = true;
        }
    }

    /// A server that was out and has not answered since gets one request at a time.
    fn is_on_trial(&self) -> bool {
        self.times_out > 0 && self.answers == 0
    }
}

/// Whether being out is respected: not when too much of the pool is out.
pub fn respects_out(out: usize, pool: usize, rules: &OutlierRules) -> bool {
    out < pool && out as f64 <= pool as f64 * rules.most_out
}
