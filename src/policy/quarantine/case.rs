//! A refused or suspected request or prompt part, as persisted in the store.

use std::time::Duration;

use crate::policy::quarantine::{IncarnationHash, Suspect};

/// What the store keeps of a suspect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Case {
    /// The request or part.
    pub suspect: Suspect,
    /// Incarnations that ended while running it, and when.
    pub ends: Vec<(IncarnationHash, Duration)>,
    /// Trials made since.
    pub trials: u32,
    /// When the last trial began.
    pub tried_at: Duration,
}
