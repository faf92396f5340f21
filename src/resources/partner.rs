//! A partner: it owns objects and shares capacity.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Declared state of a partner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Partner {
    /// SHA-256 of each operator key, in hex.
    pub operator_key_hashes: Vec<Box<str>>,
    /// Shown to the partner's own operators.
    #[serde(default)]
    pub description: Box<str>,
}

/// Hashes a key the way objects keep it, so that a leaked table gives no keys away.
pub fn hash_key(key: &str) -> Box<str> {
    hex::encode(Sha256::digest(key.as_bytes())).into()
}
