//! The form in which entries exchange facts about quarantined and suspected requests and prompt parts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::policy::quarantine::{IncarnationHash, Note, Suspect};

/// Stands for the incarnation in a [`Note::Answered`]. No hash of an incarnation is 0.
const NO_INCARNATION: IncarnationHash = 0;

/// Encoded [`Note`]: the suspect's number in two halves, the hash of the server's incarnation, and the
/// age of the crash in milliseconds, or none if it no longer counts because the suspect was
/// cleared. Encoded without field names it takes 32 bytes instead of 70.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct QuarantineUpdate(u64, u64, IncarnationHash, Option<u32>);

impl QuarantineUpdate {
    pub(super) fn encode(note: &Note, now: Duration) -> Self {
        let age_ms =
            |at: &Duration| u32::try_from(now.saturating_sub(*at).as_millis()).unwrap_or(u32::MAX);
        let bits = note.suspect().to_bits();
        let (incarnation, age_ms) = match note {
            Note::End { incarnation, at, .. } => (*incarnation, Some(age_ms(at))),
            Note::Cleared { incarnation, .. } => (*incarnation, None),
            Note::Answered { .. } => (NO_INCARNATION, None),
        };
        Self((bits >> 64) as u64, bits as u64, incarnation, age_ms)
    }

    pub(crate) fn decode(self, now: Duration) -> Note {
        let Self(high, low, incarnation, age_ms) = self;
        let suspect = Suspect::from_bits(u128::from(high) << 64 | u128::from(low));
        match age_ms.map(u64::from).map(Duration::from_millis) {
            Some(age) => Note::End { suspect, incarnation, at: now.saturating_sub(age) },
            None if incarnation == NO_INCARNATION => Note::Answered { suspect },
            None => Note::Cleared { suspect, incarnation },
        }
    }
}
