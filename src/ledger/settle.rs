//! The settler: a leased job that adds each window's charges to the totals, once.
//!
//! A window is settled by reading all its batches, merging them by request and adding what has
//! not been settled before. The ids already settled are kept in an object that is written
//! before the totals; the window's row names the object that counts, and row and totals change
//! in one transaction under the lease. See `docs/decisions/0005-billing.md`.

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

/// Windows younger than this many windows are left alone, so that their batches arrive first.
const OPEN_WINDOWS: u64 = 2;

/// Row of a settled window.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct WindowRow {
    /// Batches already added.
    batches: BTreeSet<Box<str>>,
    /// Object that holds the ids already added.
    ids: Box<str>,
}

/// What one pass did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SettleReport {
    /// Windows whose totals grew.
    pub windows: usize,
    /// Requests added.
    pub requests: usize,
    /// Copies of requests that had been added before, or more than once.
    pub duplicates: usize,
}

/// The job's dependencies.
#[derive(Clone, Debug)]
pub struct Settler {
    /// Table service.
    pub table: TableClient,
    /// Object store.
    pub objects: ObjectsClient,
    /// Health of the store.
    pub health: StoreHealth,
}

impl Settler {
    /// Settles every window older than the open ones; `now_window` is the window of now.
    ///
    /// # Errors
    /// When the store gives no answer; what was not settled stays for the next pass.
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

    /// Settles one window. False when the lease has passed to someone else.
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
        // The totals hold them now; the row remembers the names should a delete be lost.
        for name in batches {
            self.objects.delete(&name).await?;
        }
        Ok(true)
    }

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
            return Err(Error::Unreadable(format!("object {name} is missing").into()));
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

/// Totals of all organisations.
///
/// # Errors
/// When the store gives no answer.
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

fn window_of_batch(name: &str) -> Option<u64> {
    name.strip_prefix("charges/")?.split_once('/')?.0.parse().ok()
}
