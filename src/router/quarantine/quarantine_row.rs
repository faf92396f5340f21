//! Storage of quarantined requests, so that they survive a restart of all entries.
//!
//! All entries may be killed at once while the caller keeps retrying; learning again would cost
//! another three servers each time. A single row holds all cases. It is read when an entry starts
//! and written conditionally, so no entry's update is lost (docs/decisions/0015).

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{Instant, sleep, sleep_until, timeout},
};

use crate::{
    ids::{Era, Revision},
    platform::{
        json_parts::{Field, parse_list, parse_object},
        store::{Put, Row, Rows, StoreClient, Table, WriteOutcome},
    },
    policy::quarantine::{Case, IncarnationHash, Suspect},
    router::Router,
    telemetry::event,
};

/// Key of the row in this system's own table.
const ROW_KEY: &str = "quarantine";
/// Maximum number of cases in the row: 55 KB of the 64 KB that a row can hold.
const MAX_CASES: usize = 192;
/// Maximum number of crashes stored per case: enough to refuse it, also where two of them count as one.
const MAX_ENDS: usize = 6;
/// Time from the first to the last stored crash from which further ones add nothing.
const ENOUGH_SPAN: Duration = Duration::from_secs(1);
/// Time that a starting entry waits for another one to report refused requests before it reads the
/// row. A link to a running seed takes a few round trips, and callers wait at most half a second.
const FIRST_LINK_WAIT: Duration = Duration::from_millis(250);
/// Pause after a failed call, and the poll interval of an isolated entry while a request is
/// suspected.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Poll interval of an isolated entry while no request is suspected: what other entries find must
/// be known within 3 s.
const ISOLATED_POLL_INTERVAL: Duration = Duration::from_millis(2_000);
/// Interval between checks whether the row has to be written.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time for which changes are joined before the row is checked, short beside the 3 s in which all entries have to know
/// of a refusal.
const JOIN_DELAY: Duration = Duration::from_millis(100);
/// Time that an entry leaves to each seed listed before it for writing a case. A call takes 10 ms,
/// and the resulting update arrives with the next heartbeat.
const WRITE_STAGGER: Duration = Duration::from_millis(400);
/// Number of consecutive write conflicts after which an entry pauses.
const MAX_CONFLICTS: u32 = 8;

/// Stored form of a case; times are on the store's clock.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct CaseDoc {
    /// Number of the suspect, hexadecimal.
    fingerprint: Box<str>,
    /// Incarnations that crashed, as hexadecimal hashes, and when, in milliseconds.
    ends: Vec<(Box<str>, u64)>,
    #[serde(default)]
    trials: u32,
    #[serde(default)]
    tried_ms: u64,
}

#[derive(Debug, Serialize)]
struct RowDoc {
    cases: Vec<CaseDoc>,
}

/// Request for a trial of all these refused suspects at once; the reply tells whether it was granted.
pub(crate) type TrialRequest = (Box<[Suspect]>, oneshot::Sender<bool>);

/// The row as last read or written.
struct StoredRow {
    version: Revision,
    /// Era of the store in which it was read.
    era: Era,
    cases: Vec<Case>,
    clocks: ClockPair,
}

/// The same moment on the store's clock and on this entry's clock.
#[derive(Clone, Copy)]
struct ClockPair {
    store: Duration,
    own: Duration,
    /// Duration of the call that compared them, which bounds the error.
    error: Duration,
}

impl StoredRow {
    /// Converts milliseconds on the store's clock to this entry's clock.
    fn to_own(&self, ms: u64) -> Duration {
        let ClockPair { store, own, .. } = self.clocks;
        (own + Duration::from_millis(ms)).saturating_sub(store)
    }

    /// Converts a time on this entry's clock to milliseconds on the store's clock.
    fn to_store(&self, at: Duration) -> u64 {
        let ClockPair { store, own, .. } = self.clocks;
        (store + at).saturating_sub(own).as_millis() as u64
    }

    fn decode(&self, doc: &CaseDoc) -> Option<Case> {
        let parse_end = |(incarnation, ms): &(Box<str>, u64)| {
            Some((IncarnationHash::from_str_radix(incarnation, 16).ok()?, self.to_own(*ms)))
        };
        Some(Case {
            suspect: Suspect::from_bits(u128::from_str_radix(&doc.fingerprint, 16).ok()?),
            ends: doc.ends.iter().filter_map(parse_end).collect(),
            trials: doc.trials,
            tried_at: if doc.trials > 0 { self.to_own(doc.tried_ms) } else { Duration::ZERO },
        })
    }

    fn encode(&self, case: &Case) -> CaseDoc {
        let ends = kept_ends(case).enumerate().map(|(i, (incarnation, at))| {
            // Rounded so that ends that are two events stay two.
            let ms = self.to_store(*at) + u64::from(i > 0);
            (format!("{incarnation:x}").into(), ms)
        });
        CaseDoc {
            fingerprint: case.suspect.to_string().into(),
            ends: ends.collect(),
            trials: case.trials,
            tried_ms: self.to_store(case.tried_at),
        }
    }

    /// Whether the row has what is needed of a case.
    fn covers(&self, case: &Case) -> bool {
        let same_case = self.cases.iter().find(|stored| stored.suspect == case.suspect);
        same_case.is_some_and(|stored| {
            let is_stored = |incarnation: &IncarnationHash| {
                stored.ends.iter().any(|(known, _)| known == incarnation)
            };
            let span = |ends: &[(IncarnationHash, Duration)]| match ends {
                [(_, first), .., (_, last)] => last.saturating_sub(*first),
                _ => Duration::ZERO,
            };
            let is_enough = stored.ends.len() >= MAX_ENDS && span(&stored.ends) >= ENOUGH_SPAN;
            stored.trials >= case.trials
                && (is_enough || kept_ends(case).all(|(incarnation, _)| is_stored(incarnation)))
        })
    }

    /// Whether the row has a case that was cleared since.
    fn has_cleared(&self, router: &Router) -> bool {
        router.quarantine.is_any_cleared(self.cases.iter().map(|case| &case.suspect))
    }

    /// Applies the row as the store returned it.
    fn load(&mut self, router: &Router, row: Option<&Row>) {
        self.version = row.map_or(0, |row| row.version);
        let docs = row.map(|row| parse_cases(&row.value)).unwrap_or_default();
        self.cases = docs.iter().filter_map(|doc| self.decode(doc)).collect();
        router.quarantine.apply_cases(&self.cases, self.clocks.error, router.now());
    }
}

/// Parses the cases of the row; those that can't be read are left out, and lost at the next write of the row.
fn parse_cases(value: &[u8]) -> Vec<CaseDoc> {
    let cases = match parse_object(value, ["cases"]) {
        Some([Field::Missing]) => return Vec::new(),
        Some([Field::Text(list)]) => parse_list(list),
        Some([Field::Repeated]) | None => None,
    };
    let is_list = cases.is_some();
    let (cases, unreadable) = cases.unwrap_or_default();
    if !is_list || unreadable > 0 {
        event::DOCUMENT_UNREADABLE.log(format_args!(
            "cause=\"cases of the row {ROW_KEY}\" is_list={is_list} unreadable={unreadable}"
        ));
    }
    cases
}

/// The ends of a case that the row holds: the first one, which shows how long they have lasted, and the last ones, which
/// may be a single event.
fn kept_ends(case: &Case) -> impl Iterator<Item = &(IncarnationHash, Duration)> {
    let skipped = case.ends.len().saturating_sub(MAX_ENDS);
    let first = case.ends.iter().take(1);
    first.chain(case.ends.iter().skip(skipped + 1))
}

/// Keeps the store's row and this entry's quarantine in sync, forever.
pub(crate) async fn sync_row(router: &Arc<Router>, store: &StoreClient) {
    let mut trials = router.trial_requests().await;
    let mut changes = router.quarantine.changes();
    wait_for_link(router).await;
    let mut stored = None;
    loop {
        let is_restored =
            stored.as_ref().is_some_and(|stored: &StoredRow| stored.era < router.table_views.era());
        if is_restored {
            // The restored row may lack requests that were refused since the backup; the first
            // listed seed writes them again.
            stored = None;
            sleep(write_delay(router)).await;
        }
        let is_needed = !router.quarantine.is_informed()
            || router.is_isolated()
            || router.quarantine.take_stale_row();
        if is_needed && read_row(router, store, &mut stored).await.is_err() {
            sleep(RETRY_PAUSE).await;
            continue;
        }
        router.quarantine.expire(router.now());
        router.quarantine.log_long_hold();
        if let Err(e) = write_changes(router, store, &mut stored).await {
            event::STORE_UNREACHABLE.log(format_args!("table=Own cause=\"{e}\""));
            sleep(RETRY_PAUSE).await;
        }
        let pause = match (router.is_isolated(), router.quarantine.is_idle()) {
            (true, true) => ISOLATED_POLL_INTERVAL,
            (true, false) => RETRY_PAUSE,
            (false, _) => CHECK_INTERVAL,
        };
        wait_for_check(router, store, &mut stored, pause, &mut changes, &mut trials).await;
    }
}

/// Waits until the row has to be checked: for `pause`, or for as long as this entry leaves the write to others after a
/// change. Trials are claimed in the meantime, since their callers wait.
async fn wait_for_check(
    router: &Arc<Router>,
    store: &StoreClient,
    stored: &mut Option<StoredRow>,
    pause: Duration,
    changes: &mut watch::Receiver<u64>,
    trials: &mut mpsc::Receiver<TrialRequest>,
) {
    let mut check_at = Instant::now() + pause;
    let mut has_changed = false;
    loop {
        tokio::select! {
            () = sleep_until(check_at) => return,
            _ = changes.changed(), if !has_changed => {
                has_changed = true;
                check_at = Instant::now() + JOIN_DELAY + write_delay(router);
            }
            Some((suspects, answer)) = trials.recv() => {
                let is_granted = claim_trial(router, store, stored, &suspects).await;
                // The caller may have left in the meantime.
                let _ = answer.send(is_granted);
            }
        }
    }
}

/// Waits briefly for another entry to report refused requests.
async fn wait_for_link(router: &Router) {
    if router.may_follow() {
        let _ = timeout(FIRST_LINK_WAIT, router.peer_link.wait_until_current()).await;
    }
}

/// Delay before writing. Entries other than the first seed leave the write to the seeds listed
/// before them, and only write what those have not written.
fn write_delay(router: &Router) -> Duration {
    let settings = router.settings.load();
    let rank = settings.seed_peers.iter().position(|seed| Some(*seed) == settings.peer_address);
    let before = rank.unwrap_or(settings.seed_peers.len());
    WRITE_STAGGER * u32::try_from(before).unwrap_or(u32::MAX).min(8)
}

/// Reads and applies the row.
async fn read_row(
    router: &Router,
    store: &StoreClient,
    stored: &mut Option<StoredRow>,
) -> crate::platform::Result<()> {
    router.metrics.count_store_call("quarantine");
    let asked_at = router.now();
    let rows = store.read_table(Table::Own).await;
    if rows.is_err() {
        router.metrics.count_store_error("quarantine");
    }
    let Rows { rows, now, version } = rows?;
    let clocks =
        ClockPair { store: now, own: router.now(), error: router.now().saturating_sub(asked_at) };
    // A slow call compares the clocks inaccurately, so a faster earlier comparison is kept.
    let before = stored.as_ref().map(|stored| stored.clocks);
    let clocks = before.filter(|before| before.error < clocks.error).unwrap_or(clocks);
    let row = rows.iter().find(|row| &*row.key == ROW_KEY && !row.is_removed);
    stored
        .insert(StoredRow { version: 0, era: version.era, cases: Vec::new(), clocks })
        .load(router, row);
    if router.quarantine.mark_informed() {
        router.wake_waiters();
    }
    Ok(())
}

/// Writes what the row lacks: refused requests, and on an isolated entry also suspected ones, which
/// no other entry would learn of otherwise.
async fn write_changes(
    router: &Router,
    store: &StoreClient,
    stored: &mut Option<StoredRow>,
) -> crate::platform::Result<()> {
    if router.quarantine.is_idle() {
        return Ok(());
    }
    for _ in 0..MAX_CONFLICTS {
        let cases = router.quarantine.cases(!router.is_isolated());
        let is_current = |stored: &StoredRow| {
            let is_covered = |case: &Case| stored.covers(case);
            cases.iter().take(MAX_CASES).all(is_covered) && !stored.has_cleared(router)
        };
        let has_none = || cases.is_empty() && stored.is_none();
        if has_none() || stored.as_ref().is_some_and(is_current) {
            return Ok(());
        }
        // Another entry may have written the row in the meantime.
        read_row(router, store, stored).await?;
        if stored.as_ref().is_some_and(is_current) || write_row(router, store, stored, &[]).await? {
            return Ok(());
        }
    }
    Ok(())
}

/// Replaces the row with all known cases, counting a trial of these suspects that begins now. Returns false if the row
/// has changed since it was read.
async fn write_row(
    router: &Router,
    store: &StoreClient,
    stored: &mut Option<StoredRow>,
    trial: &[Suspect],
) -> crate::platform::Result<bool> {
    let Some(stored) = stored else {
        return Ok(false);
    };
    let mut cases = router.quarantine.cases(!router.is_isolated());
    cases.truncate(MAX_CASES);
    for suspect in trial {
        let Some(tried) = cases.iter_mut().find(|case| case.suspect == *suspect) else {
            // Cleared in the meantime, or among too many cases.
            return Ok(false);
        };
        (tried.trials, tried.tried_at) = (tried.trials.saturating_add(1), router.now());
    }
    let doc = RowDoc { cases: cases.iter().map(|case| stored.encode(case)).collect() };
    let value = serde_json::to_vec(&doc).expect("strings and numbers serialize to JSON");
    let put = Put { table: Table::Own, key: ROW_KEY.into(), expected: stored.version, value };
    router.metrics.count_store_call("quarantine");
    let outcome = store.write(&[put], stored.era).await;
    if outcome.is_err() {
        router.metrics.count_store_error("quarantine");
    }
    match outcome? {
        WriteOutcome::Written(version) => {
            event::QUARANTINE_KEPT.log(format_args!("cases={} version={version}", cases.len()));
            stored.version = version;
            stored.cases = cases;
            Ok(true)
        }
        WriteOutcome::Conflict | WriteOutcome::EraMismatch => Ok(false),
    }
}

/// Claims the trial of refused suspects for this entry if it is due for all and not yet claimed. The
/// row is read first and written conditionally, so only one entry makes the trial.
async fn claim_trial(
    router: &Router,
    store: &StoreClient,
    stored: &mut Option<StoredRow>,
    suspects: &[Suspect],
) -> bool {
    // Concurrent requests claim the same trial; the first one of them is served.
    let is_due = || suspects.iter().all(|s| router.quarantine.is_trial_due(s, router.now()));
    if !is_due() || read_row(router, store, stored).await.is_err() || !is_due() {
        return false;
    }
    let is_taken = match write_row(router, store, stored, suspects).await {
        Ok(is_written) => is_written,
        Err(e) => {
            event::STORE_UNREACHABLE.log(format_args!("table=Own cause=\"{e}\""));
            false
        }
    };
    if is_taken {
        router.quarantine.grant_trial(suspects, router.now());
    }
    for suspect in suspects {
        event::QUARANTINE_TRIAL.log(format_args!("fingerprint={suspect} taken={is_taken}"));
    }
    is_taken
}
