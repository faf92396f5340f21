//! Responses that the entry generates itself when there is no server response to forward.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};

use crate::{
    platform::request_headers::HeadError,
    policy::{
        attempt_log::{AttemptLog, NotRunProof},
        availability::UnavailableCause,
    },
    router::request::body::ResponseBody,
    routing::PartId,
};

/// Why a request was not run.
///
/// The error text is the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub(crate) enum NotRunCause {
    #[error("the body did not arrive in time")]
    BodyTimeout,
    /// Slow callers hold too much memory.
    #[error("no memory for its body now")]
    OutOfMemory,
    #[error("no configuration yet")]
    NoConfiguration,
    /// The caller names a model that the cascade of its route doesn't have.
    #[error("the route has no such model")]
    UnknownModel,
    /// Servers rejected it as misdirected, and were themselves the ones that were meant.
    #[error("its servers do not take it")]
    Misdirected,
    #[error("the process is about to end")]
    Leaving {
        /// Time until an entry is expected to accept the request.
        retry_after: Duration,
    },
    #[error("no server can take it, back in {retry_after:?}")]
    NoServer {
        /// Time until a server is expected to accept the request.
        retry_after: Duration,
    },
    /// All servers are at their rate limit.
    #[error("its servers take no more requests now, back in {retry_after:?}")]
    RateLimited {
        /// Time until one of them is expected to accept the request.
        retry_after: Duration,
    },
    #[error("all its servers are {cause}, back in {retry_after:?}")]
    Unavailable {
        /// Why the server that becomes available first is unavailable now.
        cause: UnavailableCause,
        /// Time until that server is expected to accept the request.
        retry_after: Duration,
    },
    /// Servers crashed while running the request before.
    #[error("servers ended under this request, which is refused for {retry_after:?}")]
    Quarantined {
        /// Time until the request may be sent again.
        retry_after: Duration,
    },
    /// Servers crashed while running other requests with this prompt part.
    #[error(
        "servers ended under requests with part {part:x} of its prompt, which are refused for {retry_after:?}"
    )]
    PartQuarantined {
        /// The part.
        part: PartId,
        /// Time until a request with it may be sent again.
        retry_after: Duration,
    },
}

impl NotRunCause {
    fn status(self) -> StatusCode {
        match self {
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::UnknownModel | Self::Misdirected => StatusCode::MISDIRECTED_REQUEST,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn code(self) -> &'static str {
        match self {
            Self::BodyTimeout => "slow_body",
            Self::OutOfMemory => "out_of_memory",
            Self::NoConfiguration => "no_configuration",
            Self::UnknownModel => "unknown_model",
            Self::Misdirected => "misdirected",
            Self::Leaving { .. } => "leaving",
            Self::NoServer { .. } => "not_run",
            Self::RateLimited { .. } => "limited",
            Self::Unavailable { .. } => "unavailable",
            Self::Quarantined { .. } => "ends_servers",
            Self::PartQuarantined { .. } => "part_ends_servers",
        }
    }

    fn retry_after(self) -> Duration {
        match self {
            Self::Leaving { retry_after }
            | Self::NoServer { retry_after }
            | Self::RateLimited { retry_after }
            | Self::Unavailable { retry_after, .. }
            | Self::Quarantined { retry_after }
            | Self::PartQuarantined { retry_after, .. } => retry_after,
            Self::BodyTimeout
            | Self::OutOfMemory
            | Self::NoConfiguration
            | Self::UnknownModel
            | Self::Misdirected => DEFAULT_RETRY_AFTER,
        }
    }
}

/// Why a request gets a response from the entry instead of from a server.
///
/// The error text is the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub(crate) enum Refusal {
    #[error("the request can't be distinguished from others")]
    Malformed,
    #[error("the body has a transfer coding other than chunked")]
    UnsupportedCoding,
    #[error("no route")]
    NoRoute,
    #[error("no key, or one that no organisation has")]
    UnknownKey,
    #[error("the body is too large")]
    BodyTooLarge,
    /// No server ran the request or will run it, which the status of the response promises.
    #[error("{0}")]
    NotRun(NotRunCause, NotRunProof),
    /// A server may have run the request.
    #[error("it was sent and its answer is lost")]
    Lost,
    /// A server may have run the request.
    #[error("it was sent and no answer came in time")]
    TimedOut,
    /// This program failed while it served the request, which a server may have run.
    #[error("it ended by an internal error")]
    Panicked,
}

impl From<HeadError> for Refusal {
    fn from(e: HeadError) -> Self {
        match e {
            HeadError::UnsupportedCoding => Self::UnsupportedCoding,
            HeadError::MissingId | HeadError::MissingHost | HeadError::AmbiguousLength => {
                Self::Malformed
            }
        }
    }
}

/// `Retry-After` of refusals that do not carry their own, such as [`NotRunCause::NoConfiguration`].
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);

impl Refusal {
    /// Refuses a request that did not run. One that an attempt may have run is lost instead, whatever the cause: the
    /// status of the former is a promise, upon which the caller sends the request again.
    pub(crate) fn not_run(cause: NotRunCause, attempts: &AttemptLog) -> Self {
        attempts.prove_not_run().map_or(Self::Lost, |proof| Self::NotRun(cause, proof))
    }

    /// HTTP status of the response.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::UnsupportedCoding => StatusCode::NOT_IMPLEMENTED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NotRun(cause, _) => cause.status(),
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::Panicked => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// Value of the `code` label in metrics.
    pub(crate) fn code(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::UnsupportedCoding => "unsupported_coding",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::BodyTooLarge => "too_large",
            Self::NotRun(cause, _) => cause.code(),
            Self::Lost => "lost",
            Self::TimedOut => "timed_out",
            Self::Panicked => "panicked",
        }
    }

    fn retry_after(self) -> Duration {
        match self {
            Self::NotRun(cause, _) => cause.retry_after(),
            _ => DEFAULT_RETRY_AFTER,
        }
    }

    /// The complete response: status, body, and `Retry-After` for a 503.
    pub(crate) fn response(self) -> Response<ResponseBody> {
        let mut res = Response::new(ResponseBody::short(format!("{self}\n")));
        *res.status_mut() = self.status();
        if res.status() == StatusCode::SERVICE_UNAVAILABLE {
            let seconds = format!("{:.3}", self.retry_after().as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                res.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        res
    }
}
