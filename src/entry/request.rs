//! Reading what a caller asks for.

use std::{
    str::FromStr,
    time::{Duration, Instant, SystemTime},
};

use axum::{body::Bytes, http::HeaderMap};
use serde_json::Value;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::{
    entry::ApiError,
    ids::{OrganisationId, RequestId, new_request_id},
    resources::Snapshot,
};

const MAX_DEADLINE: Duration = Duration::from_secs(600);
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
const MAX_KEY: usize = 200;
const MAX_SESSION: usize = 4_096;
/// Prompt words in one link of the prefix chain.
pub(crate) const CHAIN_WORDS: usize = 32;
/// Links of the prefix chain at most; a longer prompt is known by its first part.
const MAX_CHAIN: usize = 32;
const DEFAULT_ANSWER_TOKENS: u64 = 64;

/// What the headers say, checked.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    pub(crate) id: RequestId,
    pub(crate) organisation: OrganisationId,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Option<Duration>,
    pub(crate) priority: i32,
    pub(crate) task: Box<str>,
    pub(crate) session: Option<Box<str>>,
    pub(crate) repeatable: bool,
    pub(crate) idempotency_key: Option<Box<str>>,
}

/// A chat completion asked for.
#[derive(Clone, Debug)]
pub(crate) struct ChatRequest {
    pub(crate) head: RequestHead,
    pub(crate) model: Box<str>,
    pub(crate) stream: bool,
    pub(crate) include_usage: bool,
    pub(crate) body: Bytes,
    pub(crate) prompt: Box<str>,
    pub(crate) prompt_tokens: u64,
    pub(crate) answer_tokens: u64,
    /// Chained hashes of the prompt's first words: equal links mean equal prefixes.
    pub(crate) chain: Box<[u64]>,
}

impl RequestHead {
    /// Checks the headers; the key decides the organisation.
    pub(crate) fn read(headers: &HeaderMap, snapshot: &Snapshot) -> Result<Self, ApiError> {
        let key = bearer(headers).ok_or_else(ApiError::unauthorized)?;
        let organisation = snapshot.organisation_by_key(key).ok_or_else(ApiError::unauthorized)?;
        let deadline: Option<u64> = parse_header(headers, "mintmoor-deadline-ms")?;
        if deadline == Some(0) {
            return Err(ApiError::bad_request("Mintmoor-Deadline-Ms", "must be above 0"));
        }
        let idempotency_key = text_header(headers, "idempotency-key")?;
        if idempotency_key.as_ref().is_some_and(|key| key.is_empty() || key.len() > MAX_KEY) {
            let problem = format!("must have 1 to {MAX_KEY} characters");
            return Err(ApiError::bad_request("Idempotency-Key", problem));
        }
        let session = text_header(headers, "mintmoor-session")?;
        if session.as_ref().is_some_and(|session| session.len() > MAX_SESSION) {
            let problem = format!("must have at most {MAX_SESSION} characters");
            return Err(ApiError::bad_request("Mintmoor-Session", problem));
        }
        let repeatable = parse_header(headers, "mintmoor-repeatable")?;
        Ok(Self {
            id: new_request_id(SystemTime::now()),
            organisation: organisation.into(),
            arrived: Instant::now(),
            deadline: deadline.map(|ms| Duration::from_millis(ms).min(MAX_DEADLINE)),
            priority: parse_header(headers, "mintmoor-priority")?.unwrap_or(0),
            task: text_header(headers, "mintmoor-task")?.unwrap_or_default(),
            session,
            repeatable: repeatable.unwrap_or(true),
            idempotency_key,
        })
    }

    /// Time left to the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        let deadline = self.deadline.unwrap_or(DEFAULT_DEADLINE);
        deadline.saturating_sub(self.arrived.elapsed())
    }

    /// Key under which the request is claimed, when it may run only once.
    pub(crate) fn claim_key(&self) -> Result<Option<Box<str>>, ApiError> {
        if self.repeatable {
            return Ok(None);
        }
        let key = self.idempotency_key.clone().ok_or_else(ApiError::missing_key)?;
        Ok(Some(format!("claims/{}/{key}", self.organisation).into()))
    }
}

impl ChatRequest {
    /// Checks the body.
    pub(crate) fn read(head: RequestHead, body: Bytes) -> Result<Self, ApiError> {
        let json: Value = serde_json::from_slice(&body)
            .map_err(|e| ApiError::bad_request("body", format!("is not JSON: {e}")))?;
        let fields = json
            .as_object()
            .ok_or_else(|| ApiError::bad_request("body", "must be a JSON object"))?;
        let model = fields
            .get("model")
            .and_then(Value::as_str)
            .filter(|model| !model.is_empty())
            .ok_or_else(|| ApiError::bad_request("model", "must be a name"))?;
        let messages = fields
            .get("messages")
            .and_then(Value::as_array)
            .filter(|messages| !messages.is_empty())
            .ok_or_else(|| ApiError::bad_request("messages", "must be a list with entries"))?;
        if messages.iter().any(|m| m.get("role").and_then(Value::as_str).is_none()) {
            return Err(ApiError::bad_request("messages", "each entry must have a `role`"));
        }
        let stream = flag(fields.get("stream"), "stream")?;
        let options = fields.get("stream_options").and_then(Value::as_object);
        let include_usage =
            options.and_then(|o| o.get("include_usage")) == Some(&Value::Bool(true));
        let max_tokens = limit_field(fields.get("max_tokens"), "max_tokens")?
            .or(limit_field(fields.get("max_completion_tokens"), "max_completion_tokens")?);
        let prompt = prompt_text(messages);
        let words = prompt.split_whitespace();
        let chain = prefix_chain(words.clone());
        Ok(Self {
            model: model.into(),
            stream,
            include_usage,
            prompt_tokens: words.count() as u64,
            answer_tokens: max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS).min(DEFAULT_ANSWER_TOKENS),
            chain,
            prompt: prompt.into(),
            head,
            body,
        })
    }

    /// Tells a repeat of the same request from another one under the same key.
    pub(crate) fn fingerprint(&self) -> u64 {
        xxh3_64(&self.body)
    }
}

/// Key of an `Authorization: Bearer` header.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers.get("authorization")?.to_str().ok()?.strip_prefix("Bearer ").map(str::trim)
}

fn text_header(headers: &HeaderMap, name: &str) -> Result<Option<Box<str>>, ApiError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| ApiError::bad_request(name, "must be visible ASCII"))?;
    Ok(Some(text.trim().into()))
}

fn parse_header<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, ApiError>
where
    T::Err: std::fmt::Display,
{
    let Some(text) = text_header(headers, name)? else {
        return Ok(None);
    };
    let value = text.parse().map_err(|e| ApiError::bad_request(name, format!("`{text}`: {e}")))?;
    Ok(Some(value))
}

fn flag(value: Option<&Value>, name: &str) -> Result<bool, ApiError> {
    match value {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(ApiError::bad_request(name, "must be true or false")),
    }
}

fn limit_field(value: Option<&Value>, name: &str) -> Result<Option<u64>, ApiError> {
    match value {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64().filter(|tokens| *tokens > 0) {
            Some(tokens) => Ok(Some(tokens)),
            None => Err(ApiError::bad_request(name, "must be a whole number above 0")),
        },
    }
}

fn prompt_text(messages: &[Value]) -> String {
    let mut prompt = String::new();
    for message in messages {
        let role = message.get("role").and_then(Value::as_str).unwrap_or_default();
        prompt.push_str(role);
        prompt.push(' ');
        match message.get("content") {
            Some(Value::String(text)) => prompt.push_str(text),
            Some(Value::Array(parts)) => {
                for text in parts.iter().filter_map(|part| part.get("text")?.as_str()) {
                    prompt.push_str(text);
                    prompt.push(' ');
                }
            }
            _ => {}
        }
        prompt.push(' ');
    }
    prompt
}

fn prefix_chain<'a>(words: impl Iterator<Item = &'a str>) -> Box<[u64]> {
    let mut chain = Vec::new();
    let mut hasher = Xxh3::new();
    for (i, word) in words.take(CHAIN_WORDS * MAX_CHAIN).enumerate() {
        hasher.update(word.as_bytes());
        hasher.update(b" ");
        if (i + 1) % CHAIN_WORDS == 0 {
            chain.push(hasher.digest());
        }
    }
    chain.into()
}
