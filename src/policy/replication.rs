//! What is taken in of a table that the store or another entry shows.
//!
//! The store may come back from an older copy and give its versions out again, so the era goes before the version.

use crate::ids::{Era, StoreVersion};

/// How far a table was followed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct TablePosition {
    /// None until all rows were read, and when they have to be read again.
    pub at: Option<StoreVersion>,
    /// Era of the last rows; none until there were any.
    pub era: Option<Era>,
}

/// Rows that are shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpdateHeader {
    /// Newest transaction they cover.
    pub version: StoreVersion,
    /// Whether these are all rows, not only those that changed.
    pub is_whole: bool,
    /// Whether rows are among them that the store lost as it came back from a copy.
    pub is_amended: bool,
}

/// What is taken in of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateAction {
    /// Nothing: they are known, or follow on rows that are not.
    Ignore,
    /// The configuration, where it is newer than the one in force: the store that was read has lost it.
    ConfigurationOnly,
    /// What changed.
    Changes,
    /// All rows.
    Whole,
    /// All rows, the first since the store came back from an older copy.
    Restored,
}

impl TablePosition {
    /// What to take in of rows that are shown here.
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
            // Changes follow on rows of their own era.
            (false, false) => UpdateAction::Ignore,
        }
    }

    /// Notes that all that is shown up to a version is taken in.
    pub fn advance(&mut self, to: StoreVersion) {
        *self = Self { at: Some(to), era: Some(to.era) };
    }
}
