//! Usage of Organisations by windows of true time: counting it in each entry, and adding it up.
//!
//! Counts are running totals of one process, so a message that is lost or repeated changes nothing.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Number of a window: window `k` begins `k` window lengths after the start of 1970.
pub type Window = u64;
/// Milliseconds of true time since the start of 1970.
pub type TrueMs = u64;

/// Windows that are kept. A window is reported a few seconds after its end; the rest serves entries and seeds that
/// were cut off from each other.
const KEPT_WINDOWS: u64 = 12;

/// Requests of an Organisation that began to run in a window: the total of one process so far.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageTotal(pub Window, pub Box<str>, pub u64);

/// The window that contains a moment. Lengths below a millisecond count as one.
pub fn window_at(time: TrueMs, length: Duration) -> Window {
    time / length_ms(length)
}

/// When a window begins.
pub fn window_start(window: Window, length: Duration) -> TrueMs {
    window.saturating_mul(length_ms(length))
}

fn length_ms(length: Duration) -> u64 {
    u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1)
}

/// Counts of one process.
#[derive(Clone, Debug, Default)]
pub struct UsageCounter {
    /// Count and the revision of its last change, by window and Organisation.
    totals: BTreeMap<Window, BTreeMap<Box<str>, (u64, u64)>>,
    /// Number of requests counted.
    revision: u64,
}

impl UsageCounter {
    /// Counts a request that began to run.
    pub fn record(&mut self, window: Window, organisation: &str) {
        self.revision += 1;
        let totals = self.totals.entry(window).or_default();
        if let Some((count, changed)) = totals.get_mut(organisation) {
            (*count, *changed) = (*count + 1, self.revision);
            return;
        }
        totals.insert(organisation.into(), (1, self.revision));
        expire(&mut self.totals);
    }

    /// Totals that changed after a revision, and the revision to continue from.
    pub fn since(&self, revision: u64) -> (Vec<UsageTotal>, u64) {
        let all = self.totals.iter().flat_map(|(window, totals)| {
            totals.iter().map(|(name, (count, changed))| (*window, name, *count, *changed))
        });
        let changed = all.filter(|(_, _, _, changed)| *changed > revision);
        let totals =
            changed.map(|(window, name, count, _)| UsageTotal(window, name.clone(), count));
        (totals.collect(), self.revision)
    }
}

/// Drops all but the newest windows.
fn expire<T>(windows: &mut BTreeMap<Window, T>) {
    let newest = windows.last_key_value().map_or(0, |(window, _)| *window);
    *windows = windows.split_off(&newest.saturating_sub(KEPT_WINDOWS - 1));
}

/// One run of a process that reports usage: its Host and a random number.
pub type Reporter = (Box<str>, u64);

/// What a reporter sent at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Distinguishes runs of the process on one Host.
    pub process: u64,
    /// Start of the process. It knows nothing of earlier requests.
    pub counts_from: TrueMs,
    /// All requests that began before this time are included.
    pub counts_until: TrueMs,
    /// The wall clock of the Host, from which true time is estimated.
    pub wall_clock: TrueMs,
    /// Totals that changed since its last report.
    pub totals: Vec<UsageTotal>,
}

fn add_totals(sums: &mut UsageTotals, totals: &UsageTotals) {
    for (organisation, count) in totals {
        *sums.entry(organisation.clone()).or_default() += count;
    }
}

/// What is known of one reporter.
#[derive(Clone, Debug, Default)]
struct KnownReporter {
    counts_from: TrueMs,
    counts_until: TrueMs,
    /// When it was last heard, on the clock of this process.
    heard_at: Duration,
    totals: BTreeMap<Window, UsageTotals>,
}

/// How complete the counts of a window are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WindowCoverage {
    /// All reporters have reported beyond its end.
    Complete,
    /// This number of reporters have not.
    Awaiting(usize),
    /// Too few reporters were running when it began: earlier ones may have counted more.
    Unknown,
}

/// Share of the reporters that must have been running when a window began. If all processes were replaced since,
/// the counts of the earlier ones are gone.
const MIN_COVERING_SHARE: f64 = 0.5;

/// Time without a report after which a reporter no longer counts as running: ten reports.
const REPORTER_LIFETIME: Duration = Duration::from_secs(4);

/// Totals by Organisation.
pub type UsageTotals = BTreeMap<Box<str>, u64>;

/// What a holder knew of the windows that it had not reported, kept where it outlives all processes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCheckpoint {
    /// Processes that started later are not included.
    pub at: TrueMs,
    /// Totals by window.
    pub windows: BTreeMap<Window, UsageTotals>,
}

/// Reports of all entries, as one of them has received them.
#[derive(Clone, Debug, Default)]
pub struct UsageLedger {
    reporters: HashMap<Reporter, KnownReporter>,
}

impl UsageLedger {
    /// Records a report that arrived at `now`.
    pub fn apply(&mut self, host: &str, report: &UsageReport, now: Duration) {
        let key = (host.into(), report.process);
        let known = self.reporters.entry(key).or_default();
        known.counts_from = report.counts_from;
        known.counts_until = known.counts_until.max(report.counts_until);
        known.heard_at = now;
        for UsageTotal(window, organisation, count) in &report.totals {
            let totals = known.totals.entry(*window).or_default();
            let total = totals.entry(organisation.clone()).or_default();
            *total = (*total).max(*count);
        }
        expire(&mut known.totals);
    }

    /// Drops reporters that have been silent since before `oldest` windows ago and have nothing left to report.
    pub fn expire(&mut self, oldest: Window, now: Duration) {
        for known in self.reporters.values_mut() {
            known.totals = known.totals.split_off(&oldest);
        }
        self.reporters.retain(|_, known| {
            !known.totals.is_empty() || now < known.heard_at + REPORTER_LIFETIME
        });
    }

    /// How complete the counts of a window are at `now`.
    pub fn coverage(&self, window: Window, length: Duration, now: Duration) -> WindowCoverage {
        let (start, end) = (window_start(window, length), window_start(window + 1, length));
        let relevant = self.reporters.values().filter(|known| {
            known.totals.contains_key(&window) || now < known.heard_at + REPORTER_LIFETIME
        });
        let relevant: Vec<_> = relevant.filter(|known| known.counts_from < end).collect();
        let covering = relevant.iter().filter(|known| known.counts_from <= start).count();
        if (covering as f64) < relevant.len() as f64 * MIN_COVERING_SHARE || covering == 0 {
            return WindowCoverage::Unknown;
        }
        match relevant.iter().filter(|known| known.counts_until < end).count() {
            0 => WindowCoverage::Complete,
            awaited => WindowCoverage::Awaiting(awaited),
        }
    }

    /// Requests of each Organisation that began in a window, as far as they were reported here.
    pub fn totals(&self, window: Window) -> UsageTotals {
        self.sum(window, 0)
    }

    /// The same by the reports or by an earlier holder's checkpoint and the processes that started after it, whichever
    /// is more: neither counts a request twice.
    pub fn totals_since(&self, window: Window, checkpoint: &UsageCheckpoint) -> UsageTotals {
        let mut totals = checkpoint.windows.get(&window).cloned().unwrap_or_default();
        add_totals(&mut totals, &self.sum(window, checkpoint.at));
        for (organisation, count) in self.totals(window) {
            let total = totals.entry(organisation).or_default();
            *total = (*total).max(count);
        }
        totals
    }

    /// Sum of the totals of the processes that started at `from` or later.
    fn sum(&self, window: Window, from: TrueMs) -> UsageTotals {
        let mut sums = UsageTotals::new();
        let reporters = self.reporters.values().filter(|known| known.counts_from >= from);
        for totals in reporters.filter_map(|known| known.totals.get(&window)) {
            add_totals(&mut sums, totals);
        }
        sums
    }
}
