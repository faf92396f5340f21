//! Declared configuration of an Organisation, which is a customer of a partner.

use serde::{Deserialize, Serialize};

/// Spec of an Organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// SHA-256 of each caller key, in hex. The keys themselves are never stored.
    pub key_hashes: Vec<Box<str>>,
    /// Models (`m`) and single versions (`m@v`) that the organisation may use.
    pub allowed: Vec<Box<str>>,
    /// Weight of its share of a fully used pool, relative to other organisations.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of requests in flight per entry; further ones are rejected. `None` means no
    /// limit.
    #[serde(default)]
    pub max_in_flight: Option<u32>,
}

fn default_weight() -> u32 {
    1
}
