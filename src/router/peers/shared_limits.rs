//! Rate limits of servers and their exchange between entries.
//!
//! A server advertises its limit in an answer, which reaches one entry, but the limit applies to
//! all entries. If each of a hundred entries had to learn it from an answer of its own, that would
//! take a hundred requests. So each entry reports the limits that it received from servers to the
//! seeds, and the seeds report them to all their followers: immediately if other entries are
//! sending too much, and with the next heartbeat otherwise.

use std::{
    collections::HashMap,
    sync::{
        MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::{
    policy::{
        known_limit::{KnownLimit, LimitChange, LimitReport},
        quarantine::IncarnationHash,
        rate_limit::{AdvertisedLimit, Rate},
    },
    router::Fleet,
    sync::Mutex,
};

/// Maximum number of limits in one message, 1.4 KB; the others follow in the next messages.
const MAX_PER_MESSAGE: usize = 64;
/// Time after the last update for which the limit of a server outside the fleet is kept: updates
/// may be in transit, or the server list may be late.
const RETENTION: Duration = Duration::from_secs(60);

/// Encoded limit of a server: the hash of its incarnation, the two counters of [`LimitReport`], and
/// the rate, or none where the limit has ended. Encoded without field names it takes 22 bytes
/// instead of 60.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LimitUpdate(IncarnationHash, u32, u32, Option<Rate>);

impl LimitUpdate {
    fn encode(incarnation: IncarnationHash, report: LimitReport) -> Self {
        Self(incarnation, report.changes, report.repeats, report.rate)
    }

    fn decode(self) -> (IncarnationHash, LimitReport) {
        let Self(incarnation, changes, repeats, rate) = self;
        let rate = rate.filter(|rate| rate.is_finite() && *rate > 0.0);
        (incarnation, LimitReport { changes, repeats, rate })
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct ServerLimit {
    limit: KnownLimit,
    /// Sequence number of the last change.
    sequence: u64,
    /// Whether the last change came from the server itself, not from another entry.
    is_own: bool,
}

#[derive(Debug, Default)]
struct Inner {
    servers: HashMap<IncarnationHash, ServerLimit>,
    /// Sequence number of the next change.
    next_sequence: u64,
}

impl Inner {
    fn rate_limited(&self) -> usize {
        self.servers.values().filter(|known| known.limit.rate().is_some()).count()
    }
}

/// A change of the rate that a server advertises.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RateChange {
    pub(crate) incarnation: IncarnationHash,
    pub(crate) before: Option<Rate>,
    pub(crate) rate: Option<Rate>,
}

/// Limits that this entry knows, shared by its threads.
#[derive(Debug)]
pub(crate) struct SharedLimits {
    inner: Mutex<Inner>,
    /// Number of servers with a limit. While it is 0, sends don't take the lock.
    rate_limited: AtomicUsize,
    /// Number of changes that other entries must learn immediately.
    urgent: watch::Sender<u64>,
    /// Number of these changes that this entry received from a server.
    own_urgent: watch::Sender<u64>,
}

impl Default for SharedLimits {
    fn default() -> Self {
        Self {
            inner: Mutex::default(),
            rate_limited: AtomicUsize::new(0),
            urgent: watch::Sender::new(0),
            own_urgent: watch::Sender::new(0),
        }
    }
}

impl SharedLimits {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock()
    }

    /// Number of servers that currently advertise a limit.
    pub(crate) fn rate_limited(&self) -> usize {
        self.rate_limited.load(Ordering::Acquire)
    }

    /// Locks the limits for reading; none while no server advertises a limit.
    pub(crate) fn view(&self) -> Option<LimitView<'_>> {
        (self.rate_limited() > 0).then(|| LimitView { inner: self.lock() })
    }

    /// Notifies of every later change that other entries must learn immediately.
    pub(crate) fn urgent_changes(&self) -> watch::Receiver<u64> {
        self.urgent.subscribe()
    }

    /// Notifies of every later urgent change that this entry received from a server.
    pub(crate) fn own_urgent_changes(&self) -> watch::Receiver<u64> {
        self.own_urgent.subscribe()
    }

    /// Records the limit in a server's answer to a request that was sent at `sent_at`. Returns the
    /// change, if any.
    pub(crate) fn record_answer(
        &self,
        incarnation: IncarnationHash,
        advertised: AdvertisedLimit,
        sent_at: Duration,
        now: Duration,
    ) -> Option<RateChange> {
        if self.rate_limited() == 0 && !matches!(advertised, AdvertisedLimit::Rate(_)) {
            return None;
        }
        self.update(incarnation, true, |limit| limit.record_answer(advertised, sent_at, now))
    }

    /// Applies another entry's updates. Returns the changes.
    pub(crate) fn apply_updates(&self, reported: &[LimitUpdate], now: Duration) -> Vec<RateChange> {
        let apply = |reported: &LimitUpdate| {
            let (incarnation, report) = reported.decode();
            self.update(incarnation, false, |limit| limit.merge(report, now))
        };
        reported.iter().filter_map(apply).collect()
    }

    /// Updates what is known of a server's limit and publishes a change.
    fn update(
        &self,
        incarnation: IncarnationHash,
        is_own: bool,
        apply: impl FnOnce(&mut KnownLimit) -> Option<LimitChange>,
    ) -> Option<RateChange> {
        let mut inner = self.lock();
        let mut known = inner.servers.get(&incarnation).copied().unwrap_or_default();
        let before = known.limit.rate();
        let change = apply(&mut known.limit);
        let Some(change) = change else {
            // The update may have set the time of receipt, also without a change of the limit.
            if let Some(stored) = inner.servers.get_mut(&incarnation) {
                stored.limit = known.limit;
            }
            return None;
        };
        let rate = known.limit.rate();
        (known.sequence, known.is_own) = (inner.next_sequence, is_own);
        inner.next_sequence += 1;
        inner.servers.insert(incarnation, known);
        self.rate_limited.store(inner.rate_limited(), Ordering::Release);
        drop(inner);
        if change == LimitChange::Urgent {
            self.urgent.send_modify(|changes| *changes += 1);
            if is_own {
                self.own_urgent.send_modify(|changes| *changes += 1);
            }
        }
        (before != rate).then_some(RateChange { incarnation, before, rate })
    }

    /// Limits that this entry received from servers and that changed at `sequence` or later, and
    /// the sequence number to continue from. A new reader passes none and receives all known
    /// limits.
    pub(crate) fn own_since(&self, sequence: Option<u64>) -> (Vec<LimitUpdate>, u64) {
        let is_all = sequence.is_none();
        self.since(sequence.unwrap_or_default(), |known| is_all || known.is_own)
    }

    /// Limits from servers or other entries that changed at `sequence` or later, and the sequence
    /// number to continue from.
    pub(crate) fn all_since(&self, sequence: u64) -> (Vec<LimitUpdate>, u64) {
        self.since(sequence, |_| true)
    }

    fn since(
        &self,
        sequence: u64,
        is_reported: impl Fn(&ServerLimit) -> bool,
    ) -> (Vec<LimitUpdate>, u64) {
        let inner = self.lock();
        if sequence >= inner.next_sequence {
            return (Vec::new(), inner.next_sequence);
        }
        let changed = inner.servers.iter().filter(|(_, known)| known.sequence >= sequence);
        let mut changed: Vec<_> = changed.filter(|(_, known)| is_reported(known)).collect();
        changed.sort_unstable_by_key(|(_, known)| known.sequence);
        let next =
            changed.get(MAX_PER_MESSAGE).map_or(inner.next_sequence, |(_, known)| known.sequence);
        changed.truncate(MAX_PER_MESSAGE);
        let reported = |(incarnation, known): (&IncarnationHash, &ServerLimit)| {
            Some(LimitUpdate::encode(*incarnation, known.limit.report()?))
        };
        (changed.into_iter().filter_map(reported).collect(), next)
    }

    /// The limits section of the state dump.
    pub(crate) fn dump(&self, fleet: &Fleet, now: Duration) -> Value {
        let inner = self.lock();
        let describe = |(incarnation, known): (&IncarnationHash, &ServerLimit)| {
            let member = fleet.by_incarnation(*incarnation)?;
            let received_ms = now.saturating_sub(known.limit.received_at()).as_millis() as u64;
            Some(json!({
                "server": member.server.id,
                "rate": known.limit.rate()?,
                "received_ms": received_ms,
                "received_here": known.is_own,
            }))
        };
        Value::Array(inner.servers.iter().filter_map(describe).collect())
    }

    /// Removes limits of servers outside the fleet that were last updated more than [`RETENTION`]
    /// ago.
    pub(crate) fn forget_departed(&self, fleet: &Fleet, now: Duration) {
        let is_kept = |incarnation: &IncarnationHash, known: &mut ServerLimit| {
            fleet.by_incarnation(*incarnation).is_some()
                || now < known.limit.received_at() + RETENTION
        };
        let mut inner = self.lock();
        inner.servers.retain(is_kept);
        self.rate_limited.store(inner.rate_limited(), Ordering::Release);
    }
}

/// Read access to the limits; holds the lock.
#[derive(Debug)]
pub(crate) struct LimitView<'a> {
    inner: MutexGuard<'a, Inner>,
}

impl LimitView<'_> {
    /// What is known of the limit of one incarnation of a server.
    pub(crate) fn limit(&self, incarnation: IncarnationHash) -> KnownLimit {
        self.inner.servers.get(&incarnation).map(|known| known.limit).unwrap_or_default()
    }
}
