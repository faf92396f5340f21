//! Client of the platform's store, which keeps rows in tables and offers a feed of changes and transactions.

use std::{sync::Arc, time::Duration};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header::CONTENT_TYPE};
use serde::{Deserialize, Serialize};

use crate::{
    ids::{Era, Revision, StoreVersion},
    platform::{
        Error, HttpClient, HttpReply, Result,
        http_client::check_status,
        row_envelope::{RowsReply, parse_written_version},
        unreadable_rows::UnreadableRows,
    },
};

/// A table of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Table {
    /// Written by the operator: configuration, roll-outs and evacuations.
    #[serde(rename = "op")]
    Orders,
    /// Written by the BackendServers: one row for each that is running.
    #[serde(rename = "servers")]
    Servers,
    /// Written by this system: reports to the operator.
    #[serde(rename = "status")]
    Status,
    /// Private rows of this system.
    #[serde(rename = "mintmoor")]
    Own,
    /// Private rows about the duties of one entry at a time.
    #[serde(rename = "mintmoor-duties")]
    Duties,
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
            Table::Duties => "mintmoor-duties",
            Table::Other => "",
        }
    }
}

/// A row, or a notice that it was deleted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Table of the row.
    pub table: Table,
    /// Key, unique in the table.
    pub key: Box<str>,
    /// Document. Empty when the row was deleted or its bytes can't be decoded; parsing it then fails.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
    /// Number of the transaction that last wrote the row.
    pub version: Revision,
    /// Era of the store when the row was read; not sent over links while the store has never been restored.
    #[serde(default, skip_serializing_if = "is_first")]
    pub era: Era,
    /// Whether the row was deleted.
    pub is_removed: bool,
}

impl Row {
    /// Position in the store's history at which the row was last written.
    pub fn written_at(&self) -> StoreVersion {
        StoreVersion { era: self.era, revision: self.version }
    }
}

/// Whether an era is the first, before any restore of the store.
#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
pub(crate) fn is_first(era: &Era) -> bool {
    *era == 0
}

/// Rows with the store version they were read at.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rows {
    /// Rows in key order, or for a feed in the order of their changes.
    pub rows: Vec<Row>,
    /// Newest transaction that the rows include.
    pub version: StoreVersion,
    /// Monotonic clock of the store.
    pub now: Duration,
}

/// Reply of the change feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedReply {
    /// Rows changed since the requested version; empty if there are none.
    Changes(Rows),
    /// The store has discarded that part of its history or was restored from a backup; the table must be
    /// read again in full.
    ResyncRequired,
}

/// Conditional write of one row.
#[derive(Clone, Debug)]
pub struct Put {
    /// Table of the row.
    pub table: Table,
    /// Key of the row.
    pub key: Box<str>,
    /// Version the row must have; 0 if it must not exist.
    pub expected: Revision,
    /// New document.
    pub value: Vec<u8>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It was committed with this number.
    Written(Revision),
    /// A row did not have the expected version; nothing was written.
    Conflict,
    /// It was committed in another era than the one in which the rows were read. A restored store reuses
    /// revision numbers, so a condition may have held although the row differs; everything must be read again.
    EraMismatch,
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
    /// Versions that the rows must have.
    expected_rev: Vec<Expected<'a>>,
    puts: Vec<PutDoc<'a>>,
    remove: [(); 0],
}

/// Response header that increases by one with each restore of the store; part of all responses.
const ERA_HEADER: &str = "store-era";

/// Timeout of a read or write; the store takes 4 ms, and 60 times as long when it is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time allowed for a feed request on top of its wait time.
const FEED_SLACK: Duration = Duration::from_millis(500);

/// Client of the store; clones share a connection pool.
#[derive(Clone, Debug)]
pub struct StoreClient {
    http: HttpClient,
    base: Box<str>,
    unreadable: Arc<UnreadableRows>,
}

impl StoreClient {
    /// Creates a client of the store at this address, `IP:PORT`.
    pub fn new(http: HttpClient, address: &str) -> Self {
        Self { http, base: format!("http://{address}/-/").into(), unreadable: Arc::default() }
    }

    /// Reads all rows of a table.
    ///
    /// # Errors
    /// When a call fails or the store is restored during the read.
    pub async fn read_table(&self, table: Table) -> Result<Rows> {
        self.read_rows(table, "&from=").await
    }

    /// Reads one row of a table; `rows` is empty if it does not exist.
    ///
    /// # Errors
    /// When the call fails.
    pub async fn read_row(&self, table: Table, key: &str) -> Result<Rows> {
        // The range ends before the smallest key that sorts after this one.
        let key_text = encode_query(key);
        let mut rows = self.read_rows(table, &format!("&from={key_text}&to={key_text}%00")).await?;
        rows.rows.retain(|row| *row.key == *key && !row.is_removed);
        Ok(rows)
    }

    /// Reads the rows of a table in a range, given as query parameters.
    async fn read_rows(&self, table: Table, range: &str) -> Result<Rows> {
        let mut all =
            Rows { rows: Vec::new(), version: StoreVersion::default(), now: Duration::ZERO };
        let mut next: Option<Box<str>> = None;
        loop {
            let from = next.as_deref().map(|from| format!("&from={}", encode_query(from)));
            let page = from.as_deref().unwrap_or(range);
            let path = format!("rows-get?table={}&part={page}", table.name());
            let reply = self.get(&path, CALL_TIMEOUT).await?;
            let era = parse_era(&reply);
            let doc = self.parse_rows(&path, &reply, table, era)?;
            if next.is_none() {
                // Later pages may be newer; the feed then repeats those changes.
                all.version = StoreVersion { era, revision: doc.version };
                all.now = doc.now;
            }
            if era != all.version.era {
                return Err(Error::Unreadable(
                    "the store was restored from a backup during the read".into(),
                ));
            }
            all.rows.extend(doc.rows);
            if !doc.is_truncated {
                return Ok(all);
            }
            // Without progress the same page would be read for ever, and without its rest the list would seem
            // complete.
            if doc.next_page <= next {
                return Err(Error::Unreadable("no row of a page has a later key".into()));
            }
            next = doc.next_page;
        }
    }

    /// Returns the changes of a table after a version; if there are none yet, waits for the first for up to
    /// `wait`.
    ///
    /// # Errors
    /// When the call fails.
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
        let doc = self.parse_rows(&path, &reply, table, era)?;
        if parse_era(&reply) != era {
            // After the restore, other writers reused the revisions that are known here, so these changes
            // don't continue from them.
            return Ok(FeedReply::ResyncRequired);
        }
        let version = StoreVersion { era, revision: doc.version.max(after) };
        Ok(FeedReply::Changes(Rows { rows: doc.rows, version, now: doc.now }))
    }

    /// Writes rows in one transaction if each has its expected version, as read in `era`.
    ///
    /// # Errors
    /// [`Error::Refused`] when nothing was written, [`Error::Unknown`] when the rows may have been written.
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
        check_status("rows-tx", &reply)?;
        let version = parse_written_version(&reply.body)?;
        Ok(if parse_era(&reply) == era {
            WriteOutcome::Written(version)
        } else {
            WriteOutcome::EraMismatch
        })
    }

    async fn get(&self, path: &str, timeout: Duration) -> Result<HttpReply> {
        let uri = format!("{}{path}", self.base);
        self.http.call(Method::GET, &uri, HeaderMap::new(), Bytes::new(), timeout).await
    }

    /// Parses a reply with rows, and logs and counts those that are left out.
    fn parse_rows(
        &self,
        path: &str,
        reply: &HttpReply,
        table: Table,
        era: Era,
    ) -> Result<RowsReply> {
        check_status(path, reply)?;
        let doc = RowsReply::parse(&reply.body, table, era)
            .map_err(|e| Error::Unreadable(format!("{path}: {e}").into()))?;
        self.unreadable.record(table, &doc);
        Ok(doc)
    }

    /// Returns and resets the number of rows that were left out, since their keys can't be read.
    pub fn take_skipped_rows(&self) -> u64 {
        self.unreadable.take_skipped()
    }
}

/// Text as the value of a query parameter.
fn encode_query(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' | b'/' => {
                encoded.push(char::from(byte));
            }
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}

/// Era reported by a response; 0 if it reports none.
fn parse_era(reply: &HttpReply) -> Era {
    let reported = reply.headers.get(ERA_HEADER).and_then(|value| value.to_str().ok());
    reported.and_then(|text| text.trim().parse().ok()).unwrap_or_default()
}
