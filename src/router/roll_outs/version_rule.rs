//! Restriction of a request to certain versions of its service, as roll-outs require.

use crate::routing::ServerVersion;

/// Which versions may run a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum VersionRule {
    /// All versions.
    #[default]
    Any,
    /// Only this version.
    Only(ServerVersion),
    /// All versions but this one.
    Except(ServerVersion),
    /// All versions but this one, as long as others can be reached: whether it was completed is not known.
    Avoid(ServerVersion),
}

impl VersionRule {
    /// Whether a server of this version may run the request.
    pub(crate) fn allows(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => **only == *version,
            Self::Except(not) | Self::Avoid(not) => **not != *version,
        }
    }

    /// The rule, or [`Any`](Self::Any) if it requires a version that none of the reachable servers runs. The servers of a
    /// version may be removed before this entry learns that its roll-out has ended.
    pub(crate) fn or_any_if_missing<'a>(self, mut versions: impl Iterator<Item = &'a str>) -> Self {
        let is_missing = match &self {
            Self::Any | Self::Except(_) => false,
            Self::Only(_) | Self::Avoid(_) => !versions.any(|version| self.allows(version)),
        };
        if is_missing { Self::Any } else { self }
    }
}
