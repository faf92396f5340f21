//! Leases in the table service, with fencing tokens.
//!
//! Clocks are not compared across processes. A holder counts the validity of its lease from before it sent
//! the renewal, less a margin; others take over only after they have seen an unchanged row for the
//! whole lease duration on their own clock. Jobs whose writes the store checks and duties whose calls nobody
//! checks use the same lease with other terms ([`LeaseTiming`], docs/decisions/0018).

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Row of a lease in the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Incarnation of the holder, in hex.
    pub holder: Box<str>,
    /// Fencing token: grows with each new holder. Writes to the store under the lease are conditional on it.
    pub fencing: u64,
    /// Grows with each renewal, so that other processes see that the holder is alive.
    pub renewals: u64,
    /// When the holder claimed the lease, in milliseconds on the store's clock.
    #[serde(default)]
    pub claimed_ms: u64,
    /// Whether the holder has given the lease up.
    #[serde(default)]
    pub is_released: bool,
}

/// Duration of a lease and its safety margin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// Time for which another process has to see an unchanged row before it takes over.
    pub duration: Duration,
    /// Last part of the duration, in which the holder no longer relies on the lease.
    pub margin: Duration,
    /// Whether an absent row may be claimed immediately. Only safe if every write under the lease is
    /// conditional on its row: a row that was lost may have had a holder that is still acting.
    pub claims_absent_row: bool,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(6),
            margin: Duration::from_secs(2),
            claims_absent_row: true,
        }
    }
}

/// What a process knows about a lease; times are on its own monotonic clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseView {
    observed: Option<ObservedRow>,
    held: Option<HeldLease>,
    /// Fencing token of the last claim that this process planned.
    planned: Option<u64>,
}

/// Who asks for a lease, and on what terms.
#[derive(Clone, Copy, Debug)]
pub struct Claimant<'a> {
    /// Id of this run of the process.
    pub holder: &'a str,
    /// Least fencing token of a new claim. If the row can be lost, it has to come from a counter that
    /// outlives the row; 1 otherwise.
    pub min_fencing: u64,
    /// Current time on the store's clock, in milliseconds.
    pub store_now_ms: u64,
}

/// The row as last read or written, and when this version was first seen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ObservedRow {
    /// `None` if the row does not exist.
    row: Option<LeaseRow>,
    /// 0 if the row does not exist.
    version: u64,
    since: Duration,
    /// Fencing token of the last row that was seen held.
    seen_held: Option<u64>,
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
        let (row, version) = row.map_or((None, 0), |(row, version)| (Some(row), version));
        // A delayed write, or one of another process, has replaced the row of the lease that is held.
        self.held.take_if(|held| {
            row.as_ref().is_none_or(|row| row.fencing != held.fencing || row.is_released)
        });
        if self.observed.as_ref().is_some_and(|observed| observed.version == version) {
            return;
        }
        let held = row.as_ref().filter(|row| !row.is_released).map(|row| row.fencing);
        let seen_held = held.or(self.observed.as_ref().and_then(|observed| observed.seen_held));
        self.observed = Some(ObservedRow { row, version, since: now, seen_held });
    }

    /// Discards everything known, because the store was restored from an older copy: its rows may show
    /// a holder that has been replaced since, and reuse versions.
    pub fn forget(&mut self) {
        *self = Self::default();
    }

    /// Decides whether to claim or renew the lease.
    pub fn plan(
        &mut self,
        claimant: Claimant<'_>,
        now: Duration,
        timing: LeaseTiming,
    ) -> LeaseAction {
        let Some(observed) = &self.observed else {
            return LeaseAction::Wait;
        };
        let expected = observed.row.as_ref().map(|_| observed.version);
        if let Some(row) = observed.row.as_ref().filter(|row| self.is_own(row, claimant.holder)) {
            let row = LeaseRow { renewals: row.renewals + 1, ..row.clone() };
            return LeaseAction::Write { row, expected };
        }
        let is_free = match &observed.row {
            None => timing.claims_absent_row,
            Some(row) => observed.is_given_up(row, claimant, timing),
        };
        if !is_free && now < observed.since + timing.duration {
            return LeaseAction::Wait;
        }
        let next = observed.row.as_ref().map_or(1, |row| row.fencing + 1);
        let fencing = next.max(claimant.min_fencing);
        self.planned = Some(fencing);
        let row = LeaseRow {
            holder: claimant.holder.into(),
            fencing,
            renewals: 0,
            claimed_ms: claimant.store_now_ms,
            is_released: false,
        };
        LeaseAction::Write { row, expected }
    }

    /// Whether a row shows a claim that this process planned and has not given up. A row of a restored
    /// store may show an earlier claim of it, after which others held the lease.
    pub fn is_own(&self, row: &LeaseRow, holder: &str) -> bool {
        *row.holder == *holder && self.planned == Some(row.fencing) && !row.is_released
    }

    /// The row with which this process gives the lease up, and the version that the stored row must
    /// have; `None` if it does not hold the lease.
    pub fn plan_release(&mut self, now: Duration) -> Option<(LeaseRow, u64)> {
        self.fencing_token(now)?;
        self.held = None;
        let observed = self.observed.as_ref()?;
        let row = observed.row.clone()?;
        Some((LeaseRow { is_released: true, renewals: row.renewals + 1, ..row }, observed.version))
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
        let seen_held = Some(row.fencing);
        self.observed = Some(ObservedRow { row: Some(row), version, since: sent, seen_held });
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

impl ObservedRow {
    /// Whether the holder has given the lease up in view of this process, after holding it for its whole
    /// duration. With shorter terms, a holder could act again within that time after its successor.
    fn is_given_up(&self, row: &LeaseRow, claimant: Claimant<'_>, timing: LeaseTiming) -> bool {
        let term = claimant.store_now_ms.saturating_sub(row.claimed_ms);
        row.is_released
            && self.seen_held == Some(row.fencing)
            && u128::from(term) >= timing.duration.as_millis()
    }
}
