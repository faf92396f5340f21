//! Acquires and renews leases kept in the table service.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    control::store_health::StoreHealth,
    ids::{Incarnation, format_id},
    platform::{Error, Result, TableClient, Transaction},
    policy::lease::{Claimant, LeaseAction, LeaseRow, LeaseTiming, LeaseView},
    telemetry::event,
};

/// A lease as seen and held by one process.
#[derive(Debug)]
pub struct Lease {
    name: Box<str>,
    me: Box<str>,
    timing: LeaseTiming,
    view: LeaseView,
    started: Instant,
    version: u64,
}

/// Permission to act under a lease while its row is unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Key of the lease's row.
    pub key: Box<str>,
    /// Version that the row must still have when a write under the lease commits.
    pub version: u64,
    /// Fencing number of the lease; increases with each new holder.
    pub fencing: u64,
}

impl Permit {
    /// Creates a transaction that fails if the lease has been renewed or taken over since.
    pub fn transaction(&self) -> Transaction {
        Transaction::default().check(self.key.clone(), Some(self.version))
    }
}

impl Lease {
    /// Creates the view of a lease whose row has not been read yet.
    pub fn new(name: &str, me: Incarnation, timing: LeaseTiming) -> Self {
        Self {
            name: name.into(),
            me: format_id(me),
            timing,
            view: LeaseView::default(),
            started: Instant::now(),
            version: 0,
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn key(&self) -> Box<str> {
        format!("leases/{}", self.name).into()
    }

    /// Permission to act now; `None` if this process doesn't hold the lease.
    pub fn permit(&self) -> Option<Permit> {
        let fencing = self.view.fencing_token(self.now())?;
        Some(Permit { key: self.key(), version: self.version, fencing })
    }

    /// Reads the lease's row and acquires or renews the lease if due.
    ///
    /// # Errors
    /// When a call to the store fails; a held lease then expires by itself.
    pub async fn acquire_or_renew(
        &mut self,
        table: &TableClient,
        health: &StoreHealth,
    ) -> Result<()> {
        let row = health.track("lease_read", table.get(&self.key())).await?;
        let row = match row {
            Some(row) => Some((row.parse::<LeaseRow>()?, row.version)),
            None => None,
        };
        self.view.observe(row, self.now());
        // The store checks the row's version at each write under the lease, so tokens need not outlive it.
        let claimant = Claimant { holder: &self.me, min_fencing: 1, store_now_ms: 0 };
        let LeaseAction::Write { row, expected } =
            self.view.plan(claimant, self.now(), self.timing)
        else {
            return Ok(());
        };
        let held_before = self.permit().is_some();
        let sent_at = self.now();
        let tx = Transaction::default().check(self.key(), expected).put(self.key(), &row);
        match health.track("lease_write", table.transact(tx)).await {
            Ok(Ok(version)) => {
                let fencing = row.fencing;
                self.version = version;
                self.view.record_commit(row, version, sent_at, self.timing);
                if !held_before {
                    event::LEASE_TAKEN.log(format_args!("lease={} fencing={fencing}", self.name));
                }
                Ok(())
            }
            Ok(Err(_)) => {
                self.view.record_conflict();
                if held_before {
                    event::LEASE_LOST.log(format_args!("lease={}", self.name));
                }
                Ok(())
            }
            // After a lost reply, the next read of the row shows whether the renewal was written.
            Err(e @ Error::Unknown(_)) => Err(e),
            Err(e) => Err(e),
        }
    }
}
