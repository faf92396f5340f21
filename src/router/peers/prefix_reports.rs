//! Exchange of cached prompt prefixes between entries.
//!
//! Each entry knows which prompt parts it sent to which BackendServer. With many entries, most of
//! what a server has cached was sent by other entries, and an entry that has just started knows
//! nothing. So each entry reports what it sent to the seeds, and the seeds pass it on with their
//! heartbeats (docs/decisions/0011).

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    router::{
        Fleet,
        peers::update_log::{UpdateLog, UpdateLogLimits},
    },
    sync::Mutex,
};

/// Prefixes stored for links that are new or behind; 40 KB. At 1,000 requests per second, a quarter
/// of them with long shared parts, the seeds receive 300 to 400 prefixes per second.
const MAX_STORED: usize = 2_048;
/// Maximum number of prefixes in one message, which keeps messages under 10 KB.
const MAX_PER_MESSAGE: usize = 512;
/// Age after which a prefix is no longer passed on: one that is still in use has been reported
/// again by then.
const MAX_AGE: Duration = Duration::from_secs(8);

/// A prompt prefix that was sent to a server, encoded without field names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReportedPrefix(
    /// Short hash of the server's id.
    pub(crate) u32,
    /// Hash of the prompt up to the end of its last part.
    pub(crate) u32,
    /// Number of tokens in the last part.
    pub(crate) u32,
);

const LIMITS: UpdateLogLimits =
    UpdateLogLimits { capacity: MAX_STORED, per_message: MAX_PER_MESSAGE, max_age: MAX_AGE };

#[derive(Debug)]
struct Inner {
    /// Prefixes that this entry sent.
    own: UpdateLog<ReportedPrefix>,
    /// Prefixes that any entry sent, for the entries that follow this one.
    all: UpdateLog<ReportedPrefix>,
    /// Prefixes for servers that are not in the fleet yet, at most [`MAX_PER_MESSAGE`]. A starting
    /// entry may receive prefixes before it has read the list of servers.
    unmatched: Vec<ReportedPrefix>,
}

impl Default for Inner {
    fn default() -> Self {
        Self { own: UpdateLog::new(LIMITS), all: UpdateLog::new(LIMITS), unmatched: Vec::new() }
    }
}

/// Cached prefixes that this entry sent or received.
#[derive(Debug, Default)]
pub(crate) struct PrefixReports {
    inner: Mutex<Inner>,
}

impl PrefixReports {
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock()
    }

    /// Records a prefix that this entry sent.
    pub(crate) fn record_own(&self, prefix: ReportedPrefix, now: Duration) {
        let mut inner = self.lock();
        inner.own.push(prefix, now);
        inner.all.push(prefix, now);
    }

    /// Applies another entry's report and keeps it for the entries that follow this one.
    pub(crate) fn apply_report(&self, prefixes: &[ReportedPrefix], fleet: &Fleet, now: Duration) {
        let mut inner = self.lock();
        for prefix in prefixes {
            inner.all.push(*prefix, now);
        }
        drop(inner);
        self.apply(prefixes, fleet);
    }

    /// Records in the fleet what other entries sent to its servers, and retries prefixes whose
    /// server was unknown.
    pub(crate) fn apply(&self, prefixes: &[ReportedPrefix], fleet: &Fleet) {
        let mut inner = self.lock();
        let earlier = std::mem::take(&mut inner.unmatched);
        for prefix in earlier.iter().chain(prefixes) {
            let ReportedPrefix(server, hash, tokens) = *prefix;
            match fleet.by_short_hash(server) {
                Some(member) => member.state().prefixes.record_peer_report(hash, u64::from(tokens)),
                None => inner.unmatched.push(*prefix),
            }
        }
        let excess = inner.unmatched.len().saturating_sub(MAX_PER_MESSAGE);
        inner.unmatched.drain(..excess);
    }

    /// Prefixes sent by this entry, starting at `position` of the log, and the position to continue
    /// from.
    pub(crate) fn own_since(&self, position: u64, now: Duration) -> (Vec<ReportedPrefix>, u64) {
        self.lock().own.since(position, now)
    }

    /// Number of prefixes that links missed because the log or a message was full.
    pub(crate) fn lost(&self) -> u64 {
        let inner = self.lock();
        inner.own.lost() + inner.all.lost()
    }

    /// Prefixes sent by any entry, starting at `position` of the log, and the position to continue
    /// from.
    pub(crate) fn all_since(&self, position: u64, now: Duration) -> (Vec<ReportedPrefix>, u64) {
        self.lock().all.since(position, now)
    }
}
