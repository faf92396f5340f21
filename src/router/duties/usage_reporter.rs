//! Reports the usage of Organisations to the platform, one window after the other.
//!
//! One entry holds the lease. It adds up the counts that all entries report to it, stores the report of a window,
//! and only then sends it: whoever holds the lease later repeats it exactly. Only seeds claim the lease, since all
//! entries report to each of them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tokio::time::sleep;

use crate::{
    platform::{
        self,
        duties::{self, DutyAnswer, DutyHolder},
        host_settings::DutySettings,
        store::StoreClient,
    },
    policy::{
        lease::LeaseAction,
        usage::{UsageCheckpoint, UsageTotals, Window, WindowCoverage, window_at, window_start},
    },
    router::{
        Router,
        duties::{
            duty_lease::DutyTiming,
            usage_lease::{LeaseContents, UsageLease},
            usage_rows::{REPORT_SLOTS, UsageProgress, UsageReportDoc},
        },
    },
    telemetry::event,
};

/// Interval at which a candidate for the lease checks what is due.
const STEP_INTERVAL: Duration = Duration::from_millis(250);
/// The same for an entry that is no candidate, whose settings may change.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);
/// Pause after a call to the store failed; each call is billed.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Pause after the duty service did not accept a report; doubles up to the maximum.
const MIN_SEND_PAUSE: Duration = Duration::from_millis(250);
const MAX_SEND_PAUSE: Duration = Duration::from_secs(2);
/// Windows in a checkpoint: the one at work, and those whose reports are awaited.
const MAX_CHECKPOINT_WINDOWS: usize = 3;
/// Totals in a checkpoint: 30 KB of the 64 KB that a row can hold.
const MAX_CHECKPOINT_TOTALS: usize = 1_000;
/// Part of the time until a report is due for which the counts of silent entries are awaited. The rest is left for
/// another entry to take over and send the report.
const AWAITED_PART: u32 = 3;

/// Reports usage whenever this entry holds the lease of the duty, forever.
pub(crate) async fn report_usage(router: &Router, store: &StoreClient) {
    let mut reporter = UsageReporter::new(router);
    loop {
        let settings = router.settings.load_full();
        let Some(duties) = settings.duties.filter(|_| is_candidate(router)) else {
            sleep(IDLE_INTERVAL).await;
            continue;
        };
        reporter.step(router, store, &duties).await;
        sleep(STEP_INTERVAL).await;
    }
}

/// Whether this entry receives the reports of all others, or there are no others.
fn is_candidate(router: &Router) -> bool {
    router.is_seed() || router.settings.load().seed_peers.is_empty()
}

/// When a report that was not accepted may be sent again.
#[derive(Clone, Copy, Debug)]
struct Retry {
    at: Duration,
    pause: Duration,
}

#[derive(Debug)]
struct UsageReporter {
    lease: UsageLease,
    /// When the lease is checked or renewed next.
    next_check: Duration,
    was_holder: bool,
    /// Whether the last step met no error of the store; only the first of a series is logged.
    is_store_reachable: bool,
    progress: UsageProgress,
    /// What the former holder knew.
    inherited: UsageCheckpoint,
    /// Stored reports by window; `None` until they have been read under the lease.
    reports: Option<BTreeMap<Window, UsageReportDoc>>,
    /// Windows whose reports were accepted; removed from the progress at the next renewal.
    accepted: BTreeSet<Window>,
    /// Pauses of reports that were not accepted, by window.
    retries: BTreeMap<Window, Retry>,
    next_send: Duration,
    /// Revision of the own counts up to which the ledger has them.
    own_revision: u64,
}

impl UsageReporter {
    fn new(router: &Router) -> Self {
        Self {
            lease: UsageLease::new(&router.settings.load().host),
            next_check: Duration::ZERO,
            was_holder: false,
            is_store_reachable: true,
            progress: UsageProgress::default(),
            inherited: UsageCheckpoint::default(),
            reports: None,
            accepted: BTreeSet::new(),
            retries: BTreeMap::new(),
            next_send: Duration::ZERO,
            own_revision: 0,
        }
    }

    /// Does what is due now.
    async fn step(&mut self, router: &Router, store: &StoreClient, duties: &DutySettings) {
        let timing = DutyTiming::new(duties);
        self.count(router, duties);
        let result = self.perform(router, store, duties, timing).await;
        self.note_holder(router);
        let was_reachable = std::mem::replace(&mut self.is_store_reachable, result.is_ok());
        if let Err(e) = result {
            router.metrics.count_store_error("usage");
            self.next_check = router.now() + STORE_RETRY_PAUSE;
            if was_reachable {
                event::STORE_UNREACHABLE.log(format_args!("table=Duties cause=\"{e}\""));
            }
        }
    }

    async fn perform(
        &mut self,
        router: &Router,
        store: &StoreClient,
        duties: &DutySettings,
        timing: DutyTiming,
    ) -> platform::Result<()> {
        if self.lease.enter_era(router.table_views.era()) {
            self.reports = None;
        }
        if router.is_leaving() {
            return self.lease.release(router, store, self.contents(router, duties)).await;
        }
        if router.now() >= self.next_check {
            self.check_lease(router, store, duties, timing).await?;
        }
        if self.lease.must_read() || self.fencing(router).is_none() {
            return Ok(());
        }
        if self.reports.is_none() {
            self.load_reports(router, store).await?;
        }
        self.store_due_report(router, store, duties).await?;
        self.send_next_report(router, duties, timing).await;
        Ok(())
    }

    /// The fencing token, while this entry holds the lease.
    fn fencing(&self, router: &Router) -> Option<u64> {
        self.lease.fencing(router.now())
    }

    /// Adds the own counts to the reported ones, and estimates true time.
    fn count(&mut self, router: &Router, duties: &DutySettings) {
        let now = router.now();
        router.usage.update_true_time(now);
        let host = &router.settings.load().host;
        self.own_revision = router.usage.apply_own(host, self.own_revision, now);
        let current = window_at(router.usage.true_time(now), duties.usage_window);
        router.usage.expire(current.saturating_sub(REPORT_SLOTS), now);
    }

    /// Logs the gain or loss of the lease.
    fn note_holder(&mut self, router: &Router) {
        let fencing = self.fencing(router);
        router.metrics.duty_held.set(i64::from(fencing.is_some()));
        if fencing.is_some() == self.was_holder {
            return;
        }
        self.was_holder = fencing.is_some();
        match fencing {
            Some(fencing) => event::LEASE_TAKEN.log(format_args!("lease=usage fencing={fencing}")),
            None => event::LEASE_LOST.log(format_args!("lease=usage")),
        }
    }

    /// Claims or renews the lease if that is due.
    async fn check_lease(
        &mut self,
        router: &Router,
        store: &StoreClient,
        duties: &DutySettings,
        timing: DutyTiming,
    ) -> platform::Result<()> {
        let action = self.lease.plan(router, store, timing).await?;
        if let Some(doc) = self.lease.own_doc() {
            // The last write without an answer may have taken effect.
            self.progress = doc.progress.clone();
        }
        let LeaseAction::Write { row, .. } = action else {
            self.next_check = router.now() + timing.check;
            return Ok(());
        };
        if row.renewals == 0 {
            self.begin_term(router, duties);
        }
        let contents = self.contents(router, duties);
        if self.lease.write(router, store, row, contents, None).await? {
            self.next_check = router.now() + timing.renewal;
        }
        Ok(())
    }

    /// Takes over the progress of the former holder.
    fn begin_term(&mut self, router: &Router, duties: &DutySettings) {
        let now = router.usage.true_time(router.now());
        let current = window_at(now, duties.usage_window);
        self.reports = None;
        self.accepted.clear();
        let Some(doc) = self.lease.doc() else {
            // Reports of a lost history may have been sent, and can't be repeated exactly.
            if self.progress != UsageProgress::default() {
                log_lost_windows(router, self.progress.next_window, current, "the store lost them");
            }
            self.progress = UsageProgress { next_window: current, unsent: Vec::new() };
            self.inherited = UsageCheckpoint::default();
            return;
        };
        self.progress = doc.progress.since(current);
        self.inherited = doc.checkpoint.clone();
        let (first, end) = (doc.progress.next_window, self.progress.next_window);
        log_lost_windows(router, first, end, "they are too old");
    }

    /// Reads the stored reports, after this entry has claimed the lease or does not know whether a write took effect.
    async fn load_reports(&mut self, router: &Router, store: &StoreClient) -> platform::Result<()> {
        let reports = self.lease.read_reports(router, store).await?;
        self.progress.unsent.retain(|window| {
            let is_stored = reports.contains_key(window);
            if !is_stored {
                log_lost_windows(router, *window, *window + 1, "its stored report can't be read");
            }
            is_stored
        });
        self.reports = Some(reports);
        Ok(())
    }

    /// Stores the report of the next window if its counts are complete or awaited no longer.
    async fn store_due_report(
        &mut self,
        router: &Router,
        store: &StoreClient,
        duties: &DutySettings,
    ) -> platform::Result<()> {
        let window = self.progress.next_window;
        let now = router.usage.true_time(router.now());
        let end = window_start(window + 1, duties.usage_window);
        let Some(age) = now.checked_sub(end) else {
            return Ok(());
        };
        let is_overdue = Duration::from_millis(age) >= duties.usage_delay / AWAITED_PART;
        let coverage = router.usage.coverage(window, duties.usage_window, router.now());
        match coverage {
            WindowCoverage::Complete => {}
            _ if is_overdue => {}
            _ => return Ok(()),
        }
        let counts = router.usage.totals_since(window, &self.inherited);
        let doc = UsageReportDoc { window, counts };
        let Some(lease) = self.lease.renewed() else {
            self.lease.require_read();
            return Ok(());
        };
        let before = self.progress.clone();
        self.progress.next_window += 1;
        self.progress.unsent.push(window);
        let contents = self.contents(router, duties);
        let is_written = self.lease.write(router, store, lease, contents, Some(&doc)).await;
        if !matches!(is_written, Ok(true)) {
            self.progress = before;
            // The report may be stored: it has to be read before anything is sent or stored.
            self.reports = None;
            return is_written.map(drop);
        }
        let requests: u64 = doc.counts.values().sum();
        event::USAGE_STORED.log(format_args!(
            "window={window} requests={requests} organisations={} coverage={coverage:?}",
            doc.counts.len()
        ));
        if let Some(reports) = &mut self.reports {
            reports.insert(window, doc);
            reports.retain(|stored, _| *stored + REPORT_SLOTS > window);
        }
        self.progress.unsent.retain(|stored| *stored + REPORT_SLOTS > window);
        Ok(())
    }

    /// What is written with the lease now.
    fn contents(&self, router: &Router, duties: &DutySettings) -> LeaseContents {
        let mut progress = self.progress.clone();
        progress.unsent.retain(|window| !self.accepted.contains(window));
        LeaseContents { progress, checkpoint: self.checkpoint(router, duties) }
    }

    /// Counts of the windows that are not stored yet. Too many Organisations for the row are left out.
    fn checkpoint(&self, router: &Router, duties: &DutySettings) -> UsageCheckpoint {
        let at = router.usage.true_time(router.now());
        let current = window_at(at, duties.usage_window);
        let open = self.progress.next_window..=current;
        let windows: BTreeMap<_, _> = open
            .take(MAX_CHECKPOINT_WINDOWS)
            .map(|window| (window, router.usage.totals_since(window, &self.inherited)))
            .collect();
        if windows.values().map(UsageTotals::len).sum::<usize>() > MAX_CHECKPOINT_TOTALS {
            return UsageCheckpoint::default();
        }
        UsageCheckpoint { at, windows }
    }

    /// Sends the oldest report that can still arrive in time, or else the oldest late one.
    async fn send_next_report(
        &mut self,
        router: &Router,
        duties: &DutySettings,
        timing: DutyTiming,
    ) {
        if router.now() < self.next_send {
            return;
        }
        let Some(window) = self.next_unsent(router, duties) else {
            return;
        };
        let Some(report) = self.reports.as_ref().and_then(|reports| reports.get(&window)) else {
            return;
        };
        let outcome = send(router, &self.lease, report, duties, timing).await;
        let (label, is_done) = match &outcome {
            Ok(None) => return,
            Ok(Some(DutyAnswer::Accepted)) => ("accepted", true),
            Ok(Some(DutyAnswer::Busy)) => ("busy", false),
            Ok(Some(DutyAnswer::Rejected(_))) => ("rejected", true),
            Err(_) => ("lost", false),
        };
        router.metrics.count_usage_report(label);
        if label == "accepted" {
            event::USAGE_REPORTED.log(format_args!("window={window}"));
        } else {
            event::USAGE_REPORT_FAILED.log(format_args!("window={window} outcome={outcome:?}"));
        }
        if is_done {
            self.accepted.insert(window);
            self.retries.remove(&window);
        } else {
            self.delay_retry(window, router.now());
        }
        let spacing = Duration::try_from_secs_f64(1.0 / duties.calls_per_second);
        self.next_send = router.now() + spacing.unwrap_or(MAX_SEND_PAUSE);
    }

    /// Delays the next try of a report. Each report has a pause of its own, so that one whose answers are lost does
    /// not keep others from being sent in time.
    fn delay_retry(&mut self, window: Window, now: Duration) {
        let last = self.retries.get(&window).map(|retry| retry.pause * 2);
        let pause = last.unwrap_or(MIN_SEND_PAUSE).min(MAX_SEND_PAUSE);
        self.retries.insert(window, Retry { at: now + pause, pause });
        self.retries.retain(|retried, _| *retried + REPORT_SLOTS > window);
    }

    /// The window whose report is sent next.
    fn next_unsent(&self, router: &Router, duties: &DutySettings) -> Option<Window> {
        let now = router.usage.true_time(router.now());
        let delay = u64::try_from(duties.usage_delay.as_millis()).unwrap_or(u64::MAX);
        let is_late = |window: Window| now > window_start(window + 1, duties.usage_window) + delay;
        let is_due = |window: &Window| {
            let retry = self.retries.get(window);
            !self.accepted.contains(window) && retry.is_none_or(|retry| retry.at <= router.now())
        };
        let due = self.progress.unsent.iter().copied().filter(is_due);
        due.min_by_key(|window| (is_late(*window), *window))
    }
}

/// Sends a report; `None` if the lease ended before the connection was open.
async fn send(
    router: &Router,
    lease: &UsageLease,
    report: &UsageReportDoc,
    duties: &DutySettings,
    timing: DutyTiming,
) -> platform::Result<Option<DutyAnswer>> {
    let connection = duties::connect(duties.address, timing.call).await?;
    let settings = router.settings.load();
    let Some(fencing) = lease.fencing(router.now()) else {
        return Ok(None);
    };
    let holder = DutyHolder { host: &settings.host, fencing };
    let answer = connection.report_usage(holder, report.window, &report.counts, timing.call).await;
    answer.map(Some)
}

/// Logs and counts windows that are not reported, from `first` to the one before `end`.
fn log_lost_windows(router: &Router, first: Window, end: Window, cause: &str) {
    if end > first {
        router.metrics.usage_windows_lost.inc_by(end - first);
        event::USAGE_LOST
            .log(format_args!("first={first} windows={} cause=\"{cause}\"", end - first));
    }
}
