//! Leases in the table service, with fencing tokens.
//!
//! Clocks are not compared across processes. A holder counts the validity of its lease from before it sent
//! the renewal, less a margin; others take over only after they have seen an unchanged row for the
//! whole lease duration on their own clock.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Row of a lease in the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Incarnation of the holder, in hex.
    pub holder: Box<str>,
    /// Fencing token: grows by one with each new holder; every write under the lease is conditional on it.
    pub fencing: u64,
    /// Grows with each renewal, so that other processes see that the holder is alive.
    pub renewals: u64,
}

/// Duration of a lease and its safety margin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// Time for which another process has to see an unchanged row before it takes over.
    pub duration: Duration,
    /// Last part of the duration, in which the holder no longer relies on the lease.
    pub margin: Duration,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self { duration: Duration::from_secs(6), margin: Duration::from_secs(2) }
    }
}

/// What a process knows about a lease; times are on its own monotonic clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseView {
    observed: Option<ObservedRow>,
    held: Option<HeldLease>,
}

/// The row as last read or written, and when this version was first seen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ObservedRow {
    row: LeaseRow,
    version: u64,
    since: Duration,
}

/// Fencing token of the lease that this process holds, and until when it may rely on it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    fencing: u64,
    until: Duration,
}

/// Next action on a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseAction {
    /// Write a row if the stored one still has the expected version.
    Write {
        /// Row to write.
        row: LeaseRow,
        /// Version that the stored row must have; none if it must be absent.
        expected: Option<u64>,
    },
    /// Another process holds the lease; check again later.
    Wait,
}

impl LeaseView {
    /// Records the row as read at `now`.
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

    /// Records that a write of this process was committed; `sent` is the time just before it was sent.
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

    /// Records that a write of this process failed its condition, so it no longer holds the lease.
    pub fn record_conflict(&mut self) {
        self.held = None;
    }

    /// Fencing token under which this process may act now; none if it does not hold the lease.
    pub fn fencing_token(&self, now: Duration) -> Option<u64> {
        self.held.as_ref().filter(|held| now < held.until).map(|held| held.fencing)
    }
}
