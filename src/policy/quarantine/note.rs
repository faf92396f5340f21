//! Facts that entries exchange about requests and prompt parts during which servers crashed.

use std::time::Duration;

use crate::policy::quarantine::{IncarnationHash, Suspect};

/// A fact about one suspect, as exchanged between entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Note {
    /// A server incarnation ended while it was running the suspect.
    End {
        /// The request or part.
        suspect: Suspect,
        /// The incarnation that ended.
        incarnation: IncarnationHash,
        /// Time of the end, on the clock of the entry that holds the note.
        at: Duration,
    },
    /// The end no longer counts against the suspect, since a server has answered it completely or
    /// an operator has released it. The note identifies the end rather than a time: each entry
    /// would compute a slightly later time than the sender and forward it as new, indefinitely.
    Cleared {
        /// The request or part.
        suspect: Suspect,
        /// The incarnation that ended.
        incarnation: IncarnationHash,
    },
    /// A server had answered requests with the part completely before the ends that are known.
    Answered {
        /// The part.
        suspect: Suspect,
    },
}

impl Note {
    /// The request or part that the note is about.
    pub fn suspect(&self) -> Suspect {
        let (Self::End { suspect, .. }
        | Self::Cleared { suspect, .. }
        | Self::Answered { suspect }) = self;
        *suspect
    }
}
