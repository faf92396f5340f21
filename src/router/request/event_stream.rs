//! Splits a byte stream into server-sent events, so that only complete events are forwarded.

use bytes::{Bytes, BytesMut};

/// A complete event, unmodified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Numeric value of the `id` field, if there is one.
    pub id: Option<u64>,
    /// All bytes of the event, including the terminating empty line.
    pub bytes: Bytes,
}

/// Buffers received bytes and yields complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Bytes of `buf` that are known to contain no event terminator.
    scanned: usize,
}

impl EventSplitter {
    /// Appends bytes received from the server.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, if one has been received.
    pub fn next_event(&mut self) -> Option<Event> {
        let start = self.scanned.saturating_sub(3);
        let Some(end) = find_end(&self.buf[start..]).map(|end| start + end) else {
            self.scanned = self.buf.len();
            return None;
        };
        self.scanned = 0;
        let bytes = self.buf.split_to(end).freeze();
        Some(Event { id: read_id(&bytes), bytes })
    }

    /// Whether the buffer holds an incomplete event.
    pub fn is_inside_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Number of bytes received of the incomplete event.
    pub fn pending(&self) -> usize {
        self.buf.len()
    }
}

/// End of the first empty line; lines may end in LF or CRLF.
fn find_end(buf: &[u8]) -> Option<usize> {
    for i in 0..buf.len() {
        if buf[i..].starts_with(b"\n\n") {
            return Some(i + 2);
        }
        if buf[i..].starts_with(b"\n\r\n") {
            return Some(i + 3);
        }
    }
    None
}

fn read_id(event: &[u8]) -> Option<u64> {
    event.split(|b| *b == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
