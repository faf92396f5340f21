//! A process's copy of the configuration log, whose revision only ever increases.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use crate::{
    ids::{ObjectId, Revision},
    resources::{Change, Kind, Object, Snapshot},
};

/// Number of recent changes kept for bringing peers up to date. A peer that is further behind gets
/// a full copy.
const MAX_RECENT_CHANGES: usize = 4096;

/// Why a change was not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The change is not newer than the revision in force. Configuration never goes back.
    #[error("revision {offered} is not newer than revision {held}, which is in force")]
    Old {
        /// Revision offered.
        offered: Revision,
        /// Revision in force here.
        held: Revision,
    },
    /// Changes between the revision in force and the offered one are missing.
    #[error("revision {offered} does not directly follow revision {held}, which is in force")]
    Gap {
        /// Revision offered.
        offered: Revision,
        /// Revision in force here.
        held: Revision,
    },
}

/// The objects in force and the most recent changes.
#[derive(Clone, Debug, Default)]
pub struct ConfigLog {
    revision: Revision,
    objects: BTreeMap<(Kind, ObjectId), Object>,
    recent: VecDeque<Change>,
}

impl ConfigLog {
    /// Revision in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// All objects in force.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.values()
    }

    /// Applies the change that follows the revision in force.
    ///
    /// # Errors
    /// Fails, without any effect, if `change` is not the next revision.
    pub fn apply(&mut self, change: Change) -> Result<(), ApplyError> {
        let (offered, held) = (change.revision, self.revision);
        if offered <= held {
            return Err(ApplyError::Old { offered, held });
        }
        if offered != held + 1 {
            return Err(ApplyError::Gap { offered, held });
        }
        let key = (change.kind, change.id.clone());
        match &change.object {
            Some(object) => self.objects.insert(key, object.clone()),
            None => self.objects.remove(&key),
        };
        self.revision = offered;
        self.recent.push_back(change);
        if self.recent.len() > MAX_RECENT_CHANGES {
            self.recent.pop_front();
        }
        Ok(())
    }

    /// Replaces all objects with a full copy at `revision`, if that is newer than the revision in
    /// force. Returns whether it was.
    pub fn replace(&mut self, revision: Revision, objects: Vec<Object>) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        self.objects = objects.into_iter().map(|o| ((o.spec.kind(), o.id.clone()), o)).collect();
        self.recent.clear();
        true
    }

    /// Changes after `revision`, or `None` if some of them are no longer kept.
    pub fn changes_after(&self, revision: Revision) -> Option<Vec<Change>> {
        if revision >= self.revision {
            return Some(Vec::new());
        }
        let oldest = self.recent.front().map(|change| change.revision)?;
        if revision + 1 < oldest {
            return None;
        }
        Some(self.recent.iter().filter(|change| change.revision > revision).cloned().collect())
    }

    /// Builds an immutable snapshot of the objects in force for use while serving requests.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::new(Snapshot::build(self.revision, self.objects.values()))
    }
}
