//! Memory for requests and responses that peers send or read slowly.
//!
//! A process that exceeds its memory is killed with everything that it serves, so what slow peers hold up is bounded
//! over all connections.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Part of the process's memory that held requests and responses may use. The rest is for connections, state and what
/// the kernel buffers.
const HELD_PART: u64 = 4;

/// Bytes that count towards the budget until this is dropped.
pub(crate) type HeldBytes = OwnedSemaphorePermit;

/// Bytes that may be held, over all requests and responses of the process.
#[derive(Debug)]
pub(crate) struct MemoryBudget {
    free: Arc<Semaphore>,
    limit: usize,
}

impl MemoryBudget {
    /// A budget for a process that may use this many bytes of memory.
    pub(crate) fn new(memory_limit: u64) -> Self {
        let limit = usize::try_from(memory_limit / HELD_PART).unwrap_or(usize::MAX);
        let limit = limit.min(Semaphore::MAX_PERMITS).min(u32::MAX as usize);
        Self { free: Arc::new(Semaphore::new(limit)), limit }
    }

    /// Holds bytes if they fit.
    pub(crate) fn try_hold(&self, bytes: usize) -> Option<HeldBytes> {
        self.free.clone().try_acquire_many_owned(u32::try_from(bytes).ok()?).ok()
    }

    /// Holds bytes as soon as they fit; more than the whole budget counts as the whole.
    pub(crate) async fn hold(&self, bytes: usize) -> HeldBytes {
        let bytes = u32::try_from(bytes.min(self.limit)).unwrap_or(u32::MAX);
        self.free.clone().acquire_many_owned(bytes).await.expect("the semaphore is never closed")
    }

    /// Bytes held now.
    pub(crate) fn held(&self) -> usize {
        self.limit - self.free.available_permits().min(self.limit)
    }
}
