//! Reads the store's replies row by row, so that a row which can't be read harms no other one.
//!
//! Other writers may leave any value in a row.

use std::time::Duration;

use base64::{Engine, engine::general_purpose::STANDARD};

use crate::{
    ids::{Era, Revision},
    platform::{
        Error, Result,
        json_parts::{Field, parse_fields, parse_object},
        store::{Row, Table},
    },
};

/// Maximum length of a key, in bytes. The store takes shorter ones, and a key is sent in headers and over links.
const MAX_KEY_BYTES: usize = 1 << 10;

/// Reply of the store with rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowsReply {
    /// Rows whose keys can be read, in the order of the reply. The document of a row is empty if it can't be decoded.
    pub rows: Vec<Row>,
    /// Number of rows that are left out, since their keys can't be read.
    pub skipped: usize,
    /// Number of versions and marks of removal that can't be read; they count as 0 and as not removed.
    pub unreadable_fields: usize,
    /// Smallest key that sorts after the last one that can be read.
    pub next_page: Option<Box<str>>,
    /// Whether there are more rows than the reply holds.
    pub is_truncated: bool,
    /// Newest transaction of the store.
    pub version: Revision,
    /// Monotonic clock of the store.
    pub now: Duration,
}

impl RowsReply {
    /// Parses a reply to a read of a table.
    ///
    /// # Errors
    /// When the reply is incomplete, or its list, version, clock or mark of more rows can't be read. There is no safe
    /// default for them: a list that seems complete removes servers, and without a version it is unknown where to go
    /// on. Another writer can't cause that, only the store itself.
    pub fn parse(body: &[u8], table: Table, era: Era) -> Result<Self> {
        let names = ["rows", "truncated", "ver", "now-ms"];
        let [rows, truncated, version, now] = parse_reply(body, names)?;
        let mut reply = Self {
            rows: Vec::new(),
            skipped: 0,
            unreadable_fields: 0,
            next_page: None,
            is_truncated: truncated.parse_or(false).ok_or_else(|| unreadable("truncated"))?,
            version: version.whole_number().ok_or_else(|| unreadable("ver"))?,
            now: parse_clock(now.parse_or(0.0).ok_or_else(|| unreadable("now-ms"))?),
        };
        for text in rows.list().ok_or_else(|| unreadable("rows"))? {
            reply.add_row(text, table, era);
        }
        Ok(reply)
    }

    fn add_row(&mut self, text: &[u8], asked: Table, era: Era) {
        let names = ["table", "key", "value", "ver", "removed"];
        let Some([table, key, value, version, removed]) = parse_fields(text, names) else {
            self.skipped += 1;
            return;
        };
        let Some(key) = key.parse::<Box<str>>() else {
            self.skipped += 1;
            return;
        };
        if key.len() > MAX_KEY_BYTES {
            // Such a key does not fit a URL. All keys that sort after it and before the last character have its start,
            // so they are too long as well.
            self.next_page = Some(format!("{}{}", cut_key(&key), char::MAX).into());
            self.skipped += 1;
            return;
        }
        self.next_page = Some(format!("{key}\0").into());
        let (revision, is_removed) = (version.whole_number_or(0), removed.parse_or(false));
        self.unreadable_fields +=
            usize::from(revision.is_none()) + usize::from(is_removed.is_none());
        self.rows.push(Row {
            table: table.parse_or(asked).unwrap_or(Table::Other),
            key,
            value: value.parse::<Box<str>>().and_then(|text| decode(&text)).unwrap_or_default(),
            version: revision.unwrap_or_default(),
            era,
            is_removed: is_removed.unwrap_or_default(),
        });
    }
}

/// Parses the number of the transaction from a reply to a write.
///
/// # Errors
/// When it can't be read.
pub fn parse_written_version(body: &[u8]) -> Result<Revision> {
    let [version] = parse_reply(body, ["ver"])?;
    version.whole_number().ok_or_else(|| unreadable("ver"))
}

/// The start of a key, which fits the limit.
fn cut_key(key: &str) -> &str {
    let mut end = key.len().min(MAX_KEY_BYTES);
    while !key.is_char_boundary(end) {
        end -= 1;
    }
    &key[..end]
}

fn unreadable(field: &str) -> Error {
    Error::Unreadable(format!("the field {field} of the reply").into())
}

/// Reading of the store's clock; zero if it is no time.
fn parse_clock(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1e3).unwrap_or_default()
}

fn decode(text: &str) -> Option<Vec<u8>> {
    STANDARD.decode(text).ok()
}

/// Fields of a reply; an error if its text is not one complete object.
fn parse_reply<'a, const N: usize>(body: &'a [u8], names: [&str; N]) -> Result<[Field<'a>; N]> {
    let fields = parse_object(body, names);
    fields.ok_or_else(|| Error::Unreadable("the reply is not an object".into()))
}
