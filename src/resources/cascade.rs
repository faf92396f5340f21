//! A cascade of models from cheap to costly.

use serde::{Deserialize, Serialize};

/// Stages tried in order until an answer is good enough.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cascade {
    /// Models or versions, cheapest first.
    pub stages: Vec<Box<str>>,
    /// Mean rating to reach, 0 to 1.
    pub quality_target: f64,
    /// Time a caller waits when it names no deadline, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
}

fn default_deadline_ms() -> u64 {
    30_000
}
