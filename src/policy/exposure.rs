//! How much of a service's traffic a version under roll-out gets, by time alone.
//!
//! The share of a session follows from a hash of its key, so all entries agree without talking,
//! and the share only grows, so no session moves back. In the first half it stays small: a bad
//! version is found on few requests, and no running session is moved. docs/decisions/0008.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Share during the first half; below the least exposure any deployment allows (0.15).
const TRIAL_SHARE: f64 = 0.08;
/// Part of the time at which the share begins to grow.
const GROWS_FROM: f64 = 0.5;
/// Part of the time at which all traffic is on the new version.
const ALL_FROM: f64 = 0.75;
/// Part of the time from which the roll-out may be called completed.
const COMPLETE_FROM: f64 = 0.85;

/// Share of sessions that run on the new version.
pub fn share_at(elapsed: Duration, within: Duration) -> f64 {
    let part = part_of(elapsed, within);
    if part < GROWS_FROM {
        return TRIAL_SHARE;
    }
    let grown = (part - GROWS_FROM) / (ALL_FROM - GROWS_FROM);
    (TRIAL_SHARE + (1.0 - TRIAL_SHARE) * grown).min(1.0)
}

/// Whether running sessions may be moved to the new version.
pub fn may_move_sessions(elapsed: Duration, within: Duration) -> bool {
    part_of(elapsed, within) >= GROWS_FROM
}

/// Whether the roll-out may be completed now.
pub fn may_complete(elapsed: Duration, within: Duration) -> bool {
    part_of(elapsed, within) >= COMPLETE_FROM
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
