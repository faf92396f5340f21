//! What the head of a BackendServer's answer says.

use http::{HeaderMap, HeaderName, StatusCode};

use crate::policy::{load::ReportedLoad, rate_limit::AdvertisedLimit, retry_after::RetryAfter};

/// What an answer proves about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResponseKind {
    /// The server ran it and succeeded.
    Success,
    /// The server ran it and failed.
    Failure,
    /// The server did not run it and never will: full, leaving or out of time.
    NotRun,
    /// Another server has the address; the request did not run.
    WrongServer,
    /// The answer belongs to another request, so nothing is known about this one.
    WrongRequest,
    /// No signature of the server, or an encoding nobody asked for: these are not its bytes.
    Unsigned,
}

impl ResponseKind {
    /// Whether the answer is its server's own, so that what its head announces is true of that server.
    pub fn is_authentic(self) -> bool {
        matches!(self, Self::Success | Self::Failure | Self::NotRun)
    }
}

/// The head of an answer.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// What it proves.
    pub kind: ResponseKind,
    /// Status, passed on unchanged.
    pub status: StatusCode,
    /// Headers to pass on: all but those of the connection.
    pub headers: HeaderMap,
    /// The model's own opinion of its answer, 0 to 100.
    pub confidence: Option<u8>,
    /// How loaded the server says it is.
    pub load: Option<ReportedLoad>,
    /// How many requests it says it takes.
    pub rate_limit: AdvertisedLimit,
    /// Whether the server announces that it is draining.
    pub is_draining: bool,
    /// How long it asks to be sent nothing.
    pub retry_after: RetryAfter,
    /// Headers that nothing here reads.
    pub unknown_headers: Vec<HeaderName>,
    /// Whether the server asks that the connection not be used again.
    pub closes_connection: bool,
}

impl ResponseHead {
    /// Whether the server rejected the request and announced why or for how long: that is no failure of it, and what
    /// it announced keeps further requests away.
    pub fn announces_rejection(&self) -> bool {
        let is_draining = self.is_draining && self.kind == ResponseKind::NotRun;
        is_draining || (self.is_overload_rejection() && self.retry_after.pause().is_some())
    }

    /// Whether the server rejected the request for want of capacity.
    pub fn is_overload_rejection(&self) -> bool {
        let statuses = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
        self.kind.is_authentic() && statuses.contains(&self.status)
    }
}
