//! Queue of events between the relay of a stream and its caller.
//!
//! A server is read as fast as it sends, up to a limit: servers cut off responses that nobody reads, and a stream that
//! was cut off would run again elsewhere.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::router::{
    callers::caller_connection::CallerConnection,
    request::memory_budget::{HeldBytes, MemoryBudget},
};

/// Maximum number of bytes held for one caller: several times the longest answers seen, which have 60 KB.
const MAX_QUEUED: u32 = 256 << 10;
/// Memory that an event uses besides its bytes.
const EVENT_OVERHEAD: usize = 128;

/// Part of a streamed response.
#[derive(Debug)]
pub(crate) enum StreamPart {
    /// One or more complete server-sent events.
    Events(QueuedEvents),
    /// The stream is complete.
    End,
}

/// Events in a queue; they count as held until this is dropped.
#[derive(Debug)]
pub(crate) struct QueuedEvents {
    pub(crate) bytes: Bytes,
    _queued: OwnedSemaphorePermit,
    _held: Option<HeldBytes>,
}

/// The caller's response has ended.
#[derive(Debug)]
pub(crate) struct CallerGone;

/// The relay's end of the queue.
#[derive(Debug)]
pub(crate) struct StreamQueue {
    parts: mpsc::UnboundedSender<StreamPart>,
    free: Arc<Semaphore>,
}

/// Creates a queue; the other end is for the response's body.
pub(crate) fn stream_queue() -> (StreamQueue, mpsc::UnboundedReceiver<StreamPart>) {
    let (parts, received) = mpsc::unbounded_channel();
    let free = Arc::new(Semaphore::new(MAX_QUEUED as usize));
    (StreamQueue { parts, free }, received)
}

impl StreamQueue {
    /// Queues events, waiting while too many bytes are held for this caller or for all callers.
    pub(crate) async fn push(
        &self,
        bytes: Bytes,
        budget: &MemoryBudget,
        connection: &Arc<CallerConnection>,
    ) -> Result<(), CallerGone> {
        let size = bytes.len() + EVENT_OVERHEAD;
        // A caller that has taken all earlier events never waits for those that have not.
        let is_empty = self.free.available_permits() == MAX_QUEUED as usize;
        let permits = u32::try_from(size).unwrap_or(u32::MAX).min(MAX_QUEUED);
        let queued = self.free.clone().acquire_many_owned(permits).await.map_err(|_| CallerGone)?;
        let held = if is_empty { None } else { Some(budget.hold(connection, size).await) };
        let events = QueuedEvents { bytes, _queued: queued, _held: held };
        self.parts.send(StreamPart::Events(events)).map_err(|_| CallerGone)
    }

    /// Ends the stream as complete.
    pub(crate) fn end(&self) {
        // A failed send means that the caller is gone, which no longer matters.
        let _ = self.parts.send(StreamPart::End);
    }
}
