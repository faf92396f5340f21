//! A caller: sends requests the way an OpenAI client does and reads whole answers.

use std::time::{Duration, Instant};

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http::{HeaderMap, HeaderValue, Method, header::HeaderName};
use http_body_util::{BodyExt, BodyStream};
use serde_json::{Value, json};

use crate::{ids::VersionId, platform::HttpClient};

/// A chat request to send.
#[derive(Clone, Debug, Default)]
pub struct ChatCall {
    /// Caller key.
    pub key: Box<str>,
    /// What `model` names.
    pub model: Box<str>,
    /// System prompt.
    pub system: Box<str>,
    /// User prompt.
    pub user: Box<str>,
    /// Tokens at most.
    pub max_tokens: u64,
    /// Whether to stream.
    pub stream: bool,
    /// Session id or token.
    pub session: Option<Box<str>>,
    /// Key of a request that may run only once.
    pub once_key: Option<Box<str>>,
    /// Deadline.
    pub deadline: Option<Duration>,
}

impl ChatCall {
    /// The prompt as an engine stand-in reads it.
    pub fn prompt(&self) -> String {
        format!("system {} user {} ", self.system, self.user)
    }

    fn body(&self) -> Bytes {
        let mut body = json!({
            "model": self.model,
            "max_tokens": self.max_tokens,
            "stream": self.stream,
            "messages": [
                { "role": "system", "content": self.system },
                { "role": "user", "content": self.user },
            ],
        });
        if self.stream {
            body["stream_options"] = json!({ "include_usage": true });
        }
        body.to_string().into()
    }

    fn headers(&self) -> HeaderMap {
        let mut headers = bearer(&self.key);
        let mut put = |name: &'static str, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(HeaderName::from_static(name), value);
            }
        };
        if let Some(session) = &self.session {
            put("mintmoor-session", session);
        }
        if let Some(key) = &self.once_key {
            put("mintmoor-repeatable", "false");
            put("idempotency-key", key);
        }
        if let Some(deadline) = self.deadline {
            put("mintmoor-deadline-ms", &deadline.as_millis().to_string());
        }
        headers
    }
}

fn bearer(key: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(&format!("Bearer {key}")) {
        headers.insert("authorization", value);
    }
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    headers
}

/// What came back.
#[derive(Clone, Debug, Default)]
pub struct ChatOutcome {
    /// HTTP status; 0 when the connection broke before one came.
    pub status: u16,
    /// `ok`, the error's code, or `cut` when the answer broke off.
    pub code: Box<str>,
    /// Request id.
    pub request: Option<Box<str>>,
    /// Version that answered.
    pub version: VersionId,
    /// Index of the cascade's stage that answered.
    pub stage: Option<u32>,
    /// Session token.
    pub session: Option<Box<str>>,
    /// Text of the answer.
    pub text: String,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Mean time between tokens.
    pub between_tokens: Option<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// Whether the answer came from a saved result.
    pub replayed: bool,
    /// Tokens in the answer's usage, if it was told.
    pub tokens_out: Option<u64>,
}

/// What came back from a plain service.
#[derive(Clone, Debug, Default)]
pub struct ServiceOutcome {
    /// HTTP status; 0 when the connection broke.
    pub status: u16,
    /// `ok`, the error's code, or `cut`.
    pub code: Box<str>,
    /// Request id.
    pub request: Option<Box<str>>,
    /// Body.
    pub body: Box<str>,
}

/// A caller's connections to one entry.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient,
    base: Box<str>,
}

impl Client {
    /// A caller of the entry at `base`.
    pub fn new(base: &str) -> Self {
        Self { http: HttpClient::default(), base: base.into() }
    }

    /// Sends a chat request and reads its answer to the end.
    pub async fn chat(&self, call: &ChatCall) -> ChatOutcome {
        let began = Instant::now();
        let uri = format!("{}/v1/chat/completions", self.base);
        let mut outcome = ChatOutcome { code: "cut".into(), ..ChatOutcome::default() };
        let res = self.http.open(Method::POST, &uri, call.headers(), call.body()).await;
        let Ok(res) = res else {
            outcome.total = began.elapsed();
            return outcome;
        };
        outcome.status = res.status().as_u16();
        let header = |name: &str| -> Option<Box<str>> {
            res.headers().get(name)?.to_str().ok().map(Into::into)
        };
        outcome.request = header("mintmoor-request");
        outcome.version = header("mintmoor-version").unwrap_or_default();
        outcome.stage = header("mintmoor-stage").and_then(|stage| stage.parse().ok());
        outcome.session = header("mintmoor-session");
        outcome.replayed = header("mintmoor-replayed").is_some();
        let is_stream =
            header("content-type").is_some_and(|kind| kind.starts_with("text/event-stream"));
        if is_stream {
            read_stream(res, began, &mut outcome).await;
        } else {
            read_whole(res, began, &mut outcome).await;
        }
        outcome.total = began.elapsed();
        outcome
    }

    /// Calls a plain service.
    pub async fn service(
        &self,
        key: &str,
        path: &str,
        once_key: Option<&str>,
        body: Bytes,
    ) -> ServiceOutcome {
        let mut headers = bearer(key);
        if let Some(value) = once_key.and_then(|key| HeaderValue::from_str(key).ok()) {
            headers.insert("idempotency-key", value);
        }
        let uri = format!("{}/v1/services/{path}", self.base);
        let mut outcome = ServiceOutcome { code: "cut".into(), ..ServiceOutcome::default() };
        let timeout = Duration::from_secs(60);
        let Ok(reply) = self.http.call(Method::POST, &uri, headers, body, timeout).await else {
            return outcome;
        };
        outcome.status = reply.status.as_u16();
        outcome.request =
            reply.headers.get("mintmoor-request").and_then(|id| id.to_str().ok()).map(Into::into);
        outcome.body = String::from_utf8_lossy(&reply.body).into();
        outcome.code = match reply.status.is_success() {
            true => "ok".into(),
            false => error_code(&reply.body),
        };
        outcome
    }

    /// Reads a path with a key.
    ///
    /// # Errors
    /// When the entry gives no answer.
    pub async fn get(&self, key: &str, path: &str) -> crate::platform::Result<(u16, Bytes)> {
        let uri = format!("{}{path}", self.base);
        let timeout = Duration::from_secs(10);
        let reply = self.http.call(Method::GET, &uri, bearer(key), Bytes::new(), timeout).await?;
        Ok((reply.status.as_u16(), reply.body))
    }
}

fn error_code(body: &[u8]) -> Box<str> {
    let json: Value = serde_json::from_slice(body).unwrap_or_default();
    json["error"]["code"].as_str().unwrap_or("unreadable").into()
}

async fn read_whole(
    res: http::Response<hyper::body::Incoming>,
    began: Instant,
    outcome: &mut ChatOutcome,
) {
    let is_ok = res.status().is_success();
    let Ok(body) = res.into_body().collect().await else {
        return;
    };
    let body = body.to_bytes();
    if !is_ok {
        outcome.code = error_code(&body);
        return;
    }
    let Ok(json) = serde_json::from_slice::<Value>(&body) else {
        return;
    };
    let Some(text) = json["choices"][0]["message"]["content"].as_str() else {
        return;
    };
    outcome.text = text.into();
    outcome.tokens_out = json["usage"]["completion_tokens"].as_u64();
    if outcome.version.is_empty() {
        outcome.version = json["model"].as_str().unwrap_or_default().into();
    }
    outcome.first_token = Some(began.elapsed());
    outcome.code = "ok".into();
}

async fn read_stream(
    res: http::Response<hyper::body::Incoming>,
    began: Instant,
    outcome: &mut ChatOutcome,
) {
    let frames = BodyStream::new(res.into_body())
        .map(|frame| frame.map(|frame| frame.into_data().unwrap_or_default()));
    let mut events = std::pin::pin!(frames.eventsource());
    let mut parts = 0u32;
    let mut last = began;
    while let Some(Ok(event)) = events.next().await {
        if event.data == "[DONE]" {
            outcome.code = "ok".into();
            break;
        }
        let Ok(json) = serde_json::from_str::<Value>(&event.data) else {
            continue;
        };
        if let Some(code) = json["error"]["code"].as_str() {
            outcome.code = code.into();
            return;
        }
        if let Some(text) = json["choices"][0]["delta"]["content"].as_str() {
            outcome.first_token.get_or_insert_with(|| began.elapsed());
            outcome.text.push_str(text);
            parts += 1;
            last = Instant::now();
        }
        outcome.tokens_out = json["usage"]["completion_tokens"].as_u64().or(outcome.tokens_out);
    }
    if let Some(first) = outcome.first_token.filter(|_| parts > 1) {
        let span = last.duration_since(began).saturating_sub(first);
        outcome.between_tokens = Some(span / (parts - 1));
    }
}
