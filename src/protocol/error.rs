//! Errors of links.

/// Result of a link operation.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of a link.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be established, broke, or violated the protocol.
    #[error("connection failed: {0}")]
    ConnectionFailed(Box<str>),
    /// The peer did not prove that it has the shared key, or sent an unexpected frame during the handshake.
    #[error("peer is not authenticated")]
    NotAuthenticated,
    /// The handshake was not complete in time.
    #[error("handshake timed out")]
    HandshakeTimeout,
    /// A frame can't be decoded.
    #[error("invalid frame: {0}")]
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
