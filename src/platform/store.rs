//! Client of the platform's store: rows in tables, a feed of their changes, and transactions.

use std::time::Duration;

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header::CONTENT_TYPE};
use serde::{Deserialize, Serialize};

use crate::{
    ids::{Era, Revision, StoreVersion},
    platform::{Error, HttpClient, HttpReply, Result},
};

/// A table of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Table {
    /// What the operator orders: configuration and roll-outs.
    #[serde(rename = "op")]
    Orders,
    /// The BackendServers that are alive.
    #[serde(rename = "servers")]
    Servers,
    /// What this system reports to the operator.
    #[serde(rename = "status")]
    Status,
    /// This system's own rows.
    #[serde(rename = "mintmoor")]
    Own,
    /// A table that this system does not use.
    #[serde(other)]
    Other,
}

impl Table {
    fn name(self) -> &'static str {
        match self {
            Table::Orders => "op",
            Table::Servers => "servers",
            Table::Status => "status",
            Table::Own => "mintmoor",
            Table::Other => "",
        }
    }
}

/// A row, or the news that it is gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its table.
    pub table: Table,
    /// Its key.
    pub key: Box<str>,
    /// Its document; empty when it is gone or its bytes can't be decoded, and then nothing reads it.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
    /// Transaction that last wrote it.
    pub version: Revision,
    /// Era of the store when it was read; not reported on links where the store never came back from a copy.
    #[serde(default, skip_serializing_if = "is_first")]
    pub era: Era,
    /// Whether it is gone.
    pub is_removed: bool,
}

impl Row {
    /// When it was last written.
    pub fn written_at(&self) -> StoreVersion {
        StoreVersion { era: self.era, revision: self.version }
    }
}

/// Whether an era is the one in which the store never came back from a copy.
#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde hands in references")]
pub(crate) fn is_first(era: &Era) -> bool {
    *era == 0
}

/// Rows, and how new they are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rows {
    /// In the order of their keys, or for a feed of their changes.
    pub rows: Vec<Row>,
    /// Newest transaction the answer covers.
    pub version: StoreVersion,
    /// The store's steady clock.
    pub now: Duration,
}

/// What a feed brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedReply {
    /// What changed since; empty when nothing did.
    Changes(Rows),
    /// The store no longer knows, or came back from an older copy; the table has to be read anew.
    ResyncRequired,
}

/// One row of a transaction.
#[derive(Clone, Debug)]
pub struct Put {
    /// Table.
    pub table: Table,
    /// Key.
    pub key: Box<str>,
    /// Version the row must have; 0 means that it must not exist.
    pub expected: Revision,
    /// New document.
    pub value: Vec<u8>,
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It is kept, under this version.
    Written(Revision),
    /// A row had another version.
    Conflict,
    /// It was made in another era than the rows were read in. Revisions are given out again, so it may be
    /// kept although a row is not what it was: all has to be read anew.
    EraMismatch,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RowDoc {
    table: Table,
    key: Box<str>,
    /// Text, but for what another writer left there.
    #[serde(default)]
    value: serde_json::Value,
    #[serde(default)]
    ver: Revision,
    #[serde(default)]
    removed: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RowsDoc {
    #[serde(default)]
    rows: Vec<RowDoc>,
    #[serde(default)]
    truncated: bool,
    #[serde(default)]
    ver: Revision,
    #[serde(default)]
    now_ms: f64,
}

#[derive(Serialize)]
struct Expected<'a> {
    table: Table,
    part: &'a str,
    key: &'a str,
    ver: Revision,
}

#[derive(Serialize)]
struct PutDoc<'a> {
    table: Table,
    part: &'a str,
    key: &'a str,
    value: String,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct TransactionDoc<'a> {
    /// Rows and the versions they must have.
    expected_rev: Vec<Expected<'a>>,
    puts: Vec<PutDoc<'a>>,
    remove: [(); 0],
}

/// In all answers: rises by one each time the store comes back from a copy.
const ERA: &str = "store-era";

/// Time a read or a write may take; the store answers in 4 ms, and 60 times that when slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time a feed may take beyond what it was asked to wait.
const FEED_SLACK: Duration = Duration::from_millis(500);

/// Client of the store; clones share its connections.
#[derive(Clone, Debug)]
pub struct StoreClient {
    http: HttpClient,
    base: Box<str>,
}

impl StoreClient {
    /// A client of the store at this address, `IP:PORT`.
    pub fn new(http: HttpClient, address: &str) -> Self {
        Self { http, base: format!("http://{address}/-/").into() }
    }

    /// Reads all rows of a table.
    ///
    /// # Errors
    /// When the store gives no answer or refuses.
    pub async fn read_table(&self, table: Table) -> Result<Rows> {
        let mut all =
            Rows { rows: Vec::new(), version: StoreVersion::default(), now: Duration::ZERO };
        let mut from = String::new();
        loop {
            let path = format!("rows-get?table={}&part=&from={from}", table.name());
            let reply = self.get(&path, CALL_TIMEOUT).await?;
            let doc = read_rows(&path, &reply)?;
            let era = read_era(&reply);
            if from.is_empty() {
                // Later pages may be newer; the feed then brings their changes once more.
                all.version = StoreVersion { era, revision: doc.ver };
                all.now = Duration::from_secs_f64(doc.now_ms / 1e3);
            }
            if era != all.version.era {
                return Err(Error::Unreadable("the store came back from a copy".into()));
            }
            let more = doc.truncated;
            all.rows.extend(doc.rows.into_iter().map(|row| read_row(row, era)));
            let Some(last) = all.rows.last().filter(|_| more) else {
                return Ok(all);
            };
            // The smallest key after the last one read.
            from = format!("{}%00", last.key);
        }
    }

    /// Waits until a table has changed since a version, or for `wait`.
    ///
    /// # Errors
    /// When the store gives no answer or refuses.
    pub async fn poll_changes(
        &self,
        table: Table,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<FeedReply> {
        let name = table.name();
        let wait_ms = wait.as_millis();
        let StoreVersion { era, revision: after } = after;
        let path = format!("rows-feed?table={name}&after-rev={after}&wait-ms={wait_ms}");
        let reply = self.get(&path, wait + FEED_SLACK).await?;
        if reply.status == StatusCode::GONE {
            return Ok(FeedReply::ResyncRequired);
        }
        let doc = read_rows(&path, &reply)?;
        if read_era(&reply) != era {
            // Others have written past what is known here since: these changes do not follow on it.
            return Ok(FeedReply::ResyncRequired);
        }
        let rows = doc.rows.into_iter().map(|row| read_row(row, era)).collect();
        let version = StoreVersion { era, revision: doc.ver.max(after) };
        let now = Duration::from_secs_f64(doc.now_ms / 1e3);
        Ok(FeedReply::Changes(Rows { rows, version, now }))
    }

    /// Writes rows, all or none, if each has the version expected, as read in this era.
    ///
    /// # Errors
    /// [`Error::Refused`] when nothing was written, [`Error::Unknown`] when it may have been.
    pub async fn write(&self, puts: &[Put], era: Era) -> Result<WriteOutcome> {
        let doc = TransactionDoc {
            expected_rev: puts
                .iter()
                .map(|put| Expected {
                    table: put.table,
                    part: "",
                    key: &put.key,
                    ver: put.expected,
                })
                .collect(),
            puts: puts
                .iter()
                .map(|put| PutDoc {
                    table: put.table,
                    part: "",
                    key: &put.key,
                    value: STANDARD.encode(&put.value),
                })
                .collect(),
            remove: [],
        };
        let body = serde_json::to_vec(&doc).map_err(|e| Error::Refused(e.to_string().into()))?;
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let uri = format!("{}rows-tx", self.base);
        let reply = self.http.call(Method::POST, &uri, headers, body.into(), CALL_TIMEOUT).await?;
        if reply.status == StatusCode::PRECONDITION_FAILED {
            return Ok(WriteOutcome::Conflict);
        }
        let version = read_rows("rows-tx", &reply)?.ver;
        Ok(if read_era(&reply) == era {
            WriteOutcome::Written(version)
        } else {
            WriteOutcome::EraMismatch
        })
    }

    async fn get(&self, path: &str, timeout: Duration) -> Result<HttpReply> {
        let uri = format!("{}{path}", self.base);
        self.http.call(Method::GET, &uri, HeaderMap::new(), Bytes::new(), timeout).await
    }
}

fn read_rows(path: &str, reply: &HttpReply) -> Result<RowsDoc> {
    super::http_client::check_status(path, reply)?;
    parse(path, reply)
}

fn parse(path: &str, reply: &HttpReply) -> Result<RowsDoc> {
    serde_json::from_slice(&reply.body)
        .map_err(|e| Error::Unreadable(format!("{path}: {e}").into()))
}

/// The era that an answer reports; the first one where the store does not report any.
fn read_era(reply: &HttpReply) -> Era {
    let reported = reply.headers.get(ERA).and_then(|value| value.to_str().ok());
    reported.and_then(|text| text.trim().parse().ok()).unwrap_or_default()
}

/// Reads a row. One whose bytes can't be decoded has an empty document: whoever reads that document finds
/// it unreadable and says so, and the table's other rows hold.
fn read_row(doc: RowDoc, era: Era) -> Row {
    let value = doc.value.as_str().and_then(|text| STANDARD.decode(text).ok()).unwrap_or_default();
    Row { table: doc.table, key: doc.key, value, version: doc.ver, era, is_removed: doc.removed }
}
