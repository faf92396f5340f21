//! One version of a model.

use serde::{Deserialize, Serialize};

use crate::ids::MicroCost;

/// Whether a version may take requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// May take requests.
    #[default]
    Available,
    /// Takes no new request of any kind.
    Withdrawn,
}

/// Declared state of a version, named `model@version`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Cost of a thousand prompt tokens.
    pub cost_in: MicroCost,
    /// Cost of a thousand generated tokens.
    pub cost_out: MicroCost,
    /// Mean rating expected before any answer has been rated, 0 to 1.
    #[serde(default = "default_quality")]
    pub quality: f64,
    /// Whether it may take requests.
    #[serde(default)]
    pub state: VersionState,
}

fn default_quality() -> f64 {
    0.8
}

impl Version {
    /// Cost of one answer, rounded up so that no use is free.
    pub fn cost(&self, tokens_in: u64, tokens_out: u64) -> MicroCost {
        (tokens_in * self.cost_in + tokens_out * self.cost_out).div_ceil(1000)
    }
}
