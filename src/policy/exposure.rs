//! Share of a service's traffic that a roll-out sends to the new version, as a function of time alone.
//!
//! A hash of its key decides whether a session is in the share, so that all entries agree without
//! communication, and the share only grows, so that no session moves back. In the first half, when the
//! operator does not allow running sessions to move, only requests without a session take part in the trial:
//! an entry can't distinguish a new session from one that other entries have served. The share stays small
//! until shortly before the end, so that a bad version is found with few requests (docs/decisions/0008).

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum share of the requests that take part in a trial while its budget lasts, so that they are a random sample.
pub const MAX_SAMPLE_SHARE: f64 = 0.5;

/// Part of the allowed exposure that is used; traffic may fall during a roll-out.
const USED_EXPOSURE: f64 = 0.9;

/// How the share of the new version grows over a roll-out; settings under `roll_out`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureConfig {
    /// Share of the requests without a session during the trial.
    pub trial_share: f64,
    /// Fraction of the duration from which sessions take part in the trial.
    pub sessions_from: f64,
    /// Fraction of the duration at which the trial ends and the share begins to grow.
    pub grows_from: f64,
    /// Fraction of the duration from which all traffic runs on the new version.
    pub all_from: f64,
    /// Fraction of the duration from which the roll-out may be completed.
    pub complete_from: f64,
}

impl Default for ExposureConfig {
    fn default() -> Self {
        Self {
            // A version may be bad without showing it in the trial, so the trial and the end together
            // stay below the smallest exposure limit of any deployment, 0.15 of the requests of the
            // whole roll-out: 0.06 of 0.92 and all of 0.08 make 0.135.
            trial_share: 0.06,
            // The first half and a little more: entries agree on a roll-out's age to within 5 ms on a
            // quiet day, and to within the 250 ms between two reads of the orders otherwise.
            sessions_from: 0.52,
            grows_from: 0.92,
            all_from: 0.93,
            // A second with all requests on the new version shows what the trial did not.
            complete_from: 0.96,
        }
    }
}

impl ExposureConfig {
    /// The configuration for a deployment that allows a bad version this share of all requests of a roll-out: trial and
    /// end shrink until both together stay below it.
    #[must_use]
    pub fn within(self, exposure_share: f64) -> Self {
        let growth = (self.all_from - self.grows_from) / 2.0;
        let exposed = self.trial_share * self.grows_from + growth + (1.0 - self.all_from);
        let factor = (exposure_share * USED_EXPOSURE / exposed.max(1e-3)).min(1.0);
        let later = |from: f64| 1.0 - (1.0 - from) * factor;
        let all_from = later(self.all_from);
        Self {
            trial_share: self.trial_share * factor,
            sessions_from: self.sessions_from,
            grows_from: later(self.grows_from),
            all_from,
            complete_from: self.complete_from.max(all_from),
        }
    }

    /// Share of the sessions during the trial. The trial of sessions is shorter, but gets as many requests as
    /// with [`Self::trial_share`] from the start, so that it shows as much and exposes no more. Its share
    /// grows from zero, to limit what a large fleet sends to a bad version before its entries detect it: 449
    /// requests on 32 days with a bad version, instead of 609 with the mean share from the beginning.
    fn session_trial_share(&self, progress: f64) -> f64 {
        let trial_length = (self.grows_from - self.sessions_from).max(1e-3);
        let mean = self.trial_share * self.grows_from / trial_length;
        let trial_progress = ((progress - self.sessions_from) / trial_length).clamp(0.0, 1.0);
        (2.0 * mean * trial_progress).min(1.0)
    }

    /// Share of the traffic on the new version: `trial_share` during the trial, then growing to 1.
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
/// It uses no record of sessions: their requests arrive at any entry, and what one entry records is not
/// known to the entry that receives the next request. With such records and a trial from the start, three to
/// four running sessions were moved in the first half of a good roll-out (32 entries, 300 session requests
/// per second); 217 of 218 requests that went to the new version arrived at an entry without a record of
/// their session.
pub fn session_share(elapsed: Duration, duration: Duration, config: &ExposureConfig) -> f64 {
    let progress = progress_at(elapsed, duration);
    config.share_at(progress, config.session_trial_share(progress))
}

/// Whether the roll-out may be completed now.
pub fn may_complete(elapsed: Duration, duration: Duration, config: &ExposureConfig) -> bool {
    progress_at(elapsed, duration) >= config.complete_from
}

/// Progress of the trial, 1 at its end.
pub fn trial_progress(elapsed: Duration, duration: Duration, config: &ExposureConfig) -> f64 {
    progress_at(elapsed, duration) / config.grows_from.max(1e-3)
}

/// Whether the trial is over, so that the share grows towards all requests.
pub fn is_past_trial(elapsed: Duration, duration: Duration, config: &ExposureConfig) -> bool {
    progress_at(elapsed, duration) >= config.grows_from
}

/// Whether a session is in the share that runs on the new version.
pub fn is_in_share(session: &str, version: &str, share: f64) -> bool {
    hash_fraction(session, version) < share
}

/// Hash of a session and a purpose, as a number from 0 up to but not including 1.
pub fn hash_fraction(session: &str, purpose: &str) -> f64 {
    let salt = xxh3_64_with_seed(purpose.as_bytes(), 0);
    let hash = xxh3_64_with_seed(session.as_bytes(), salt);
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

/// Elapsed fraction of a roll-out's duration.
fn progress_at(elapsed: Duration, duration: Duration) -> f64 {
    elapsed.as_secs_f64() / duration.as_secs_f64().max(1e-3)
}
