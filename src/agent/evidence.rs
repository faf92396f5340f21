//! Sums of outcomes, by version.
//!
//! Each agent is the only origin of its sums, so readers just add agents up. Sums belong to one
//! revision of the version's roll-out and start anew when it changes: a step, a pause or an
//! operator's resume is judged by what came after it.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    ids::{Revision, VersionId, model_of},
    policy::roll_out::Evidence,
    resources::{Kind, Snapshot},
};

/// Sums of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct EpochSums {
    pub(crate) epoch: Revision,
    pub(crate) sums: Evidence,
}

/// Sums of all versions that have run here.
#[derive(Debug, Default)]
pub(crate) struct EvidenceSums {
    sums: BTreeMap<VersionId, EpochSums>,
}

impl EvidenceSums {
    pub(crate) fn note_answer(&mut self, snapshot: &Snapshot, version: &VersionId, failed: bool) {
        let sums = self.sums_of(snapshot, version);
        sums.answers += 1;
        sums.failures += u64::from(failed);
    }

    pub(crate) fn note_rating(&mut self, snapshot: &Snapshot, version: &VersionId, poor: bool) {
        let sums = self.sums_of(snapshot, version);
        sums.rated += 1;
        sums.poor += u64::from(poor);
    }

    pub(crate) fn all(&self) -> BTreeMap<VersionId, EpochSums> {
        self.sums.clone()
    }

    fn sums_of(&mut self, snapshot: &Snapshot, version: &VersionId) -> &mut Evidence {
        let epoch = epoch_of(snapshot, version);
        let held = self.sums.entry(version.clone()).or_default();
        if held.epoch != epoch {
            *held = EpochSums { epoch, sums: Evidence::default() };
        }
        &mut held.sums
    }
}

/// Revision of the roll-out of a version's model, or 0 when there is none.
fn epoch_of(snapshot: &Snapshot, version: &str) -> Revision {
    let Some((id, _)) = snapshot.roll_out_of(model_of(version)) else {
        return 0;
    };
    snapshot.object_revisions.get(&(Kind::RollOut, id.clone())).copied().unwrap_or_default()
}
