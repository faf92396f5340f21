//! Rows of the usage duty in the store: the lease with the progress of the reports, and the reports themselves.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    ids::Era,
    policy::{
        lease::LeaseRow,
        usage::{UsageCheckpoint, Window},
    },
};

/// Key of the row with the lease and the progress.
pub(crate) const LEASE_KEY: &str = "usage";
/// Prefix of the keys of the rows that hold reports; the rest of the key is a number below [`REPORT_SLOTS`].
const REPORT_PREFIX: &str = "usage-report/";
/// Reports that the store holds at the same time. Older ones have been accepted, or are given up.
pub(crate) const REPORT_SLOTS: u64 = 16;

/// The row with the lease and the progress of the reports.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct UsageLeaseDoc {
    #[serde(flatten)]
    pub(crate) lease: LeaseRow,
    /// Era of the store in which it was written.
    #[serde(default)]
    pub(crate) era: Era,
    #[serde(flatten)]
    pub(crate) progress: UsageProgress,
    /// Counts of the windows that are not stored yet, for a holder that starts after all processes have ended.
    #[serde(default)]
    pub(crate) checkpoint: UsageCheckpoint,
}

/// Progress of the reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UsageProgress {
    /// First window whose report is not stored yet.
    #[serde(default)]
    pub(crate) next_window: Window,
    /// Windows whose reports are stored and not known to be accepted by the platform.
    #[serde(default)]
    pub(crate) unsent: Vec<Window>,
}

impl UsageProgress {
    /// This progress for a holder that begins in window `current`. Numbers far from it come from another writer, or
    /// from a time for which nobody keeps counts.
    pub(crate) fn since(&self, current: Window) -> Self {
        let oldest = current.saturating_sub(REPORT_SLOTS);
        let is_plausible = self.next_window <= current + REPORT_SLOTS;
        let next_window = if is_plausible { self.next_window.max(oldest) } else { current };
        let unsent = self.unsent.iter().copied();
        let unsent = unsent.filter(|window| (oldest..next_window).contains(window)).collect();
        Self { next_window, unsent }
    }
}

/// A report. It is stored before it is sent for the first time, so that any holder repeats it exactly.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UsageReportDoc {
    pub(crate) window: Window,
    pub(crate) counts: BTreeMap<Box<str>, u64>,
}

/// Key of the row that holds the report of a window.
pub(crate) fn report_key(window: Window) -> Box<str> {
    format!("{REPORT_PREFIX}{:02}", window % REPORT_SLOTS).into()
}

/// Whether a key is that of a report.
pub(crate) fn is_report_key(key: &str) -> bool {
    key.starts_with(REPORT_PREFIX)
}
