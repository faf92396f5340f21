//! Errors of the platform layer.

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call to the platform failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// The call had no effect: the service could not be reached or rejected it.
    #[error("platform refused the call: {0}")]
    Refused(Box<str>),
    /// The call may have taken effect, but its reply was lost.
    #[error("platform's answer was lost: {0}")]
    Unknown(Box<str>),
    /// The reply could not be parsed.
    #[error("platform's answer can't be read: {0}")]
    Unreadable(Box<str>),
}
