//! Holding a lease in the table service.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    control::store_health::StoreHealth,
    ids::{Incarnation, format_id},
    platform::{Error, Result, TableClient, Transaction},
    policy::lease::{LeaseAction, LeaseRow, LeaseTiming, LeaseView},
    telemetry::event,
};

/// One process's hold on one lease.
#[derive(Debug)]
pub struct Lease {
    name: Box<str>,
    me: Box<str>,
    terms: LeaseTiming,
    view: LeaseView,
    started: Instant,
    version: u64,
}

/// Permission to act under a lease, for as long as its row is unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Key of the lease's row.
    pub key: Box<str>,
    /// Version the row must still have when a write under the lease commits.
    pub version: u64,
    /// Fencing number.
    pub fencing: u64,
}

impl Permit {
    /// A transaction that fails when the lease has passed to someone else.
    pub fn transaction(&self) -> Transaction {
        Transaction::default().check(self.key.clone(), Some(self.version))
    }
}

impl Lease {
    /// A lease not yet looked at.
    pub fn new(name: &str, me: Incarnation, terms: LeaseTiming) -> Self {
        Self {
            name: name.into(),
            me: format_id(me),
            terms,
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

    /// Permission to act now, if this process holds the lease.
    pub fn permit(&self) -> Option<Permit> {
        let fencing = self.view.fencing_token(self.now())?;
        Some(Permit { key: self.key(), version: self.version, fencing })
    }

    /// Reads the row, then takes or renews the lease if that is due.
    ///
    /// # Errors
    /// When the store gives no answer; what is held runs out by itself.
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
        let LeaseAction::Write { row, expected } = self.view.plan(&self.me, self.now(), self.terms)
        else {
            return Ok(());
        };
        let held_before = self.permit().is_some();
        let sent = self.now();
        let tx = Transaction::default().check(self.key(), expected).put(self.key(), &row);
        match health.track("lease_write", table.transact(tx)).await {
            Ok(Ok(version)) => {
                let fencing = row.fencing;
                self.version = version;
                self.view.record_commit(row, version, sent, self.terms);
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
            // A lost reply is settled by the next read: the row then shows our own renewal.
            Err(e @ Error::Unknown(_)) => Err(e),
            Err(e) => Err(e),
        }
    }
}
