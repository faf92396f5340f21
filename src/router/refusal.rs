//! Answers of this system itself, where there is none of a server to pass on.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};

use crate::{policy::availability::UnavailableCause, router::body::ResponseBody};

/// Why a request gets no server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub(crate) enum Refusal {
    #[error("the request can't be distinguished from others")]
    Malformed,
    #[error("no route")]
    NoRoute,
    #[error("no key, or one that no organisation has")]
    UnknownKey,
    #[error("the body is too large")]
    BodyTooLarge,
    #[error("the body did not arrive in time")]
    BodyTimeout,
    /// Did not run and never will.
    #[error("no configuration yet")]
    NoConfiguration,
    /// Did not run and never will.
    #[error("the process is about to end")]
    Leaving {
        /// When an entry can be expected to take it.
        retry_after: Duration,
    },
    /// Did not run and never will.
    #[error("no server can take it, back in {retry_after:?}")]
    NotRun {
        /// When a server can be expected to take it.
        retry_after: Duration,
    },
    /// Did not run and never will.
    #[error("its servers take no more requests now, back in {retry_after:?}")]
    RateLimited {
        /// When one of them can be expected to take it.
        retry_after: Duration,
    },
    /// Did not run and never will.
    #[error("all its servers are {cause}, back in {retry_after:?}")]
    Unavailable {
        /// Why the first of them that is back is away.
        cause: UnavailableCause,
        /// When it can be expected to take it.
        retry_after: Duration,
    },
    /// Did not run in this try.
    #[error("servers ended under this request, which is refused for {retry_after:?}")]
    Quarantined {
        /// When it may be tried again.
        retry_after: Duration,
    },
    /// May have run.
    #[error("it was sent and its answer is lost")]
    Lost,
    /// May have run.
    #[error("it was sent and no answer came in time")]
    TimedOut,
}

/// Time after which a caller may try again that came before the configuration.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);

impl Refusal {
    /// Status of the answer.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::NoConfiguration
            | Self::Leaving { .. }
            | Self::NotRun { .. }
            | Self::RateLimited { .. }
            | Self::Unavailable { .. }
            | Self::Quarantined { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Code for logs and metrics.
    pub(crate) fn code(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::BodyTooLarge => "too_large",
            Self::BodyTimeout => "slow_body",
            Self::NoConfiguration => "no_configuration",
            Self::Leaving { .. } => "leaving",
            Self::NotRun { .. } => "not_run",
            Self::RateLimited { .. } => "limited",
            Self::Unavailable { .. } => "unavailable",
            Self::Quarantined { .. } => "ends_servers",
            Self::Lost => "lost",
            Self::TimedOut => "timed_out",
        }
    }

    fn retry_after(self) -> Duration {
        match self {
            Self::Leaving { retry_after }
            | Self::NotRun { retry_after }
            | Self::RateLimited { retry_after }
            | Self::Unavailable { retry_after, .. }
            | Self::Quarantined { retry_after } => retry_after,
            _ => DEFAULT_RETRY_AFTER,
        }
    }

    /// The whole answer.
    pub(crate) fn response(self) -> Response<ResponseBody> {
        let mut res = Response::new(ResponseBody::whole(format!("{self}\n")));
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
