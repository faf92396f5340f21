//! What one connection of a caller uses, and why it is closed.

use std::{net::SocketAddr, sync::MutexGuard};

use tokio::{sync::Notify, time::Instant};

use crate::{policy::connection_eviction::ConnectionUse, sync::Mutex};

/// Identifies a connection of a caller for the lifetime of the process.
pub(crate) type ConnectionId = u64;

/// Why a connection of a caller is closed before its response is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CutReason {
    /// It held memory that others needed.
    Memory,
    /// It had no request at work, and others needed its descriptor.
    Connections,
    /// It was behind with a stream, and others waited for the stream's server.
    Yield,
    /// It was behind with a stream at the request's deadline.
    Deadline,
    /// It took too little of its response.
    Slow,
}

impl CutReason {
    /// Whether the caller has not taken all of its response, which the kernel then need not keep.
    pub(crate) fn discards_response(self) -> bool {
        self != Self::Connections
    }

    /// Value of the `reason` label in metrics and log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Connections => "connections",
            Self::Yield => "yield",
            Self::Deadline => "deadline",
            Self::Slow => "slow",
        }
    }
}

/// A request's wait for memory.
pub(crate) struct MemoryWait<'a> {
    connection: &'a CallerConnection,
}

impl Drop for MemoryWait<'_> {
    fn drop(&mut self) {
        self.connection.lock().waits_since = None;
    }
}

/// A connection of a caller.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    pub(crate) id: ConnectionId,
    pub(crate) address: SocketAddr,
    state: Mutex<State>,
    cut: Notify,
}

#[derive(Debug)]
struct State {
    held_bytes: usize,
    /// When `held_bytes` was last zero.
    held_since: Instant,
    /// Since when one of its requests has been waiting for memory.
    waits_since: Option<Instant>,
    /// Requests that were received in full and are being served.
    requests: usize,
    /// When `requests` was last above zero.
    unused_since: Instant,
    cut: Option<CutReason>,
}

impl CallerConnection {
    pub(crate) fn new(id: ConnectionId, address: SocketAddr) -> Self {
        let now = Instant::now();
        let state = State {
            held_bytes: 0,
            held_since: now,
            waits_since: None,
            requests: 0,
            unused_since: now,
            cut: None,
        };
        Self { id, address, state: Mutex::new(state), cut: Notify::new() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock()
    }

    /// Counts bytes as held for this caller.
    pub(crate) fn record_held(&self, bytes: usize) {
        let mut state = self.lock();
        if state.held_bytes == 0 {
            state.held_since = Instant::now();
        }
        state.held_bytes += bytes;
    }

    /// Ends the counting of bytes as held.
    pub(crate) fn record_released(&self, bytes: usize) {
        let mut state = self.lock();
        state.held_bytes = state.held_bytes.saturating_sub(bytes);
    }

    /// Records that a request waits for memory, until the returned guard is dropped.
    pub(crate) fn record_wait(&self) -> MemoryWait<'_> {
        self.lock().waits_since = Some(Instant::now());
        MemoryWait { connection: self }
    }

    /// Since when a request has been waiting for memory, if one does.
    pub(crate) fn waits_for_memory_since(&self) -> Option<Instant> {
        self.lock().waits_since
    }

    /// Records that a request has been received in full.
    pub(crate) fn record_request_begun(&self) {
        self.lock().requests += 1;
    }

    /// Records the end of a request that was received in full.
    pub(crate) fn record_request_ended(&self) {
        let mut state = self.lock();
        state.requests = state.requests.saturating_sub(1);
        state.unused_since = Instant::now();
    }

    /// Bytes held for this caller.
    pub(crate) fn held_bytes(&self) -> usize {
        self.lock().held_bytes
    }

    /// What the connection uses.
    pub(crate) fn usage(&self) -> ConnectionUse {
        let state = self.lock();
        ConnectionUse {
            held_bytes: state.held_bytes,
            held_for: state.held_since.elapsed(),
            unused_for: (state.requests == 0).then(|| state.unused_since.elapsed()),
        }
    }

    /// Closes the connection; the first reason counts.
    pub(crate) fn cut(&self, reason: CutReason) {
        self.lock().cut.get_or_insert(reason);
        self.cut.notify_one();
    }

    /// Why the connection is being closed, if it is.
    pub(crate) fn cut_reason(&self) -> Option<CutReason> {
        self.lock().cut
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn wait_until_cut(&self) {
        self.cut.notified().await;
    }
}
