//! Which versions of a service may run a request.

use crate::routing::ServerVersion;

/// Which versions may run a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum VersionRule {
    /// All.
    #[default]
    Any,
    /// Only this one.
    Only(ServerVersion),
    /// All but this one.
    Except(ServerVersion),
}

impl VersionRule {
    pub(crate) fn allows(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => **only == *version,
            Self::Except(not) => **not != *version,
        }
    }

    /// The rule, or none where it asks for a version that no server in view runs: the servers of
    /// a version may be taken away before the news of why is here.
    pub(crate) fn or_any_if_missing<'a>(self, mut versions: impl Iterator<Item = &'a str>) -> Self {
        match &self {
            Self::Only(only) if !versions.any(|version| *version == **only) => Self::Any,
            _ => self,
        }
    }
}
