//! The rows of the store's tables as they were last seen, for other entries to follow.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Mutex,
    time::Duration,
};

use tokio::sync::broadcast;

use crate::{
    ids::{Era, StoreVersion},
    platform::store::{Row, Rows, Table},
    router::compressed_rows::CompressedUpdate,
};

/// Updates kept for a subscriber that reads slowly; one further behind has to begin anew.
const UPDATE_BUFFER: usize = 64;

impl TableView {
    /// All rows, packed once for all that begin to follow before something changes.
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

/// Rows of one table as the store gave them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TableUpdate {
    pub(crate) table: Table,
    /// Newest transaction they cover.
    pub(crate) version: StoreVersion,
    /// The store's clock when it gave them.
    pub(crate) store_now: Duration,
    /// Whether these are all rows, not only those that changed.
    pub(crate) is_whole: bool,
    /// Whether rows are among them that the store lost as it came back from a copy.
    pub(crate) is_amended: bool,
    pub(crate) rows: Vec<Row>,
}

impl TableUpdate {
    /// The rows, as if the store had given them.
    pub(crate) fn into_rows(self) -> Rows {
        Rows { rows: self.rows, version: self.version, now: self.store_now }
    }
}

#[derive(Debug, Default)]
struct TableView {
    version: StoreVersion,
    /// Whether it has rows that the store lost, until all rows are read again.
    is_amended: bool,
    store_now: Duration,
    rows: BTreeMap<Box<str>, Row>,
    /// All rows packed, until something changes.
    compressed: Option<CompressedUpdate>,
    answered_at: Duration,
    is_lost: bool,
}

/// What was last seen of each table.
#[derive(Debug)]
pub(crate) struct TableViews {
    tables: Mutex<HashMap<Table, TableView>>,
    updates: broadcast::Sender<CompressedUpdate>,
    /// When an entry that is followed last spoke.
    received_at: Mutex<Duration>,
}

impl Default for TableViews {
    fn default() -> Self {
        Self {
            tables: Mutex::default(),
            updates: broadcast::Sender::new(UPDATE_BUFFER),
            received_at: Mutex::default(),
        }
    }
}

impl TableViews {
    /// Takes in what the store or another entry said of a table, and informs the subscribers.
    pub(crate) fn update(&self, table: Table, rows: &Rows, is_whole: bool) {
        self.update_amended(table, rows, is_whole, false);
    }

    /// The same of rows some of which the store may have lost.
    pub(crate) fn update_amended(
        &self,
        table: Table,
        rows: &Rows,
        is_whole: bool,
        is_amended: bool,
    ) {
        let mut tables = self.tables.lock().expect("no panics under the lock");
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
        let has_news = is_whole || !rows.rows.is_empty();
        if !has_news || !self.has_subscribers() {
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
        // Under the lock, so that a subscriber's first view and its updates fit together. An error
        // only says that there are no subscribers any more.
        let _ = self.updates.send(CompressedUpdate::compress(&update));
    }

    /// All rows of the tables of which something newer than this has been seen, and what comes
    /// after them. Rows about roll-outs are few and always sent: an entry that starts has not read
    /// them, whatever it has read of orders and servers.
    pub(crate) fn subscribe(
        &self,
        version: StoreVersion,
    ) -> (Vec<CompressedUpdate>, broadcast::Receiver<CompressedUpdate>) {
        let mut tables = self.tables.lock().expect("no panics under the lock");
        let is_wanted = |(table, view): &(&Table, &mut TableView)| {
            let is_always_sent = matches!(table, Table::Own | Table::Status);
            is_always_sent || view.is_amended || view.version > version
        };
        let wanted = tables.iter_mut().filter(is_wanted);
        let views = wanted.map(|(table, view)| view.compressed(*table)).collect();
        (views, self.updates.subscribe())
    }

    /// Whether another entry follows this one.
    pub(crate) fn has_subscribers(&self) -> bool {
        self.updates.receiver_count() > 0
    }

    /// Notes that the store answered about a table.
    pub(crate) fn record_answer(&self, table: Table, now: Duration) {
        let mut tables = self.tables.lock().expect("no panics under the lock");
        let view = tables.entry(table).or_default();
        view.answered_at = now;
        view.is_lost = false;
    }

    /// Notes that the store gave no answer about a table.
    pub(crate) fn record_failure(&self, table: Table) {
        let mut tables = self.tables.lock().expect("no panics under the lock");
        tables.entry(table).or_default().is_lost = true;
    }

    /// Whether the store last gave no answer about some table.
    pub(crate) fn is_store_lost(&self) -> bool {
        let tables = self.tables.lock().expect("no panics under the lock");
        tables.values().any(|view| view.is_lost)
    }

    /// Notes that an entry that is followed spoke.
    pub(crate) fn record_peer_message(&self, now: Duration) {
        *self.received_at.lock().expect("no panics under the lock") = now;
    }

    /// When an entry that is followed last spoke.
    pub(crate) fn peer_message_at(&self) -> Duration {
        *self.received_at.lock().expect("no panics under the lock")
    }

    /// When the store last answered about every table that is followed, or another entry spoke.
    pub(crate) fn answered_at(&self) -> Duration {
        self.applied_at().max(self.peer_message_at())
    }

    /// Until when all that was said of every table that is followed has been taken in.
    pub(crate) fn applied_at(&self) -> Duration {
        let tables = self.tables.lock().expect("no panics under the lock");
        let answered = tables.values().map(|view| view.answered_at).filter(|at| !at.is_zero());
        answered.min().unwrap_or_default()
    }

    /// Newest transaction seen of the table that is furthest behind.
    pub(crate) fn oldest_version(&self) -> StoreVersion {
        let tables = self.tables.lock().expect("no panics under the lock");
        tables.values().map(|view| view.version).min().unwrap_or_default()
    }

    /// Newest era that is known.
    pub(crate) fn era(&self) -> Era {
        let tables = self.tables.lock().expect("no panics under the lock");
        tables.values().map(|view| view.version.era).max().unwrap_or_default()
    }

    /// The rows of a table as they were last seen.
    pub(crate) fn rows(&self, table: Table) -> Vec<Row> {
        let tables = self.tables.lock().expect("no panics under the lock");
        tables.get(&table).map(|view| view.rows.values().cloned().collect()).unwrap_or_default()
    }
}
