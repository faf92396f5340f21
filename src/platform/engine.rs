//! Messages between an engine and its agent, apart from completions.

use serde::{Deserialize, Serialize};

use crate::ids::VersionId;

/// Versions an engine is ordered to load; also the state that the engine reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number of the order; in a report, that of the last order carried out.
    pub fencing: u64,
    /// Versions to load; in a report, those loaded.
    pub versions: Vec<VersionId>,
}
