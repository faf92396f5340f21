//! Stand-in for the transactional table service, with its rate limit.

use std::{
    collections::BTreeMap,
    ops::Bound,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use axum::{
    Json, Router,
    extract::State,
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::{get, post},
};

use crate::{
    platform::{Error, Row, TableClient, TableReply, TableRequest, Transaction},
    standin::faults::FaultControl,
};

/// Transactions a second the platform carries.
pub const WRITES_PER_SECOND: u32 = 400;
/// Reads a second the platform carries.
pub const READS_PER_SECOND: u32 = 2_000;

/// Rows and the number of the last transaction; no I/O, so tests use it directly.
#[derive(Clone, Debug, Default)]
pub struct TableState {
    rows: BTreeMap<Box<str>, Row>,
    last: u64,
}

impl TableState {
    /// Carries out a call.
    pub fn apply(&mut self, req: TableRequest) -> TableReply {
        match req {
            TableRequest::Transact(tx) => self.transact(tx),
            TableRequest::Get(key) => TableReply::Row(self.rows.get(&key).cloned()),
            TableRequest::List { prefix, after, limit } => {
                let start = if after.is_empty() {
                    Bound::Included(prefix.clone())
                } else {
                    Bound::Excluded(after)
                };
                let rows = self
                    .rows
                    .range((start, Bound::Unbounded))
                    .take_while(|(key, _)| key.starts_with(&*prefix))
                    .take(limit)
                    .map(|(_, row)| row.clone())
                    .collect();
                TableReply::Rows(rows)
            }
        }
    }

    fn transact(&mut self, tx: Transaction) -> TableReply {
        let failed: Vec<Box<str>> = tx
            .checks
            .iter()
            .filter(|check| self.rows.get(&check.key).map(|row| row.version) != check.version)
            .map(|check| check.key.clone())
            .collect();
        if !failed.is_empty() {
            return TableReply::Conflict(failed);
        }
        self.last += 1;
        for write in tx.writes {
            let Some(value) = write.value else {
                self.rows.remove(&write.key);
                continue;
            };
            let row = Row { key: write.key.clone(), version: self.last, value };
            self.rows.insert(write.key, row);
        }
        TableReply::Committed(self.last)
    }
}

#[derive(Debug)]
struct Meter {
    since: Instant,
    writes: u32,
    reads: u32,
    total_writes: u64,
    total_reads: u64,
}

/// The stand-in service.
#[derive(Clone, Debug)]
pub struct TableStandin {
    state: Arc<Mutex<TableState>>,
    meter: Arc<Mutex<Meter>>,
    /// Fault controls.
    pub faults: FaultControl,
}

impl TableStandin {
    /// An empty table.
    pub fn new(seed: u64) -> Self {
        let meter =
            Meter { since: Instant::now(), writes: 0, reads: 0, total_writes: 0, total_reads: 0 };
        Self {
            state: Arc::default(),
            meter: Arc::new(Mutex::new(meter)),
            faults: FaultControl::new(seed),
        }
    }

    /// Transactions and reads carried so far.
    pub fn counts(&self) -> (u64, u64) {
        let meter = self.meter.lock().expect("no panics under the lock");
        (meter.total_writes, meter.total_reads)
    }

    /// The HTTP face.
    pub fn router(&self) -> Router {
        let counts = self.clone();
        let router = Router::new().route("/v1/table", post(handle)).with_state(self.clone()).route(
            "/counts",
            get(move || async move {
                let (writes, reads) = counts.counts();
                Json(serde_json::json!({ "writes": writes, "reads": reads }))
            }),
        );
        self.faults.wrap(router)
    }

    /// A client without sockets, under the same faults.
    pub fn client(&self) -> TableClient {
        let standin = self.clone();
        TableClient::new(move |req| {
            let standin = standin.clone();
            Box::pin(async move { standin.call(req).await })
        })
    }

    async fn call(&self, req: TableRequest) -> Result<TableReply, Error> {
        let faults = self.faults.get();
        if faults.down {
            return Err(Error::Refused("down".into()));
        }
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        let reply = self.state.lock().expect("no panics under the lock").apply(req);
        if self.faults.loses_reply() {
            return Err(Error::Unknown("reply lost".into()));
        }
        Ok(reply)
    }

    fn admit(&self, is_write: bool) -> bool {
        let mut meter = self.meter.lock().expect("no panics under the lock");
        if meter.since.elapsed() >= Duration::from_secs(1) {
            meter.since = Instant::now();
            meter.writes = 0;
            meter.reads = 0;
        }
        if is_write {
            meter.writes += 1;
            meter.total_writes += 1;
            return meter.writes <= WRITES_PER_SECOND;
        }
        meter.reads += 1;
        meter.total_reads += 1;
        meter.reads <= READS_PER_SECOND
    }
}

async fn handle(State(table): State<TableStandin>, Json(req): Json<TableRequest>) -> Response {
    if !table.admit(matches!(req, TableRequest::Transact(_))) {
        return StatusCode::TOO_MANY_REQUESTS.into_response();
    }
    let reply = table.state.lock().expect("no panics under the lock").apply(req);
    Json(reply).into_response()
}
