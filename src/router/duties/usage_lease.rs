//! The lease of the usage duty and the rows that are written under it.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{Era, Revision, format_id, new_incarnation},
    platform::{
        Error, Result,
        store::{Put, Row, StoreClient, Table, WriteOutcome},
    },
    policy::{
        lease::{Claimant, LeaseAction, LeaseRow, LeaseView},
        usage::{UsageCheckpoint, Window},
    },
    router::{
        Router,
        duties::{
            duty_lease::{DutyTiming, min_fencing},
            usage_rows::{
                LEASE_KEY, UsageLeaseDoc, UsageProgress, UsageReportDoc, is_report_key, report_key,
            },
        },
    },
    telemetry::event,
};

/// The row of the lease as last read or written.
#[derive(Clone, Debug)]
struct KnownRow {
    version: Revision,
    /// `None` if it can't be parsed.
    doc: Option<UsageLeaseDoc>,
}

/// What is written with the lease.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseContents {
    pub(crate) progress: UsageProgress,
    pub(crate) checkpoint: UsageCheckpoint,
}

/// The lease as this process sees or holds it.
#[derive(Debug)]
pub(crate) struct UsageLease {
    /// Identifies this run of the process in the row.
    id: Box<str>,
    view: LeaseView,
    /// Era in which the row was last read.
    era: Era,
    row: Option<KnownRow>,
    /// Whether the row has to be read before the next write.
    must_read: bool,
    /// Versions of the rows that hold reports.
    report_versions: BTreeMap<Box<str>, Revision>,
}

impl UsageLease {
    pub(crate) fn new(host: &str) -> Self {
        Self {
            id: format!("{host}/{}", format_id(new_incarnation())).into(),
            view: LeaseView::default(),
            era: Era::default(),
            row: None,
            must_read: true,
            report_versions: BTreeMap::new(),
        }
    }

    /// The fencing token, while this process holds the lease.
    pub(crate) fn fencing(&self, now: Duration) -> Option<u64> {
        self.view.fencing_token(now)
    }

    /// Whether the row has to be read, since a write may or may not have taken effect.
    pub(crate) fn must_read(&self) -> bool {
        self.must_read
    }

    /// Has the row read before anything else is done under the lease.
    pub(crate) fn require_read(&mut self) {
        self.must_read = true;
    }

    /// Discards what was known in an earlier era of the store; returns whether this one is newer.
    pub(crate) fn enter_era(&mut self, era: Era) -> bool {
        if era <= self.era {
            return false;
        }
        self.era = era;
        self.view.forget();
        (self.row, self.must_read) = (None, true);
        self.report_versions.clear();
        true
    }

    /// The document of the row, if it was written in this era.
    pub(crate) fn doc(&self) -> Option<&UsageLeaseDoc> {
        let doc = self.row.as_ref().and_then(|row| row.doc.as_ref());
        doc.filter(|doc| doc.era == self.era)
    }

    /// The same, if this process wrote it and has not given the lease up.
    pub(crate) fn own_doc(&self) -> Option<&UsageLeaseDoc> {
        self.doc().filter(|doc| self.view.is_own(&doc.lease, &self.id))
    }

    /// Decides whether to claim or renew the lease; reads its row first unless it is known.
    ///
    /// # Errors
    /// When the row can't be read.
    pub(crate) async fn plan(
        &mut self,
        router: &Router,
        store: &StoreClient,
        timing: DutyTiming,
    ) -> Result<LeaseAction> {
        let (mut store_now_ms, mut revision) = (0, 0);
        if self.must_read || self.fencing(router.now()).is_none() {
            (store_now_ms, revision) = self.read(router, store).await?;
        }
        let min_fencing = min_fencing(self.era, revision);
        let claimant = Claimant { holder: &self.id, min_fencing, store_now_ms };
        Ok(self.view.plan(claimant, router.now(), timing.lease))
    }

    /// Reads the row; returns the time on the store's clock in milliseconds and the store's version.
    async fn read(&mut self, router: &Router, store: &StoreClient) -> Result<(u64, Revision)> {
        router.metrics.count_store_call("usage");
        let rows = store.read_row(Table::Duties, LEASE_KEY).await?;
        self.enter_era(rows.version.era);
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
        self.view.observe(self.row.as_ref().map(observed_lease), router.now());
        self.must_read = false;
        let now_ms = u64::try_from(rows.now.as_millis()).unwrap_or(u64::MAX);
        Ok((now_ms, rows.version.revision))
    }

    /// Reads the stored reports by window.
    ///
    /// # Errors
    /// When the rows can't be read, or are from another era.
    pub(crate) async fn read_reports(
        &mut self,
        router: &Router,
        store: &StoreClient,
    ) -> Result<BTreeMap<Window, UsageReportDoc>> {
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
        Ok(reports)
    }

    /// The row with which the lease that is held would be renewed now.
    pub(crate) fn renewed(&self) -> Option<LeaseRow> {
        let lease = &self.own_doc()?.lease;
        Some(LeaseRow { renewals: lease.renewals + 1, ..lease.clone() })
    }

    /// Writes the row, and a report with it. Returns whether it was written.
    ///
    /// # Errors
    /// Those of the store; the row then has to be read.
    pub(crate) async fn write(
        &mut self,
        router: &Router,
        store: &StoreClient,
        lease: LeaseRow,
        contents: LeaseContents,
        report: Option<&UsageReportDoc>,
    ) -> Result<bool> {
        let LeaseContents { progress, checkpoint } = contents;
        let doc = UsageLeaseDoc { lease, era: self.era, progress, checkpoint };
        let version = self.row.as_ref().map_or(0, |row| row.version);
        let mut puts = vec![put(LEASE_KEY.into(), version, &doc)];
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
                let reports = puts.into_iter().skip(1).map(|put| (put.key, version));
                self.report_versions.extend(reports);
                let timing = router.settings.load().duties.as_ref().map(DutyTiming::new);
                if let Some(timing) = timing {
                    let lease = doc.lease.clone();
                    self.view.record_commit(lease, version, sent_at, timing.lease);
                }
                self.row = Some(KnownRow { version, doc: Some(doc) });
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

    /// Gives the lease up, if it is held.
    ///
    /// # Errors
    /// Those of the store; the lease then ends by itself.
    pub(crate) async fn release(
        &mut self,
        router: &Router,
        store: &StoreClient,
        contents: LeaseContents,
    ) -> Result<()> {
        if self.must_read {
            return Ok(());
        }
        let Some((row, _)) = self.view.plan_release(router.now()) else {
            return Ok(());
        };
        self.write(router, store, row, contents, None).await?;
        self.view.record_conflict();
        Ok(())
    }
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

/// The lease that a row shows, and the row's version. A row that can't be parsed counts as one of an unknown holder.
fn observed_lease(row: &KnownRow) -> (LeaseRow, Revision) {
    let unknown = || LeaseRow {
        holder: "".into(),
        fencing: 0,
        renewals: 0,
        claimed_ms: 0,
        is_released: false,
    };
    (row.doc.as_ref().map_or_else(unknown, |doc| doc.lease.clone()), row.version)
}
