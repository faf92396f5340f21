//! Declared configuration of a partner, which owns objects and shares its capacity with others.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Spec of a partner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Partner {
    /// SHA-256 of each operator key, in hex.
    pub operator_key_hashes: Vec<Box<str>>,
    /// Free text for the partner's own operators.
    #[serde(default)]
    pub description: Box<str>,
}

/// SHA-256 of a key in hex. Objects store only this hash, so that a leaked table reveals no keys.
pub fn hash_key(key: &str) -> Box<str> {
    hex::encode(Sha256::digest(key.as_bytes())).into()
}
