//! The open connections of callers.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::{
    policy::connection_eviction::{ConnectionUse, largest_holder, longest_unused},
    router::callers::caller_connection::{CallerConnection, ConnectionId, CutReason},
    sync::Mutex,
};

/// Connections beyond the limit that may exist while others are being closed to make room for them.
const MAX_CLOSING: usize = 32;

type Connections = HashMap<ConnectionId, Arc<CallerConnection>>;

/// All open connections of callers, up to a limit.
#[derive(Debug)]
pub(crate) struct ConnectionTable {
    limit: usize,
    connections: Mutex<Connections>,
    next_id: AtomicU64,
}

/// An open connection; it leaves the table when this is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    table: Arc<ConnectionTable>,
    pub(crate) connection: Arc<CallerConnection>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.table.lock().remove(&self.connection.id);
    }
}

impl ConnectionTable {
    pub(crate) fn new(limit: usize) -> Self {
        Self { limit, connections: Mutex::default(), next_id: AtomicU64::new(0) }
    }

    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.connections.lock()
    }

    /// Adds a connection that was accepted. At the limit, the connection that has gone longest without a request that
    /// is served is closed for it; `None` if all serve requests, or too many are being closed.
    pub(crate) fn open(self: &Arc<Self>, address: SocketAddr) -> Option<OpenConnection> {
        let mut connections = self.lock();
        if connections.len() >= self.limit {
            let room = self.limit + MAX_CLOSING;
            let unused =
                longest_unused(uncut(&connections)).filter(|_| connections.len() < room)?;
            unused.cut(CutReason::Connections);
        }
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(CallerConnection::new(id, address));
        connections.insert(id, connection.clone());
        drop(connections);
        Some(OpenConnection { table: self.clone(), connection })
    }

    /// Closes the connection that has held most memory for longest, unless those that are being closed already hold
    /// as much as is needed. Returns whether memory is becoming free.
    pub(crate) fn make_room(&self, needed: usize, for_id: ConnectionId, grace: Duration) -> bool {
        let connections = self.lock();
        let closing = connections.values().filter(|c| c.cut_reason().is_some());
        if closing.map(|c| c.held_bytes()).sum::<usize>() >= needed {
            return true;
        }
        let others = uncut(&connections).filter(|(c, _)| c.id != for_id);
        let Some(holder) = largest_holder(others, grace) else {
            return false;
        };
        holder.cut(CutReason::Memory);
        true
    }

    /// Number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }
}

/// The connections that are not being closed, with what they use.
fn uncut(
    connections: &Connections,
) -> impl Iterator<Item = (&Arc<CallerConnection>, ConnectionUse)> {
    connections.values().filter(|c| c.cut_reason().is_none()).map(|c| (c, c.usage()))
}
