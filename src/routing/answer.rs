//! What the head of a BackendServer's answer says.

use http::{HeaderMap, StatusCode};

use crate::policy::{load::ReportedLoad, rate_limit::SaidLimit};

/// What an answer proves about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AnswerKind {
    /// The server ran it and succeeded.
    Success,
    /// The server ran it and failed.
    Failure,
    /// The server did not run it and never will: full, leaving or out of time.
    NotRun,
    /// Another server has the address; the request did not run.
    OtherServer,
    /// The answer belongs to another request, so nothing is known about this one.
    Misplaced,
    /// No signature of the server, or an encoding nobody asked for: these are not its bytes.
    Unsigned,
}

/// The head of an answer.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// What it proves.
    pub kind: AnswerKind,
    /// Status, passed on unchanged.
    pub status: StatusCode,
    /// Headers to pass on: all but those of the connection.
    pub headers: HeaderMap,
    /// The model's own opinion of its answer, 0 to 100.
    pub confidence: Option<u8>,
    /// How loaded the server says it is.
    pub load: Option<ReportedLoad>,
    /// How many requests it says it takes.
    pub rate_limit: SaidLimit,
    /// Whether the server asks that the connection not be used again.
    pub closes: bool,
}
