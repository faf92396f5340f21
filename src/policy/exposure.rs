//! How much of a service's traffic a version under roll-out gets, by time alone.
//!
//! The share of a session follows from a hash of its key, so all entries agree without talking,
//! and the share only grows, so no session moves back. In the first half, in which its operator
//! forbids to move a running session, no session is on trial, only requests without one: an entry
//! can't distinguish a session that has just begun from one that others have served. It stays small until
//! shortly before the end, so that a bad version is found on few requests. docs/decisions/0008.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How a roll-out's share grows; settings under `roll_out`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureConfig {
    /// Share of the requests without a session until it begins to grow.
    pub trial_share: f64,
    /// Part of the time from which sessions are on trial.
    pub sessions_from: f64,
    /// Part of the time at which the share begins to grow.
    pub grows_from: f64,
    /// Part of the time at which all traffic is on the new version.
    pub all_from: f64,
    /// Part of the time from which the roll-out may be called completed.
    pub complete_from: f64,
}

impl Default for ExposureConfig {
    fn default() -> Self {
        Self {
            // A version may be bad without showing it on a trial, so the trial and the end together
            // stay below the least exposure that any deployment allows, 0.15 of the requests in
            // the whole time: 0.06 of 0.92 and all of 0.08 make 0.135.
            trial_share: 0.06,
            // The first half and a little more: entries agree on a roll-out's age to 5 ms on a quiet
            // day, and to the 250 ms between two reads of the orders otherwise.
            sessions_from: 0.52,
            grows_from: 0.92,
            all_from: 0.93,
            // All requests on the new version for a second show what the trial did not.
            complete_from: 0.96,
        }
    }
}

impl ExposureConfig {
    /// Share of the sessions that are on trial at a part of the time. In its shorter time the trial
    /// gets as many requests as with [`Self::trial_share`] from the begin on, so that it shows as
    /// much and exposes no more; it begins with few, for what a large fleet sends to a bad version
    /// until its entries know: on 32 days with a bad version 449 requests, 609 with the mean at once.
    fn session_trial_share(&self, progress: f64) -> f64 {
        let trial_length = (self.grows_from - self.sessions_from).max(1e-3);
        let mean = self.trial_share * self.grows_from / trial_length;
        let trial_progress = ((progress - self.sessions_from) / trial_length).clamp(0.0, 1.0);
        (2.0 * mean * trial_progress).min(1.0)
    }

    fn share_at(&self, progress: f64, trial_share: f64) -> f64 {
        if progress < self.grows_from {
            return trial_share;
        }
        let growth_progress =
            (progress - self.grows_from) / (self.all_from - self.grows_from).max(1e-3);
        (trial_share + (1.0 - trial_share) * growth_progress).min(1.0)
    }
}

/// Share of the requests without a session that run on the new version.
pub fn request_share(elapsed: Duration, duration: Duration, config: &ExposureConfig) -> f64 {
    config.share_at(progress_at(elapsed, duration), config.trial_share)
}

/// Share of the sessions that run on the new version.
///
/// It needs no memory of sessions: their requests come through any entry, and what one entry
/// remembers is not known where the next request arrives. With notes at the entries and a trial from
/// the begin on, three to four running sessions were moved in the first half of a good roll-out (32
/// entries, 300 requests of sessions a second); 217 of 218 requests that went to the new version met
/// an entry without a note of their session.
pub fn session_share(elapsed: Duration, duration: Duration, config: &ExposureConfig) -> f64 {
    let progress = progress_at(elapsed, duration);
    config.share_at(progress, config.session_trial_share(progress))
}

/// Whether the roll-out may be completed now.
pub fn may_complete(elapsed: Duration, duration: Duration, config: &ExposureConfig) -> bool {
    progress_at(elapsed, duration) >= config.complete_from
}

/// Whether all requests may run on the new version by now.
pub fn is_past_trial(elapsed: Duration, duration: Duration, config: &ExposureConfig) -> bool {
    progress_at(elapsed, duration) >= config.grows_from
}

/// Whether a session runs on the new version at this share.
pub fn is_in_share(session: &str, version: &str, share: f64) -> bool {
    hash_fraction(session, version) < share
}

/// A number from 0 up to 1 that is always the same for a session and a purpose.
pub fn hash_fraction(session: &str, purpose: &str) -> f64 {
    let salt = xxh3_64_with_seed(purpose.as_bytes(), 0);
    let hash = xxh3_64_with_seed(session.as_bytes(), salt);
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

fn progress_at(elapsed: Duration, duration: Duration) -> f64 {
    elapsed.as_secs_f64() / duration.as_secs_f64().max(1e-3)
}
