//! An Organisation: a customer of a partner.

use serde::{Deserialize, Serialize};

/// Declared state of an Organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// SHA-256 of each caller key, in hex; the keys themselves are never kept.
    pub key_hashes: Vec<Box<str>>,
    /// Models (`m`) or single versions (`m@v`) the organisation may use.
    pub allowed: Vec<Box<str>>,
    /// Share of a full pool relative to other organisations.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Requests in flight at one entry before it sheds; none means no limit.
    #[serde(default)]
    pub max_in_flight: Option<u32>,
}

fn default_weight() -> u32 {
    1
}
