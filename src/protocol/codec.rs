//! CBOR encoding of frames.

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

use crate::protocol::{Error, Result};

/// Depth of nesting a frame may have; configuration objects are the deepest.
const MAX_NESTING_DEPTH: usize = 64;

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    let mut buf = Vec::with_capacity(256);
    ciborium::into_writer(message, &mut buf).expect("writing to memory can't fail");
    buf.into()
}

/// Decodes a message.
///
/// # Errors
/// [`Error::InvalidFrame`] when the bytes are not one message of this type.
pub fn decode<T: DeserializeOwned>(buf: &[u8]) -> Result<T> {
    ciborium::de::from_reader_with_recursion_limit(buf, MAX_NESTING_DEPTH)
        .map_err(|e| Error::InvalidFrame(e.to_string().into()))
}
