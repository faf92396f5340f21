//! An in-memory fake of the platform's store: it serves rows, a long-polled feed of changes and
//! transactions over HTTP, and injects faults.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use axum::{
    Json, Router,
    extract::{Query, State},
    http::{HeaderName, StatusCode, header::CONTENT_TYPE},
    middleware::map_response_with_state,
    response::{IntoResponse, Response},
    routing::{get, post},
};
use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::Notify};

/// Fault that the store injects into its calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// All calls are answered with 503.
    Down,
    /// All calls are answered with 429.
    RateLimited,
    /// Writes take effect and are then answered with 500; reads work.
    RepliesLost,
    /// Every transaction fails as if another writer had changed its rows first.
    Contended,
    /// All calls are answered late.
    Slow,
}

/// Contents of the store at one moment, for [`Store::restore`].
pub struct Snapshot {
    rows: BTreeMap<(String, String), (RowValue, u64)>,
    changes: Vec<(u64, String, String, bool)>,
    version: u64,
}

/// Value of a row.
#[derive(Clone)]
enum RowValue {
    Bytes(Vec<u8>),
    /// Returned as this JSON instead of as base64 text, so that clients cannot decode it.
    Malformed(Value),
    /// Returned as these bytes in place of JSON.
    Raw(Vec<u8>),
    /// These bytes are returned in place of the whole row.
    RawRow(Vec<u8>),
}

impl RowValue {
    fn to_json(&self) -> Vec<u8> {
        match self {
            RowValue::Bytes(bytes) => format!("\"{}\"", STANDARD.encode(bytes)).into_bytes(),
            RowValue::Malformed(value) => serde_json::to_vec(value).unwrap(),
            RowValue::Raw(text) | RowValue::RawRow(text) => text.clone(),
        }
    }
}

#[derive(Default)]
struct StoreState {
    /// Values and versions of rows, by table and key.
    rows: BTreeMap<(String, String), (RowValue, u64)>,
    /// Every change, oldest first: version, table, key, and whether the row was removed.
    changes: Vec<(u64, String, String, bool)>,
    version: u64,
    /// Changes up to this version have been dropped from the history.
    dropped_up_to: u64,
    fault: Fault,
    /// Most rows in one response to a read.
    page_size: usize,
    /// Calls so far, including those that failed.
    calls: usize,
    /// Reads and feed calls answered with an injected fault, by table.
    failed_reads: HashMap<String, usize>,
    /// Transactions that failed because a row had another version than expected.
    conflicts: usize,
    /// Number of restores so far; sent in a header of all responses.
    era: u64,
}

impl StoreState {
    fn put(&mut self, table: &str, key: &str, document: RowValue) {
        self.version += 1;
        self.put_at_version(table, key, document);
    }

    /// Puts a row as part of the transaction with the current version.
    fn put_at_version(&mut self, table: &str, key: &str, document: RowValue) {
        let version = self.version;
        self.rows.insert((table.into(), key.into()), (document, version));
        self.changes.push((version, table.into(), key.into(), false));
    }

    /// A response with this body and the current era.
    fn answer(&self, body: Value) -> Response {
        ([(ERA, self.era.to_string())], Json(body)).into_response()
    }

    /// A response with these rows and the current version and era.
    fn answer_rows(&self, rows: &[Vec<u8>], truncated: bool, now_ms: u64) -> Response {
        let version = self.version;
        let mut body = b"{\"rows\":[".to_vec();
        body.extend(rows.join(&b","[..]));
        let rest = format!("],\"truncated\":{truncated},\"ver\":{version},\"now-ms\":{now_ms}}}");
        body.extend(rest.into_bytes());
        let kind = (CONTENT_TYPE, "application/json".into());
        ([(HeaderName::from_static(ERA), self.era.to_string()), kind], body).into_response()
    }
}

/// A running store; clones share its contents.
#[derive(Clone)]
pub struct Store {
    rows: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
    started: Instant,
    pub address: SocketAddr,
}

/// Header with the store's era, the number of its restores.
const ERA: &str = "store-era";

type Params = Query<HashMap<String, String>>;

impl Store {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let store = Self {
            rows: Arc::new(Mutex::new(StoreState { page_size: 500, ..StoreState::default() })),
            changed: Arc::default(),
            started: Instant::now(),
            address: listener.local_addr().unwrap(),
        };
        let app = Router::new()
            .route("/-/rows-get", get(read))
            .route("/-/rows-feed", get(feed))
            .route("/-/rows-tx", post(write))
            .layer(map_response_with_state(store.clone(), add_era_header))
            .layer(map_response_with_state(store.clone(), delay_if_slow))
            .with_state(store.clone());
        tokio::spawn(async move { axum::serve(listener, app).await.unwrap() });
        store
    }

    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_value(table, key, RowValue::Bytes(serde_json::to_vec(value).unwrap()));
    }

    /// Puts a row whose value is returned as this JSON instead of as base64 text.
    pub fn put_malformed(&self, table: &str, key: &str, shown: &Value) {
        self.put_value(table, key, RowValue::Malformed(shown.clone()));
    }

    /// Puts a row whose value is returned as these bytes instead of as base64 text.
    pub fn put_raw(&self, table: &str, key: &str, value: &[u8]) {
        self.put_value(table, key, RowValue::Raw(value.into()));
    }

    /// Puts a row that is returned as these bytes; `key` only determines its place.
    pub fn put_raw_row(&self, table: &str, key: &str, row: &[u8]) {
        self.put_value(table, key, RowValue::RawRow(row.into()));
    }

    fn put_value(&self, table: &str, key: &str, document: RowValue) {
        self.rows.lock().unwrap().put(table, key, document);
        self.changed.notify_waiters();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows.remove(&(table.into(), key.into()));
        rows.changes.push((version, table.into(), key.into(), true));
        self.changed.notify_waiters();
    }

    pub fn read(&self, table: &str, key: &str) -> Option<Value> {
        let rows = self.rows.lock().unwrap();
        let (RowValue::Bytes(bytes), _) = rows.rows.get(&(table.into(), key.into()))? else {
            return None;
        };
        serde_json::from_slice(bytes).ok()
    }

    pub fn set_fault(&self, fault: Fault) {
        self.rows.lock().unwrap().fault = fault;
        self.changed.notify_waiters();
    }

    /// Drops the history of changes; feeds from an earlier version get 410.
    pub fn drop_history(&self) {
        let mut rows = self.rows.lock().unwrap();
        rows.dropped_up_to = rows.version;
    }

    /// Copies the current contents.
    pub fn snapshot(&self) -> Snapshot {
        let rows = self.rows.lock().unwrap();
        let (version, changes) = (rows.version, rows.changes.clone());
        Snapshot { rows: rows.rows.clone(), changes, version }
    }

    /// Restores a snapshot: later writes are lost, their versions are assigned again, and the era
    /// is increased.
    pub fn restore(&self, snapshot: &Snapshot) {
        let mut rows = self.rows.lock().unwrap();
        rows.rows.clone_from(&snapshot.rows);
        rows.changes.clone_from(&snapshot.changes);
        rows.version = snapshot.version;
        rows.era += 1;
        drop(rows);
        self.changed.notify_waiters();
    }

    pub fn set_page_size(&self, page_size: usize) {
        self.rows.lock().unwrap().page_size = page_size;
    }

    /// Transactions so far that failed because a row had another version than expected.
    pub fn conflicts(&self) -> usize {
        self.rows.lock().unwrap().conflicts
    }

    /// Calls so far, including those that failed.
    pub fn calls(&self) -> usize {
        self.rows.lock().unwrap().calls
    }

    /// Reads and feed calls of a table so far that were answered with an injected fault.
    pub fn failed_reads(&self, table: &str) -> usize {
        self.rows.lock().unwrap().failed_reads.get(table).copied().unwrap_or_default()
    }

    /// Like [`Self::faulty_response`], for a read or feed call of a table.
    fn faulty_read(&self, table: &str) -> Option<Response> {
        let response = self.faulty_response()?;
        *self.rows.lock().unwrap().failed_reads.entry(table.into()).or_default() += 1;
        Some(response)
    }

    /// Counts a call and returns its error response if the injected fault makes all calls fail.
    fn faulty_response(&self) -> Option<Response> {
        let mut rows = self.rows.lock().unwrap();
        rows.calls += 1;
        match rows.fault {
            Fault::Down => Some(StatusCode::SERVICE_UNAVAILABLE.into_response()),
            Fault::RateLimited => Some(StatusCode::TOO_MANY_REQUESTS.into_response()),
            Fault::None | Fault::RepliesLost | Fault::Contended | Fault::Slow => None,
        }
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

/// Adds the era header to responses that lack it: those without rows.
async fn add_era_header(State(store): State<Store>, mut res: Response) -> Response {
    if !res.headers().contains_key(ERA) {
        let era = store.rows.lock().unwrap().era;
        res.headers_mut().insert(ERA, era.into());
    }
    res
}

/// Delay of each answer of a slow store.
const SLOW_DELAY: Duration = Duration::from_millis(80);

async fn delay_if_slow(State(store): State<Store>, res: Response) -> Response {
    let is_slow = store.rows.lock().unwrap().fault == Fault::Slow;
    if is_slow {
        tokio::time::sleep(SLOW_DELAY).await;
    }
    res
}

fn row_doc(table: &str, key: &str, document: &RowValue, version: u64) -> Vec<u8> {
    if let RowValue::RawRow(row) = document {
        return row.clone();
    }
    let rest = json!({"table": table, "part": "", "key": key, "ver": version}).to_string();
    [b"{\"value\":", &*document.to_json(), b",", &rest.as_bytes()[1..]].concat()
}

/// Serves one page of a table's rows.
async fn read(State(store): State<Store>, Query(params): Params) -> Response {
    if let Some(fault) = store.faulty_read(&params["table"]) {
        return fault;
    }
    let rows = store.rows.lock().unwrap();
    let from = params.get("from").cloned().unwrap_or_default();
    let is_before_end = |key: &String| params.get("to").is_none_or(|to| key < to);
    let of_table = rows
        .rows
        .iter()
        .filter(|((t, key), _)| *t == params["table"] && *key >= from && is_before_end(key));
    let mut found: Vec<Vec<u8>> =
        of_table.map(|((t, key), (value, version))| row_doc(t, key, value, *version)).collect();
    let truncated = found.len() > rows.page_size;
    found.truncate(rows.page_size);
    rows.answer_rows(&found, truncated, store.now_ms())
}

/// Serves a table's changes after a version; waits for the first one, at most as long as asked.
async fn feed(State(store): State<Store>, Query(params): Params) -> Response {
    let after: u64 = params["after-rev"].parse().unwrap();
    let wait = Duration::from_millis(params["wait-ms"].parse().unwrap());
    let until = Instant::now() + wait;
    loop {
        let changed = store.changed.notified();
        if let Some(fault) = store.faulty_read(&params["table"]) {
            return fault;
        }
        if let Some(answer) = store.changes(&params["table"], after, Instant::now() >= until) {
            return answer;
        }
        let left = until.saturating_duration_since(Instant::now());
        let _ = tokio::time::timeout(left, changed).await;
    }
}

impl Store {
    /// The response to a feed request, or `None` if it has to wait for changes.
    fn changes(&self, table: &str, after: u64, has_waited: bool) -> Option<Response> {
        let rows = self.rows.lock().unwrap();
        if after < rows.dropped_up_to || after > rows.version {
            return Some(StatusCode::GONE.into_response());
        }
        let new = rows.changes.iter().filter(|(v, t, ..)| *v > after && t == table);
        let docs: Vec<Vec<u8>> = new
            .map(|(version, t, key, is_removed)| {
                match rows.rows.get(&(t.clone(), key.clone())).filter(|_| !is_removed) {
                    Some((value, _)) => row_doc(t, key, value, *version),
                    None => {
                        json!({"table": t, "part": "", "key": key, "ver": version, "removed": true})
                            .to_string()
                            .into_bytes()
                    }
                }
            })
            .collect();
        if docs.is_empty() && !has_waited {
            return None;
        }
        Some(rows.answer_rows(&docs, false, self.now_ms()))
    }
}

/// Serves a transaction.
async fn write(State(store): State<Store>, Json(body): Json<Value>) -> Response {
    if let Some(fault) = store.faulty_response() {
        return fault;
    }
    let mut rows = store.rows.lock().unwrap();
    let matches_expected = |e: &Value| {
        let key = (e["table"].as_str().unwrap().into(), e["key"].as_str().unwrap().into());
        rows.rows.get(&key).map_or(0, |(_, version)| *version) == e["ver"].as_u64().unwrap()
    };
    let all_match = body["expected-rev"].as_array().unwrap().iter().all(matches_expected);
    if !all_match || rows.fault == Fault::Contended {
        rows.conflicts += 1;
        let body = json!({"rows": [], "ver": 0, "now-ms": store.now_ms()});
        return (StatusCode::PRECONDITION_FAILED, rows.answer(body)).into_response();
    }
    rows.version += 1;
    for put in body["puts"].as_array().unwrap() {
        let value = STANDARD.decode(put["value"].as_str().unwrap()).unwrap();
        let (table, key) = (put["table"].as_str().unwrap(), put["key"].as_str().unwrap());
        rows.put_at_version(table, key, RowValue::Bytes(value));
    }
    store.changed.notify_waiters();
    if rows.fault == Fault::RepliesLost {
        return (StatusCode::INTERNAL_SERVER_ERROR, "lost").into_response();
    }
    rows.answer(json!({"ver": rows.version, "now-ms": store.now_ms()}))
}
