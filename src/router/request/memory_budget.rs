//! Memory for requests and responses that peers send or read slowly.
//!
//! A process that exceeds its memory is killed with everything that it serves, so what slow peers hold up is bounded
//! over all connections. Bytes count before they are stored and until the last of them is gone (docs/incidents/0029).

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{sleep, timeout},
};

use crate::router::callers::{
    caller_connection::CallerConnection, connection_table::ConnectionTable,
};

/// Part of the process's memory that held requests and responses may use. The rest is for connections, state and what
/// the kernel buffers.
const HELD_PART: u64 = 6;
/// Part of the budget that only connections with few bytes may use.
const RESERVED_PART: usize = 4;
/// Bytes that a connection may hold in the reserved part: more than an ordinary answer has, 60 KB.
const RESERVED_BYTES_PER_CONNECTION: usize = 64 << 10;
/// Interval at which a wait for memory looks for further connections to close.
const EVICTION_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for the memory of a connection that is being closed.
const EVICTION_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes that count towards the budget, and as held for a caller, until this is dropped.
#[derive(Debug, Default)]
pub(crate) struct HeldBytes {
    ordinary: Option<OwnedSemaphorePermit>,
    reserved: Option<OwnedSemaphorePermit>,
    /// The connection that they are held for, unless they wait for a server.
    connection: Option<Arc<CallerConnection>>,
}

fn permits(permit: Option<&OwnedSemaphorePermit>) -> usize {
    permit.map_or(0, OwnedSemaphorePermit::num_permits)
}

/// Adds permits of the same semaphore.
fn merge(into: &mut Option<OwnedSemaphorePermit>, from: Option<OwnedSemaphorePermit>) {
    match (into, from) {
        (Some(into), Some(from)) => into.merge(from),
        (into @ None, from) => *into = from,
        (Some(_), None) => {}
    }
}

/// Splits up to this number of permits off; also returns how many are still missing.
fn split(
    from: &mut Option<OwnedSemaphorePermit>,
    bytes: usize,
) -> (Option<OwnedSemaphorePermit>, usize) {
    let taken = bytes.min(permits(from.as_ref()));
    (from.as_mut().and_then(|from| from.split(taken)), bytes - taken)
}

impl HeldBytes {
    /// Number of bytes.
    pub(crate) fn len(&self) -> usize {
        permits(self.ordinary.as_ref()) + permits(self.reserved.as_ref())
    }

    /// Adds bytes held for the same connection.
    pub(crate) fn merge(&mut self, mut more: Self) {
        merge(&mut self.ordinary, more.ordinary.take());
        merge(&mut self.reserved, more.reserved.take());
        if self.connection.is_none() {
            self.connection = more.connection.take();
        }
        // `more` has no permits left, so its drop releases nothing.
    }

    /// Splits bytes off, at most those that are there.
    pub(crate) fn split(&mut self, bytes: usize) -> Self {
        let (reserved, missing) = split(&mut self.reserved, bytes);
        let (ordinary, _) = split(&mut self.ordinary, missing);
        Self { ordinary, reserved, connection: self.connection.clone() }
    }

    /// Ends the counting for the caller, who has done its part; the bytes still count towards the budget.
    pub(crate) fn release_caller(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.record_released(self.len());
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.release_caller();
    }
}

/// Bytes that may be held, over all requests and responses of the process.
#[derive(Debug)]
pub(crate) struct MemoryBudget {
    ordinary: Arc<Semaphore>,
    /// For connections that hold few bytes, so that they never wait for those that hold many.
    reserved: Arc<Semaphore>,
    ordinary_limit: usize,
    limit: usize,
    connections: Arc<ConnectionTable>,
    /// Time for which a connection may hold memory that others need.
    evict_after: Duration,
}

impl MemoryBudget {
    /// A budget for a process that may use this many bytes of memory.
    pub(crate) fn new(
        memory_limit: u64,
        connections: Arc<ConnectionTable>,
        evict_after: Duration,
    ) -> Self {
        let limit = usize::try_from(memory_limit / HELD_PART).unwrap_or(usize::MAX);
        let limit = limit.min(Semaphore::MAX_PERMITS).min(u32::MAX as usize);
        let reserved_limit = limit / RESERVED_PART;
        let ordinary_limit = limit - reserved_limit;
        Self {
            ordinary: Arc::new(Semaphore::new(ordinary_limit)),
            reserved: Arc::new(Semaphore::new(reserved_limit)),
            ordinary_limit,
            limit,
            connections,
            evict_after,
        }
    }

    /// Holds bytes for a caller if they fit.
    pub(crate) fn try_hold(
        &self,
        connection: &Arc<CallerConnection>,
        bytes: usize,
    ) -> Option<HeldBytes> {
        let bytes = self.clamp(bytes);
        if let Ok(permit) = self.ordinary.clone().try_acquire_many_owned(bytes) {
            return Some(held(connection, Some(permit), None));
        }
        if !may_use_reserve(connection, bytes) {
            return None;
        }
        let permit = self.reserved.clone().try_acquire_many_owned(bytes).ok()?;
        Some(held(connection, None, Some(permit)))
    }

    /// Holds bytes for a caller if they fit, or if other connections hold too much for too long; these are closed.
    pub(crate) async fn hold_or_refuse(
        &self,
        connection: &Arc<CallerConnection>,
        bytes: usize,
    ) -> Option<HeldBytes> {
        if let Some(held) = self.try_hold(connection, bytes) {
            return Some(held);
        }
        if !self.connections.make_room(bytes, connection.id, self.evict_after) {
            return None;
        }
        timeout(EVICTION_TIMEOUT, self.hold(connection, bytes)).await.ok()
    }

    /// Holds bytes for a caller as soon as they fit; more than the budget counts as the budget. Connections that hold
    /// too much for too long are closed meanwhile.
    pub(crate) async fn hold(&self, connection: &Arc<CallerConnection>, bytes: usize) -> HeldBytes {
        if let Some(held) = self.try_hold(connection, bytes) {
            return held;
        }
        let wanted = self.clamp(bytes);
        let _wait = connection.record_wait();
        let evict = async {
            loop {
                self.connections.make_room(bytes, connection.id, self.evict_after);
                sleep(EVICTION_INTERVAL).await;
            }
        };
        let reserved = async {
            if !may_use_reserve(connection, wanted) {
                std::future::pending::<()>().await;
            }
            self.reserved.clone().acquire_many_owned(wanted).await
        };
        let never_closed = "the semaphore is never closed";
        tokio::select! {
            permit = self.ordinary.clone().acquire_many_owned(wanted) => {
                held(connection, Some(permit.expect(never_closed)), None)
            }
            permit = reserved => held(connection, None, Some(permit.expect(never_closed))),
            () = evict => unreachable!("evicts until memory is free"),
        }
    }

    /// Bytes held now.
    pub(crate) fn held(&self) -> usize {
        let free = self.ordinary.available_permits() + self.reserved.available_permits();
        self.limit.saturating_sub(free)
    }

    fn clamp(&self, bytes: usize) -> u32 {
        u32::try_from(bytes.min(self.ordinary_limit)).unwrap_or(u32::MAX)
    }
}

fn held(
    connection: &Arc<CallerConnection>,
    ordinary: Option<OwnedSemaphorePermit>,
    reserved: Option<OwnedSemaphorePermit>,
) -> HeldBytes {
    let held = HeldBytes { ordinary, reserved, connection: Some(connection.clone()) };
    connection.record_held(held.len());
    held
}

/// Whether a connection still holds so little that the reserved part is open to it.
fn may_use_reserve(connection: &CallerConnection, bytes: u32) -> bool {
    connection.held_bytes() + bytes as usize <= RESERVED_BYTES_PER_CONNECTION
}
