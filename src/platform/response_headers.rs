//! Parses the heads of BackendServers' responses; each header is decoded once, here.

use std::time::SystemTime;

use http::{HeaderMap, HeaderName, StatusCode, header};

use crate::{
    platform::request_headers::{KEEP_ALIVE, REQUEST_ID, number, text, without_hop_by_hop},
    policy::{load::ReportedLoad, rate_limit::AdvertisedLimit, retry_after::RetryAfter},
    routing::{ResponseHead, ResponseKind},
};

/// Signature of the server that sent the response.
const SIGNATURE: &str = "x-instance-stamp";
/// Present when the server did not run the request.
const NOT_RUN: &str = "x-not-executed";
/// Load of the server: `running,waiting,slots`.
const LOAD: &str = "x-instance-load";
/// Requests per second, as a decimal number; sent only by a rate-limited server.
const RATE_LIMIT: &str = "server-limit";
/// Present with a value other than `0` while the server drains.
const DRAINING: &str = "server-leaving";
const CONFIDENCE: &str = "x-confidence";

/// Response headers that this adapter reads.
const READ: [&str; 11] = [
    SIGNATURE,
    NOT_RUN,
    LOAD,
    RATE_LIMIT,
    DRAINING,
    CONFIDENCE,
    REQUEST_ID,
    "retry-after",
    "connection",
    "content-encoding",
    "transfer-encoding",
];
/// Known response headers that are only passed on: they are meant for the caller or not needed here
/// (docs/incidents/0013).
const PASSED_ON: [&str; 18] = [
    "allow",
    "cache-control",
    "content-language",
    "content-length",
    "content-type",
    "date",
    "etag",
    "expires",
    "last-modified",
    "location",
    "server",
    "set-cookie",
    "vary",
    "www-authenticate",
    KEEP_ALIVE,
    "x-cold-ms",
    "x-instance-id",
    "x-weight-versions",
];

/// Parses the head of a response to the request with this id.
pub fn parse_response_head(
    status: StatusCode,
    headers: &HeaderMap,
    request_id: &str,
) -> ResponseHead {
    let closes_connection =
        text(headers, "connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
    ResponseHead {
        kind: kind_of_answer(status, headers, request_id),
        status,
        headers: without_hop_by_hop(headers),
        confidence: number(headers, CONFIDENCE).and_then(|value| u8::try_from(value).ok()),
        load: text(headers, LOAD).and_then(read_load),
        rate_limit: read_rate_limit(headers),
        is_draining: headers.get_all(DRAINING).iter().any(|value| value != "0"),
        retry_after: read_retry_after(headers),
        unknown_headers: unread(headers),
        closes_connection,
    }
}

fn kind_of_answer(status: StatusCode, headers: &HeaderMap, request_id: &str) -> ResponseKind {
    if text(headers, REQUEST_ID).is_some_and(|id| id != request_id) {
        return ResponseKind::WrongRequest;
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return ResponseKind::WrongServer;
    }
    if headers.contains_key(NOT_RUN) {
        return ResponseKind::NotRun;
    }
    if !headers.contains_key(SIGNATURE) || headers.contains_key(header::CONTENT_ENCODING) {
        return ResponseKind::Unsigned;
    }
    if status.is_success() { ResponseKind::Success } else { ResponseKind::Failure }
}

/// Rate limit advertised by a response; the smallest if there are several, since the server accepts at
/// least that.
fn read_rate_limit(headers: &HeaderMap) -> AdvertisedLimit {
    let lines = headers.get_all(RATE_LIMIT).iter().map(|value| value.to_str().unwrap_or_default());
    let said = lines.flat_map(|line| line.split(',')).map(AdvertisedLimit::read);
    said.reduce(AdvertisedLimit::smaller).unwrap_or(AdvertisedLimit::Nothing)
}

fn read_load(value: &str) -> Option<ReportedLoad> {
    let mut numbers = value.split(',').map(|n| n.trim().parse().ok());
    let running = numbers.next()??;
    let waiting = numbers.next()??;
    let slots = numbers.next()??;
    Some(ReportedLoad { running, waiting, slots })
}

/// Pause requested by a response; the longest if there are several.
fn read_retry_after(headers: &HeaderMap) -> RetryAfter {
    let lines = headers.get_all(header::RETRY_AFTER).iter();
    let lines = lines.map(|value| value.to_str().unwrap_or_default());
    let pauses = lines.map(|line| RetryAfter::read(line, SystemTime::now()));
    pauses.reduce(RetryAfter::longer).unwrap_or_default()
}

/// Headers that this adapter neither reads nor lists as passed on.
fn unread(headers: &HeaderMap) -> Vec<HeaderName> {
    headers.keys().filter(|name| !is_known_header(name.as_str())).cloned().collect()
}

/// Whether a response header is read here or known to be passed on only.
pub fn is_known_header(name: &str) -> bool {
    READ.contains(&name) || PASSED_ON.contains(&name)
}
