//! Parses the heads of BackendServers' responses; each header is decoded once, here.

use std::{ops::RangeInclusive, time::SystemTime};

use http::{HeaderMap, HeaderName, StatusCode, header};

use crate::{
    platform::request_headers::{
        KEEP_ALIVE, REQUEST_ID, header_number, header_text, without_connection_headers,
    },
    policy::{
        load::{ReportedLoad, ReportedPace},
        rate_limit::AdvertisedLimit,
        retry_after::RetryAfter,
    },
    routing::{ResponseHead, ResponseKind},
};

/// Signature of the server that sent the response.
const SIGNATURE: &str = "x-instance-stamp";
/// Present when the server did not run the request.
const NOT_EXECUTED: &str = "x-not-executed";
/// Load of the server: `running,waiting,slots`, and on shared machines the time that work takes in percent.
const LOAD: &str = "x-instance-load";
/// Requests per second, as a decimal number; sent only by a rate-limited server.
const RATE_LIMIT: &str = "server-limit";
/// Present with a value other than `0` while the server drains.
const LEAVING: &str = "server-leaving";
const CONFIDENCE: &str = "x-confidence";
/// Id of the server that sent the response. The platform's documentation shows it in responses to health checks only.
const SERVER_ID: &str = "x-instance-id";

/// Statuses of HTTP; others are a server's failure.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// Response headers that this adapter reads.
const READ_HEADERS: [&str; 12] = [
    SIGNATURE,
    NOT_EXECUTED,
    LOAD,
    RATE_LIMIT,
    LEAVING,
    CONFIDENCE,
    SERVER_ID,
    REQUEST_ID,
    "retry-after",
    "connection",
    "content-encoding",
    "transfer-encoding",
];
/// Known response headers that are only passed on: they are meant for the caller or not needed here
/// (docs/incidents/0013).
const PASSED_ON_HEADERS: [&str; 17] = [
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
    "x-weight-versions",
];

/// Parses the head of a response to the request with this id.
pub fn parse_response_head(
    status: StatusCode,
    headers: &HeaderMap,
    request_id: &str,
) -> ResponseHead {
    let closes_connection =
        header_text(headers, "connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
    let passed_on = without_connection_headers(headers);
    // A signature that `Connection` names ends at this hop, so that the caller's response would have none.
    let is_signed = passed_on.contains_key(SIGNATURE);
    let kind = classify_response(status, headers, is_signed, request_id);
    let names_sender = kind == ResponseKind::Misdirected;
    ResponseHead {
        kind,
        status,
        headers: passed_on,
        rejected_by: names_sender.then(|| parse_server_id(headers)).flatten(),
        confidence: header_number(headers, CONFIDENCE).and_then(|value| u8::try_from(value).ok()),
        load: header_text(headers, LOAD).and_then(parse_load),
        rate_limit: parse_rate_limit(headers),
        is_draining: headers.get_all(LEAVING).iter().any(|value| value != "0"),
        retry_after: parse_retry_after(headers),
        unknown_headers: collect_unknown_headers(headers),
        closes_connection,
    }
}

fn classify_response(
    status: StatusCode,
    headers: &HeaderMap,
    is_signed: bool,
    request_id: &str,
) -> ResponseKind {
    if !STATUSES.contains(&status.as_u16()) {
        return ResponseKind::InvalidStatus;
    }
    if header_text(headers, REQUEST_ID).is_some_and(|id| id != request_id) {
        return ResponseKind::WrongRequest;
    }
    let is_declared_unrun = headers.contains_key(NOT_EXECUTED);
    // A rejection bears no signature. The signature is that of a server that may have run the request.
    if status == StatusCode::MISDIRECTED_REQUEST && (is_declared_unrun || !is_signed) {
        return ResponseKind::Misdirected;
    }
    if is_declared_unrun {
        return ResponseKind::NotRun;
    }
    if !is_signed || headers.contains_key(header::CONTENT_ENCODING) {
        return ResponseKind::Unsigned;
    }
    if status.is_success() { ResponseKind::Success } else { ResponseKind::Failure }
}

/// Id of the server that sent a response; an empty one names nobody.
fn parse_server_id(headers: &HeaderMap) -> Option<Box<str>> {
    header_text(headers, SERVER_ID).filter(|id| !id.is_empty()).map(Into::into)
}

/// Rate limit advertised by a response; the smallest if there are several, since the server accepts at
/// least that.
fn parse_rate_limit(headers: &HeaderMap) -> AdvertisedLimit {
    let lines = headers.get_all(RATE_LIMIT).iter().map(|value| value.to_str().unwrap_or_default());
    let limits = lines.flat_map(|line| line.split(',')).map(AdvertisedLimit::parse);
    limits.reduce(AdvertisedLimit::smaller).unwrap_or(AdvertisedLimit::Nothing)
}

fn parse_load(value: &str) -> Option<ReportedLoad> {
    let mut numbers = value.split(',').map(|n| n.trim().parse().ok());
    let running = numbers.next()??;
    let waiting = numbers.next()??;
    let slots = numbers.next()??;
    let pace = match (numbers.next(), numbers.next()) {
        (None, _) => ReportedPace::Absent,
        (Some(Some(percent)), None) if percent > 0 => ReportedPace::Percent(percent),
        _ => ReportedPace::Unreadable,
    };
    Some(ReportedLoad { running, waiting, slots, pace })
}

/// Pause requested by a response; the longest if there are several.
fn parse_retry_after(headers: &HeaderMap) -> RetryAfter {
    let lines = headers.get_all(header::RETRY_AFTER).iter();
    let lines = lines.map(|value| value.to_str().unwrap_or_default());
    let pauses = lines.map(|line| RetryAfter::parse(line, SystemTime::now()));
    pauses.reduce(RetryAfter::longer).unwrap_or_default()
}

/// Headers that this adapter neither reads nor lists as passed on.
fn collect_unknown_headers(headers: &HeaderMap) -> Vec<HeaderName> {
    headers.keys().filter(|name| !is_known_header(name.as_str())).cloned().collect()
}

/// Whether a response header is read here or known to be passed on only.
pub fn is_known_header(name: &str) -> bool {
    READ_HEADERS.contains(&name) || PASSED_ON_HEADERS.contains(&name)
}
