//! Updates from the entry that this one follows, queued by table.

use std::{
    collections::{HashMap, VecDeque},
    sync::MutexGuard,
};

use tokio::sync::Notify;

use crate::{platform::store::Table, router::store::table_views::TableUpdate, sync::Mutex};

/// Maximum number of pending updates of a table. A full queue means that its reader has stopped,
/// and a new link starts with all rows anyway.
const MAX_PENDING: usize = 256;

#[derive(Debug, Default)]
struct Inner {
    is_current: bool,
    pending: HashMap<Table, VecDeque<TableUpdate>>,
}

/// The link to the entry that this one follows, as the readers of the tables see it.
///
/// While the link is current, it replaces the store: the other entry reads the store and forwards
/// its rows (docs/decisions/0009).
#[derive(Debug, Default)]
pub(crate) struct PeerLink {
    inner: Mutex<Inner>,
    changed: Notify,
}

impl PeerLink {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock()
    }

    /// Sets whether the other entry is up to date with the store. Returns whether that changed.
    pub(crate) fn set_current(&self, is_current: bool) -> bool {
        let before = std::mem::replace(&mut self.lock().is_current, is_current);
        if before != is_current {
            self.changed.notify_waiters();
        }
        before != is_current
    }

    /// Whether the link currently replaces the store.
    pub(crate) fn is_current(&self) -> bool {
        self.lock().is_current
    }

    /// Queues an update. Returns false when the table's queue is full.
    pub(crate) fn push(&self, update: TableUpdate) -> bool {
        let mut inner = self.lock();
        let pending = inner.pending.entry(update.table).or_default();
        if update.is_whole {
            pending.clear();
        }
        if pending.len() >= MAX_PENDING {
            return false;
        }
        pending.push_back(update);
        drop(inner);
        self.changed.notify_waiters();
        true
    }

    /// Discards the updates of a link that has ended.
    pub(crate) fn clear(&self) {
        let mut inner = self.lock();
        inner.is_current = false;
        inner.pending.clear();
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Removes and returns the next pending update of a table.
    pub(crate) fn take(&self, table: Table) -> Option<TableUpdate> {
        self.lock().pending.get_mut(&table)?.pop_front()
    }

    /// Waits until the link replaces the store.
    pub(crate) async fn wait_until_current(&self) {
        loop {
            let changed = self.changed.notified();
            if self.is_current() {
                return;
            }
            changed.await;
        }
    }

    /// Waits until a table has a pending update or [`Self::is_current`] changes.
    pub(crate) async fn wait_for_change(&self, table: Table) {
        let before = self.is_current();
        loop {
            let changed = self.changed.notified();
            let has_update = self.lock().pending.get(&table).is_some_and(|all| !all.is_empty());
            if has_update || self.is_current() != before {
                return;
            }
            changed.await;
        }
    }

    /// Waits for the next update of a table; none once the link is not current.
    pub(crate) async fn next(&self, table: Table) -> Option<TableUpdate> {
        loop {
            let changed = self.changed.notified();
            if let Some(update) = self.take(table) {
                return Some(update);
            }
            if !self.is_current() {
                return None;
            }
            changed.await;
        }
    }
}
