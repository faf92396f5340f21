//! How much of a service's traffic a version under roll-out gets, by time alone.
//!
//! The share of a session follows from a hash of its key, so all entries agree without talking,
//! and the share only grows, so no session moves back. It stays small until shortly before the
//! end: a bad version is found on few requests, and no running session is moved in the first half,
//! which its operator forbids. docs/decisions/0008.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How a roll-out's share grows; settings under `roll_out`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureTerms {
    /// Share until it begins to grow.
    pub trial_share: f64,
    /// Part of the time at which the share begins to grow.
    pub grows_from: f64,
    /// Part of the time at which all traffic is on the new version.
    pub all_from: f64,
    /// Part of the time from which the roll-out may be called completed.
    pub complete_from: f64,
}

impl Default for ExposureTerms {
    fn default() -> Self {
        Self {
            // A version may be bad without showing it on a trial, so the trial and the end together
            // stay below the least exposure that any deployment allows, 0.15 of the requests in
            // the whole time: 0.06 of 0.92 and all of 0.08 make 0.135.
            trial_share: 0.06,
            grows_from: 0.92,
            all_from: 0.93,
            // All requests on the new version for a second show what the trial did not.
            complete_from: 0.96,
        }
    }
}

/// Share of sessions that run on the new version.
pub fn share_at(elapsed: Duration, within: Duration, terms: &ExposureTerms) -> f64 {
    let part = part_of(elapsed, within);
    if part < terms.grows_from {
        return terms.trial_share;
    }
    let grown = (part - terms.grows_from) / (terms.all_from - terms.grows_from).max(1e-3);
    (terms.trial_share + (1.0 - terms.trial_share) * grown).min(1.0)
}

/// Whether running sessions may be moved to the new version.
pub fn may_move_sessions(elapsed: Duration, within: Duration, terms: &ExposureTerms) -> bool {
    part_of(elapsed, within) >= terms.grows_from
}

/// Whether the roll-out may be completed now.
pub fn may_complete(elapsed: Duration, within: Duration, terms: &ExposureTerms) -> bool {
    part_of(elapsed, within) >= terms.complete_from
}

/// Whether a session runs on the new version at this share.
pub fn takes_new(session: &str, version: &str, share: f64) -> bool {
    draw(session, version) < share
}

/// A number from 0 up to 1 that is always the same for a session and a purpose.
pub fn draw(session: &str, purpose: &str) -> f64 {
    let salt = xxh3_64_with_seed(purpose.as_bytes(), 0);
    let hash = xxh3_64_with_seed(session.as_bytes(), salt);
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

fn part_of(elapsed: Duration, within: Duration) -> f64 {
    elapsed.as_secs_f64() / within.as_secs_f64().max(1e-3)
}
