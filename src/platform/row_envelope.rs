//! Reads the store's replies row by row, so that a row which can't be read harms no other one.
//!
//! Other writers may leave any value in a row. A parser of whole documents gives up on all rows at the first number
//! out of range or at a deep value. So the text is only split at the commas of a list or an object, which needs no
//! recursion and no memory, and each part is parsed by itself.

use std::time::Duration;

use base64::{Engine, engine::general_purpose::STANDARD};
use memchr::memchr2;
use serde::de::DeserializeOwned;

use crate::{
    ids::{Era, Revision},
    platform::{
        Error, Result,
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
        let rows = rows.text().and_then(|text| inside(text, b'[', b']'));
        let mut reply = Self {
            rows: Vec::new(),
            skipped: 0,
            unreadable_fields: 0,
            next_page: None,
            is_truncated: truncated.parse_or(false).ok_or_else(|| unreadable("truncated"))?,
            version: version.whole_number().ok_or_else(|| unreadable("ver"))?,
            now: parse_clock(now.parse_or(0.0).ok_or_else(|| unreadable("now-ms"))?),
        };
        for text in Parts::of(rows.ok_or_else(|| unreadable("rows"))?) {
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

/// A field of an object.
#[derive(Clone, Copy, Debug)]
enum Field<'a> {
    Missing,
    Text(&'a [u8]),
    /// The field is there several times. Parsers differ in which one counts, so it can't be read.
    Repeated,
}

impl<'a> Field<'a> {
    fn text(self) -> Option<&'a [u8]> {
        match self {
            Self::Text(text) => Some(text),
            Self::Missing | Self::Repeated => None,
        }
    }

    fn parse<T: DeserializeOwned>(self) -> Option<T> {
        serde_json::from_slice(self.text()?).ok()
    }

    /// The parsed value, or the default if the field is missing; none if it can't be read.
    fn parse_or<T: DeserializeOwned>(self, default: T) -> Option<T> {
        if matches!(self, Self::Missing) { Some(default) } else { self.parse() }
    }

    /// A whole number, which may be written as `2.0`.
    fn whole_number(self) -> Option<u64> {
        let from_fraction = || whole_number(self.parse()?);
        self.parse().or_else(from_fraction)
    }

    fn whole_number_or(self, default: u64) -> Option<u64> {
        if matches!(self, Self::Missing) { Some(default) } else { self.whole_number() }
    }
}

/// Largest number up to which a float holds each whole number.
const MAX_EXACT: f64 = 9_007_199_254_740_992.0;

/// The whole number that a float stands for.
pub(crate) fn whole_number(number: f64) -> Option<u64> {
    let is_whole = number.fract() == 0.0 && (0.0..=MAX_EXACT).contains(&number);
    is_whole.then_some(number as u64)
}

/// Fields of a reply; an error if its text is not one complete object.
fn parse_reply<'a, const N: usize>(body: &'a [u8], names: [&str; N]) -> Result<[Field<'a>; N]> {
    let text = body.trim_ascii();
    let is_complete = value_end(text).is_some_and(|end| end + 1 == text.len());
    let fields = is_complete.then(|| parse_fields(text, names)).flatten();
    fields.ok_or_else(|| Error::Unreadable("the reply is not an object".into()))
}

/// The fields with these names; none if the text is not an object.
fn parse_fields<'a, const N: usize>(text: &'a [u8], names: [&str; N]) -> Option<[Field<'a>; N]> {
    let mut fields = [Field::Missing; N];
    for part in Parts::of(inside(text, b'{', b'}')?) {
        let Some((name, value)) = split_name(part) else {
            continue;
        };
        let Some(index) = names.iter().position(|known| **known == *name) else {
            continue;
        };
        fields[index] = match fields[index] {
            Field::Missing => Field::Text(value),
            Field::Text(_) | Field::Repeated => Field::Repeated,
        };
    }
    Some(fields)
}

/// The text between the first and last byte, if they are these brackets.
fn inside(text: &[u8], open: u8, close: u8) -> Option<&[u8]> {
    text.strip_prefix(&[open])?.strip_suffix(&[close])
}

/// Name and value of a part of an object.
fn split_name(part: &[u8]) -> Option<(Box<str>, &[u8])> {
    let (name, rest) = part.split_at(value_end(part)? + 1);
    let value = rest.trim_ascii_start().strip_prefix(b":")?;
    Some((serde_json::from_slice(name).ok()?, value.trim_ascii()))
}

/// Position of the first byte outside texts at which `stop` returns true, given the byte and the depth after it. A text
/// counts as its closing quote.
fn scan(text: &[u8], stop: fn(u8, usize) -> bool) -> Option<usize> {
    let (mut at, mut depth) = (0, 0_usize);
    while at < text.len() {
        match text[at] {
            b'"' => at = closing_quote(text, at + 1)?,
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if stop(text[at], depth) {
            return Some(at);
        }
        at += 1;
    }
    None
}

/// Position of the quote that ends the text which begins here.
fn closing_quote(text: &[u8], mut from: usize) -> Option<usize> {
    loop {
        let at = from + memchr2(b'"', b'\\', text.get(from..)?)?;
        if text[at] == b'"' {
            return Some(at);
        }
        // The byte after a backslash is part of the text.
        from = at + 2;
    }
}

/// Position of the last byte of the value with which a text begins.
fn value_end(text: &[u8]) -> Option<usize> {
    scan(text, |_, depth| depth == 0)
}

/// The parts of the inside of a list or an object, without the white space around them.
struct Parts<'a> {
    rest: Option<&'a [u8]>,
}

impl<'a> Parts<'a> {
    fn of(inside: &'a [u8]) -> Self {
        Self { rest: Some(inside).filter(|text| !text.trim_ascii().is_empty()) }
    }
}

impl<'a> Iterator for Parts<'a> {
    type Item = &'a [u8];

    fn next(&mut self) -> Option<&'a [u8]> {
        let text = self.rest?;
        let comma = scan(text, |byte, depth| byte == b',' && depth == 0);
        self.rest = comma.map(|at| &text[at + 1..]);
        Some(text[..comma.unwrap_or(text.len())].trim_ascii())
    }
}
