//! Arbitrary framing of responses, compared with a strict reader of RFC 9112.

use std::{
    cell::RefCell,
    sync::{Arc, Mutex},
};

use proptest::{
    collection::vec,
    prelude::*,
    sample::select,
    test_runner::{RngAlgorithm, TestRng, TestRunner},
};

use crate::{
    framing::{body, kept, raw},
    kept_caller::{KeptCaller, StrictResponse},
    server::{ReceivedRequest, Server, chunk},
    site::Site,
};

/// A response's framing headers and the bytes after its head, after which the server closes the connection.
#[derive(Clone, Debug)]
struct Message {
    headers: Vec<(&'static str, String)>,
    content: String,
}

fn message() -> impl Strategy<Value = Message> {
    let length = body().len();
    let lengths = [length, 5, 0, length + 9].map(|length| length.to_string());
    let odd = ["+5", "", "5, 5", "five", "-1"].map(String::from);
    let length = select([&lengths[..], &odd[..]].concat());
    let codings =
        ["chunked", "Chunked", "gzip", "gzip, chunked", "chunked, chunked", "identity", ""];
    let coding = select(codings.map(String::from).to_vec());
    let header = prop_oneof![
        2 => length.prop_map(|value| ("Content-Length", value)),
        1 => coding.prop_map(|value| ("Transfer-Encoding", value)),
        2 => Just(("Transfer-Encoding", "chunked".to_owned())),
    ];
    let content = (vec(0..body().len(), 0..4), any::<bool>(), any::<bool>(), 0..3usize);
    let content = content.prop_map(|(cuts, is_chunked, has_extra, missing)| {
        let mut content = if is_chunked { in_chunks(cuts) } else { body() };
        content.truncate(content.len() - missing);
        if has_extra { content + "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nno" } else { content }
    });
    (vec(header, 0..4), content).prop_map(|(headers, content)| Message { headers, content })
}

/// The body in chunks that end at these bytes, with an extension of each chunk.
fn in_chunks(mut cuts: Vec<usize>) -> String {
    cuts.extend([0, body().len()]);
    cuts.sort_unstable();
    cuts.dedup();
    let chunks =
        cuts.windows(2).map(|cut| chunk(&body()[cut[0]..cut[1]]).replacen("\r\n", ";a=b\r\n", 1));
    chunks.collect::<String>() + "0\r\n\r\n"
}

/// The whole body of a message, if there is one (RFC 9112, section 6.3).
fn read_strictly(message: &Message) -> Option<String> {
    let values = |name| {
        let named = message.headers.iter().filter(move |header| header.0 == name);
        named.flat_map(|header| header.1.split(',').map(str::trim)).collect::<Vec<_>>()
    };
    let (lengths, codings) = (values("Content-Length"), values("Transfer-Encoding"));
    if !codings.is_empty() {
        let is_chunked = codings.len() == 1 && codings[0].eq_ignore_ascii_case("chunked");
        return if is_chunked { read_chunks(&message.content) } else { None };
    }
    let Some(first) = lengths.first() else {
        return Some(message.content.clone());
    };
    let is_digits = !first.is_empty() && first.bytes().all(|b| b.is_ascii_digit());
    let length = first.parse().ok().filter(|_| is_digits && lengths.iter().all(|l| l == first))?;
    message.content.get(..length).map(Into::into)
}

fn read_chunks(mut rest: &str) -> Option<String> {
    let mut body = String::new();
    loop {
        let (line, tail) = rest.split_once("\r\n")?;
        let size = usize::from_str_radix(line.split(';').next()?, 16).ok()?;
        if size == 0 {
            return tail.starts_with("\r\n").then_some(body);
        }
        body += tail.get(..size)?;
        rest = tail[size..].strip_prefix("\r\n")?;
    }
}

/// Checks a response against the body that the caller must get, if any; returns its status.
fn check(
    response: Result<StrictResponse, String>,
    expected: Option<String>,
) -> Result<u16, TestCaseError> {
    let response = response.map_err(TestCaseError::fail)?;
    match expected {
        Some(body) => prop_assert_eq!((response.status, response.body), (200, body)),
        None => prop_assert!(response.status >= 500, "{:?}", response),
    }
    Ok(response.status)
}

/// What became of the messages that a server sent.
#[derive(Debug, Default)]
struct Counts {
    whole: u32,
    failed: u32,
}

/// A response reaches its caller whole or as a failure, and the next response on the connection is its own.
#[test]
fn a_caller_gets_what_a_strict_reader_reads_or_a_failure() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let action = Arc::new(Mutex::new(kept("", "")));
    let script = action.clone();
    let script = move |_: &ReceivedRequest| script.lock().unwrap().clone();
    let server = runtime.block_on(Server::start("i-1", script));
    let site = runtime.block_on(Site::start(&[(&server, "app", "v1")]));
    let caller = RefCell::new(runtime.block_on(KeptCaller::connect(&site)));
    let counts = RefCell::new(Counts::default());
    let config = ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));

    let result = runner.run(&message(), |message| {
        let headers = message.headers.iter().map(|(name, value)| format!("{name}: {value}\r\n"));
        let headers: String = headers.collect();
        *action.lock().unwrap() = raw("HTTP/1.1 200 X", &headers, message.content.clone(), false);
        let before = server.requests().len();
        let response = runtime.block_on(caller.borrow_mut().exchange("POST", "/once/a"));
        let is_sent = server.requests().len() > before;
        let expected = read_strictly(&message).filter(|_| is_sent);
        let checked = check(response, expected);
        if checked.is_err() {
            // The rest of this response must not fail the next message as well.
            *caller.borrow_mut() = runtime.block_on(KeptCaller::connect(&site));
        }
        let mut counts = counts.borrow_mut();
        let count = if checked? == 200 { &mut counts.whole } else { &mut counts.failed };
        *count += u32::from(is_sent);
        Ok(())
    });

    result.unwrap();
    let Counts { whole, failed } = counts.into_inner();
    assert!(whole >= 50 && failed >= 50, "{whole} whole, {failed} failed: too few to compare");
}
