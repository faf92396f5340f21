//! Leased jobs: any entry may run them, one at a time does.

use std::{
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use crate::{
    control::{
        lease::{Lease, Permit},
        membership::Scope,
    },
    entry::{Entry, guard},
    ids::new_request_id,
    ledger::Settler,
    platform::{Result, Transaction},
    policy::{charge::settlement_window, lease::LeaseTiming},
    telemetry::event,
};

const TEND_EVERY: Duration = Duration::from_secs(1);
/// Entries that look at a lease each time.
const CANDIDATES: usize = 2;
const OTHERS_LOOK_EVERY: Duration = Duration::from_secs(30);
/// Change rows kept for followers that are behind; older ones are read as whole objects.
const KEPT_CHANGES: u64 = 4_096;
const COMPACT_PAGE: usize = 200;

/// A lease and whose duty it is to look at it.
struct Duty {
    name: &'static str,
    lease: Lease,
    looked: Option<Instant>,
}

impl Duty {
    fn new(entry: &Entry, name: &'static str) -> Self {
        let lease = Lease::new(name, entry.incarnation, LeaseTiming::default());
        Self { name, lease, looked: None }
    }

    /// Looks at the lease when that is due: candidates always, others now and then, so that
    /// the job goes on when every candidate is gone.
    async fn tend(&mut self, entry: &Entry) {
        let is_candidate = entry.has_duty(self.name, CANDIDATES, Scope::Global);
        let is_due = self.looked.is_none_or(|at| at.elapsed() >= OTHERS_LOOK_EVERY);
        if !is_candidate && !is_due && self.lease.permit().is_none() {
            return;
        }
        self.looked = Some(Instant::now());
        let _ = self.lease.acquire_or_renew(&entry.table, &entry.health).await;
    }
}

/// Tends the leases and runs the jobs of those that are held.
pub(crate) async fn run(entry: Arc<Entry>) {
    let mut guarding = Duty::new(&entry, "guard");
    let mut settling = Duty::new(&entry, "settler");
    let mut compacting = Duty::new(&entry, "compactor");
    while !entry.is_dead() {
        for duty in [&mut guarding, &mut settling, &mut compacting] {
            duty.tend(&entry).await;
        }
        if entry.policy.guard && guarding.lease.permit().is_some() {
            guard::advance_sound(&entry).await;
        }
        if let Some(permit) = settling.lease.permit() {
            settle(&entry, &permit).await;
        }
        if let Some(permit) = compacting.lease.permit() {
            let _ = compact(&entry, &permit).await;
        }
        tokio::time::sleep(TEND_EVERY).await;
    }
}

async fn settle(entry: &Entry, permit: &Permit) {
    let settler = Settler {
        table: entry.table.clone(),
        objects: entry.objects.clone(),
        health: entry.health.clone(),
    };
    let now_window = settlement_window(new_request_id(SystemTime::now()));
    if let Err(e) = settler.settle_closed_windows(permit, now_window).await {
        event::STORE_UNREACHABLE.log(format_args!("cause=settle problem={e}"));
    }
}

/// Drops change rows that only followers far behind would still read one by one.
async fn compact(entry: &Entry, permit: &Permit) -> Result<()> {
    let Some(oldest_kept) = entry.config.revision().checked_sub(KEPT_CHANGES) else {
        return Ok(());
    };
    let page = entry.table.list("changes/", "", COMPACT_PAGE);
    let rows = entry.health.track("compact_read", page).await?;
    let limit = crate::control::config::change_key(oldest_kept);
    let old = rows.into_iter().filter(|row| row.key < limit);
    let tx = old.fold(permit.transaction(), |tx: Transaction, row| tx.delete(row.key));
    if !tx.writes.is_empty() {
        let _ = entry.health.track("compact_write", entry.table.transact(tx)).await?;
    }
    Ok(())
}
