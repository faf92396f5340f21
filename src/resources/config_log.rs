//! The configuration as a log that a process follows, forward only.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use crate::{
    ids::{ObjectId, Revision},
    resources::{Change, Kind, Object, Snapshot},
};

/// Changes kept to bring peers up to date; a peer further behind gets a full copy.
const MAX_RECENT_CHANGES: usize = 4096;

/// Why a change was not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The change is older than what is in force; configuration never reverts.
    #[error("revision {offered} is not newer than {held}")]
    Old {
        /// Revision offered.
        offered: Revision,
        /// Revision in force here.
        held: Revision,
    },
    /// Changes in between are missing.
    #[error("revision {offered} leaves a gap after {held}")]
    Gap {
        /// Revision offered.
        offered: Revision,
        /// Revision in force here.
        held: Revision,
    },
}

/// Objects in force and the last changes that led to them.
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
    /// A change that is not the next one is left out.
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

    /// Takes over a full copy if it is newer than what is in force.
    pub fn replace(&mut self, revision: Revision, objects: Vec<Object>) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        self.objects = objects.into_iter().map(|o| ((o.spec.kind(), o.id.clone()), o)).collect();
        self.recent.clear();
        true
    }

    /// Changes after `revision`, or nothing when some of them are no longer kept.
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

    /// Builds the immutable form that traffic reads.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::new(Snapshot::build(self.revision, self.objects.values()))
    }
}
