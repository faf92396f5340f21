//! Parses the heads of callers' requests and builds the headers of attempts sent to BackendServers.
//! [`super::response_headers`] parses the responses.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri, header};
use xxhash_rust::xxh3::xxh3_64;

use crate::routing::{Organisation, PromptPart, RequestHead, has_unsupported_coding};

/// Id of one attempt by a caller, echoed in the response.
pub(super) const REQUEST_ID: &str = "x-request-id";
/// Milliseconds: from a caller the time it will wait, to a server the time that is left.
const TIME_LEFT: &str = "x-deadline-ms";
/// `prompt,answer` token counts; the second is the maximum length of the answer.
const TOKEN_COUNTS: &str = "x-token-usage";
/// Comma-separated `id:tokens` of the prompt parts; the platform's documentation calls it a prefix hash.
const PROMPT_PARTS: &str = "x-prefix-hash";
const MODEL: &str = "x-model";
/// Model name that leaves the choice of the model to the router.
const ANY_MODEL: &str = "*";
const SESSION: &str = "session";
const LAST_EVENT_ID: &str = "last-event-id";
/// Id of the server instance that may run the request; any other rejects it.
const EXPECTED_SERVER: &str = "x-expect-instance";
const ORGANISATION: &str = "x-tenant";
const PRIORITY: &str = "x-request-priority";
const AUTH_SCHEME: &str = "Bearer ";

/// Headers that apply to a message on a single connection: those of RFC 9110, section 7.6.1, and the length, which
/// the sender of each message sets anew.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
pub(super) const KEEP_ALIVE: &str = "keep-alive";
/// Headers that only the router may send to a server; a caller's are removed.
const ROUTER_ONLY: [&str; 11] = [
    EXPECTED_SERVER,
    ORGANISATION,
    PRIORITY,
    TIME_LEFT,
    "x-expect-version",
    "x-pin-ms",
    "x-hold",
    "x-kv-backup",
    "kv-from",
    "kv-fetch",
    "authorization",
];

/// Why a request head is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// Without an id, the response can't be matched to the request.
    #[error("the request has no id")]
    MissingId,
    /// Without a host, the request can't be routed.
    #[error("the request names no host")]
    MissingHost,
    /// Both `Transfer-Encoding` and `Content-Length` are set: two parsers may disagree on where the body
    /// ends (request smuggling).
    #[error("the request has both Transfer-Encoding and Content-Length")]
    AmbiguousLength,
    /// The body has a transfer coding other than `chunked`, which the server would not know of.
    #[error("the request has a transfer coding other than chunked")]
    UnsupportedCoding,
}

/// Parses a caller's request head.
///
/// # Errors
/// When the id or host is missing, or the length of the body is ambiguous or its transfer coding unsupported.
pub fn parse_request_head(
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
) -> Result<RequestHead, HeadError> {
    if headers.contains_key(header::TRANSFER_ENCODING)
        && headers.contains_key(header::CONTENT_LENGTH)
    {
        return Err(HeadError::AmbiguousLength);
    }
    if has_unsupported_coding(headers) {
        return Err(HeadError::UnsupportedCoding);
    }
    let id = header_text(headers, REQUEST_ID).ok_or(HeadError::MissingId)?;
    let host = header_text(headers, "host").or_else(|| uri.host()).ok_or(HeadError::MissingHost)?;
    let host = host.split(':').next().unwrap_or(host);
    let (prompt_tokens, max_answer_tokens) =
        header_text(headers, TOKEN_COUNTS).map_or((0, 0), parse_token_counts);
    let mut passed_on = without_connection_headers(headers);
    // `Connection` may name any header, but no server can run the request without these.
    for name in [header::HOST, HeaderName::from_static(REQUEST_ID)] {
        if let Some(value) = headers.get(&name) {
            passed_on.insert(name, value.clone());
        }
    }
    for name in ROUTER_ONLY {
        passed_on.remove(name);
    }
    passed_on.remove(header::EXPECT);
    Ok(RequestHead {
        method: method.clone(),
        uri: uri.clone(),
        host: host.into(),
        id: id.into(),
        api_key: header_text(headers, "authorization")
            .and_then(|value| value.strip_prefix(AUTH_SCHEME))
            .map(|key| key.trim().into()),
        caller_timeout: header_number(headers, TIME_LEFT).map(Duration::from_millis),
        model: headers.get(MODEL).filter(|model| *model != ANY_MODEL).map(lossy_text),
        prompt_tokens,
        max_answer_tokens,
        prompt_parts: header_text(headers, PROMPT_PARTS)
            .map(parse_prompt_parts)
            .unwrap_or_default(),
        session: header_text(headers, SESSION).map(Into::into),
        last_event_id: header_number(headers, LAST_EVENT_ID),
        headers: passed_on,
    })
}

/// Id of a request, for logs; also of one whose head can't be parsed.
pub fn request_id(headers: &HeaderMap) -> Option<&str> {
    header_text(headers, REQUEST_ID)
}

/// Values that one attempt adds to the caller's headers.
#[derive(Clone, Debug)]
pub struct AttemptHeaders<'a> {
    /// Id of the selected server.
    pub server: &'a str,
    /// Organisation of the caller's key.
    pub organisation: Option<&'a Organisation>,
    /// Time left for the attempt.
    pub time_left: Duration,
    /// Model selected by the router, if the caller left the choice open.
    pub model: Option<&'a str>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Last event that the caller received, if the attempt resumes a stream.
    pub last_event_id: Option<u64>,
}

/// Builds the headers of one attempt.
pub fn build_attempt_headers(head: &RequestHead, attempt: &AttemptHeaders<'_>) -> HeaderMap {
    let mut headers = head.headers.clone();
    let mut set = |name: &'static str, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    set(EXPECTED_SERVER, attempt.server);
    set(TIME_LEFT, &attempt.time_left.as_millis().max(1).to_string());
    set(PRIORITY, &attempt.priority.to_string());
    if let Some(organisation) = attempt.organisation {
        set(ORGANISATION, &organisation.name);
    }
    if let Some(model) = attempt.model {
        set(MODEL, model);
    }
    if let Some(event_id) = attempt.last_event_id {
        set(LAST_EVENT_ID, &event_id.to_string());
    }
    headers
}

pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A header's value; bytes that are no text are replaced, so that the value is not taken for a missing one.
fn lossy_text(value: &HeaderValue) -> Box<str> {
    String::from_utf8_lossy(value.as_bytes()).into()
}

pub(super) fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name)?.trim().parse().ok()
}

pub(super) fn without_connection_headers(headers: &HeaderMap) -> HeaderMap {
    let mut remaining = headers.clone();
    let named = headers.get_all(header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
    for name in named.flat_map(|value| value.split(',')) {
        remaining.remove(name.trim());
    }
    for name in &CONNECTION_HEADERS {
        remaining.remove(name);
    }
    remaining.remove(KEEP_ALIVE);
    remaining
}

fn parse_token_counts(value: &str) -> (u64, u64) {
    let mut numbers = value.split(',').map(|n| n.trim().parse().unwrap_or(0));
    (numbers.next().unwrap_or(0), numbers.next().unwrap_or(0))
}

/// Parses the parts of a prompt. An entry that can't be read keeps its place, since the last one has a meaning of its
/// own: it gets the hash of its text as its id.
fn parse_prompt_parts(value: &str) -> Vec<PromptPart> {
    let part = |entry: &str| {
        let (id, tokens) = entry.split_once(':').unwrap_or((entry, ""));
        let id = u64::from_str_radix(id, 16).unwrap_or_else(|_| xxh3_64(id.as_bytes()));
        PromptPart { id, tokens: tokens.parse().unwrap_or_default() }
    };
    let entries = value.split(',').map(str::trim).filter(|entry| !entry.is_empty());
    entries.map(part).collect()
}
