//! What a request is known by when it comes again under another id.

use sha2::{Digest, Sha256};

use crate::routing::{Organisation, Request};

/// Bytes of a fingerprint.
const LENGTH: usize = 16;

/// The same for all tries of the same work, and for nothing else: a hash of method, host, path, query,
/// Organisation and body.
///
/// The id, the deadline and what is chosen for an attempt differ from try to try and are left out. The
/// Organisation is in it, and the hash is one that nobody can find a second text for (SHA-256, cut to
/// 128 bits), so that no Organisation can have another one's request refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// The fingerprint of a request of this Organisation.
    pub fn of(req: &Request, organisation: Option<&Organisation>) -> Self {
        let head = &req.head;
        let target = head.uri.path_and_query().map_or("", |target| target.as_str());
        let organisation = organisation.map_or("", |organisation| &organisation.name);
        let mut hash = Sha256::new();
        for text in [head.method.as_str(), &head.host, target, organisation] {
            // With its length, so that no two lists of texts give the same bytes.
            hash.update((text.len() as u64).to_le_bytes());
            hash.update(text);
        }
        hash.update(&req.body);
        let mut cut = [0; LENGTH];
        cut.copy_from_slice(&hash.finalize()[..LENGTH]);
        Self(u128::from_be_bytes(cut))
    }
}

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
