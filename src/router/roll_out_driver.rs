//! Driving roll-outs in the store: their begin, their end, and what other entries said of them.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::{
    ids::{Era, Revision, StoreVersion},
    platform::{
        Error,
        documents::{read_status, service_of_status, status_key, write_status},
        store::{Put, Row, StoreClient, Table, WriteOutcome},
    },
    router::{Router, roll_out_state::Verdict},
    routing::{Progress, RollOutOrder, RollOutStatus},
    telemetry::event,
};

/// Time between looks at what this entry can say about roll-outs.
const DRIVE_INTERVAL: Duration = Duration::from_millis(200);
/// Rest after a verdict or an end that could not be written: each call is paid for, and this entry already
/// keeps to it.
const WRITE_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Such looks between reads of what other entries said: a bad version may get requests for 5 s
/// after its fiftieth bad answer, and each entry finds it on its own, too.
const DRIVES_PER_READ: u32 = 8;

/// Time that an entry which follows another one leaves to those that follow the store for noting the
/// begin of a roll-out: they look each [`DRIVE_EVERY`], and a process starts in under a second.
const FOLLOWER_START_DELAY: Duration = Duration::from_secs(2);

/// Our own row about a roll-out.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct RollOutRow {
    /// Order it is about.
    revision: Revision,
    /// Era of that order.
    #[serde(default)]
    era: Era,
    /// When it began, on the store's clock.
    began_ms: u64,
}

/// What is known of the store's rows about roll-outs.
#[derive(Debug, Default)]
struct KnownRows {
    /// Era that all of this is of: versions are given out again in the next one.
    era: Era,
    /// Versions of the rows, 0 where there is none.
    status: HashMap<Box<str>, (Revision, RollOutStatus)>,
    own: HashMap<Box<str>, (Revision, RollOutRow)>,
}

impl KnownRows {
    fn record(&mut self, row: &Row) {
        let Some(service) = service_of_status(&row.key) else {
            return;
        };
        if row.is_removed {
            return;
        }
        match row.table {
            Table::Status => match read_status(row) {
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

    /// Progress that the store has of an order; none when it has not been begun.
    fn progress(&self, order: &RollOutOrder) -> Option<(Progress, u64)> {
        let (_, own) = self.own.get(&order.service)?;
        if (StoreVersion { era: own.era, revision: own.revision }) != order.revision {
            return None;
        }
        let (_, status) = self.status.get(&order.service)?;
        Some((status.progress, own.began_ms))
    }

    /// Forgets all where the store came back from an older copy; whether it did.
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

/// Drives roll-outs: notes their begin in the store, gives verdicts and learns of others'.
pub(crate) async fn drive_roll_outs(router: &Router, store: &StoreClient) {
    let mut known = KnownRows::default();
    let mut started: HashMap<Box<str>, StoreVersion> = HashMap::new();
    let mut era = Era::default();
    let mut must_rewrite_ends = false;
    let mut drives = 0;
    let (mut verdict_pause_until, mut ends_pause_until) = (Duration::ZERO, Duration::ZERO);
    loop {
        // What an entry that starts finds has to be known before requests are answered by it.
        let _ = timeout(DRIVE_INTERVAL, router.roll_outs.wait_until_found()).await;
        drives += 1;
        apply_link_updates(router, &mut known);
        let now_era = known.era.max(router.views.era());
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
        if drives % DRIVES_PER_READ == 0 && !follows {
            read_verdicts(router, store, &mut known, &started).await;
        }
        ensure_started(router, store, &mut known, &mut started).await;
        if router.now() < verdict_pause_until {
            continue;
        }
        // A verdict by what was seen before a suspension may be overtaken.
        if !router.is_view_fresh() {
            continue;
        }
        for verdict in router.roll_outs.verdicts(router.now()) {
            if let Err(e) = write_verdict(router, store, &mut known, &verdict).await {
                verdict_pause_until = router.now() + WRITE_RETRY_PAUSE;
                event::VERDICT_WAITS
                    .log(format_args!("service={} cause=\"{e}\"", verdict.order.service));
            }
        }
    }
}

/// Sees to it that the begin of each order is in the store, and learns how far those got that this
/// entry found as it started.
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
        if started.get(&order.service) == Some(&order.revision) || waits {
            continue;
        }
        let progress = known.progress(&order).map(|(progress, _)| progress);
        let (is_reported, has_ended) =
            (progress.is_some(), progress.is_some_and(|p| p != Progress::Running));
        // What another entry reports may be older than the end, so an entry that starts asks the store
        // unless it is informed of the end, and makes do with what is reported only where the store is away.
        let is_known = is_reported && (has_ended || !is_unknown);
        let is_started = is_known || try_start(router, store, known, &order).await;
        if is_started {
            started.insert(order.service.clone(), order.revision);
        }
        if is_unknown && (is_started || is_reported) {
            router.roll_outs.mark_known(&order);
            router.wake_waiters();
        }
    }
}

/// Whether the store answered about the begin of an order; it is asked again at the next look.
async fn try_start(
    router: &Router,
    store: &StoreClient,
    known: &mut KnownRows,
    order: &RollOutOrder,
) -> bool {
    let outcome = start_order(router, store, known, order).await;
    if outcome.is_err() {
        // The feeds log that the store is away.
        router.metrics.count_store_error("roll_out");
    }
    outcome.is_ok()
}

/// Learns what the entry that is followed passed on about roll-outs.
fn apply_link_updates(router: &Router, known: &mut KnownRows) {
    for table in [Table::Own, Table::Status] {
        while let Some(update) = router.link.take(table) {
            if update.version.era < router.views.era() {
                continue;
            }
            let rows = update.into_rows();
            known.enter_era(rows.version.era);
            rows.rows.iter().for_each(|row| known.record(row));
            router.views.update(table, &rows, true);
            let running = router.roll_outs.running();
            running.iter().for_each(|order| apply_known(router, known, order, rows.now));
        }
    }
}

/// Learns what other entries said about the roll-outs that are under way.
async fn read_verdicts(
    router: &Router,
    store: &StoreClient,
    known: &mut KnownRows,
    started: &HashMap<Box<str>, StoreVersion>,
) {
    let mut running = router.roll_outs.running();
    running.retain(|order| started.get(&order.service) == Some(&order.revision));
    if running.is_empty() {
        return;
    }
    router.metrics.count_store_call("status");
    match store.read(Table::Status).await {
        Ok(rows) => {
            known.enter_era(rows.version.era);
            rows.rows.iter().for_each(|row| known.record(row));
            router.views.update(Table::Status, &rows, true);
            running.iter().for_each(|order| apply_known(router, known, order, rows.now));
        }
        // The feeds report a store that is away; the next look comes soon.
        Err(_) => router.metrics.count_store_error("status"),
    }
}

/// Reads what the store has about roll-outs and, if nothing about this one, writes its begin.
async fn start_order(
    router: &Router,
    store: &StoreClient,
    known: &mut KnownRows,
    order: &RollOutOrder,
) -> crate::platform::Result<()> {
    let now = read_rows(router, store, known).await?;
    if known.progress(order).is_none() {
        write_state(router, store, known, order, now, Progress::Running).await?;
        read_rows(router, store, known).await?;
    }
    apply_known(router, known, order, now);
    Ok(())
}

/// Writes how far the roll-outs got that have ended, where the store lost that as it came back from a copy: an
/// entry that starts would take them as under way. Whether the store has all of them; not where another write came
/// first, which may have said something else.
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

/// Writes when a roll-out began and how far it got, unless another entry did; whether it was written.
async fn write_state(
    router: &Router,
    store: &StoreClient,
    known: &KnownRows,
    order: &RollOutOrder,
    store_now: Duration,
    progress: Progress,
) -> crate::platform::Result<bool> {
    // One that is known to have begun before goes on where it was.
    let age = router.roll_outs.reported_age(order, router.now()).unwrap_or_default();
    let StoreVersion { era, revision } = order.revision;
    let began_ms = store_now.saturating_sub(age).as_millis() as u64;
    let row = RollOutRow { revision, era, began_ms };
    let status = RollOutStatus { to: order.to.clone(), progress };
    let key = status_key(&order.service);
    let puts = [
        Put {
            table: Table::Own,
            key: key.clone(),
            expected: known.own_version(&order.service),
            value: serde_json::to_vec(&row).expect("a row of numbers can be written"),
        },
        Put {
            table: Table::Status,
            key,
            expected: known.status_version(&order.service),
            value: write_status(&status),
        },
    ];
    let outcome = store.write(&puts, known.era).await?;
    let is_written = matches!(outcome, WriteOutcome::Written(_));
    event::ROLL_OUT_BEGUN.log(format_args!("service={} written={is_written}", order.service));
    Ok(is_written)
}

/// Reads what the store has about roll-outs; its clock.
async fn read_rows(
    router: &Router,
    store: &StoreClient,
    known: &mut KnownRows,
) -> crate::platform::Result<Duration> {
    router.metrics.count_store_call("roll_out");
    let own = store.read(Table::Own).await?;
    let status = store.read(Table::Status).await?;
    if known.era > own.version.era.min(status.version.era) {
        return Err(Error::Unreadable("the store came back from a copy".into()));
    }
    known.enter_era(own.version.era);
    if known.enter_era(status.version.era) {
        // Read in two eras: what was read first holds no more.
        return Err(Error::Unreadable("the store came back from a copy".into()));
    }
    own.rows.iter().chain(&status.rows).for_each(|row| known.record(row));
    router.views.update(Table::Own, &own, true);
    router.views.update(Table::Status, &status, true);
    Ok(status.now)
}

/// Takes over what the store has of an order.
fn apply_known(router: &Router, known: &KnownRows, order: &RollOutOrder, store_now: Duration) {
    let Some((progress, began_ms)) = known.progress(order) else {
        return;
    };
    let age = store_now.saturating_sub(Duration::from_millis(began_ms));
    let began = router.now().saturating_sub(age);
    router.roll_outs.apply_store_state(&order.service, order.revision, Some(began), progress);
}

/// Writes a verdict, unless another entry has given one.
async fn write_verdict(
    router: &Router,
    store: &StoreClient,
    known: &mut KnownRows,
    verdict: &Verdict,
) -> crate::platform::Result<()> {
    let order = &verdict.order;
    let put = Put {
        table: Table::Status,
        key: status_key(&order.service),
        expected: known.status_version(&order.service),
        value: write_status(&verdict.status),
    };
    let outcome = store.write(&[put], known.era).await?;
    let is_written = matches!(outcome, WriteOutcome::Written(_));
    event::ROLL_OUT_MOVED.log(format_args!(
        "service={} progress={:?} written={is_written}",
        order.service, verdict.status.progress
    ));
    match outcome {
        WriteOutcome::Written(_) => {
            let progress = verdict.status.progress;
            router.roll_outs.apply_store_state(&order.service, order.revision, None, progress);
            if router.is_seed() || router.views.has_subscribers() {
                // Those that follow this entry, now or later, learn of the verdict.
                read_rows(router, store, known).await?;
            }
        }
        WriteOutcome::Conflict | WriteOutcome::OtherEra => {
            let now = read_rows(router, store, known).await?;
            apply_known(router, known, order, now);
        }
    }
    Ok(())
}
