//! Watching: an owner's changes after a revision, without gaps.

use serde::{Deserialize, Serialize};

use crate::{
    control::config::Config,
    ids::{ObjectId, Revision, partner_of},
    resources::{Change, Kind},
};

/// One line of a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchLine {
    /// Revision of the change, to go on from.
    pub revision: Revision,
    /// Kind of the object.
    pub kind: Box<str>,
    /// Full name of the object.
    pub id: ObjectId,
    /// Who changed it.
    pub actor: Box<str>,
    /// New spec; nothing when it was deleted.
    pub spec: Option<serde_json::Value>,
}

/// Why a watch can't go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WatchError {
    /// Changes after the revision are no longer kept.
    #[error("revision is too old; list again and watch from the list's revision")]
    TooOld,
}

/// An owner's changes of one kind after a revision, and the revision reached.
///
/// # Errors
/// [`WatchError::TooOld`] when some of them are no longer kept.
pub fn collect_after(
    config: &Config,
    owner: &str,
    kind: Kind,
    since: Revision,
) -> Result<(Vec<WatchLine>, Revision), WatchError> {
    let changes = config.changes_after(since).ok_or(WatchError::TooOld)?;
    let reached = changes.last().map_or(since, |change| change.revision);
    let lines = changes
        .into_iter()
        .filter(|change| change.kind == kind && partner_of(&change.id) == owner)
        .map(line)
        .collect();
    Ok((lines, reached))
}

fn line(change: Change) -> WatchLine {
    WatchLine {
        revision: change.revision,
        kind: change.kind.as_str().into(),
        id: change.id,
        actor: change.actor,
        spec: change.object.map(|object| object.spec.to_json()),
    }
}
