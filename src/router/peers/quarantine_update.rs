//! The form in which entries tell each other of quarantined and suspected requests.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    policy::quarantine::{IncarnationHash, Note},
    routing::Fingerprint,
};

/// Encoded [`Note`]: the fingerprint in two halves, the hash of the server's incarnation, and the
/// age of the crash in milliseconds, or none if it no longer counts because the request was
/// cleared. Encoded without field names it takes 32 bytes instead of 70.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct QuarantineUpdate(u64, u64, IncarnationHash, Option<u32>);

impl QuarantineUpdate {
    pub(super) fn encode(note: &Note, now: Duration) -> Self {
        let age_ms =
            |at: &Duration| u32::try_from(now.saturating_sub(*at).as_millis()).unwrap_or(u32::MAX);
        let Fingerprint(fingerprint) = note.fingerprint();
        let (incarnation, age_ms) = match note {
            Note::End { incarnation, at, .. } => (*incarnation, Some(age_ms(at))),
            Note::Cleared { incarnation, .. } => (*incarnation, None),
        };
        Self((fingerprint >> 64) as u64, fingerprint as u64, incarnation, age_ms)
    }

    pub(crate) fn decode(self, now: Duration) -> Note {
        let Self(high, low, incarnation, age_ms) = self;
        let fingerprint = Fingerprint(u128::from(high) << 64 | u128::from(low));
        match age_ms.map(u64::from).map(Duration::from_millis) {
            Some(age) => Note::End { fingerprint, incarnation, at: now.saturating_sub(age) },
            None => Note::Cleared { fingerprint, incarnation },
        }
    }
}
