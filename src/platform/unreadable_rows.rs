//! Record of rows in the store's replies that can't be read.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Instant,
};

use crate::{
    platform::{row_envelope::RowsReply, store::Table},
    telemetry::{event, log_rate::LogRate},
};

/// Rows that were left out since the last look, and the rate at which they are logged: such a row is in every reply.
#[derive(Debug)]
pub(crate) struct UnreadableRows {
    started_at: Instant,
    log: LogRate,
    skipped: AtomicU64,
}

impl Default for UnreadableRows {
    fn default() -> Self {
        Self { started_at: Instant::now(), log: LogRate::default(), skipped: AtomicU64::new(0) }
    }
}

impl UnreadableRows {
    /// Counts the rows that a reply lacks, and logs them at most once a second.
    pub(crate) fn record(&self, table: Table, reply: &RowsReply) {
        let RowsReply { skipped, unreadable_fields, .. } = reply;
        if *skipped == 0 && *unreadable_fields == 0 {
            return;
        }
        self.skipped.fetch_add(*skipped as u64, Ordering::Relaxed);
        if let Some(unlogged) = self.log.admit(self.started_at.elapsed()) {
            event::DOCUMENT_UNREADABLE.log(format_args!(
                "cause=\"rows without a readable key, or with an odd version or removal\" table={table:?} skipped={skipped} odd={unreadable_fields} unlogged={unlogged}"
            ));
        }
    }

    /// Returns and resets the number of rows that were left out.
    pub(crate) fn take_skipped(&self) -> u64 {
        self.skipped.swap(0, Ordering::Relaxed)
    }
}
