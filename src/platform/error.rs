//! Errors of the platform layer.

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call to the platform gave no answer.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// The call had no effect: nothing was reached or the service refused it.
    #[error("platform refused the call: {0}")]
    Refused(Box<str>),
    /// The call may have taken effect; its answer is lost.
    #[error("platform's answer was lost: {0}")]
    Unknown(Box<str>),
    /// The service answered something that can't be read.
    #[error("platform's answer can't be read: {0}")]
    Unreadable(Box<str>),
}
