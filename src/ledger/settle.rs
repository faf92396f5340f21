//! The settler: a job that runs under a lease and adds the charges of each window to the totals
//! exactly once.
//!
//! Settling a window reads its new batches, merges their records by request and adds the requests
//! that have not been settled before. The ids of all settled requests are stored in an object that
//! is written before the totals. The window's row names the object that is valid; the row and the
//! totals change in one transaction under the lease. See `docs/decisions/0005-billing.md`.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    control::{lease::Permit, store_health::StoreHealth},
    ids::RequestId,
    ledger::read_batch,
    platform::{Error, ObjectsClient, Result, Row, TableClient},
    policy::charge::{ChargeRecord, Totals, merge, settle},
    protocol::{decode, encode},
    telemetry::event,
};

/// A window is settled only when it is at least this many windows old, so that its batches have
/// time to arrive.
const OPEN_WINDOWS: u64 = 2;

/// Table row that records what has been settled in a window.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct WindowRow {
    /// Names of the batches that have been added to the totals.
    batches: BTreeSet<Box<str>>,
    /// Name of the object that holds the ids of the requests added; empty if there is none.
    ids: Box<str>,
}

/// Result of one run of the settler.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SettleReport {
    /// Number of windows in which new batches were settled.
    pub windows: usize,
    /// Number of requests added to the totals.
    pub requests: usize,
    /// Number of records left out because their request was already counted, in this run or before.
    pub duplicates: usize,
}

/// The settlement job and the services that it uses.
#[derive(Clone, Debug)]
pub struct Settler {
    /// Client of the table store, which holds totals and window rows.
    pub table: TableClient,
    /// Client of the object store, which holds batches and settled ids.
    pub objects: ObjectsClient,
    /// Records the outcome of store calls.
    pub health: StoreHealth,
}

impl Settler {
    /// Settles every window that is no longer open; `now_window` is the current window. Stops early
    /// if a transaction is rejected.
    ///
    /// # Errors
    /// Fails if a store call fails or stored data is unreadable. Windows that were not settled are
    /// left for the next run.
    pub async fn settle_closed_windows(
        &self,
        permit: &Permit,
        now_window: u64,
    ) -> Result<SettleReport> {
        let names = self.health.track("charge_list", self.objects.list("charges/")).await?;
        let mut windows: BTreeMap<u64, Vec<Box<str>>> = BTreeMap::new();
        for name in names {
            let Some(window) = window_of_batch(&name) else {
                continue;
            };
            if window + OPEN_WINDOWS <= now_window {
                windows.entry(window).or_default().push(name);
            }
        }
        let mut report = SettleReport::default();
        for (window, batches) in windows {
            if !self.settle_window(permit, window, batches, &mut report).await? {
                break;
            }
        }
        Ok(report)
    }

    /// Settles one window and deletes its batches. Returns false if the transaction was rejected,
    /// usually because the lease has passed to another process.
    async fn settle_window(
        &self,
        permit: &Permit,
        window: u64,
        batches: Vec<Box<str>>,
        report: &mut SettleReport,
    ) -> Result<bool> {
        let key: Box<str> = format!("settled/{window:012}").into();
        let row = self.health.track("settle_read", self.table.get(&key)).await?;
        let mut window_row: WindowRow = match &row {
            Some(row) => row.parse()?,
            None => WindowRow::default(),
        };
        let new_batches: Vec<Box<str>> =
            batches.iter().filter(|name| !window_row.batches.contains(*name)).cloned().collect();
        if !new_batches.is_empty() {
            let version = row.as_ref().map(|row| row.version);
            let committed = self
                .add_batches(permit, (&key, version), &mut window_row, &new_batches, report)
                .await?;
            if !committed {
                return Ok(false);
            }
        }
        // The totals include these batches now. If a delete is lost, the names in the row keep
        // the batch from being added again.
        for name in batches {
            self.objects.delete(&name).await?;
        }
        Ok(true)
    }

    /// Adds batches to the totals and to the window's row in one transaction. Returns whether the
    /// transaction was committed.
    async fn add_batches(
        &self,
        permit: &Permit,
        (key, version): (&str, Option<u64>),
        window_row: &mut WindowRow,
        new_batches: &[Box<str>],
        report: &mut SettleReport,
    ) -> Result<bool> {
        let mut settled_ids = self.read_ids(&window_row.ids).await?;
        let records = self.read_records(new_batches).await?;
        let records_read = records.len();
        let merged = merge(records);
        let (sums_by_organisation, ids) = settle(&merged, &settled_ids);
        let added = ids.len();
        settled_ids.extend(ids);
        let window = key.trim_start_matches("settled/");
        let ids_name: Box<str> =
            format!("settled/{window}/{}-{}", permit.fencing, permit.version).into();
        self.objects.put(&ids_name, encode(&settled_ids)).await?;
        window_row.batches.extend(new_batches.iter().cloned());
        window_row.ids = ids_name;
        let mut tx = permit.transaction().check(key, version).put(key, window_row);
        for (organisation, sum) in sums_by_organisation {
            let total_key = total_key(&organisation);
            let row = self.health.track("total_read", self.table.get(&total_key)).await?;
            let total = add_to_total(row.as_ref(), sum)?;
            tx = tx.check(total_key.clone(), row.map(|row| row.version)).put(total_key, &total);
        }
        let outcome = self.health.track("settle_write", self.table.transact(tx)).await?;
        if outcome.is_err() {
            return Ok(false);
        }
        event::CHARGES_SETTLED.log(format_args!("window={window} requests={added}"));
        report.windows += 1;
        report.requests += added;
        report.duplicates += records_read - added;
        Ok(true)
    }

    async fn read_ids(&self, name: &str) -> Result<BTreeSet<RequestId>> {
        if name.is_empty() {
            return Ok(BTreeSet::new());
        }
        let Some(body) = self.objects.get(name).await? else {
            return Err(Error::Unreadable(
                format!("object {name} with the settled request ids is missing").into(),
            ));
        };
        decode(&body).map_err(|e| Error::Unreadable(e.to_string().into()))
    }

    async fn read_records(&self, names: &[Box<str>]) -> Result<Vec<ChargeRecord>> {
        let mut records = Vec::new();
        for name in names {
            if let Some(body) = self.objects.get(name).await? {
                records.extend(read_batch(&body)?);
            }
        }
        Ok(records)
    }
}

/// Reads the totals of all organisations.
///
/// # Errors
/// Fails if the store call fails or a row is unreadable.
pub async fn read_totals(table: &TableClient) -> Result<BTreeMap<Box<str>, Totals>> {
    let rows = table.list("totals/", "", 10_000).await?;
    let name = |row: &Row| row.key.trim_start_matches("totals/").into();
    rows.iter().map(|row| Ok((name(row), row.parse()?))).collect()
}

fn total_key(organisation: &str) -> Box<str> {
    format!("totals/{organisation}").into()
}

fn add_to_total(row: Option<&Row>, sum: Totals) -> Result<Totals> {
    let previous: Totals = match row {
        Some(row) => row.parse()?,
        None => Totals::default(),
    };
    Ok(Totals {
        requests: previous.requests + sum.requests,
        tokens_in: previous.tokens_in + sum.tokens_in,
        tokens_out: previous.tokens_out + sum.tokens_out,
        cost: previous.cost + sum.cost,
    })
}

/// The settlement window in the name of a batch object.
fn window_of_batch(name: &str) -> Option<u64> {
    name.strip_prefix("charges/")?.split_once('/')?.0.parse().ok()
}
