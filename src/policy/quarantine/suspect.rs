//! What may have crashed a server.

use std::fmt;

use crate::routing::{Fingerprint, PartId};

/// A request, or a prompt part that other requests may have as well.
///
/// A part is not tied to an Organisation, a model or a service: a server that crashes on it does so whatever else the
/// request has, and the requests with it need not have anything else in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Suspect {
    /// A part of the prompt.
    Part(PartId),
    /// A request, whatever its id.
    Request(Fingerprint),
}

impl Suspect {
    /// The number by which entries and the store know the suspect. The hash of a request is never as small as the id
    /// of a part, so that program versions which know of requests only pass on parts as well.
    pub fn to_bits(self) -> u128 {
        match self {
            Self::Part(part) => part.into(),
            Self::Request(Fingerprint(bits)) => bits,
        }
    }

    /// The suspect with this number.
    pub fn from_bits(bits: u128) -> Self {
        PartId::try_from(bits).map_or(Self::Request(Fingerprint(bits)), Self::Part)
    }

    /// Name of the kind in the state dump.
    pub fn kind(self) -> &'static str {
        match self {
            Self::Part(_) => "part",
            Self::Request(_) => "request",
        }
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.to_bits())
    }
}
