//! The transactional table service.

use std::{fmt, sync::Arc, time::Duration};

use http::Method;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::time::Instant;

use crate::platform::{Error, HttpClient, Reply, Result};

const TIMEOUT: Duration = Duration::from_secs(2);
const MAX_READ_ATTEMPTS: usize = 4;
/// A read is not repeated once it has taken this long: the service is slow, not forgetful.
const READ_RETRY_WINDOW: Duration = Duration::from_millis(500);

/// One row with the number of the transaction that last wrote it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Path-like key.
    pub key: Box<str>,
    /// Number of the transaction that wrote it.
    pub version: u64,
    /// Value.
    pub value: serde_json::Value,
}

impl Row {
    /// Reads the value as a type.
    ///
    /// # Errors
    /// [`Error::Unreadable`] when the value has another shape.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_value(self.value.clone())
            .map_err(|e| Error::Unreadable(format!("row {}: {e}", self.key).into()))
    }
}

/// A condition: the row has this version, or is absent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: Box<str>,
    /// Version it must have; none means that the row must be absent.
    pub version: Option<u64>,
}

/// A row written, or deleted when there is no value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: Box<str>,
    /// New value; none deletes.
    pub value: Option<serde_json::Value>,
}

/// Writes that happen all or not at all, if every check holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions.
    pub checks: Vec<Check>,
    /// Writes.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a condition.
    #[must_use]
    pub fn check(mut self, key: impl Into<Box<str>>, version: Option<u64>) -> Self {
        self.checks.push(Check { key: key.into(), version });
        self
    }

    /// Adds a row to write.
    #[must_use]
    pub fn put(mut self, key: impl Into<Box<str>>, value: &impl Serialize) -> Self {
        let value = serde_json::to_value(value).expect("rows are plain data");
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
    /// Reads rows with a prefix, in key order, after a key, up to a limit.
    List {
        /// Prefix of the keys.
        prefix: Box<str>,
        /// Key to start behind; empty for the start.
        after: Box<str>,
        /// Rows at most.
        limit: usize,
    },
}

/// An answer of the table service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableReply {
    /// The transaction took effect under this number.
    Committed(u64),
    /// These checks did not hold; nothing was written.
    Conflict(Vec<Box<str>>),
    /// The row, if there is one.
    Row(Option<Row>),
    /// Rows in key order.
    Rows(Vec<Row>),
}

/// How an insert came out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum InsertOutcome {
    /// The row is written, and has this version.
    Inserted(u64),
    /// The row has another version than was expected.
    Conflict,
    /// Nothing was written.
    Refused,
    /// It is not known whether the row was written.
    Lost,
}

/// Client of the table service.
#[derive(Clone)]
pub struct TableClient {
    send: Arc<dyn Fn(TableRequest) -> Reply<TableReply> + Send + Sync>,
}

impl fmt::Debug for TableClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TableClient")
    }
}

impl TableClient {
    /// A client whose calls go through `send`; tests pass a fake.
    pub fn new(send: impl Fn(TableRequest) -> Reply<TableReply> + Send + Sync + 'static) -> Self {
        Self { send: Arc::new(send) }
    }

    /// A client of the service at `base`, such as `http://10.0.0.1:7000`.
    pub fn over_http(http: HttpClient, base: &str) -> Self {
        let uri: Arc<str> = format!("{base}/v1/table").into();
        Self::new(move |req| {
            let (http, uri) = (http.clone(), uri.clone());
            Box::pin(async move { http.call_json(Method::POST, &uri, &req, TIMEOUT).await })
        })
    }

    /// Commits a transaction; the inner error lists the checks that did not hold.
    ///
    /// # Errors
    /// The outer error says whether the transaction can have taken effect.
    pub async fn transact(
        &self,
        tx: Transaction,
    ) -> Result<std::result::Result<u64, Vec<Box<str>>>> {
        match (self.send)(TableRequest::Transact(tx)).await? {
            TableReply::Committed(version) => Ok(Ok(version)),
            TableReply::Conflict(keys) => Ok(Err(keys)),
            _ => Err(Error::Unreadable("answer to another call".into())),
        }
    }

    /// Carries a read out; one whose answer was lost is harmless to repeat for a while.
    async fn read(&self, req: TableRequest) -> Result<TableReply> {
        let began = Instant::now();
        for _ in 1..MAX_READ_ATTEMPTS {
            match (self.send)(req.clone()).await {
                Err(Error::Unknown(_)) if began.elapsed() < READ_RETRY_WINDOW => {}
                res => return res,
            }
        }
        (self.send)(req).await
    }

    /// Reads one row.
    ///
    /// # Errors
    /// When the service gives no answer.
    pub async fn get(&self, key: &str) -> Result<Option<Row>> {
        match self.read(TableRequest::Get(key.into())).await? {
            TableReply::Row(row) => Ok(row),
            _ => Err(Error::Unreadable("answer to another call".into())),
        }
    }

    /// Reads rows with a prefix, after a key, up to `limit`.
    ///
    /// # Errors
    /// When the service gives no answer.
    pub async fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>> {
        let req = TableRequest::List { prefix: prefix.into(), after: after.into(), limit };
        match self.read(req).await? {
            TableReply::Rows(rows) => Ok(rows),
            _ => Err(Error::Unreadable("answer to another call".into())),
        }
    }
}
