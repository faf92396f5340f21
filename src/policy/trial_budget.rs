//! Requests that an entry may send to a new version during its trial, beside those of the trial's share.
//!
//! A share of few requests shows nothing about a service with little traffic. Deployments allow a bad version a number
//! of requests beside a share of all of them; most of that number goes to the trial, evenly over its time, so that a
//! version that turns bad later is found, too. Only requests without a session take part, since sessions must not move
//! to a version in the first half of a roll-out.

/// Part of the tolerated number that the trial uses. The rest is for requests that arrive while all traffic runs on the
/// new version, whose number varies.
const TRIAL_PART: f64 = 0.67;

/// One entry's part of the requests of a trial beside its share, of the number that the deployment tolerates for all
/// entries. Zero if the number of entries is not known.
pub fn budget_part(tolerance: f64, entries: u32) -> f64 {
    if entries == 0 { 0.0 } else { tolerance * TRIAL_PART / f64::from(entries) }
}

/// What an entry has sent to the new version during a trial.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrialBudget {
    /// Fraction of a request that is added, 0 to 1: entries with parts below one request round differently.
    phase: f64,
    /// Requests without a session, and those of them that were sent to the new version.
    requests: u32,
    used: u32,
}

impl TrialBudget {
    /// An unused budget. `phase` is a random number from 0 to 1.
    pub fn new(phase: f64) -> Self {
        Self { phase, requests: 0, used: 0 }
    }

    /// Whether another request may be sent to the new version at this progress of the trial, 0 to 1. `share` is the
    /// trial's share of all requests, `part` this entry's [part](budget_part) beside it.
    pub fn has_left(&self, progress: f64, share: f64, part: f64) -> bool {
        let allowed = share * f64::from(self.requests) + part * progress.min(1.0) + self.phase;
        f64::from(self.used) < allowed.floor()
    }

    /// Counts a request that was sent.
    pub fn record(&mut self, is_new: bool) {
        self.requests += 1;
        self.used += u32::from(is_new);
    }
}
