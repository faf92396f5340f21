//! Errors of the protocol layer.

/// Result of a link operation.
pub type Result<T> = std::result::Result<T, Error>;

/// What can go wrong on a link.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection can't be made or broke.
    #[error("link broke: {0}")]
    ConnectionFailed(Box<str>),
    /// The peer did not prove that it has the link key.
    #[error("peer did not prove itself")]
    NotAuthenticated,
    /// The peer took too long to prove itself.
    #[error("peer did not prove itself in time")]
    HandshakeTimeout,
    /// A frame can't be read.
    #[error("frame can't be read: {0}")]
    InvalidFrame(Box<str>),
}

impl From<tokio_tungstenite::tungstenite::Error> for Error {
    fn from(e: tokio_tungstenite::tungstenite::Error) -> Self {
        Error::ConnectionFailed(e.to_string().into())
    }
}

impl From<std::io::Error> for Error {
    fn from(e: std::io::Error) -> Self {
        Error::ConnectionFailed(e.to_string().into())
    }
}
