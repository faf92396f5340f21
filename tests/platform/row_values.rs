//! Rows that another writer may leave in the store, as the bytes of the store's reply.

use base64::{Engine, engine::general_purpose::STANDARD};

/// A list nested this deep, as JSON.
fn nested(depth: usize) -> Vec<u8> {
    ["[".repeat(depth), "]".repeat(depth)].concat().into_bytes()
}

/// Values in place of base64 text, each with a description.
pub fn odd_values() -> Vec<(&'static str, Vec<u8>)> {
    let texts: [(&str, &[u8]); 12] = [
        ("a number above all floats", b"1e400"),
        ("a number above all integers", b"18446744073709551616"),
        ("a negative number", b"-1"),
        ("a fraction", b"1.5"),
        ("half of a surrogate pair", br#""\ud800""#),
        ("bytes that are not UTF-8", b"\"\xff\xfe\""),
        ("an escape that does not exist", br#""\q""#),
        ("a word that is not JSON", b"NaN"),
        ("null", b"null"),
        ("a list", b"[1,\"]\",{}]"),
        ("an object", br#"{"value":"e30=","key":"i-9"}"#),
        ("text that is not base64", b"\"%%%\""),
    ];
    let texts = texts.into_iter().map(|(what, text)| (what, text.to_vec()));
    texts.chain([("depth 200", nested(200)), ("depth 100,000", nested(100_000))]).collect()
}

/// The parts of a row in the store's reply.
pub struct RawRow<'a> {
    pub table: &'a str,
    pub key: &'a str,
    pub value: &'a str,
    pub version: &'a str,
    pub removed: &'a str,
}

impl RawRow<'_> {
    fn bytes(&self) -> Vec<u8> {
        let Self { table, key, value, version, removed } = self;
        format!("{{\"table\":{table},\"part\":\"\",\"key\":{key},\"value\":{value},\"ver\":{version},\"removed\":{removed}}}").into_bytes()
    }
}

/// Numbers that can't be read as whole ones.
const ODD_NUMBERS: [&str; 6] = ["1e400", "18446744073709551616", "-1", "1.5", "null", "\"x\""];

/// Whole rows of a table, each with a description; the key of most of them is `m`.
pub fn odd_rows(table: &str) -> Vec<(String, Vec<u8>)> {
    let table = format!("\"{table}\"");
    let value = format!("\"{}\"", STANDARD.encode("{}"));
    let row =
        || RawRow { table: &table, key: "\"m\"", value: &value, version: "9", removed: "false" };
    let long = format!("\"m{}\"", "x".repeat(64 << 10));
    let mut all: Vec<(String, Vec<u8>)> = Vec::new();
    for number in ODD_NUMBERS {
        all.push((format!("version {number}"), RawRow { version: number, ..row() }.bytes()));
        all.push((format!("removed {number}"), RawRow { removed: number, ..row() }.bytes()));
        all.push((format!("key {number}"), RawRow { key: number, ..row() }.bytes()));
        all.push((format!("table {number}"), RawRow { table: number, ..row() }.bytes()));
    }
    all.push(("a table nobody knows".into(), RawRow { table: "\"zzz\"", ..row() }.bytes()));
    all.push(("a key of 64 KB".into(), RawRow { key: &long, ..row() }.bytes()));
    all.push(("half a pair in a key".into(), RawRow { key: r#""\ud800""#, ..row() }.bytes()));
    all.push((
        "an unknown deep field".into(),
        RawRow { removed: "false,\"x\":1e400", ..row() }.bytes(),
    ));
    all.push(("a key twice".into(), RawRow { key: "\"m\",\"key\":\"n\"", ..row() }.bytes()));
    all.push(("a value twice".into(), RawRow { value: "1,\"value\":2", ..row() }.bytes()));
    for text in [
        "{}",
        "[]",
        "7",
        "null",
        "\"m\"",
        "true",
        "",
        "{\"key\":\"m\"}",
        "{\"table\":\"op\"}",
        "{1:2}",
    ] {
        all.push((format!("in place of a row {text}"), text.into()));
    }
    all.push(("bytes in place of a row".into(), b"\xff\xfe".to_vec()));
    all
}
