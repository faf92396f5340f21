//! What is kept of orders when the store comes back from an older copy.
//!
//! What the operator wrote since the copy is written again, but not at once. Until then the newest that is known
//! here holds, and is passed on to entries that start: an older configuration would bring back keys that were
//! taken away.

use crate::{
    platform::{
        documents::{OperatorChange, is_configuration, read_operator_row},
        store::{Row, Rows, Table},
    },
    router::Router,
};

/// How much of a table was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Extent {
    /// What changed.
    Changes,
    /// All rows.
    Whole,
    /// All rows, the first since the store came back from an older copy.
    Restored,
}

impl Extent {
    /// Whether these are all rows.
    pub(crate) fn is_whole(self) -> bool {
        self != Self::Changes
    }
}

/// Puts the operator's rows that the store lost back among all that it has; whether there were any.
pub(crate) fn restore_lost_rows(router: &Router, table: Table, rows: &mut Rows) -> bool {
    if table != Table::Orders {
        return false;
    }
    let mut is_amended = false;
    for known in router.views.rows(table) {
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

/// Whether a row holds an older configuration than another one.
fn is_older_configuration(stored: &Row, known: &Row) -> bool {
    is_configuration(&stored.key) && configuration_version(stored) < configuration_version(known)
}

fn configuration_version(row: &Row) -> Option<u64> {
    match read_operator_row(row) {
        Ok(Some(OperatorChange::Configuration(table))) => Some(table.version),
        // One that can't be read is logged where it is applied.
        _ => None,
    }
}
