//! Records of all suspects, and which suspects were present at each end.

use std::collections::{HashMap, HashSet};

use crate::policy::quarantine::{
    IncarnationHash, Suspect, suspect_record::SuspectRecord, verdict::is_strong,
};

/// Records by suspect. Indexes make the work for one suspect or one end independent of how many suspects are known, of
/// which a mass crash adds a thousand.
#[derive(Clone, Debug, Default)]
pub(super) struct Records {
    by_suspect: HashMap<Suspect, SuspectRecord>,
    /// The suspects with a remembered end of each incarnation, cleared or not.
    by_incarnation: HashMap<IncarnationHash, Vec<Suspect>>,
    /// Suspects with enough ends to be refused, whatever else was present at them.
    strong: HashSet<Suspect>,
}

impl Records {
    pub(super) fn is_empty(&self) -> bool {
        self.by_suspect.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.by_suspect.len()
    }

    pub(super) fn contains(&self, suspect: &Suspect) -> bool {
        self.by_suspect.contains_key(suspect)
    }

    pub(super) fn get(&self, suspect: &Suspect) -> Option<&SuspectRecord> {
        self.by_suspect.get(suspect)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&Suspect, &SuspectRecord)> {
        self.by_suspect.iter()
    }

    /// Whether enough ends count against a suspect to refuse it.
    pub(super) fn is_strong(&self, suspect: &Suspect) -> bool {
        self.strong.contains(suspect)
    }

    /// The suspects with enough ends to be refused.
    pub(super) fn strong(&self) -> impl Iterator<Item = (&Suspect, &SuspectRecord)> {
        self.strong.iter().filter_map(|suspect| self.by_suspect.get_key_value(suspect))
    }

    pub(super) fn strong_count(&self) -> usize {
        self.strong.len()
    }

    /// The suspects with a remembered end of an incarnation, cleared or not.
    pub(super) fn present_at(&self, incarnation: IncarnationHash) -> &[Suspect] {
        self.by_incarnation.get(&incarnation).map_or(&[], Vec::as_slice)
    }

    /// Changes the record of a suspect, which is added if it is not known.
    pub(super) fn update<T>(
        &mut self,
        suspect: Suspect,
        change: impl FnOnce(&mut SuspectRecord) -> T,
    ) -> T {
        let record = self.by_suspect.entry(suspect).or_default();
        let before: Vec<IncarnationHash> = record.incarnations().collect();
        let result = change(record);
        let after: Vec<IncarnationHash> = record.incarnations().collect();
        if is_strong(&suspect, record) {
            self.strong.insert(suspect);
        } else {
            self.strong.remove(&suspect);
        }
        for added in after.iter().filter(|incarnation| !before.contains(incarnation)) {
            self.by_incarnation.entry(*added).or_default().push(suspect);
        }
        for removed in before.iter().filter(|incarnation| !after.contains(incarnation)) {
            self.remove_presence(*removed, &suspect);
        }
        result
    }

    pub(super) fn remove(&mut self, suspect: &Suspect) {
        let Some(record) = self.by_suspect.remove(suspect) else {
            return;
        };
        self.strong.remove(suspect);
        for incarnation in record.incarnations() {
            self.remove_presence(incarnation, suspect);
        }
    }

    fn remove_presence(&mut self, incarnation: IncarnationHash, suspect: &Suspect) {
        let Some(present) = self.by_incarnation.get_mut(&incarnation) else {
            return;
        };
        present.retain(|other| other != suspect);
        if present.is_empty() {
            self.by_incarnation.remove(&incarnation);
        }
    }
}
