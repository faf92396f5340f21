//! Tables of the followed entry whose rows can't be read.

use std::{collections::HashSet, time::Duration};

use crate::{
    platform::store::Table,
    protocol::{Error, Result},
    router::{Router, store::compressed_rows::CompressedUpdate},
    telemetry::event,
};

/// Time after which the link is opened again, which sends all rows. They may be readable by then, but only a table
/// that is read again as a whole shows it before.
const RETRY_INTERVAL: Duration = Duration::from_secs(60);

/// Tables whose last update on a link can't be read. While there is one, this entry asks the store, and the link stays
/// for everything else: opening it again would only send the same rows again.
#[derive(Debug, Default)]
pub(crate) struct UnreadTables {
    tables: HashSet<Table>,
    /// When the first of them was added.
    since: Duration,
}

impl UnreadTables {
    /// Queues an update of the link for its reader. After one that can't be read, the changes of its table have a gap
    /// and are discarded until all its rows arrive.
    ///
    /// # Errors
    /// When the queue is full although all updates can be read: its reader has stopped.
    pub(crate) fn receive(&mut self, router: &Router, update: &CompressedUpdate) -> Result<()> {
        let table = update.table();
        let rows = match update.decompress() {
            Ok(rows) => rows,
            Err(e) => {
                self.add(router, table, &e);
                return Ok(());
            }
        };
        if self.tables.contains(&table) && !rows.is_whole {
            return Ok(());
        }
        if router.peer_link.push(rows) {
            self.tables.remove(&table);
            return Ok(());
        }
        let full = Error::ConnectionFailed("update queue is full".into());
        if self.tables.is_empty() {
            return Err(full);
        }
        // The reader takes its rows from the store in the meantime.
        self.add(router, table, &full);
        Ok(())
    }

    fn add(&mut self, router: &Router, table: Table, cause: &Error) {
        if self.tables.is_empty() {
            self.since = router.now();
        }
        if self.tables.insert(table) {
            event::PEER_ROWS_UNREADABLE.log(format_args!("table={table:?} cause=\"{cause}\""));
        }
    }

    /// Whether all updates can be read.
    pub(crate) fn is_empty(&self) -> bool {
        self.tables.is_empty()
    }

    /// Whether the link should be opened again.
    pub(crate) fn is_retry_due(&self, now: Duration) -> bool {
        !self.is_empty() && now >= self.since + RETRY_INTERVAL
    }
}
