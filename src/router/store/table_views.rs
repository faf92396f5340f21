//! Latest known rows of the store's tables, which other entries can subscribe to.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use tokio::sync::{broadcast, watch};

use crate::{
    ids::{Era, StoreVersion},
    platform::store::{Row, Rows, Table},
    router::store::compressed_rows::CompressedUpdate,
    sync::Mutex,
};

/// Updates buffered for a slow subscriber; one that falls further behind has to reconnect.
const UPDATE_BUFFER: usize = 64;

impl TableView {
    /// All rows, compressed once for all subscribers that arrive before the next change.
    fn compressed(&mut self, table: Table) -> CompressedUpdate {
        let Self { version, store_now, rows, compressed, is_amended, .. } = self;
        let compress = || {
            let rows = rows.values().cloned().collect();
            let (version, store_now, is_amended) = (*version, *store_now, *is_amended);
            let is_whole = true;
            CompressedUpdate::compress(&TableUpdate {
                table,
                version,
                store_now,
                is_whole,
                is_amended,
                rows,
            })
        };
        compressed.get_or_insert_with(compress).clone()
    }
}

/// Rows of one table as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TableUpdate {
    pub(crate) table: Table,
    /// Newest transaction that the rows cover.
    pub(crate) version: StoreVersion,
    /// Time on the store's clock when it returned the rows.
    pub(crate) store_now: Duration,
    /// Whether these are all rows of the table, not only changed ones.
    pub(crate) is_whole: bool,
    /// Whether rows were added that the store lost when it was restored from a backup.
    pub(crate) is_amended: bool,
    pub(crate) rows: Vec<Row>,
}

impl TableUpdate {
    /// The rows in the form in which the store returns them.
    pub(crate) fn into_rows(self) -> Rows {
        Rows { rows: self.rows, version: self.version, now: self.store_now }
    }
}

#[derive(Debug, Default)]
struct TableView {
    version: StoreVersion,
    /// Whether rows were added that the store lost; reset when all rows are read again.
    is_amended: bool,
    store_now: Duration,
    rows: BTreeMap<Box<str>, Row>,
    /// All rows, compressed; none after a change.
    compressed: Option<CompressedUpdate>,
    answered_at: Duration,
    is_lost: bool,
}

/// Latest known rows of all tables that this entry reads.
#[derive(Debug)]
pub(crate) struct TableViews {
    tables: Mutex<HashMap<Table, TableView>>,
    updates: broadcast::Sender<CompressedUpdate>,
    /// Whether the last call about any table failed.
    is_store_lost: watch::Sender<bool>,
    /// Time of the last message from the entry that this one follows.
    peer_message_at: Mutex<Duration>,
    /// Time up to which that entry's data was received.
    peer_data_at: Mutex<Duration>,
}

impl Default for TableViews {
    fn default() -> Self {
        Self {
            tables: Mutex::default(),
            updates: broadcast::Sender::new(UPDATE_BUFFER),
            is_store_lost: watch::Sender::new(false),
            peer_message_at: Mutex::default(),
            peer_data_at: Mutex::default(),
        }
    }
}

impl TableViews {
    /// Applies rows from the store or another entry and sends them to the subscribers.
    pub(crate) fn update(&self, table: Table, rows: &Rows, is_whole: bool) {
        self.update_amended(table, rows, is_whole, false);
    }

    /// Like [`Self::update`], for rows to which lost rows may have been added.
    pub(crate) fn update_amended(
        &self,
        table: Table,
        rows: &Rows,
        is_whole: bool,
        is_amended: bool,
    ) {
        let mut tables = self.tables.lock();
        let view = tables.entry(table).or_default();
        view.version = rows.version;
        view.store_now = rows.now;
        view.compressed = None;
        if is_whole {
            view.rows.clear();
            view.is_amended = is_amended;
        }
        for row in &rows.rows {
            if row.is_removed {
                view.rows.remove(&row.key);
            } else {
                view.rows.insert(row.key.clone(), row.clone());
            }
        }
        let has_changes = is_whole || !rows.rows.is_empty();
        if !has_changes || !self.has_subscribers() {
            return;
        }
        let update = TableUpdate {
            table,
            version: rows.version,
            store_now: rows.now,
            is_whole,
            is_amended,
            rows: rows.rows.clone(),
        };
        // Sent under the lock, so that a subscriber's first rows and its updates leave no gap. An
        // error only means that the last subscriber has left.
        let _ = self.updates.send(CompressedUpdate::compress(&update));
    }

    /// All rows of the tables that are newer than `version`, and a receiver of later updates. The
    /// few rows about roll-outs are always included: a starting entry has not read them, whatever
    /// it has read of orders and servers.
    pub(crate) fn subscribe(
        &self,
        version: StoreVersion,
    ) -> (Vec<CompressedUpdate>, broadcast::Receiver<CompressedUpdate>) {
        let mut tables = self.tables.lock();
        let is_wanted = |(table, view): &(&Table, &mut TableView)| {
            let is_always_sent = matches!(table, Table::Own | Table::Status);
            is_always_sent || view.is_amended || view.version > version
        };
        let wanted = tables.iter_mut().filter(is_wanted);
        let views = wanted.map(|(table, view)| view.compressed(*table)).collect();
        (views, self.updates.subscribe())
    }

    /// Whether rows of a table have been applied.
    pub(crate) fn has(&self, table: Table) -> bool {
        self.tables.lock().get(&table).is_some_and(|view| view.version != StoreVersion::default())
    }

    /// Whether other entries follow this one.
    pub(crate) fn has_subscribers(&self) -> bool {
        self.updates.receiver_count() > 0
    }

    /// Records that the rows of a table are known as of a time, at which the store was asked, or a seed that follows it.
    pub(crate) fn record_answer(&self, table: Table, as_of: Duration) {
        let mut tables = self.tables.lock();
        let view = tables.entry(table).or_default();
        view.answered_at = view.answered_at.max(as_of);
        view.is_lost = false;
        self.publish_store_lost(&tables);
    }

    /// Records that a call about a table failed.
    pub(crate) fn record_failure(&self, table: Table) {
        let mut tables = self.tables.lock();
        tables.entry(table).or_default().is_lost = true;
        self.publish_store_lost(&tables);
    }

    fn publish_store_lost(&self, tables: &HashMap<Table, TableView>) {
        let is_lost = tables.values().any(|view| view.is_lost);
        self.is_store_lost.send_if_modified(|before| std::mem::replace(before, is_lost) != is_lost);
    }

    /// Whether the last call about any table failed.
    pub(crate) fn is_store_lost(&self) -> bool {
        *self.is_store_lost.borrow()
    }

    /// Subscribes to changes of [`Self::is_store_lost`].
    pub(crate) fn store_lost_changes(&self) -> watch::Receiver<bool> {
        self.is_store_lost.subscribe()
    }

    /// Records a message from the entry that this one follows, which arrives now and is no older than `proved_at`.
    pub(crate) fn record_peer_message(&self, now: Duration, proved_at: Duration) {
        *self.peer_message_at.lock() = now;
        *self.peer_data_at.lock() = proved_at;
    }

    /// Time of the last message from the entry that this one follows.
    pub(crate) fn peer_message_at(&self) -> Duration {
        *self.peer_message_at.lock()
    }

    /// Time up to which the followed entry's data was received.
    pub(crate) fn peer_data_at(&self) -> Duration {
        *self.peer_data_at.lock()
    }

    /// Time up to which every table is applied or, if later, up to which the followed entry's data was received.
    pub(crate) fn answered_at(&self) -> Duration {
        self.applied_at().max(self.peer_data_at())
    }

    /// Time up to which every table is applied: the oldest of the tables' last answers.
    pub(crate) fn applied_at(&self) -> Duration {
        let tables = self.tables.lock();
        let answered = tables.values().map(|view| view.answered_at).filter(|at| !at.is_zero());
        answered.min().unwrap_or_default()
    }

    /// Newest transaction applied to the table that is furthest behind.
    pub(crate) fn oldest_version(&self) -> StoreVersion {
        let tables = self.tables.lock();
        tables.values().map(|view| view.version).min().unwrap_or_default()
    }

    /// Newest known era of the store.
    pub(crate) fn era(&self) -> Era {
        let tables = self.tables.lock();
        tables.values().map(|view| view.version.era).max().unwrap_or_default()
    }

    /// Latest known rows of a table.
    pub(crate) fn rows(&self, table: Table) -> Vec<Row> {
        let tables = self.tables.lock();
        tables.get(&table).map(|view| view.rows.values().cloned().collect()).unwrap_or_default()
    }
}
