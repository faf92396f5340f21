//! Encodes and decodes frames as CBOR.

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

use crate::protocol::{Error, Result};

/// Maximum nesting depth of a frame. Configuration objects are the most deeply nested.
const MAX_NESTING_DEPTH: usize = 64;

/// Encodes a message as one frame.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    let mut buf = Vec::with_capacity(256);
    ciborium::into_writer(message, &mut buf).expect("writing to a Vec never fails");
    buf.into()
}

/// Decodes a message from one frame.
///
/// # Errors
/// [`Error::InvalidFrame`] if the bytes are not a valid message of this type.
pub fn decode<T: DeserializeOwned>(buf: &[u8]) -> Result<T> {
    ciborium::de::from_reader_with_recursion_limit(buf, MAX_NESTING_DEPTH)
        .map_err(|e| Error::InvalidFrame(e.to_string().into()))
}
