//! Queue of events between the relay of a stream and its caller.
//!
//! A server is read as fast as it sends, up to a limit: servers cut off responses that nobody reads, and a stream that
//! was cut off would run again elsewhere.

use std::sync::Arc;

use bytes::Bytes;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore, mpsc},
    time::Instant,
};

use crate::router::request::{held_body::HeldBuffer, memory_budget::HeldBytes};

/// Maximum number of bytes held for one caller: several times the longest answers seen, which have 60 KB.
const MAX_QUEUED: u32 = 256 << 10;
/// Memory that an event uses besides its bytes.
pub(crate) const EVENT_OVERHEAD: usize = 128;

/// Part of a streamed response.
#[derive(Debug)]
pub(crate) enum StreamPart {
    /// One or more complete server-sent events; they count as held until the last copy of them is gone.
    Events(Bytes),
    /// The stream is complete.
    End,
}

/// The caller's response has ended.
#[derive(Debug)]
pub(crate) struct CallerGone;

/// The relay's end of the queue.
#[derive(Debug)]
pub(crate) struct StreamQueue {
    parts: mpsc::UnboundedSender<StreamPart>,
    free: Arc<Semaphore>,
    /// Since when the caller has been behind by more than half of the queue, after the queue was full.
    behind_since: Option<Instant>,
}

/// Creates a queue; the other end is for the response's body.
pub(crate) fn stream_queue() -> (StreamQueue, mpsc::UnboundedReceiver<StreamPart>) {
    let (parts, received) = mpsc::unbounded_channel();
    let free = Arc::new(Semaphore::new(MAX_QUEUED as usize));
    (StreamQueue { parts, free, behind_since: None }, received)
}

impl StreamQueue {
    /// Reserves room for this number of bytes, if the queue has it.
    pub(crate) fn try_reserve(&mut self, size: usize) -> Option<OwnedSemaphorePermit> {
        if self.free.available_permits() >= MAX_QUEUED as usize / 2 {
            self.behind_since = None;
        }
        let room = self.free.clone().try_acquire_many_owned(permits(size)).ok();
        if room.is_none() {
            self.behind_since.get_or_insert_with(Instant::now);
        }
        room
    }

    /// Reserves room for this number of bytes as soon as the caller has taken enough.
    pub(crate) async fn reserve(&self, size: usize) -> OwnedSemaphorePermit {
        let room = self.free.clone().acquire_many_owned(permits(size)).await;
        room.expect("the semaphore is never closed")
    }

    /// Queues events in reserved room, with what is held for them.
    pub(crate) fn push(
        &self,
        bytes: Bytes,
        held: HeldBytes,
        room: OwnedSemaphorePermit,
    ) -> Result<(), CallerGone> {
        let events = HeldBuffer::attach(bytes, held, Some(room));
        self.parts.send(StreamPart::Events(events)).map_err(|_| CallerGone)
    }

    /// Since when the caller has been behind, if it is.
    pub(crate) fn behind_since(&self) -> Option<Instant> {
        self.behind_since
    }

    /// Ends the stream as complete.
    pub(crate) fn end(&self) {
        // A failed send means that the caller is gone, which no longer matters.
        let _ = self.parts.send(StreamPart::End);
    }
}

/// Permits for this number of bytes; more than the queue takes count as all of it.
fn permits(size: usize) -> u32 {
    u32::try_from(size).unwrap_or(u32::MAX).min(MAX_QUEUED)
}
