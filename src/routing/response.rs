//! Parsed head of a BackendServer's response.

use http::{HeaderMap, HeaderName, StatusCode};

use crate::policy::{load::ReportedLoad, rate_limit::AdvertisedLimit, retry_after::RetryAfter};

/// What a response proves about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResponseKind {
    /// The server ran the request successfully.
    Success,
    /// The server ran the request and failed.
    Failure,
    /// The server did not run the request and never will: it is full, stopping or the deadline has passed.
    NotRun,
    /// A rejection with status 421: another server than expected uses the address, or this one doesn't take the
    /// request; it did not run.
    Misdirected,
    /// The response belongs to another request; nothing is known about this one.
    WrongRequest,
    /// The server's signature is missing, or the body has a content encoding that was not requested: an
    /// intermediary produced or altered the response.
    Unsigned,
    /// The status is none of HTTP (RFC 9110, section 15), so nothing in the response can be relied on.
    InvalidStatus,
}

impl ResponseKind {
    /// Whether the response comes unaltered from the server it was requested from, so that what its head
    /// announces applies to that server.
    pub fn is_authentic(self) -> bool {
        matches!(self, Self::Success | Self::Failure | Self::NotRun)
    }

    /// Whether the server signed the response. Another one at its address would have rejected the request.
    pub fn is_signed(self) -> bool {
        matches!(self, Self::Success | Self::Failure)
    }
}

/// Head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// What the response proves about its request.
    pub kind: ResponseKind,
    /// Status, passed on to the caller unchanged.
    pub status: StatusCode,
    /// Headers to pass on: all except those that concern only the server's connection.
    pub headers: HeaderMap,
    /// Id of the server that sent a 421 response, if it names itself.
    pub rejected_by: Option<Box<str>>,
    /// Confidence of the model in its answer, 0 to 100.
    pub confidence: Option<u8>,
    /// Load reported by the server.
    pub load: Option<ReportedLoad>,
    /// Rate limit advertised by the server.
    pub rate_limit: AdvertisedLimit,
    /// Whether the server announces that it is draining.
    pub is_draining: bool,
    /// Pause requested by the server, in which it should receive no requests.
    pub retry_after: RetryAfter,
    /// Headers that the platform's adapter doesn't know.
    pub unknown_headers: Vec<HeaderName>,
    /// Whether the server closes the connection after this response.
    pub closes_connection: bool,
}

/// Whether a status promises that the request did not run and never will.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Whether a status tells what is wrong with the request, so that the server would answer another one (RFC 9110,
/// section 15.5).
pub fn describes_request(status: u16) -> bool {
    matches!(
        StatusCode::from_u16(status),
        Ok(StatusCode::BAD_REQUEST
            | StatusCode::PAYLOAD_TOO_LARGE
            | StatusCode::URI_TOO_LONG
            | StatusCode::UNSUPPORTED_MEDIA_TYPE
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::UNPROCESSABLE_ENTITY
            | StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)
    )
}

impl ResponseHead {
    /// Whether the status promises that the request did not run although nothing in the response proves it.
    pub fn is_unproved_promise(&self) -> bool {
        self.kind == ResponseKind::Failure && promises_not_run(self.status)
    }

    /// Whether the server rejected the request and announced the reason or the duration. Such a rejection is
    /// not counted as a failure, since the announcement already keeps further requests away.
    pub fn announces_rejection(&self) -> bool {
        let is_draining = self.is_draining && self.kind == ResponseKind::NotRun;
        is_draining || (self.is_overload_rejection() && self.retry_after.pause().is_some())
    }

    /// Whether the server rejected the request because it lacks capacity.
    pub fn is_overload_rejection(&self) -> bool {
        let statuses = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
        self.kind.is_authentic() && statuses.contains(&self.status)
    }
}
