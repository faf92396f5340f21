//! Decides which part of an update to a table's replica to apply, whether the update comes from the
//! store or from another entry.
//!
//! The store may be restored from an older backup and then reuses versions, so eras are compared
//! before versions.

use crate::ids::{Era, StoreVersion};

/// Position up to which a table was replicated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct TablePosition {
    /// Version of the replica; `None` if all rows must be read, initially or again.
    pub at: Option<StoreVersion>,
    /// Era of the last applied rows, if there were any.
    pub era: Option<Era>,
}

/// Describes the rows of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpdateHeader {
    /// Newest transaction that the rows include.
    pub version: StoreVersion,
    /// Whether these are all rows rather than only changed ones.
    pub is_whole: bool,
    /// Whether they include rows that the store lost when it was restored from a backup.
    pub is_amended: bool,
}

/// The part of an update to apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateAction {
    /// Nothing: the rows are known, or they are changes to rows that are not.
    Ignore,
    /// Only the configuration, if it is newer than the one in force. This entry has read the
    /// restored store, which has lost that configuration.
    ConfigurationOnly,
    /// The changed rows.
    Changes,
    /// All rows.
    Whole,
    /// All rows, for the first time since the store was restored from an older backup.
    Restored,
}

impl TablePosition {
    /// The part of an update that has to be applied at this position.
    pub fn action_for(&self, update: &UpdateHeader) -> UpdateAction {
        let is_same_era = self.era.is_none_or(|era| era == update.version.era);
        if Some(update.version) <= self.at || Some(update.version.era) < self.era {
            let was_lost = update.is_amended && is_same_era;
            return if was_lost { UpdateAction::ConfigurationOnly } else { UpdateAction::Ignore };
        }
        match (update.is_whole, is_same_era) {
            (false, true) => UpdateAction::Changes,
            (true, true) => UpdateAction::Whole,
            (true, false) => UpdateAction::Restored,
            // Changes apply only to rows of their own era.
            (false, false) => UpdateAction::Ignore,
        }
    }

    /// Records that all rows up to this version are applied.
    pub fn advance(&mut self, to: StoreVersion) {
        *self = Self { at: Some(to), era: Some(to.era) };
    }
}
