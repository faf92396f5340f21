//! When overload control is in force. Without it, requests compete for servers in the order of their arrival.

use std::str::FromStr;

/// Setting `overload.control`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OverloadControl {
    /// Where the platform's settings expect overload.
    #[default]
    Requested,
    /// Always.
    Always,
    /// Never.
    Never,
}

/// A text that is not a value of the setting.
#[derive(Debug, thiserror::Error)]
#[error("expected requested, always or never")]
pub struct UnknownOverloadControl;

impl FromStr for OverloadControl {
    type Err = UnknownOverloadControl;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "requested" => Ok(Self::Requested),
            "always" => Ok(Self::Always),
            "never" => Ok(Self::Never),
            _ => Err(UnknownOverloadControl),
        }
    }
}

impl OverloadControl {
    /// Whether overload control is in force in a deployment that expects overload or does not.
    pub fn is_in_force(self, expects_overload: bool) -> bool {
        match self {
            Self::Requested => expects_overload,
            Self::Always => true,
            Self::Never => false,
        }
    }
}
