//! A roll-out of one version of a model over another.

use serde::{Deserialize, Serialize};

/// Where a roll-out stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RollOutState {
    /// Moves by steps while the guard finds the new version no worse.
    #[default]
    Running,
    /// An operator stopped it where it is.
    Paused,
    /// The guard suspects the new version; it takes no new sessions.
    Held,
    /// An operator gave it up; the new version takes no new sessions.
    Aborted,
    /// All new sessions use the new version.
    Finished,
}

/// Settings of the sequential test that guards a roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Guard {
    /// Answers of the new version needed before a step is taken.
    pub step_samples: u64,
    /// Rise of the failure rate that counts as worse, 0 to 1.
    pub tolerated_rise: f64,
    /// Chance of holding a version that is no worse, in a roll-out of a thousand answers, 0 to 1.
    pub false_hold: f64,
}

impl Default for Guard {
    fn default() -> Self {
        Self { step_samples: 200, tolerated_rise: 0.10, false_hold: 0.01 }
    }
}

/// Declared state of a roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RollOut {
    /// Model whose sessions move.
    pub model: Box<str>,
    /// Version in use before: the part behind the `@`.
    pub from: Box<str>,
    /// Version rolled out: the part behind the `@`.
    pub to: Box<str>,
    /// Shares of new sessions, 0 to 1, one a step.
    pub steps: Vec<f64>,
    /// Index of the step in force.
    #[serde(default)]
    pub step: usize,
    /// Where it stands.
    #[serde(default)]
    pub state: RollOutState,
    /// Settings of the guard.
    #[serde(default)]
    pub guard: Guard,
}

impl RollOut {
    /// Share of new sessions that the step in force gives to the new version, 0 to 1.
    pub fn share(&self) -> f64 {
        match self.state {
            RollOutState::Running | RollOutState::Paused => {
                self.steps.get(self.step).copied().unwrap_or(0.0)
            }
            RollOutState::Finished => 1.0,
            RollOutState::Held | RollOutState::Aborted => 0.0,
        }
    }
}
