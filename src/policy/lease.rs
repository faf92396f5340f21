//! Leases in the table service, with fencing numbers.
//!
//! No clocks are compared across processes. A holder counts its validity from before it sent
//! the renewal, less a margin; others take over only after they have seen the same row for the
//! whole lease time on their own clock.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The row of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Incarnation of the holder, in hex.
    pub holder: Box<str>,
    /// Grows by one with each new holder; every write under the lease is conditional on it.
    pub fencing: u64,
    /// Grows with each renewal, so that watchers see that the holder lives.
    pub renewals: u64,
}

/// Time of a lease and what the holder leaves unused of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// Time a watcher waits before it takes over.
    pub duration: Duration,
    /// Part of it the holder does not use.
    pub margin: Duration,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self { duration: Duration::from_secs(6), margin: Duration::from_secs(2) }
    }
}

/// What a process knows about one lease; times are on its own monotonic clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseView {
    observed: Option<ObservedRow>,
    held: Option<HeldLease>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ObservedRow {
    row: LeaseRow,
    version: u64,
    since: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    fencing: u64,
    until: Duration,
}

/// What to do about a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseAction {
    /// Write this row if the row still has this version, or is absent.
    Write {
        /// Row to write.
        row: LeaseRow,
        /// Version the row must have; none means absent.
        expected: Option<u64>,
    },
    /// Someone else holds it; look again later.
    Wait,
}

impl LeaseView {
    /// Notes the row as read at `now`.
    pub fn observe(&mut self, row: Option<(LeaseRow, u64)>, now: Duration) {
        let Some((row, version)) = row else {
            self.observed = None;
            return;
        };
        if self.observed.as_ref().is_some_and(|observed| observed.version == version) {
            return;
        }
        self.observed = Some(ObservedRow { row, version, since: now });
    }

    /// Decides whether to take or renew the lease.
    pub fn plan(&self, own_id: &str, now: Duration, timing: LeaseTiming) -> LeaseAction {
        let Some(observed) = &self.observed else {
            let row = LeaseRow { holder: own_id.into(), fencing: 1, renewals: 0 };
            return LeaseAction::Write { row, expected: None };
        };
        let expected = Some(observed.version);
        if &*observed.row.holder == own_id {
            let mut row = observed.row.clone();
            row.renewals += 1;
            return LeaseAction::Write { row, expected };
        }
        if now < observed.since + timing.duration {
            return LeaseAction::Wait;
        }
        let fencing = observed.row.fencing + 1;
        let row = LeaseRow { holder: own_id.into(), fencing, renewals: 0 };
        LeaseAction::Write { row, expected }
    }

    /// Notes that our write committed; `sent` is the time just before it was sent.
    pub fn record_commit(
        &mut self,
        row: LeaseRow,
        version: u64,
        sent: Duration,
        timing: LeaseTiming,
    ) {
        self.held =
            Some(HeldLease { fencing: row.fencing, until: sent + timing.duration - timing.margin });
        self.observed = Some(ObservedRow { row, version, since: sent });
    }

    /// Notes that our write failed its condition: what we thought we held is gone.
    pub fn record_conflict(&mut self) {
        self.held = None;
    }

    /// Fencing number under which this process may act now.
    pub fn fencing_token(&self, now: Duration) -> Option<u64> {
        self.held.as_ref().filter(|held| now < held.until).map(|held| held.fencing)
    }
}
