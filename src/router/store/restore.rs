//! Handling of orders when the store is restored from a backup.
//!
//! The operator writes the lost orders again, but not immediately. Until then this entry keeps the
//! newest orders it knows and forwards them to starting entries. An older configuration would make
//! revoked keys valid again.

use crate::{
    platform::{
        documents::{OperatorChange, is_config_key, parse_operator_row},
        store::{Row, Rows, Table},
    },
    router::Router,
};

/// Which rows of a table were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Extent {
    /// Rows that changed.
    Changes,
    /// All rows.
    Whole,
    /// All rows, for the first time since the store was restored from a backup.
    Restored,
}

impl Extent {
    /// Whether all rows were read.
    pub(crate) fn is_whole(self) -> bool {
        self != Self::Changes
    }
}

/// Adds the operator's rows that the store lost to the rows that it returned. Returns whether there
/// were any.
pub(crate) fn restore_lost_rows(router: &Router, table: Table, rows: &mut Rows) -> bool {
    if table != Table::Orders {
        return false;
    }
    let mut is_amended = false;
    for known in router.table_views.rows(table) {
        let stored = rows.rows.iter().position(|row| row.key == known.key);
        let is_lost = match stored {
            Some(stored) => is_older_configuration(&rows.rows[stored], &known),
            None => true,
        };
        if !is_lost {
            continue;
        }
        is_amended = true;
        match stored {
            Some(stored) => rows.rows[stored] = known,
            None => rows.rows.push(known),
        }
    }
    is_amended
}

/// Whether a row of the store holds an older configuration than the known row.
fn is_older_configuration(stored: &Row, known: &Row) -> bool {
    is_config_key(&stored.key) && configuration_version(stored) < configuration_version(known)
}

fn configuration_version(row: &Row) -> Option<u64> {
    match parse_operator_row(row) {
        Ok(Some(OperatorChange::Configuration(table))) => Some(table.version),
        // Unreadable rows are logged where they are applied.
        _ => None,
    }
}
