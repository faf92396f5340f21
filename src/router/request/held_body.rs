//! A response that is stored until its caller has taken it.

use std::{collections::VecDeque, sync::Arc};

use bytes::{Bytes, BytesMut};
use tokio::sync::OwnedSemaphorePermit;

use crate::router::{
    callers::caller_connection::CallerConnection,
    request::memory_budget::{HeldBytes, MemoryBudget},
};

/// Size of a stored block, in bytes. Each counts until it has been written to the caller.
const BLOCK: usize = 64 << 10;
/// Smallest size of a block, in bytes.
const MIN_BLOCK: usize = 512;

/// Bytes that count as held until the last copy of them is gone.
pub(crate) struct HeldBuffer {
    bytes: Bytes,
    _held: HeldBytes,
    /// Room that they take in a queue.
    _room: Option<OwnedSemaphorePermit>,
}

impl HeldBuffer {
    /// Makes the bytes carry what is held for them.
    pub(crate) fn attach(
        bytes: Bytes,
        held: HeldBytes,
        room: Option<OwnedSemaphorePermit>,
    ) -> Bytes {
        Bytes::from_owner(Self { bytes, _held: held, _room: room })
    }
}

impl AsRef<[u8]> for HeldBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A stored body, in blocks.
#[derive(Debug, Default)]
pub(crate) struct HeldBody {
    blocks: VecDeque<Bytes>,
    len: usize,
}

impl HeldBody {
    /// Longest body that need not count, in bytes: what a connection uses in any case is many times as much.
    pub(crate) const MAX_UNCOUNTED: usize = 1 << 10;

    /// A body that is too short to count, or whose bytes carry what is held for them.
    pub(crate) fn from_bytes(bytes: Bytes) -> Self {
        Self { len: bytes.len(), blocks: VecDeque::from([bytes]) }
    }

    /// Bytes that are left.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Removes and returns the next block.
    pub(crate) fn next_block(&mut self) -> Option<Bytes> {
        let block = self.blocks.pop_front()?;
        self.len -= block.len();
        Some(block)
    }
}

/// Stores a body as it arrives. The bytes are copied: a slice of what was read would keep all of the read buffer.
pub(crate) struct HeldBodyWriter<'a> {
    budget: &'a MemoryBudget,
    connection: &'a Arc<CallerConnection>,
    body: HeldBody,
    block: BytesMut,
    /// What is held for bytes that are not in finished blocks.
    held: HeldBytes,
    /// Whether all of the body is held from the beginning.
    is_len_known: bool,
}

impl<'a> HeldBodyWriter<'a> {
    /// A writer for a body of this length, if it is known. All of a known length is held before the first byte is read:
    /// bodies that are held in part could block each other.
    pub(crate) async fn new(
        budget: &'a MemoryBudget,
        connection: &'a Arc<CallerConnection>,
        len: Option<usize>,
    ) -> Self {
        let held = budget.hold(connection, len.unwrap_or(0)).await;
        let (body, block) = (HeldBody::default(), BytesMut::new());
        Self { budget, connection, body, block, held, is_len_known: len.is_some() }
    }

    /// Bytes stored so far.
    pub(crate) fn len(&self) -> usize {
        self.body.len + self.block.len()
    }

    /// Stores bytes.
    pub(crate) async fn push(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            if self.block.len() == self.block.capacity() {
                self.grow(data.len()).await;
            }
            let room = self.block.capacity() - self.block.len();
            let (fitting, rest) = data.split_at(room.min(data.len()));
            self.block.extend_from_slice(fitting);
            data = rest;
        }
    }

    /// Makes room for more bytes, in this block while it is small, else in the next one.
    async fn grow(&mut self, wanted: usize) {
        if self.block.len() >= BLOCK {
            self.finish_block();
        }
        let used = self.block.len();
        let more = wanted.max(used).max(MIN_BLOCK).min(BLOCK - used);
        let missing = (used + more).saturating_sub(self.held.len());
        if missing > 0 && !self.is_len_known {
            self.held.merge(self.budget.hold(self.connection, missing).await);
        }
        let mut block = BytesMut::with_capacity(used + more);
        block.extend_from_slice(&self.block);
        self.block = block;
    }

    fn finish_block(&mut self) {
        let block = std::mem::take(&mut self.block).freeze();
        let held = self.held.split(block.len());
        self.body.len += block.len();
        self.body.blocks.push_back(HeldBuffer::attach(block, held, None));
    }

    /// The stored body.
    pub(crate) fn finish(mut self) -> HeldBody {
        if !self.block.is_empty() {
            self.finish_block();
        }
        self.body
    }
}
