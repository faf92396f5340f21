//! Facts that entries exchange about requests during which servers crashed.

use std::time::Duration;

use crate::{policy::quarantine::IncarnationHash, routing::Fingerprint};

/// A fact about one request, as exchanged between entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Note {
    /// A server incarnation ended while it was running the request.
    End {
        /// The request.
        fingerprint: Fingerprint,
        /// The incarnation that ended.
        incarnation: IncarnationHash,
        /// Time of the end, on the clock of the entry that holds the note.
        at: Duration,
    },
    /// The end no longer counts against the request, since a server has answered the request
    /// completely or an operator has released it. The note identifies the end rather than a time:
    /// each entry would compute a slightly later time than the sender and forward it as new,
    /// indefinitely.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
        /// The incarnation that ended.
        incarnation: IncarnationHash,
    },
}

impl Note {
    /// The request that the note is about.
    pub fn fingerprint(&self) -> Fingerprint {
        let (Self::End { fingerprint, .. } | Self::Cleared { fingerprint, .. }) = self;
        *fingerprint
    }
}
