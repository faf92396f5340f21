//! What an engine and its agent say to each other besides completions.

use serde::{Deserialize, Serialize};

use crate::ids::VersionId;

/// An order to an engine, and the state it reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number of the order, or of the last order obeyed.
    pub fencing: u64,
    /// Versions that should be loaded, or are.
    pub versions: Vec<VersionId>,
}
