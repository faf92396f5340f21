//! Tells which server rejected a request with status 421 (Misdirected Request, RFC 9110, section 15.5.20).

use std::{fmt, time::Duration};

/// Who sent a 421 response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MisdirectedBy {
    /// The server that the request was sent to. It does not take this request, which says nothing about others.
    Itself,
    /// A server with another id, which has taken over the address.
    AnotherServer,
    /// The response does not tell, and neither does its connection.
    Unknown,
}

/// What is known about the sender of a 421 response.
#[derive(Clone, Copy, Debug)]
pub struct RejectionEvidence<'a> {
    /// Id of the server that the request was sent to.
    pub expected: &'a str,
    /// Id that the response names. Servers need not name themselves.
    pub named: Option<&'a str>,
    /// Whether the server has answered an earlier request on the same connection with its signature. Requests carry
    /// the expected id, so no other server would have run it.
    pub is_signed_connection: bool,
    /// When the connection was opened.
    pub opened_at: Duration,
    /// When data of a signed response of the server last arrived, on any connection. The process that had the address
    /// before is gone once another one accepts connections there, so data after `opened_at` comes from the same process.
    pub signed_at: Option<Duration>,
}

impl MisdirectedBy {
    /// Identifies the sender of a 421 response.
    pub fn identify(evidence: &RejectionEvidence<'_>) -> Self {
        match evidence.named {
            Some(named) if named == evidence.expected => Self::Itself,
            Some(_) => Self::AnotherServer,
            None if evidence.is_signed_connection => Self::Itself,
            None if evidence.signed_at.is_some_and(|at| at >= evidence.opened_at) => Self::Itself,
            None => Self::Unknown,
        }
    }

    /// Value of the `by` label in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Itself => "itself",
            Self::AnotherServer => "another",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for MisdirectedBy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Itself => "the server itself",
            Self::AnotherServer => "another server at its address",
            Self::Unknown => "a server that does not say which one it is",
        })
    }
}
