//! Fingerprint that identifies a request when it is repeated under another id.

use sha2::{Digest, Sha256};

use crate::routing::{Organisation, Request};

/// Length of a fingerprint in bytes.
const LENGTH_BYTES: usize = 16;

/// Hash of a request's method, host, path, query, Organisation and body; equal for all repetitions of the
/// same work and for nothing else.
///
/// The id, the deadline and the values selected per attempt differ between repetitions and are not hashed.
/// The Organisation is included and the hash is collision-resistant (SHA-256, truncated to 128 bits), so
/// that no Organisation can cause another one's request to be refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Computes the fingerprint of a request by this Organisation.
    pub fn of(req: &Request, organisation: Option<&Organisation>) -> Self {
        let head = &req.head;
        let target = head.uri.path_and_query().map_or("", |target| target.as_str());
        let organisation = organisation.map_or("", |organisation| &organisation.name);
        let mut hash = Sha256::new();
        for text in [head.method.as_str(), &head.host, target, organisation] {
            // The length prefix ensures that different lists of fields never yield the same bytes.
            hash.update((text.len() as u64).to_le_bytes());
            hash.update(text);
        }
        hash.update(&req.body);
        let mut truncated = [0; LENGTH_BYTES];
        truncated.copy_from_slice(&hash.finalize()[..LENGTH_BYTES]);
        Self(u128::from_be_bytes(truncated))
    }
}

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
