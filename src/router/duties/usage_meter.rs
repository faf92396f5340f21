//! Counting of the requests that begin to run, here and in the other entries.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::RngExt;

use crate::{
    policy::{
        true_time::TrueTime,
        usage::{
            TrueMs, UsageCheckpoint, UsageCounter, UsageLedger, UsageReport, UsageTotals, Window,
            WindowCoverage, window_at,
        },
    },
    router::Router,
    routing::Organisation,
    sync::Mutex,
};

/// Time by which a request may be recorded later than it began: until the answer of an application service. Longer
/// answers are rare, and a report is not delayed for them.
const RECORDING_LAG: Duration = Duration::from_millis(600);

/// Counts of this entry, and those that other entries report.
#[derive(Debug)]
pub(crate) struct UsageMeter {
    /// Distinguishes this run of the process from others on the same Host.
    process: u64,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    true_time: TrueTime,
    /// When the process started, on the entry's clock.
    started_at: Duration,
    counter: UsageCounter,
    ledger: UsageLedger,
}

/// This Host's wall clock.
pub(crate) fn wall_clock() -> TrueMs {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

impl UsageMeter {
    /// Starts counting at `now` on the entry's clock.
    pub(crate) fn new(now: Duration) -> Self {
        let true_time = TrueTime::new(wall_clock(), now);
        let inner = Inner {
            true_time,
            started_at: now,
            counter: UsageCounter::default(),
            ledger: UsageLedger::default(),
        };
        Self { process: rand::rng().random(), inner: Mutex::new(inner) }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock()
    }

    /// Estimated true time at `now` on the entry's clock.
    pub(crate) fn true_time(&self, now: Duration) -> TrueMs {
        self.lock().true_time.at(now)
    }

    /// Takes over the estimate of true time of a seed.
    pub(crate) fn adopt_true_time(&self, true_time: TrueMs, now: Duration) {
        self.lock().true_time.adopt(true_time, now);
    }

    /// Estimates true time from the wall clocks reported lately.
    pub(crate) fn update_true_time(&self, now: Duration) {
        self.lock().true_time.update(wall_clock(), now);
    }

    /// Counts a request that began to run at `began_at` on the entry's clock.
    fn record(&self, organisation: &str, began_at: Duration, length: Duration) {
        let mut inner = self.lock();
        let window = window_at(inner.true_time.at(began_at), length);
        inner.counter.record(window, organisation);
    }

    /// This entry's report with the totals that changed after a revision, and the revision to continue from.
    pub(crate) fn report_since(&self, revision: u64, now: Duration) -> (UsageReport, u64) {
        let inner = self.lock();
        let (totals, next) = inner.counter.since(revision);
        let report = UsageReport {
            process: self.process,
            counts_from: inner.true_time.at(inner.started_at),
            counts_until: inner.true_time.at(now.saturating_sub(RECORDING_LAG)),
            wall_clock: wall_clock(),
            totals,
        };
        (report, next)
    }

    /// Records another entry's report.
    pub(crate) fn apply_report(&self, host: &str, report: &UsageReport, now: Duration) {
        let mut inner = self.lock();
        inner.true_time.record_wall_clock(host, report.wall_clock, now);
        inner.ledger.apply(host, report, now);
    }

    /// Adds the own counts that changed after a revision to the reported ones; returns the revision to continue from.
    pub(crate) fn apply_own(&self, host: &str, revision: u64, now: Duration) -> u64 {
        let (report, next) = self.report_since(revision, now);
        self.lock().ledger.apply(host, &report, now);
        next
    }

    /// How complete the counts of a window are.
    pub(crate) fn coverage(
        &self,
        window: Window,
        length: Duration,
        now: Duration,
    ) -> WindowCoverage {
        self.lock().ledger.coverage(window, length, now)
    }

    /// Requests of each Organisation that began in a window, by the reports and an earlier holder's checkpoint.
    pub(crate) fn totals_since(&self, window: Window, checkpoint: &UsageCheckpoint) -> UsageTotals {
        self.lock().ledger.totals_since(window, checkpoint)
    }

    /// Drops the reports of windows before `oldest`.
    pub(crate) fn expire(&self, oldest: Window, now: Duration) {
        self.lock().ledger.expire(oldest, now);
    }
}

impl Router {
    /// Counts a request that began to run at `began_at`, if usage is reported.
    pub(crate) fn record_usage(&self, organisation: Option<&Organisation>, began_at: Duration) {
        let duties = self.settings.load().duties;
        if let Some((organisation, duties)) = organisation.zip(duties) {
            self.usage.record(&organisation.name, began_at, duties.usage_window);
        }
    }

    /// Estimated true time, for entries that follow this one; `None` if nobody reports usage.
    pub(crate) fn shared_true_time(&self) -> Option<TrueMs> {
        self.settings.load().duties.map(|_| self.usage.true_time(self.now()))
    }
}
