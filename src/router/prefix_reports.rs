//! What entries report to each other about the prompt parts that BackendServers keep.
//!
//! Each entry knows which parts it sent where. With many entries most of what a server keeps was sent
//! there by others, and an entry that has just started knows nothing; so each entry reports to the seeds
//! what it sent, and the seeds pass it on with their heartbeats (docs/decisions/0011).

use std::{sync::Mutex, time::Duration};

use serde::{Deserialize, Serialize};

use crate::router::{
    Fleet,
    update_log::{UpdateLog, UpdateLogLimits},
};

/// Notes kept for links that are behind or new; 40 KB. At 1,000 requests a second, of which one in four
/// has long shared parts, the seeds take in 300 to 400 in a second.
const MAX_STORED: usize = 2_048;
/// Notes reported in one message at most, so that a message stays under 10 KB.
const MAX_PER_MESSAGE: usize = 512;
/// Age at which a note is passed on no more: a part that is still in use was reported again by then.
const MAX_AGE: Duration = Duration::from_secs(8);

/// A part of a prompt that a server was sent, as entries report it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CachedPrefix(
    /// Short hash of the server's id.
    pub(crate) u32,
    /// Hash of the prompt up to the part's end.
    pub(crate) u32,
    /// Tokens of the part.
    pub(crate) u32,
);

const LIMITS: UpdateLogLimits =
    UpdateLogLimits { capacity: MAX_STORED, per_message: MAX_PER_MESSAGE, max_age: MAX_AGE };

#[derive(Debug)]
struct Inner {
    /// Of this entry.
    own: UpdateLog<CachedPrefix>,
    /// Of all entries, where others follow this one.
    all: UpdateLog<CachedPrefix>,
    /// Notes about servers that are not in view yet, at most [`MOST_REPORTED`]: an entry that starts is informed
    /// of parts before it has read the list of servers.
    unmatched: Vec<CachedPrefix>,
}

impl Default for Inner {
    fn default() -> Self {
        Self { own: UpdateLog::new(LIMITS), all: UpdateLog::new(LIMITS), unmatched: Vec::new() }
    }
}

/// The notes of an entry.
#[derive(Debug, Default)]
pub(crate) struct PrefixReports {
    inner: Mutex<Inner>,
}

impl PrefixReports {
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panics under the lock")
    }

    /// Notes what this entry sent.
    pub(crate) fn record_own(&self, prefix: CachedPrefix, now: Duration) {
        let mut inner = self.lock();
        inner.own.push(prefix, now);
        inner.all.push(prefix, now);
    }

    /// Takes in what another entry reports that it sent; those that follow this one are informed, too.
    pub(crate) fn apply_report(&self, prefixes: &[CachedPrefix], fleet: &Fleet, now: Duration) {
        let mut inner = self.lock();
        for prefix in prefixes {
            inner.all.push(*prefix, now);
        }
        drop(inner);
        self.apply(prefixes, fleet);
    }

    /// Lets the servers' records know what other entries sent them.
    pub(crate) fn apply(&self, prefixes: &[CachedPrefix], fleet: &Fleet) {
        let mut inner = self.lock();
        let earlier = std::mem::take(&mut inner.unmatched);
        for prefix in earlier.iter().chain(prefixes) {
            let CachedPrefix(server, hash, tokens) = *prefix;
            match fleet.by_short_hash(server) {
                Some(member) => member.record().kept.note_reported(hash, u64::from(tokens)),
                None => inner.unmatched.push(*prefix),
            }
        }
        let excess = inner.unmatched.len().saturating_sub(MAX_PER_MESSAGE);
        inner.unmatched.drain(..excess);
    }

    /// What this entry sent since the note with this number, and the number to go on with.
    pub(crate) fn own_since(&self, position: u64, now: Duration) -> (Vec<CachedPrefix>, u64) {
        self.lock().own.since(position, now)
    }

    /// Notes that a link did not get because too many came.
    pub(crate) fn lost(&self) -> u64 {
        let inner = self.lock();
        inner.own.lost() + inner.all.lost()
    }

    /// The same for all entries.
    pub(crate) fn all_since(&self, position: u64, now: Duration) -> (Vec<CachedPrefix>, u64) {
        self.lock().all.since(position, now)
    }
}
