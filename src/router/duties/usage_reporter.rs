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
    ids::{Era, Revision, format_id, new_incarnation},
    platform::{
        self, Error,
        duties::{self, DutyAnswer, DutyHolder},
        host_settings::DutySettings,
        store::{Put, Row, Rows, StoreClient, Table, WriteOutcome},
    },
    policy::{
        lease::{Claimant, LeaseAction, LeaseRow, LeaseView},
        usage::{UsageCheckpoint, UsageTotals, Window, WindowCoverage, window_at, window_start},
    },
    router::{
        Router,
        duties::{
            duty_lease::{DutyTiming, min_fencing},
            usage_rows::{
                LEASE_KEY, REPORT_SLOTS, UsageLeaseDoc, UsageProgress, UsageReportDoc,
                is_report_key, report_key,
            },
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

/// The row of the lease as last read or written.
#[derive(Clone, Debug)]
struct KnownRow {
    version: Revision,
    /// `None` if it can't be parsed.
    doc: Option<UsageLeaseDoc>,
}

#[derive(Debug)]
struct UsageReporter {
    /// Identifies this run of the process in the row.
    id: Box<str>,
    view: LeaseView,
    /// Era in which the lease was last read.
    era: Era,
    row: Option<KnownRow>,
    /// Whether the row has to be read before the next write.
    must_read: bool,
    /// When the lease is checked or renewed next.
    next_check: Duration,
    was_holder: bool,
    progress: UsageProgress,
    /// What the former holder knew.
    inherited: UsageCheckpoint,
    /// Stored reports by window, and the version of each row; `None` until they have been read under the lease.
    reports: Option<BTreeMap<Window, UsageReportDoc>>,
    report_versions: BTreeMap<Box<str>, Revision>,
    /// Windows whose reports were accepted; removed from the progress at the next renewal.
    accepted: BTreeSet<Window>,
    next_send: Duration,
    send_pause: Duration,
    /// Revision of the own counts up to which the ledger has them.
    own_revision: u64,
}

impl UsageReporter {
    fn new(router: &Router) -> Self {
        let host = router.settings.load().host.clone();
        Self {
            id: format!("{host}/{}", format_id(new_incarnation())).into(),
            view: LeaseView::default(),
            era: Era::default(),
            row: None,
            must_read: true,
            next_check: Duration::ZERO,
            was_holder: false,
            progress: UsageProgress::default(),
            inherited: UsageCheckpoint::default(),
            reports: None,
            report_versions: BTreeMap::new(),
            accepted: BTreeSet::new(),
            next_send: Duration::ZERO,
            send_pause: MIN_SEND_PAUSE,
            own_revision: 0,
        }
    }

    /// Does what is due now.
    async fn step(&mut self, router: &Router, store: &StoreClient, duties: &DutySettings) {
        let timing = DutyTiming::new(duties);
        self.count(router, duties);
        let result = self.perform(router, store, duties, timing).await;
        self.note_holder(router);
        if let Err(e) = result {
            router.metrics.count_store_error("usage");
            self.next_check = router.now() + STORE_RETRY_PAUSE;
            event::STORE_UNREACHABLE.log(format_args!("table=Duties cause=\"{e}\""));
        }
    }

    async fn perform(
        &mut self,
        router: &Router,
        store: &StoreClient,
        duties: &DutySettings,
        timing: DutyTiming,
    ) -> platform::Result<()> {
        if router.table_views.era() > self.era {
            self.enter_era(router.table_views.era());
        }
        if router.is_leaving() {
            return self.release(router, store, timing).await;
        }
        if router.now() >= self.next_check {
            self.check_lease(router, store, duties, timing).await?;
        }
        if self.must_read || self.fencing(router).is_none() {
            return Ok(());
        }
        if self.reports.is_none() {
            self.load_reports(router, store).await?;
        }
        self.store_due_report(router, store, duties, timing).await?;
        self.send_next_report(router, duties, timing).await;
        Ok(())
    }

    /// The fencing token, while this entry holds the lease.
    fn fencing(&self, router: &Router) -> Option<u64> {
        self.view.fencing_token(router.now())
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

    /// Discards what was known in an earlier era of the store.
    fn enter_era(&mut self, era: Era) {
        self.era = era;
        self.view.forget();
        (self.row, self.reports, self.must_read) = (None, None, true);
        self.report_versions.clear();
    }

    /// Reads the row of the lease unless it is known, and claims or renews the lease if that is due.
    async fn check_lease(
        &mut self,
        router: &Router,
        store: &StoreClient,
        duties: &DutySettings,
        timing: DutyTiming,
    ) -> platform::Result<()> {
        let mut store_now_ms = 0;
        let mut revision = 0;
        if self.must_read || self.fencing(router).is_none() {
            let rows = self.read_lease(router, store).await?;
            store_now_ms = u64::try_from(rows.now.as_millis()).unwrap_or(u64::MAX);
            revision = rows.version.revision;
        }
        let claimant = Claimant {
            holder: &self.id,
            min_fencing: min_fencing(self.era, revision),
            store_now_ms,
        };
        let LeaseAction::Write { row, .. } = self.view.plan(claimant, router.now(), timing.lease)
        else {
            self.next_check = router.now() + timing.check;
            return Ok(());
        };
        if row.renewals == 0 {
            self.begin_term(router, duties);
        }
        if self.write(router, store, row, None, timing).await? {
            self.next_check = router.now() + timing.renewal;
        }
        Ok(())
    }

    async fn read_lease(&mut self, router: &Router, store: &StoreClient) -> platform::Result<Rows> {
        router.metrics.count_store_call("usage");
        let rows = store.read_row(Table::Duties, LEASE_KEY).await?;
        if rows.version.era > self.era {
            self.enter_era(rows.version.era);
        }
        if rows.version.era < self.era {
            return Err(Error::Unreadable("the row is from an earlier era".into()));
        }
        let row = rows.rows.first();
        let known = self.row.take();
        self.row = row.map(|row| match known {
            // Already parsed, or already logged as unreadable.
            Some(known) if known.version == row.version => known,
            _ => KnownRow { version: row.version, doc: parse_lease(row) },
        });
        self.view.observe(row.map(|row| (observed_lease(&self.row), row.version)), router.now());
        if let Some(doc) = self.row.as_ref().and_then(|row| row.doc.as_ref())
            && self.view.is_own(&doc.lease, &self.id)
        {
            // The last write without an answer may have taken effect.
            self.progress = doc.progress.clone();
        }
        self.must_read = false;
        Ok(rows)
    }

    /// Takes over the progress of the former holder.
    fn begin_term(&mut self, router: &Router, duties: &DutySettings) {
        let known = self.row.as_ref().and_then(|row| row.doc.as_ref());
        let now = router.usage.true_time(router.now());
        let current = window_at(now, duties.usage_window);
        self.reports = None;
        self.accepted.clear();
        let in_era = known.filter(|doc| doc.era == self.era);
        self.inherited = in_era.map(|doc| doc.checkpoint.clone()).unwrap_or_default();
        self.progress = match in_era {
            Some(doc) => doc.progress.since(current),
            // Reports stored after the copy was made may have been sent, and can't be repeated exactly.
            None => UsageProgress { next_window: current, unsent: Vec::new() },
        };
        if let Some(doc) = known {
            let (first, end) = (doc.progress.next_window, self.progress.next_window);
            log_lost_windows(router, first, end, "their reports are unknown");
        }
    }

    /// Reads the stored reports, after this entry has claimed the lease or does not know whether a write took effect.
    async fn load_reports(&mut self, router: &Router, store: &StoreClient) -> platform::Result<()> {
        router.metrics.count_store_call("usage");
        let rows = store.read_table(Table::Duties).await?;
        if rows.version.era != self.era {
            self.must_read = true;
            return Err(Error::Unreadable("the rows are from another era".into()));
        }
        let mut reports = BTreeMap::new();
        for row in rows.rows.iter().filter(|row| is_report_key(&row.key) && !row.is_removed) {
            self.report_versions.insert(row.key.clone(), row.version);
            match serde_json::from_slice::<UsageReportDoc>(&row.value) {
                Ok(doc) => drop(reports.insert(doc.window, doc)),
                Err(e) => event::DOCUMENT_UNREADABLE
                    .log(format_args!("cause=\"usage report {}: {e}\"", row.key)),
            }
        }
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
        timing: DutyTiming,
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
        let Some(row) = self.row.as_ref().and_then(|row| row.doc.as_ref()) else {
            self.must_read = true;
            return Ok(());
        };
        let lease = LeaseRow { renewals: row.lease.renewals + 1, ..row.lease.clone() };
        let before = self.progress.clone();
        self.progress.next_window += 1;
        self.progress.unsent.push(window);
        let is_written = self.write(router, store, lease, Some(&doc), timing).await;
        if !matches!(is_written, Ok(true)) {
            self.progress = before;
            // The report may be stored: it has to be read before anything is sent or stored.
            self.reports = None;
            self.must_read = true;
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

    /// Writes the row of the lease with the progress, and a report with it. Returns whether it was written.
    async fn write(
        &mut self,
        router: &Router,
        store: &StoreClient,
        lease: LeaseRow,
        report: Option<&UsageReportDoc>,
        timing: DutyTiming,
    ) -> platform::Result<bool> {
        let mut progress = self.progress.clone();
        progress.unsent.retain(|window| !self.accepted.contains(window));
        let checkpoint = self.checkpoint(router);
        let doc = UsageLeaseDoc { lease: lease.clone(), era: self.era, progress, checkpoint };
        let mut puts = vec![put(LEASE_KEY.into(), self.version(), &doc)];
        if let Some(report) = report {
            let key = report_key(report.window);
            let version = self.report_versions.get(&key).copied().unwrap_or_default();
            puts.push(put(key, version, report));
        }
        router.metrics.count_store_call("usage");
        let sent_at = router.now();
        let outcome = store.write(&puts, self.era).await;
        // Until the row has been read, it is not known which version a write without an answer left.
        self.must_read = !matches!(outcome, Ok(WriteOutcome::Written(_)));
        match outcome? {
            WriteOutcome::Written(version) => {
                puts.iter().skip(1).for_each(|put| {
                    self.report_versions.insert(put.key.clone(), version);
                });
                self.row = Some(KnownRow { version, doc: Some(doc) });
                self.view.record_commit(lease, version, sent_at, timing.lease);
                Ok(true)
            }
            WriteOutcome::Conflict => {
                self.view.record_conflict();
                Ok(false)
            }
            WriteOutcome::EraMismatch => {
                self.enter_era(self.era + 1);
                Ok(false)
            }
        }
    }

    /// Counts of the windows that are not stored yet. Too many Organisations for the row are left out.
    fn checkpoint(&self, router: &Router) -> UsageCheckpoint {
        let duties = router.settings.load().duties;
        let at = router.usage.true_time(router.now());
        let current = duties.map_or(0, |duties| window_at(at, duties.usage_window));
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

    fn version(&self) -> Revision {
        self.row.as_ref().map_or(0, |row| row.version)
    }

    /// Gives the lease up before a planned stop.
    async fn release(
        &mut self,
        router: &Router,
        store: &StoreClient,
        timing: DutyTiming,
    ) -> platform::Result<()> {
        if self.must_read {
            return Ok(());
        }
        let Some((row, _)) = self.view.plan_release(router.now()) else {
            return Ok(());
        };
        self.write(router, store, row, None, timing).await?;
        self.view.record_conflict();
        Ok(())
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
        let outcome = send(router, &self.view, report, duties, timing).await;
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
            self.send_pause = MIN_SEND_PAUSE;
        } else {
            self.send_pause = (self.send_pause * 2).min(MAX_SEND_PAUSE);
        }
        let spacing = Duration::try_from_secs_f64(1.0 / duties.calls_per_second);
        self.next_send = router.now()
            + if is_done { spacing.unwrap_or(MAX_SEND_PAUSE) } else { self.send_pause };
    }

    fn next_unsent(&self, router: &Router, duties: &DutySettings) -> Option<Window> {
        let now = router.usage.true_time(router.now());
        let delay = u64::try_from(duties.usage_delay.as_millis()).unwrap_or(u64::MAX);
        let is_late = |window: Window| now > window_start(window + 1, duties.usage_window) + delay;
        let unsent = self.progress.unsent.iter().copied();
        unsent.filter(|window| !self.accepted.contains(window)).min_by_key(|w| (is_late(*w), *w))
    }
}

/// Sends a report; `None` if the lease ended before the connection was open.
async fn send(
    router: &Router,
    view: &LeaseView,
    report: &UsageReportDoc,
    duties: &DutySettings,
    timing: DutyTiming,
) -> platform::Result<Option<DutyAnswer>> {
    let connection = duties::connect(duties.address, timing.call).await?;
    let settings = router.settings.load();
    let Some(fencing) = view.fencing_token(router.now()) else {
        return Ok(None);
    };
    let holder = DutyHolder { host: &settings.host, fencing };
    let answer = connection.report_usage(holder, report.window, &report.counts, timing.call).await;
    answer.map(Some)
}

fn put(key: Box<str>, expected: Revision, doc: &impl serde::Serialize) -> Put {
    let value = serde_json::to_vec(doc).expect("strings and numbers serialize to JSON");
    Put { table: Table::Duties, key, expected, value }
}

fn parse_lease(row: &Row) -> Option<UsageLeaseDoc> {
    match serde_json::from_slice(&row.value) {
        Ok(doc) => Some(doc),
        Err(e) => {
            event::DOCUMENT_UNREADABLE.log(format_args!("cause=\"row {LEASE_KEY}: {e}\""));
            None
        }
    }
}

/// The lease that a row shows. A row that can't be parsed counts as one of an unknown holder.
fn observed_lease(row: &Option<KnownRow>) -> LeaseRow {
    let doc = row.as_ref().and_then(|row| row.doc.as_ref());
    doc.map(|doc| doc.lease.clone()).unwrap_or(LeaseRow {
        holder: "".into(),
        fencing: 0,
        renewals: 0,
        claimed_ms: 0,
        is_released: false,
    })
}

/// Logs and counts windows that are not reported, from `first` to the one before `end`.
fn log_lost_windows(router: &Router, first: Window, end: Window, cause: &str) {
    if end > first {
        router.metrics.usage_windows_lost.inc_by(end - first);
        event::USAGE_LOST
            .log(format_args!("first={first} windows={} cause=\"{cause}\"", end - first));
    }
}
