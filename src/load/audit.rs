//! What was charged, read from the platform's stores as a settlement clerk would.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{
    ids::RequestId,
    ledger::{read_batch, read_totals},
    local::LocalSystem,
    platform::{ObjectsClient, Result},
    policy::charge::{ChargeRecord, Totals, merge},
    protocol::decode,
};

const PATIENCE: Duration = Duration::from_secs(45);
const PAUSE: Duration = Duration::from_millis(500);

/// Charges as they stand.
#[derive(Clone, Debug, Default)]
pub(super) struct Charged {
    /// Requests charged, settled or not.
    pub(super) requests: BTreeSet<RequestId>,
    /// Totals settled.
    pub(super) totals: BTreeMap<Box<str>, Totals>,
    /// Requests of the totals according to the settled ids.
    pub(super) settled: usize,
    /// Requests charged but not settled yet.
    pub(super) open: usize,
}

/// Waits until every charge is settled, or patience ends, and reads what was charged.
pub(super) async fn read_charges(system: &LocalSystem) -> Result<Charged> {
    let began = Instant::now();
    loop {
        let charged = read_once(system).await?;
        let is_settled = charged.open == 0 && !charged.requests.is_empty();
        if is_settled || began.elapsed() > PATIENCE {
            return Ok(charged);
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Reads what was charged so far, settled or not.
pub(super) async fn read_once(system: &LocalSystem) -> Result<Charged> {
    let objects = system.platform.objects.client();
    let totals = read_totals(&system.platform.table.client()).await?;
    let settled = read_settled(&objects, system).await?;
    let mut records: Vec<ChargeRecord> = Vec::new();
    for name in objects.list("charges/").await? {
        if let Some(body) = objects.get(&name).await? {
            records.extend(read_batch(&body)?);
        }
    }
    let open: BTreeSet<RequestId> =
        merge(records).into_keys().filter(|request| !settled.contains(request)).collect();
    let count = settled.len();
    let open_count = open.len();
    let requests = settled.into_iter().chain(open).collect();
    Ok(Charged { requests, totals, settled: count, open: open_count })
}

async fn read_settled(
    objects: &ObjectsClient,
    system: &LocalSystem,
) -> Result<BTreeSet<RequestId>> {
    let mut settled = BTreeSet::new();
    for row in system.platform.table.client().list("settled/", "", 10_000).await? {
        let Some(name) = row.value["ids"].as_str() else {
            continue;
        };
        if let Some(body) = objects.get(name).await? {
            let ids: BTreeSet<RequestId> = decode(&body).unwrap_or_default();
            settled.extend(ids);
        }
    }
    Ok(settled)
}
