//! Splits a stream of server-sent events, so that only whole events are passed on.

use bytes::{Bytes, BytesMut};

/// A whole event as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its id, if it has one.
    pub id: Option<u64>,
    /// All its bytes, with the empty line that ends it.
    pub bytes: Bytes,
}

/// Bytes of an event that has not ended yet.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Takes in what the server sent.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// The next whole event, if it is here.
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

    /// Whether the last event has not ended.
    pub fn is_inside_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Bytes of the event that has not ended.
    pub fn pending(&self) -> usize {
        self.buf.len()
    }
}

/// End of the first empty line, whichever line ends are used.
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
