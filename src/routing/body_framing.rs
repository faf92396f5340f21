//! How the end of a response's body is found.

use http::{HeaderMap, HeaderValue, Method, StatusCode, header};

/// Why the body of a response can't be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// Only `chunked` is decoded. Other codings were not requested, and the caller would not know of them.
    #[error("the body has a transfer coding other than chunked")]
    UnsupportedCoding,
    /// Status 101: the connection would no longer carry HTTP.
    #[error("the server switches to a protocol that was not requested")]
    UnrequestedUpgrade,
}

/// How the end of a response's body is found (RFC 9112, section 6.3). It describes a message on the server's connection
/// only: the message to the caller is framed by what is sent to the caller (docs/decisions/0021).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The method or status excludes a body.
    NoBody {
        /// Bytes of the body that a GET request would get, if the response to a HEAD request states them.
        described_length: Option<u64>,
    },
    /// `Content-Length`.
    Length,
    /// The chunked transfer coding.
    Chunked {
        /// Whether there is a `Content-Length` as well. The chunks take precedence, but the server and what lies
        /// between may disagree on where the body ends, so the connection must not be reused.
        has_length: bool,
    },
    /// The body ends with its connection.
    CloseDelimited,
}

impl BodyFraming {
    /// Determines the framing of a response to a request with this method. hyper has already rejected responses whose
    /// lengths differ or can't be read, and HTTP/1.0 responses with transfer codings.
    ///
    /// # Errors
    /// When the body has transfer codings other than one `chunked`, or the server switches to another protocol.
    pub fn of_response(
        method: &Method,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<Self, FramingError> {
        if status == StatusCode::SWITCHING_PROTOCOLS {
            return Err(FramingError::UnrequestedUpgrade);
        }
        let has_length = headers.contains_key(header::CONTENT_LENGTH);
        let has_codings = headers.contains_key(header::TRANSFER_ENCODING);
        if method == Method::HEAD {
            let described_length = if has_codings { None } else { read_length(headers) };
            return Ok(Self::NoBody { described_length });
        }
        if matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
            return Ok(Self::NoBody { described_length: None });
        }
        match (has_codings, has_length) {
            (true, _) if has_unsupported_coding(headers) => Err(FramingError::UnsupportedCoding),
            (true, has_length) => Ok(Self::Chunked { has_length }),
            (false, true) => Ok(Self::Length),
            (false, false) => Ok(Self::CloseDelimited),
        }
    }

    /// Whether the connection may be used for another request after the body.
    pub fn allows_reuse(self) -> bool {
        !matches!(self, Self::Chunked { has_length: true } | Self::CloseDelimited)
    }
}

/// Whether a message has transfer codings other than one `chunked`, the only one that is decoded.
pub fn has_unsupported_coding(headers: &HeaderMap) -> bool {
    let lines: Vec<_> = headers.get_all(header::TRANSFER_ENCODING).iter().collect();
    match lines[..] {
        [] => false,
        [line] => !line.as_bytes().eq_ignore_ascii_case(b"chunked"),
        _ => true,
    }
}

/// The length that all `Content-Length` values agree on.
fn read_length(headers: &HeaderMap) -> Option<u64> {
    let lines: Result<Vec<&str>, _> =
        headers.get_all(header::CONTENT_LENGTH).iter().map(HeaderValue::to_str).collect();
    let lines = lines.ok()?;
    let mut lengths = lines.iter().flat_map(|line| line.split(',')).map(read_digits);
    let first = lengths.next()??;
    lengths.all(|length| length == Some(first)).then_some(first)
}

/// Reads digits only: `u64::from_str` would also accept a sign.
fn read_digits(text: &str) -> Option<u64> {
    let text = text.trim();
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok())?
}
