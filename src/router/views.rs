//! The rows of the store's tables as they were last seen, for other entries to learn from.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Mutex,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    ids::Revision,
    platform::store::{Row, Rows, Table},
};

/// Rows of one table as the store gave them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TableView {
    pub(crate) table: Table,
    /// Newest transaction they cover.
    pub(crate) version: Revision,
    pub(crate) rows: Vec<Row>,
}

impl TableView {
    /// The rows, as if the store had given them; its clock is not known.
    pub(crate) fn into_rows(self) -> Rows {
        Rows { rows: self.rows, version: self.version, now: Duration::ZERO }
    }
}

#[derive(Debug, Default)]
struct Seen {
    version: Revision,
    rows: BTreeMap<Box<str>, Row>,
    answered_at: Duration,
    is_lost: bool,
}

/// What was last seen of each table, and what another entry offers.
#[derive(Debug, Default)]
pub(crate) struct Views {
    seen: Mutex<HashMap<Table, Seen>>,
    offers: Mutex<HashMap<Table, TableView>>,
}

impl Views {
    /// Takes in what the store or another entry said of a table.
    pub(crate) fn note(&self, table: Table, rows: &Rows, is_whole: bool) {
        let mut seen = self.seen.lock().expect("no panics under the lock");
        let seen = seen.entry(table).or_default();
        seen.version = rows.version;
        if is_whole {
            seen.rows.clear();
        }
        for row in &rows.rows {
            if row.is_removed {
                seen.rows.remove(&row.key);
            } else {
                seen.rows.insert(row.key.clone(), row.clone());
            }
        }
    }

    /// Notes that the store answered about a table.
    pub(crate) fn note_answer(&self, table: Table, now: Duration) {
        let mut seen = self.seen.lock().expect("no panics under the lock");
        let seen = seen.entry(table).or_default();
        seen.answered_at = now;
        seen.is_lost = false;
    }

    /// Notes that the store gave no answer about a table.
    pub(crate) fn note_lost(&self, table: Table) {
        let mut seen = self.seen.lock().expect("no panics under the lock");
        seen.entry(table).or_default().is_lost = true;
    }

    /// Whether the store last gave no answer about some table.
    pub(crate) fn is_cut_off(&self) -> bool {
        let seen = self.seen.lock().expect("no panics under the lock");
        seen.values().any(|seen| seen.is_lost)
    }

    /// When the store last answered about every table that is followed.
    pub(crate) fn answered_at(&self) -> Duration {
        let seen = self.seen.lock().expect("no panics under the lock");
        seen.values().map(|seen| seen.answered_at).min().unwrap_or_default()
    }

    /// Newest transaction seen of a table.
    pub(crate) fn version(&self, table: Table) -> Revision {
        let seen = self.seen.lock().expect("no panics under the lock");
        seen.get(&table).map_or(0, |seen| seen.version)
    }

    /// Newest transaction seen of the table that is furthest behind.
    pub(crate) fn oldest_version(&self) -> Revision {
        let seen = self.seen.lock().expect("no panics under the lock");
        seen.values().map(|seen| seen.version).min().unwrap_or(0)
    }

    /// Tables of which something newer than this has been seen.
    pub(crate) fn newer_than(&self, version: Revision) -> Vec<TableView> {
        let seen = self.seen.lock().expect("no panics under the lock");
        let view = |(table, seen): (&Table, &Seen)| TableView {
            table: *table,
            version: seen.version,
            rows: seen.rows.values().cloned().collect(),
        };
        seen.iter().filter(|(_, seen)| seen.version > version).map(view).collect()
    }

    /// Offers what another entry has seen to whoever follows the table.
    pub(crate) fn offer(&self, view: TableView) {
        self.offers.lock().expect("no panics under the lock").insert(view.table, view);
    }

    /// Takes what another entry offers about a table.
    pub(crate) fn take_offer(&self, table: Table) -> Option<TableView> {
        self.offers.lock().expect("no panics under the lock").remove(&table)
    }
}
