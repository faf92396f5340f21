//! Splits a byte stream into server-sent events, so that only complete events are forwarded.

use bytes::{Buf, Bytes, BytesMut};
use memchr::memchr_iter;

/// Smallest size of the buffer, in bytes.
const MIN_CAPACITY: usize = 4 << 10;

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

    /// The capacity that the buffer needs for further bytes; `None` if they fit.
    pub(crate) fn needed_capacity(&mut self, bytes: usize) -> Option<usize> {
        if self.buf.try_reclaim(bytes) {
            return None;
        }
        let pending = self.buf.len();
        Some((pending + bytes).max(pending + pending / 2).max(MIN_CAPACITY))
    }

    /// Moves the incomplete event to a buffer with this capacity.
    pub(crate) fn grow(&mut self, capacity: usize) {
        let mut buf = BytesMut::with_capacity(capacity);
        buf.extend_from_slice(&self.buf);
        self.buf = buf;
    }

    /// Whether a buffer is so small that every stream may have one.
    pub(crate) fn is_small(capacity: usize) -> bool {
        capacity <= MIN_CAPACITY
    }

    /// Frees a large buffer that is empty; returns whether it did.
    pub(crate) fn free_if_empty(&mut self) -> bool {
        let is_freed = self.buf.is_empty() && !Self::is_small(self.buf.capacity());
        if is_freed {
            self.buf = BytesMut::new();
        }
        is_freed
    }

    /// Removes and returns the next complete event, if one has been received.
    pub fn next_event(&mut self) -> Option<Event> {
        let start = self.scanned.saturating_sub(3);
        let Some(end) = find_end(&self.buf[start..]).map(|end| start + end) else {
            self.scanned = self.buf.len();
            return None;
        };
        self.scanned = 0;
        let bytes = self.take(end);
        Some(Event { id: read_id(&bytes), bytes })
    }

    /// Removes an event. It is copied: a slice would keep all of the buffer.
    fn take(&mut self, len: usize) -> Bytes {
        let bytes = Bytes::copy_from_slice(&self.buf[..len]);
        self.buf.advance(len);
        bytes
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
    memchr_iter(b'\n', buf).find_map(|i| match &buf[i + 1..] {
        [b'\n', ..] => Some(i + 2),
        [b'\r', b'\n', ..] => Some(i + 3),
        _ => None,
    })
}

fn read_id(event: &[u8]) -> Option<u64> {
    event.split(|b| *b == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
