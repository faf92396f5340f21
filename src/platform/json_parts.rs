//! Splits JSON texts of other writers, so that a part which can't be read harms no other one.
//!
//! A parser of whole documents gives up at the first number out of range or at a deep value. So a text is only split at
//! the commas of a list or an object, which needs no recursion and no memory, and each part is parsed by itself.

use memchr::memchr2;
use serde::de::DeserializeOwned;

/// A field of an object.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Field<'a> {
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

    /// The parsed value; none if the field is missing or can't be read.
    pub(crate) fn parse<T: DeserializeOwned>(self) -> Option<T> {
        serde_json::from_slice(self.text()?).ok()
    }

    /// The parsed value, or the default if the field is missing; none if it can't be read.
    pub(crate) fn parse_or<T: DeserializeOwned>(self, default: T) -> Option<T> {
        if self.is_missing() { Some(default) } else { self.parse() }
    }

    /// A whole number, which may be written as `2.0`.
    pub(crate) fn whole_number(self) -> Option<u64> {
        let from_fraction = || whole_number(self.parse()?);
        self.parse().or_else(from_fraction)
    }

    /// The same, or the default if the field is missing; none if it can't be read.
    pub(crate) fn whole_number_or(self, default: u64) -> Option<u64> {
        if self.is_missing() { Some(default) } else { self.whole_number() }
    }

    /// The parts of a list; none if the field is missing or no list.
    pub(crate) fn list(self) -> Option<Parts<'a>> {
        inside(self.text()?, b'[', b']').map(Parts::of)
    }

    /// The fields of an object with these names; none if the field is missing or no object.
    pub(crate) fn object<const N: usize>(self, names: [&str; N]) -> Option<[Field<'a>; N]> {
        parse_fields(self.text()?, names)
    }

    pub(crate) fn is_missing(self) -> bool {
        matches!(self, Self::Missing)
    }

    pub(crate) fn is_null(self) -> bool {
        self.text() == Some(b"null")
    }
}

/// Largest number up to which a float holds each whole number.
const MAX_EXACT: f64 = 9_007_199_254_740_992.0;

/// The whole number that a float stands for.
fn whole_number(number: f64) -> Option<u64> {
    let is_whole = number.fract() == 0.0 && (0.0..=MAX_EXACT).contains(&number);
    is_whole.then_some(number as u64)
}

/// The elements of a list that can be read, and the number of the others; none if the text is not one complete list.
pub(crate) fn parse_list<T: DeserializeOwned>(text: &[u8]) -> Option<(Vec<T>, usize)> {
    let text = text.trim_ascii();
    let is_complete = value_end(text)? + 1 == text.len();
    let parts = is_complete.then_some(Field::Text(text))?.list()?;
    let (mut elements, mut unreadable) = (Vec::new(), 0);
    for part in parts {
        match serde_json::from_slice(part) {
            Ok(element) => elements.push(element),
            Err(_) => unreadable += 1,
        }
    }
    Some((elements, unreadable))
}

/// The fields with these names; none if the text is not one complete object.
pub(crate) fn parse_object<'a, const N: usize>(
    text: &'a [u8],
    names: [&str; N],
) -> Option<[Field<'a>; N]> {
    let text = text.trim_ascii();
    let end = value_end(text)?;
    (end + 1 == text.len()).then(|| parse_fields(text, names)).flatten()
}

/// The fields with these names; none if the text is not an object.
pub(crate) fn parse_fields<'a, const N: usize>(
    text: &'a [u8],
    names: [&str; N],
) -> Option<[Field<'a>; N]> {
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
#[derive(Debug)]
pub(crate) struct Parts<'a> {
    rest: Option<&'a [u8]>,
}

impl<'a> Parts<'a> {
    pub(crate) fn of(inside: &'a [u8]) -> Self {
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
