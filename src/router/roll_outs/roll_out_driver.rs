//! Driver of roll-outs in the store: writes their start and verdict, and reads those of other
//! entries.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::{
    ids::{Era, Revision, StoreVersion},
    platform::{
        Error,
        documents::{encode_status, parse_status_row, roll_out_status_key, service_of_status_key},
        store::{Put, Row, StoreClient, Table, WriteOutcome},
    },
    policy::place::{Place, SETTLE_TIME},
    router::{Router, roll_outs::roll_out_state::Verdict},
    routing::{RollOutOrder, RollOutProgress, RollOutStatus},
    telemetry::event,
};

/// Interval between checks for new orders and verdicts.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after a verdict or an end could not be written. Each call is billed, and this entry
/// already acts on the verdict.
const WRITE_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Number of checks per read of other entries' verdicts. A bad version may receive requests
/// for 5 s after its fiftieth bad answer, and each entry also detects it on its own.
const CHECKS_PER_READ: u32 = 8;

/// Time that a follower leaves to the entries that read the store for writing the start of a
/// roll-out. Those check every [`CHECK_INTERVAL`], and a process starts in less than a second.
const FOLLOWER_START_DELAY: Duration = Duration::from_secs(2);

/// Row with the start of a roll-out in this system's own table.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct RollOutRow {
    /// Revision of the roll-out's order.
    revision: Revision,
    /// Era of the order.
    #[serde(default)]
    era: Era,
    /// When it began, in milliseconds on the store's clock.
    began_ms: u64,
}

impl RollOutRow {
    /// Version of the roll-out's order.
    fn order(&self) -> StoreVersion {
        StoreVersion { era: self.era, revision: self.revision }
    }
}

/// Known rows of the store about roll-outs.
#[derive(Debug, Default)]
struct KnownRows {
    /// Era of the rows. The next era reuses their versions.
    era: Era,
    /// Rows by service, each with its version, which is 0 if there is no row.
    status: HashMap<Box<str>, (Revision, RollOutStatus)>,
    own: HashMap<Box<str>, (Revision, RollOutRow)>,
}

impl KnownRows {
    fn record(&mut self, row: &Row) {
        let Some(service) = service_of_status_key(&row.key) else {
            return;
        };
        if row.is_removed {
            return;
        }
        match row.table {
            Table::Status => match parse_status_row(row) {
                Ok(status) => {
                    self.status.insert(service.into(), (row.version, status));
                }
                Err(e) => event::DOCUMENT_UNREADABLE.log(format_args!("cause=\"{e}\"")),
            },
            Table::Own => match serde_json::from_slice(&row.value) {
                Ok(own) => {
                    self.own.insert(service.into(), (row.version, own));
                }
                Err(e) => event::DOCUMENT_UNREADABLE.log(format_args!("cause=\"{e}\"")),
            },
            _ => {}
        }
    }

    /// Progress of an order in the store and when it began; none if it has not been started.
    fn progress(&self, order: &RollOutOrder) -> Option<(RollOutProgress, u64)> {
        let (_, own) = self.own.get(&order.service)?;
        if own.order() != order.written_at {
            return None;
        }
        let (_, status) = self.status.get(&order.service)?;
        // The status may be newer than the known row of the start, and belong to a later order.
        (status.to == order.to).then_some((status.progress, own.began_ms))
    }

    /// Whether a later order for the service has been started.
    fn is_outdated(&self, order: &RollOutOrder) -> bool {
        self.own.get(&order.service).is_some_and(|(_, own)| own.order() > order.written_at)
    }

    /// Moves to a newer era and discards all rows of the old one. Returns whether the era is newer.
    fn enter_era(&mut self, era: Era) -> bool {
        let is_new = era > self.era;
        if is_new {
            *self = Self { era, ..Self::default() };
        }
        is_new
    }

    fn own_version(&self, service: &str) -> Revision {
        self.own.get(service).map_or(0, |(version, _)| *version)
    }

    fn status_version(&self, service: &str) -> Revision {
        self.status.get(service).map_or(0, |(version, _)| *version)
    }
}

impl Router {
    /// Whether all entries report their evidence to this one, and have had the time to.
    fn collects_all_evidence(&self) -> bool {
        let has_settled = self.now() >= self.started_at() + SETTLE_TIME;
        has_settled && (self.is_seed() || self.place() == Some(Place::ALONE))
    }
}

/// Drives roll-outs: writes their start to the store, gives verdicts and reads those of others.
pub(crate) async fn drive_roll_outs(router: &Router, store: &StoreClient) {
    let mut known = KnownRows::default();
    let mut started: HashMap<Box<str>, StoreVersion> = HashMap::new();
    let mut era = Era::default();
    let mut must_rewrite_ends = false;
    let mut checks = 0;
    let (mut verdict_pause_until, mut ends_pause_until) = (Duration::ZERO, Duration::ZERO);
    loop {
        // The progress of an order that a starting entry finds must be known before the entry
        // answers requests, so finding one ends the wait early.
        let _ = timeout(CHECK_INTERVAL, router.roll_outs.wait_until_found()).await;
        checks += 1;
        apply_link_updates(router, &mut known);
        let now_era = known.era.max(router.table_views.era());
        if now_era > era {
            era = now_era;
            known.enter_era(era);
            started.clear();
            (must_rewrite_ends, ends_pause_until) = (true, Duration::ZERO);
        }
        if must_rewrite_ends && router.now() >= ends_pause_until {
            must_rewrite_ends = !rewrite_ends(router, store, &mut known).await.unwrap_or(false);
            ends_pause_until = router.now() + WRITE_RETRY_PAUSE;
        }
        let follows = router.follows_link();
        if checks % CHECKS_PER_READ == 0 && !follows {
            read_verdicts(router, store, &mut known, &started).await;
        }
        ensure_started(router, store, &mut known, &mut started).await;
        if router.now() < verdict_pause_until {
            continue;
        }
        // Evidence from before a suspension may be outdated.
        if !router.is_view_fresh() {
            continue;
        }
        let collects_all = router.collects_all_evidence();
        for verdict in router.roll_outs.verdicts(router.now(), collects_all) {
            if let Err(e) = write_verdict(router, store, &mut known, &verdict).await {
                verdict_pause_until = router.now() + WRITE_RETRY_PAUSE;
                event::VERDICT_WAITS
                    .log(format_args!("service={} cause=\"{e}\"", verdict.order.service));
            }
        }
    }
}

/// Ensures that the start of each order is in the store, and reads the progress of the orders that
/// this entry found when it started.
async fn ensure_started(
    router: &Router,
    store: &StoreClient,
    known: &mut KnownRows,
    started: &mut HashMap<Box<str>, StoreVersion>,
) {
    let follows = router.follows_link();
    for order in router.roll_outs.running() {
        let is_unknown = router.roll_outs.is_unknown(&order);
        let is_recent = router.roll_outs.age(&order, router.now()) < FOLLOWER_START_DELAY;
        let waits = follows && is_recent && !is_unknown;
        if started.get(&order.service) == Some(&order.written_at) || waits {
            continue;
        }
        let progress = known.progress(&order).map(|(progress, _)| progress);
        let (is_reported, has_ended) =
            (progress.is_some(), progress.is_some_and(|p| p != RollOutProgress::Running));
        // The row that another entry forwards may be older than the end of the roll-out. So a
        // starting entry asks the store, unless the forwarded row has the end, and uses the
        // forwarded progress only if the store is unreachable.
        let is_known = is_reported && (has_ended || !is_unknown);
        let is_started = is_known || try_start(router, store, known, &order).await;
        if is_started {
            started.insert(order.service.clone(), order.written_at);
        }
        if is_unknown && (is_started || is_reported) {
            router.roll_outs.mark_known(&order);
            router.wake_waiters();
        }
    }
}

/// Ensures that an order is started. Returns whether its start, or that of a later order, is in the
/// store; otherwise the next check retries.
async fn try_start(
    router: &Router,
    store: &StoreClient,
    known: &mut KnownRows,
    order: &RollOutOrder,
) -> bool {
    let outcome = start_order(router, store, known, order).await;
    if outcome.is_err() {
        // The feeds log that the store is unreachable.
        router.metrics.count_store_error("roll_out");
    }
    outcome.is_ok() && (known.progress(order).is_some() || known.is_outdated(order))
}

/// Applies rows about roll-outs that the followed entry forwarded.
fn apply_link_updates(router: &Router, known: &mut KnownRows) {
    for table in [Table::Own, Table::Status] {
        while let Some(update) = router.peer_link.take(table) {
            if update.version.era < router.table_views.era() {
                continue;
            }
            let rows = update.into_rows();
            known.enter_era(rows.version.era);
            rows.rows.iter().for_each(|row| known.record(row));
            router.table_views.update(table, &rows, true);
            let running = router.roll_outs.running();
            running.iter().for_each(|order| apply_known(router, known, order, rows.now));
        }
    }
}

/// Reads other entries' verdicts on the roll-outs in progress.
async fn read_verdicts(
    router: &Router,
    store: &StoreClient,
    known: &mut KnownRows,
    started: &HashMap<Box<str>, StoreVersion>,
) {
    let mut running = router.roll_outs.running();
    running.retain(|order| started.get(&order.service) == Some(&order.written_at));
    if running.is_empty() {
        return;
    }
    router.metrics.count_store_call("status");
    match store.read_table(Table::Status).await {
        Ok(rows) => {
            known.enter_era(rows.version.era);
            rows.rows.iter().for_each(|row| known.record(row));
            router.table_views.update(Table::Status, &rows, true);
            running.iter().for_each(|order| apply_known(router, known, order, rows.now));
        }
        // The feeds log that the store is unreachable, and the next check follows soon.
        Err(_) => router.metrics.count_store_error("status"),
    }
}

/// Reads the store's rows and writes the start of an order if it is missing.
async fn start_order(
    router: &Router,
    store: &StoreClient,
    known: &mut KnownRows,
    order: &RollOutOrder,
) -> crate::platform::Result<()> {
    let now = read_rows(router, store, known).await?;
    if known.progress(order).is_none() && !known.is_outdated(order) {
        write_state(router, store, known, order, now, RollOutProgress::Running).await?;
        read_rows(router, store, known).await?;
    }
    apply_known(router, known, order, now);
    Ok(())
}

/// Writes the state of ended roll-outs that the store lost when it was restored from a backup: a
/// starting entry would consider them in progress. Returns whether the store has all of them now;
/// false if another entry wrote first, since its row may differ.
async fn rewrite_ends(
    router: &Router,
    store: &StoreClient,
    known: &mut KnownRows,
) -> crate::platform::Result<bool> {
    let ended = router.roll_outs.ended();
    if ended.is_empty() {
        return Ok(true);
    }
    let now = read_rows(router, store, known).await?;
    let mut are_all_written = true;
    for (order, progress) in ended {
        if known.progress(&order).map(|(progress, _)| progress) != Some(progress) {
            are_all_written &= write_state(router, store, known, &order, now, progress).await?;
        }
    }
    Ok(are_all_written)
}

/// Writes the start and progress of a roll-out, unless another entry has. Returns whether it was
/// written.
async fn write_state(
    router: &Router,
    store: &StoreClient,
    known: &KnownRows,
    order: &RollOutOrder,
    store_now: Duration,
    progress: RollOutProgress,
) -> crate::platform::Result<bool> {
    // A roll-out that is known to have begun earlier keeps its start.
    let age = router.roll_outs.reported_age(order, router.now()).unwrap_or_default();
    let StoreVersion { era, revision } = order.written_at;
    let began_ms = store_now.saturating_sub(age).as_millis() as u64;
    let row = RollOutRow { revision, era, began_ms };
    let status = RollOutStatus { to: order.to.clone(), progress };
    let key = roll_out_status_key(&order.service);
    let puts = [
        Put {
            table: Table::Own,
            key: key.clone(),
            expected: known.own_version(&order.service),
            value: serde_json::to_vec(&row).expect("numbers serialize to JSON"),
        },
        Put {
            table: Table::Status,
            key,
            expected: known.status_version(&order.service),
            value: encode_status(&status),
        },
    ];
    let outcome = store.write(&puts, known.era).await?;
    let is_written = matches!(outcome, WriteOutcome::Written(_));
    event::ROLL_OUT_BEGUN.log(format_args!("service={} written={is_written}", order.service));
    Ok(is_written)
}

/// Reads all rows about roll-outs; returns the time on the store's clock.
async fn read_rows(
    router: &Router,
    store: &StoreClient,
    known: &mut KnownRows,
) -> crate::platform::Result<Duration> {
    router.metrics.count_store_call("roll_out");
    let own = store.read_table(Table::Own).await?;
    let status = store.read_table(Table::Status).await?;
    if known.era > own.version.era.min(status.version.era) {
        return Err(Error::Unreadable("the store was restored from a backup".into()));
    }
    known.enter_era(own.version.era);
    if known.enter_era(status.version.era) {
        // The two tables were read in different eras, so the first result is outdated.
        return Err(Error::Unreadable("the store was restored from a backup".into()));
    }
    own.rows.iter().chain(&status.rows).for_each(|row| known.record(row));
    router.table_views.update(Table::Own, &own, true);
    router.table_views.update(Table::Status, &status, true);
    Ok(status.now)
}

/// Applies the store's state of an order.
fn apply_known(router: &Router, known: &KnownRows, order: &RollOutOrder, store_now: Duration) {
    let Some((progress, began_ms)) = known.progress(order) else {
        return;
    };
    let age = store_now.saturating_sub(Duration::from_millis(began_ms));
    let began = router.now().saturating_sub(age);
    router.roll_outs.apply_store_state(&order.service, order.written_at, Some(began), progress);
}

/// Writes a verdict, unless another entry has written one or the row of the start belongs to another order: this entry
/// may not have read the order yet that has replaced its own.
async fn write_verdict(
    router: &Router,
    store: &StoreClient,
    known: &mut KnownRows,
    verdict: &Verdict,
) -> crate::platform::Result<()> {
    let order = &verdict.order;
    let own = known.own.get(&order.service).filter(|(_, own)| own.order() == order.written_at);
    let Some((own_version, own)) = own else {
        let now = read_rows(router, store, known).await?;
        apply_known(router, known, order, now);
        return Ok(());
    };
    let key = roll_out_status_key(&order.service);
    let puts = [
        // Unchanged; makes the write conditional on the order.
        Put {
            table: Table::Own,
            key: key.clone(),
            expected: *own_version,
            value: serde_json::to_vec(own).expect("numbers serialize to JSON"),
        },
        Put {
            table: Table::Status,
            key,
            expected: known.status_version(&order.service),
            value: encode_status(&verdict.status),
        },
    ];
    let outcome = store.write(&puts, known.era).await?;
    let is_written = matches!(outcome, WriteOutcome::Written(_));
    event::ROLL_OUT_MOVED.log(format_args!(
        "service={} progress={:?} written={is_written} {}",
        order.service, verdict.status.progress, verdict.evidence
    ));
    match outcome {
        WriteOutcome::Written(_) => {
            let progress = verdict.status.progress;
            router.roll_outs.apply_store_state(&order.service, order.written_at, None, progress);
            if router.is_seed() || router.table_views.has_subscribers() {
                // Forwards the verdict to current and future followers.
                read_rows(router, store, known).await?;
            }
        }
        WriteOutcome::Conflict | WriteOutcome::EraMismatch => {
            let now = read_rows(router, store, known).await?;
            apply_known(router, known, order, now);
        }
    }
    Ok(())
}
