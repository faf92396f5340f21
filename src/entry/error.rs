//! Errors callers see, in the shape of the OpenAI API; each code is a row in `docs/API.md`.

use std::time::Duration;

use axum::{
    Json,
    http::{HeaderValue, StatusCode},
    response::{IntoResponse, Response},
};
use serde_json::{Value, json};

/// An error with its stable code.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code}: {message}")]
pub struct ApiError {
    /// HTTP status.
    pub status: StatusCode,
    /// Stable code.
    pub code: &'static str,
    /// For people.
    pub message: Box<str>,
    /// Field or header at fault.
    pub param: Option<Box<str>>,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl ApiError {
    fn new(status: StatusCode, code: &'static str, message: impl Into<Box<str>>) -> Self {
        Self { status, code, message: message.into(), param: None, retry_after: None }
    }

    /// A request that can't be understood.
    pub fn bad_request(param: &str, message: impl Into<Box<str>>) -> Self {
        let mut e = Self::new(StatusCode::BAD_REQUEST, "bad_request", message);
        e.param = Some(param.into());
        e
    }

    /// A request that may run only once came without its key.
    pub fn missing_key() -> Self {
        let message = "a request marked `Mintmoor-Repeatable: false` needs an `Idempotency-Key`";
        let mut e = Self::new(StatusCode::BAD_REQUEST, "missing_idempotency_key", message);
        e.param = Some("Idempotency-Key".into());
        e
    }

    /// No valid caller key.
    pub fn unauthorized() -> Self {
        let message = "the bearer key is missing or not known";
        Self::new(StatusCode::UNAUTHORIZED, "invalid_api_key", message)
    }

    /// The organisation may not use what it named.
    pub fn not_allowed(what: &str) -> Self {
        let message = format!("your organisation may not use `{what}`");
        Self::new(StatusCode::FORBIDDEN, "not_allowed", message)
    }

    /// Nothing of that name is visible to the organisation.
    pub fn not_found(what: &str) -> Self {
        let message = format!("there is no `{what}`");
        Self::new(StatusCode::NOT_FOUND, "model_not_found", message)
    }

    /// The version named takes no new requests.
    pub fn withdrawn(version: &str) -> Self {
        let message = format!("version `{version}` is withdrawn; the request has not run");
        Self::new(StatusCode::CONFLICT, "withdrawn", message)
    }

    /// A request with the same key is running.
    pub fn duplicate() -> Self {
        let message = "a request with this idempotency key is still running";
        let mut e = Self::new(StatusCode::CONFLICT, "duplicate", message);
        e.retry_after = Some(Duration::from_secs(1));
        e
    }

    /// The key was used for another request.
    pub fn key_reused() -> Self {
        let message = "this idempotency key belongs to another request";
        Self::new(StatusCode::CONFLICT, "key_reused", message)
    }

    /// The body is too large.
    pub fn too_large(limit: usize) -> Self {
        let message = format!("the body is larger than {limit} bytes");
        Self::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
    }

    /// Shed before anything was sent.
    pub fn overloaded(message: &str, retry_after: Duration) -> Self {
        let message = format!("{message}; the request has not run");
        let mut e = Self::new(StatusCode::TOO_MANY_REQUESTS, "overloaded", message);
        e.retry_after = Some(retry_after);
        e
    }

    /// Nothing ran, and nothing will.
    pub fn not_run(message: &str) -> Self {
        let message = format!("{message}; the request has not run");
        let mut e = Self::new(StatusCode::SERVICE_UNAVAILABLE, "not_run", message);
        e.retry_after = Some(Duration::from_secs(1));
        e
    }

    /// It may have run.
    pub fn outcome_unknown(message: &str) -> Self {
        let message = format!("{message}; the request may have run");
        Self::new(StatusCode::BAD_GATEWAY, "outcome_unknown", message)
    }

    /// The deadline passed before any attempt started.
    pub fn deadline() -> Self {
        let message = "the deadline passed; the request has not run";
        Self::new(StatusCode::GATEWAY_TIMEOUT, "not_run", message)
    }

    fn kind(&self) -> &'static str {
        match self.status.as_u16() {
            401 => "authentication_error",
            403 => "permission_error",
            429 => "rate_limit_error",
            500.. => "server_error",
            _ => "invalid_request_error",
        }
    }

    /// The JSON body.
    pub fn body(&self) -> Value {
        json!({
            "error": {
                "message": self.message,
                "type": self.kind(),
                "param": self.param,
                "code": self.code,
            }
        })
    }
}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        let mut res = (self.status, Json(self.body())).into_response();
        if let Some(after) = self.retry_after {
            let seconds = HeaderValue::from(after.as_secs().max(1));
            res.headers_mut().insert("retry-after", seconds);
        }
        if self.code == "outcome_unknown" || self.code == "key_reused" {
            // Clients of this API repeat 409 and 5xx by themselves unless they are told not to.
            res.headers_mut().insert("x-should-retry", HeaderValue::from_static("false"));
        }
        res
    }
}
