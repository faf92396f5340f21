//! Declared configuration of a cascade: models tried from the cheapest to the most expensive.

use serde::{Deserialize, Serialize};

/// Spec of a cascade, whose stages are tried in order until an answer is good enough.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cascade {
    /// Models or versions, cheapest first.
    pub stages: Vec<Box<str>>,
    /// Target for the mean rating of the answers, 0 to 1.
    pub quality_target: f64,
    /// Deadline in milliseconds for requests that set none.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
}

fn default_deadline_ms() -> u64 {
    30_000
}
