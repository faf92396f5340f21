//! An operator's order to move a service to another version, and how far it got.

use std::time::Duration;

use crate::{ids::StoreVersion, routing::ServerVersion};

/// An order to move a service's traffic to a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RollOutOrder {
    /// The service.
    pub service: Box<str>,
    /// The version to move to.
    pub to: ServerVersion,
    /// Time in which it is to be done.
    pub duration: Duration,
    /// When the store's row was written, which distinguishes one order from the next.
    pub written_at: StoreVersion,
}

impl RollOutOrder {
    /// Whether this one is the other, written again after the store came back from a copy without it.
    pub fn is_reissue_of(&self, other: &Self) -> bool {
        let is_same = (&self.to, self.duration) == (&other.to, other.duration);
        is_same && self.written_at.era != other.written_at.era
    }
}

/// How far a roll-out got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RollOutProgress {
    /// Traffic is being moved.
    Running,
    /// All traffic runs on the new version; the platform stops the old servers.
    Completed,
    /// The new version was bad; the platform takes its servers away.
    RolledBack,
}

/// What this system reports to the operator about a roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RollOutStatus {
    /// The version it moves to.
    pub to: ServerVersion,
    /// How far it got.
    pub progress: RollOutProgress,
}
