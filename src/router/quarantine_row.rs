//! What the store keeps of requests that are refused, so that it outlives all entries.
//!
//! All of them may be killed at once while the caller goes on asking; to learn again would cost three more
//! servers each time. One row holds all cases: it is read as an entry starts, and written under a condition,
//! so that no entry's update is lost (docs/decisions/0015).

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::{
    sync::{mpsc, oneshot},
    time::{sleep, timeout},
};

use crate::{
    ids::{Era, Revision},
    platform::store::{Put, Row, Rows, StoreClient, Table, WriteOutcome},
    policy::quarantine::{Case, IncarnationHash, QuarantineStatus},
    router::Router,
    routing::Fingerprint,
    telemetry::event,
};

/// Key of the row in the system's own table.
const ROW: &str = "quarantine";
/// Cases in the row, at most: 50 KB, and a row holds 64.
const MOST_CASES: usize = 256;
/// Ends written of each case: what refuses it, and no more.
const MOST_ENDS: usize = 4;
/// Time an entry waits for another one to report what is refused, before it reads the row: a link to a
/// running seed takes a few round trips, and callers wait half a second at most.
const LINK_FIRST: Duration = Duration::from_millis(250);
/// Pause after a call that failed, and between looks of an entry that gets updates from no other while something is
/// suspected.
const PAUSE: Duration = Duration::from_millis(500);
/// Time between looks of an entry that gets updates from no other while nothing is suspected: what the others find
/// has to be known within 3 s.
const LOOK_ALONE: Duration = Duration::from_millis(2_000);
/// Time between looks at whether something has to be written.
const LOOK_EVERY: Duration = Duration::from_millis(1_000);
/// Time that an entry leaves to each seed named before it for writing a case: a call takes 10 ms, and
/// its news a heartbeat.
const OTHERS_WRITE: Duration = Duration::from_millis(400);
/// Writes that meet a newer row in a row before an entry rests.
const MOST_CONFLICTS: u32 = 8;

/// A case as the row has it; times are on the store's clock.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct CaseDoc {
    /// Hexadecimal.
    fingerprint: Box<str>,
    /// Lives, hexadecimal, and when each ended, milliseconds.
    ends: Vec<(Box<str>, u64)>,
    #[serde(default)]
    trials: u32,
    #[serde(default)]
    tried_ms: u64,
}

#[derive(Debug, Default, Serialize, Deserialize)]
struct RowDoc {
    #[serde(default)]
    cases: Vec<CaseDoc>,
}

/// Asks for a refused request's trial; answered with whether it may be made.
pub(crate) type TrialRequest = (Fingerprint, oneshot::Sender<bool>);

/// The row as it was last seen.
struct StoredRow {
    version: Revision,
    /// Era of the store that it was read in.
    era: Era,
    cases: Vec<Case>,
    clocks: ClockPair,
}

/// The store's clock and this entry's in one moment.
#[derive(Clone, Copy)]
struct ClockPair {
    store: Duration,
    own: Duration,
    /// Time that the call took by which they were compared.
    error: Duration,
}

impl StoredRow {
    /// This entry's time of a moment on the store's clock.
    fn to_own(&self, ms: u64) -> Duration {
        let ClockPair { store, own, .. } = self.clocks;
        (own + Duration::from_millis(ms)).saturating_sub(store)
    }

    /// The store's time of a moment on this entry's clock.
    fn to_store(&self, at: Duration) -> u64 {
        let ClockPair { store, own, .. } = self.clocks;
        (store + at).saturating_sub(own).as_millis() as u64
    }

    fn read(&self, doc: &CaseDoc) -> Option<Case> {
        let end = |(life, ms): &(Box<str>, u64)| {
            Some((IncarnationHash::from_str_radix(life, 16).ok()?, self.to_own(*ms)))
        };
        Some(Case {
            fingerprint: Fingerprint(u128::from_str_radix(&doc.fingerprint, 16).ok()?),
            ends: doc.ends.iter().filter_map(end).collect(),
            trials: doc.trials,
            tried_at: if doc.trials > 0 { self.to_own(doc.tried_ms) } else { Duration::ZERO },
        })
    }

    fn write(&self, case: &Case) -> CaseDoc {
        let first = case.ends.len().saturating_sub(MOST_ENDS);
        let ends = case.ends[first..].iter();
        CaseDoc {
            fingerprint: case.fingerprint.to_string().into(),
            ends: ends.map(|(life, at)| (format!("{life:x}").into(), self.to_store(*at))).collect(),
            trials: case.trials,
            tried_ms: self.to_store(case.tried_at),
        }
    }

    /// Whether the row says all that is known of a case.
    fn holds(&self, case: &Case) -> bool {
        let of_same = self.cases.iter().find(|kept| kept.fingerprint == case.fingerprint);
        of_same.is_some_and(|kept| {
            let is_kept = |life: &IncarnationHash| kept.ends.iter().any(|(known, _)| known == life);
            let is_enough = kept.ends.len() >= MOST_ENDS;
            kept.trials >= case.trials && (is_enough || case.ends.iter().all(|(l, _)| is_kept(l)))
        })
    }

    /// Whether it holds a case that has been cleared since.
    fn has_cleared(&self, router: &Router) -> bool {
        let standing = |case: &Case| router.quarantine.standing(&case.fingerprint, router.now());
        self.cases.iter().any(|case| standing(case) == QuarantineStatus::Free)
    }

    /// Takes in the row as the store has it.
    fn take(&mut self, router: &Router, row: Option<&Row>) {
        self.version = row.map_or(0, |row| row.version);
        let doc = match row.map(|row| serde_json::from_slice::<RowDoc>(&row.value)) {
            Some(Ok(doc)) => doc,
            Some(Err(e)) => {
                event::DOCUMENT_UNREADABLE.log(format_args!("cause=\"row {ROW}: {e}\""));
                RowDoc::default()
            }
            None => RowDoc::default(),
        };
        self.cases = doc.cases.iter().filter_map(|doc| self.read(doc)).collect();
        router.quarantine.apply_cases(&self.cases, self.clocks.error, router.now());
    }
}

/// Keeps the store's row and this entry's cases the same, for ever.
pub(crate) async fn sync_row(
    router: &Arc<Router>,
    store: &StoreClient,
    mut trials: mpsc::Receiver<TrialRequest>,
) {
    let mut changes = router.quarantine.changes();
    inform(router).await;
    let mut kept = None;
    loop {
        let is_restored =
            kept.as_ref().is_some_and(|kept: &StoredRow| kept.era < router.views.era());
        if is_restored {
            // The row may lack what was refused since the copy; who is named first writes it again.
            kept = None;
            sleep(time_for_others(router)).await;
        }
        let is_needed = !router.quarantine.is_informed()
            || router.is_isolated()
            || router.quarantine.take_stale_row();
        if is_needed && read(router, store, &mut kept).await.is_err() {
            sleep(PAUSE).await;
            continue;
        }
        router.quarantine.expire(router.now());
        if let Err(e) = write_news(router, store, &mut kept).await {
            event::STORE_UNREACHABLE.log(format_args!("table=Own cause=\"{e}\""));
            sleep(PAUSE).await;
        }
        let rest = match (router.is_isolated(), router.quarantine.is_idle()) {
            (true, true) => LOOK_ALONE,
            (true, false) => PAUSE,
            (false, _) => LOOK_EVERY,
        };
        tokio::select! {
            () = sleep(rest) => {}
            changed = changes.changed() => {
                if changed.is_ok() {
                    sleep(time_for_others(router)).await;
                }
            }
            Some((fingerprint, answer)) = trials.recv() => {
                let may = try_trial(router, store, &mut kept, &fingerprint).await;
                // A caller that has left needs no answer.
                let _ = answer.send(may);
            }
        }
    }
}

/// Waits a moment for another entry to report what is refused.
async fn inform(router: &Router) {
    if router.may_follow() {
        let _ = timeout(LINK_FIRST, router.link.wait_until_current()).await;
    }
}

/// Entries other than the first seed leave the writing to those named before them, and write what these
/// have not.
fn time_for_others(router: &Router) -> Duration {
    let settings = router.settings.load();
    let rank = settings.seed_peers.iter().position(|seed| Some(*seed) == settings.peer_address);
    let before = rank.unwrap_or(settings.seed_peers.len());
    OTHERS_WRITE * u32::try_from(before).unwrap_or(u32::MAX).min(8)
}

/// Reads the row.
async fn read(
    router: &Router,
    store: &StoreClient,
    kept: &mut Option<StoredRow>,
) -> crate::platform::Result<()> {
    router.metrics.count_store_call("quarantine");
    let asked = router.now();
    let rows = store.read_table(Table::Own).await;
    if rows.is_err() {
        router.metrics.count_store_error("quarantine");
    }
    let Rows { rows, now, version } = rows?;
    let clocks =
        ClockPair { store: now, own: router.now(), error: router.now().saturating_sub(asked) };
    // A call that took long compares the clocks badly; the one before is as good.
    let before = kept.as_ref().map(|kept| kept.clocks);
    let clocks = before.filter(|before| before.error < clocks.error).unwrap_or(clocks);
    let row = rows.iter().find(|row| &*row.key == ROW && !row.is_removed);
    kept.insert(StoredRow { version: 0, era: version.era, cases: Vec::new(), clocks })
        .take(router, row);
    if router.quarantine.mark_informed() {
        router.wake_waiters();
    }
    Ok(())
}

/// Writes what the row does not say yet: what is refused, and all that is suspected where nobody else learns of
/// it.
async fn write_news(
    router: &Router,
    store: &StoreClient,
    kept: &mut Option<StoredRow>,
) -> crate::platform::Result<()> {
    if router.quarantine.is_idle() {
        return Ok(());
    }
    for _ in 0..MOST_CONFLICTS {
        let cases = router.quarantine.cases(!router.is_isolated(), router.now());
        let is_kept = |kept: &StoredRow| {
            let is_there = |case: &Case| kept.holds(case);
            cases.iter().take(MOST_CASES).all(is_there) && !kept.has_cleared(router)
        };
        let has_none = || cases.is_empty() && kept.is_none();
        if has_none() || kept.as_ref().is_some_and(is_kept) {
            return Ok(());
        }
        // Another entry may have written it meanwhile.
        read(router, store, kept).await?;
        if kept.as_ref().is_some_and(is_kept) || write(router, store, kept).await? {
            return Ok(());
        }
    }
    Ok(())
}

/// Writes all cases over the row as it was last read; false when it has changed since.
async fn write(
    router: &Router,
    store: &StoreClient,
    kept: &mut Option<StoredRow>,
) -> crate::platform::Result<bool> {
    let Some(kept) = kept else {
        return Ok(false);
    };
    let mut cases = router.quarantine.cases(!router.is_isolated(), router.now());
    cases.truncate(MOST_CASES);
    let doc = RowDoc { cases: cases.iter().map(|case| kept.write(case)).collect() };
    let value = serde_json::to_vec(&doc).expect("a document of texts and numbers can be written");
    let put = Put { table: Table::Own, key: ROW.into(), expected: kept.version, value };
    router.metrics.count_store_call("quarantine");
    let outcome = store.write(&[put], kept.era).await;
    if outcome.is_err() {
        router.metrics.count_store_error("quarantine");
    }
    match outcome? {
        WriteOutcome::Written(version) => {
            event::QUARANTINE_KEPT.log(format_args!("cases={} version={version}", cases.len()));
            kept.version = version;
            kept.cases = cases;
            Ok(true)
        }
        WriteOutcome::Conflict | WriteOutcome::EraMismatch => Ok(false),
    }
}

/// Takes a refused request's trial for this entry, if it is due and no other one has taken it. The row is read
/// first and written under a condition, so one trial is made over all entries.
async fn try_trial(
    router: &Router,
    store: &StoreClient,
    kept: &mut Option<StoredRow>,
    fingerprint: &Fingerprint,
) -> bool {
    if read(router, store, kept).await.is_err() {
        return false;
    }
    if router.quarantine.begin_trial(fingerprint, router.now()).is_none() {
        return false;
    }
    let is_taken = matches!(write(router, store, kept).await, Ok(true));
    event::QUARANTINE_TRIAL.log(format_args!("fingerprint={fingerprint} taken={is_taken}"));
    is_taken
}
