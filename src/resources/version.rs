//! Declared configuration of a model version.

use serde::{Deserialize, Serialize};

use crate::ids::MicroCost;

/// Whether a version may serve requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// May serve requests.
    #[default]
    Available,
    /// Gets no new requests of any kind.
    Withdrawn,
}

/// Spec of a version, whose object is named `model@version`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Cost per 1000 prompt tokens.
    pub cost_in: MicroCost,
    /// Cost per 1000 generated tokens.
    pub cost_out: MicroCost,
    /// Mean rating assumed until answers have been rated, 0 to 1.
    #[serde(default = "default_quality")]
    pub quality: f64,
    /// Whether the version may serve requests.
    #[serde(default)]
    pub state: VersionState,
}

fn default_quality() -> f64 {
    0.8
}

impl Version {
    /// Cost of an answer, rounded up so that even the smallest answer is charged.
    pub fn cost(&self, tokens_in: u64, tokens_out: u64) -> MicroCost {
        (tokens_in * self.cost_in + tokens_out * self.cost_out).div_ceil(1000)
    }
}
