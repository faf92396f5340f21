//! How a command ended.

/// How a command that ran ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// All is well.
    Good,
    /// Something is wrong, and has been printed.
    Bad,
}

impl Ending {
    /// Good when `right`.
    pub(crate) fn of(right: bool) -> Self {
        if right { Self::Good } else { Self::Bad }
    }
}
