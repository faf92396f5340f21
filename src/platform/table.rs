//! Client of the transactional table service.

use std::{fmt, sync::Arc, time::Duration};

use http::Method;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::time::Instant;

use crate::platform::{Error, HttpClient, ReplyFuture, Result};

const TIMEOUT: Duration = Duration::from_secs(2);
const MAX_READ_ATTEMPTS: usize = 4;
/// Reads are not retried after this time: the service is then slow rather than losing replies.
const READ_RETRY_WINDOW: Duration = Duration::from_millis(500);

/// A row with the number of the transaction that last wrote it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key, structured like a path.
    pub key: Box<str>,
    /// Number of the transaction that last wrote it.
    pub version: u64,
    /// Document stored in the row.
    pub value: serde_json::Value,
}

impl Row {
    /// Parses the value.
    ///
    /// # Errors
    /// [`Error::Unreadable`] when the value doesn't match the type.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_value(self.value.clone())
            .map_err(|e| Error::Unreadable(format!("row {}: {e}", self.key).into()))
    }
}

/// Precondition of a transaction: the version that a row has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: Box<str>,
    /// Version it must have; `None` if the row must not exist.
    pub version: Option<u64>,
}

/// Write or deletion of one row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: Box<str>,
    /// New value; `None` deletes the row.
    pub value: Option<serde_json::Value>,
}

/// Writes that are committed together if all preconditions hold.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Preconditions.
    pub checks: Vec<Check>,
    /// Rows to write or delete.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a precondition; `None` requires that the row doesn't exist.
    #[must_use]
    pub fn check(mut self, key: impl Into<Box<str>>, version: Option<u64>) -> Self {
        self.checks.push(Check { key: key.into(), version });
        self
    }

    /// Adds a row to write.
    #[must_use]
    pub fn put(mut self, key: impl Into<Box<str>>, value: &impl Serialize) -> Self {
        let value = serde_json::to_value(value).expect("rows can be serialized to JSON");
        self.writes.push(Write { key: key.into(), value: Some(value) });
        self
    }

    /// Adds a row to delete.
    #[must_use]
    pub fn delete(mut self, key: impl Into<Box<str>>) -> Self {
        self.writes.push(Write { key: key.into(), value: None });
        self
    }
}

/// A call to the table service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableRequest {
    /// Commits a transaction.
    Transact(Transaction),
    /// Reads one row.
    Get(Box<str>),
    /// Reads a page of the rows with a key prefix, in key order.
    List {
        /// Prefix of the keys.
        prefix: Box<str>,
        /// Key after which the page starts; empty for the first page.
        after: Box<str>,
        /// Maximum number of rows.
        limit: usize,
    },
}

/// A reply of the table service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableReply {
    /// The transaction was committed with this number.
    Committed(u64),
    /// Keys whose preconditions did not hold; nothing was written.
    Conflict(Vec<Box<str>>),
    /// The row that was read; `None` if there is none.
    Row(Option<Row>),
    /// Rows in key order.
    Rows(Vec<Row>),
}

/// Outcome of an insert.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum InsertOutcome {
    /// The row was written and has this version.
    Inserted(u64),
    /// The row does not have the expected version; nothing was written.
    Conflict,
    /// The service could not be reached or rejected the call; nothing was written.
    Refused,
    /// The reply was lost; the row may have been written.
    Lost,
}

/// Client of the table service.
#[derive(Clone)]
pub struct TableClient {
    send: Arc<dyn Fn(TableRequest) -> ReplyFuture<TableReply> + Send + Sync>,
}

impl fmt::Debug for TableClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TableClient")
    }
}

impl TableClient {
    /// Creates a client whose calls go through `send`; tests pass a fake.
    pub fn new(
        send: impl Fn(TableRequest) -> ReplyFuture<TableReply> + Send + Sync + 'static,
    ) -> Self {
        Self { send: Arc::new(send) }
    }

    /// Creates a client of the HTTP service at `base`, such as `http://10.0.0.1:7000`.
    pub fn over_http(http: HttpClient, base: &str) -> Self {
        let uri: Arc<str> = format!("{base}/v1/table").into();
        Self::new(move |req| {
            let (http, uri) = (http.clone(), uri.clone());
            Box::pin(async move { http.call_json(Method::POST, &uri, &req, TIMEOUT).await })
        })
    }

    /// Commits a transaction and returns its number, or in the inner `Err` the keys whose preconditions did
    /// not hold.
    ///
    /// # Errors
    /// The outer error says whether the transaction may have taken effect.
    pub async fn transact(
        &self,
        tx: Transaction,
    ) -> Result<std::result::Result<u64, Vec<Box<str>>>> {
        match (self.send)(TableRequest::Transact(tx)).await? {
            TableReply::Committed(version) => Ok(Ok(version)),
            TableReply::Conflict(keys) => Ok(Err(keys)),
            _ => Err(Error::Unreadable("unexpected kind of reply".into())),
        }
    }

    /// Sends a read and retries it when the reply is lost, which is safe since reads have no effect.
    async fn read(&self, req: TableRequest) -> Result<TableReply> {
        let started = Instant::now();
        for _ in 1..MAX_READ_ATTEMPTS {
            match (self.send)(req.clone()).await {
                Err(Error::Unknown(_)) if started.elapsed() < READ_RETRY_WINDOW => {}
                res => return res,
            }
        }
        (self.send)(req).await
    }

    /// Reads one row.
    ///
    /// # Errors
    /// When the service can't be reached or its reply is invalid.
    pub async fn get(&self, key: &str) -> Result<Option<Row>> {
        match self.read(TableRequest::Get(key.into())).await? {
            TableReply::Row(row) => Ok(row),
            _ => Err(Error::Unreadable("unexpected kind of reply".into())),
        }
    }

    /// Reads up to `limit` rows whose keys have a prefix and sort after `after`.
    ///
    /// # Errors
    /// When the service can't be reached or its reply is invalid.
    pub async fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>> {
        let req = TableRequest::List { prefix: prefix.into(), after: after.into(), limit };
        match self.read(req).await? {
            TableReply::Rows(rows) => Ok(rows),
            _ => Err(Error::Unreadable("unexpected kind of reply".into())),
        }
    }
}
