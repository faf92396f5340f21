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
    seen: Option<Seen>,
    held: Option<Held>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Seen {
    row: LeaseRow,
    version: u64,
    since: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Held {
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
            self.seen = None;
            return;
        };
        if self.seen.as_ref().is_some_and(|seen| seen.version == version) {
            return;
        }
        self.seen = Some(Seen { row, version, since: now });
    }

    /// Decides whether to take or renew the lease.
    pub fn plan(&self, me: &str, now: Duration, terms: LeaseTiming) -> LeaseAction {
        let Some(seen) = &self.seen else {
            let row = LeaseRow { holder: me.into(), fencing: 1, renewals: 0 };
            return LeaseAction::Write { row, expected: None };
        };
        let expected = Some(seen.version);
        if &*seen.row.holder == me {
            let mut row = seen.row.clone();
            row.renewals += 1;
            return LeaseAction::Write { row, expected };
        }
        if now < seen.since + terms.duration {
            return LeaseAction::Wait;
        }
        let fencing = seen.row.fencing + 1;
        let row = LeaseRow { holder: me.into(), fencing, renewals: 0 };
        LeaseAction::Write { row, expected }
    }

    /// Notes that our write committed; `sent` is the time just before it was sent.
    pub fn record_commit(
        &mut self,
        row: LeaseRow,
        version: u64,
        sent: Duration,
        terms: LeaseTiming,
    ) {
        self.held =
            Some(Held { fencing: row.fencing, until: sent + terms.duration - terms.margin });
        self.seen = Some(Seen { row, version, since: sent });
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
