//! Operator's order to roll out a version of a service, and the status reported for it.

use std::time::Duration;

use crate::{ids::StoreVersion, routing::ServerVersion};

/// An order to move a service's traffic to a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RollOutOrder {
    /// Service whose traffic is moved.
    pub service: Box<str>,
    /// Version to move to.
    pub to: ServerVersion,
    /// Time within which the roll-out should complete.
    pub duration: Duration,
    /// Store version of the order's row, which distinguishes it from later orders.
    pub written_at: StoreVersion,
}

impl RollOutOrder {
    /// Whether this is the same order as `other`, written again after a restore that lost it.
    pub fn is_reissue_of(&self, other: &Self) -> bool {
        let is_same = (&self.to, self.duration) == (&other.to, other.duration);
        is_same && self.written_at.era != other.written_at.era
    }
}

/// Progress of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RollOutProgress {
    /// Traffic is being moved.
    Running,
    /// All traffic goes to the new version; the platform stops the old servers.
    Completed,
    /// The new version was judged bad; the platform removes its servers.
    RolledBack,
}

/// Status of a roll-out as reported to the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RollOutStatus {
    /// Version that the roll-out moves to.
    pub to: ServerVersion,
    /// Progress so far.
    pub progress: RollOutProgress,
}
