//! Declared configuration of a roll-out, which moves a model's sessions to another version.

use serde::{Deserialize, Serialize};

/// State of a roll-out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RollOutState {
    /// Advances step by step as long as the guard finds the new version no worse.
    #[default]
    Running,
    /// An operator paused it at the current step.
    Paused,
    /// The guard found signs that the new version is worse, so it gets no new sessions.
    Held,
    /// An operator aborted it. The new version gets no new sessions.
    Aborted,
    /// All new sessions use the new version.
    Finished,
}

/// Settings of the sequential test that guards a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Guard {
    /// Number of answers from the new version that are required before the next step.
    pub step_samples: u64,
    /// Increase of the failure rate that counts as worse, 0 to 1.
    pub tolerated_rise: f64,
    /// Probability of holding a version that is no worse, over a roll-out of 1000 answers, 0 to 1.
    pub false_hold: f64,
}

impl Default for Guard {
    fn default() -> Self {
        Self { step_samples: 200, tolerated_rise: 0.10, false_hold: 0.01 }
    }
}

/// Spec of a roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RollOut {
    /// Model whose sessions are moved.
    pub model: Box<str>,
    /// Old version, as the part of its name after the `@`.
    pub from: Box<str>,
    /// New version, as the part of its name after the `@`.
    pub to: Box<str>,
    /// Share of new sessions that the new version gets in each step, 0 to 1.
    pub steps: Vec<f64>,
    /// Index of the current step.
    #[serde(default)]
    pub step: usize,
    /// State of the roll-out.
    #[serde(default)]
    pub state: RollOutState,
    /// Settings of the sequential test that guards it.
    #[serde(default)]
    pub guard: Guard,
}

impl RollOut {
    /// Share of new sessions that the new version currently gets, 0 to 1.
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
