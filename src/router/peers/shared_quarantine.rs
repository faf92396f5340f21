//! Quarantine state of this entry and its exchange with other entries.
//!
//! Each entry knows which requests it had running on a server when that server crashed, and the
//! same request may arrive next at any entry. So each crash is reported to every seed at once, and
//! the seeds report it to all their followers (docs/decisions/0015).

use std::{
    collections::HashSet,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use serde_json::{Value, json};
use tokio::sync::watch;

use crate::{
    policy::quarantine::{Case, IncarnationHash, Note, Quarantine, QuarantineStatus},
    router::peers::{
        quarantine_update::QuarantineUpdate,
        update_log::{UpdateLog, UpdateLogLimits},
    },
    routing::Fingerprint,
    telemetry::event,
};

/// The log holds the records of a zone outage in at most 0.4 MB. A message holds at most 512
/// records, 16 KB; new links receive the complete state instead of the log.
const LIMITS: UpdateLogLimits =
    UpdateLogLimits { capacity: 4_096, per_message: 512, max_age: Duration::from_secs(60) };

/// Number of crashes from which a request's records are urgent: one more crash and the request is
/// refused.
const URGENT_FROM: usize = 2;

#[derive(Debug)]
struct Inner {
    quarantine: Quarantine,
    /// Records of crashes that this entry observed.
    own: UpdateLog<Note>,
    /// Records that this entry observed or received.
    all: UpdateLog<Note>,
    /// Refused requests whose trial the store has granted to this entry and that were not sent yet.
    granted_trials: HashSet<Fingerprint>,
}

/// Quarantined and suspected requests, shared by the threads of this entry.
#[derive(Debug)]
pub(crate) struct SharedQuarantine {
    inner: Mutex<Inner>,
    /// Whether no request is suspected. Requests are then neither hashed nor checked under the
    /// lock.
    is_idle: AtomicBool,
    /// Number of changes.
    changes: watch::Sender<u64>,
    /// Number of changes that this entry observed itself.
    own_changes: watch::Sender<u64>,
    /// Whether this entry has learned what the fleet knew before this process started.
    is_informed: AtomicBool,
    /// Whether the store may still list a request that this entry has cleared.
    is_row_stale: AtomicBool,
}

impl Default for SharedQuarantine {
    fn default() -> Self {
        let quarantine = Quarantine::default();
        let (own, all) = (UpdateLog::new(LIMITS), UpdateLog::new(LIMITS));
        Self {
            inner: Mutex::new(Inner { quarantine, own, all, granted_trials: HashSet::new() }),
            is_idle: AtomicBool::new(true),
            changes: watch::Sender::new(0),
            own_changes: watch::Sender::new(0),
            is_informed: AtomicBool::new(false),
            is_row_stale: AtomicBool::new(false),
        }
    }
}

impl SharedQuarantine {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no code panics while holding this lock")
    }

    /// Whether no request is suspected.
    pub(crate) fn is_idle(&self) -> bool {
        self.is_idle.load(Ordering::Acquire)
    }

    /// Whether a request may be sent, is suspected or is refused.
    pub(crate) fn status(&self, fingerprint: &Fingerprint, now: Duration) -> QuarantineStatus {
        self.lock().quarantine.status(fingerprint, now)
    }

    /// Notifies of every later change.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Notifies of every later change that this entry observed itself.
    pub(crate) fn own_changes(&self) -> watch::Receiver<u64> {
        self.own_changes.subscribe()
    }

    /// Records that a server crashed while these requests ran on it, as connections to its address
    /// show. `listed` is the incarnation in the server list; the one that crashed may be newer.
    pub(crate) fn record_ends(&self, all: &[Fingerprint], listed: IncarnationHash, at: Duration) {
        let incarnation = self.lock().quarantine.incarnation_of_end(listed, at);
        self.record_listed_ends(all, incarnation, at);
    }

    /// Records that this incarnation of a server crashed while these requests ran on it, as the
    /// server list shows. All entries record the same incarnation, whenever each of them saw its
    /// own connections break.
    pub(crate) fn record_listed_ends(
        &self,
        all: &[Fingerprint],
        incarnation: IncarnationHash,
        at: Duration,
    ) {
        let note = |f: &Fingerprint| Note::End { fingerprint: *f, incarnation, at };
        self.apply(all.iter().map(note), true, at);
    }

    /// Clears a request, because a server answered it completely or an operator released it.
    /// Returns whether it was suspected.
    pub(crate) fn clear(&self, fingerprint: Fingerprint, now: Duration) -> bool {
        let status = self.status(&fingerprint, now);
        if status == QuarantineStatus::Free {
            return false;
        }
        if matches!(status, QuarantineStatus::Refused { .. }) {
            self.is_row_stale.store(true, Ordering::Release);
        }
        let mut inner = self.lock();
        inner.granted_trials.remove(&fingerprint);
        let clearing_notes = inner.quarantine.clearing_notes(fingerprint);
        drop(inner);
        self.apply(clearing_notes.into_iter(), true, now);
        event::REQUEST_CLEARED.log(format_args!("fingerprint={fingerprint}"));
        true
    }

    /// Applies another entry's updates.
    pub(crate) fn apply_updates(&self, reported: &[QuarantineUpdate], now: Duration) {
        self.apply(reported.iter().map(|note| note.decode(now)), false, now);
    }

    /// Applies the cases from the store, whose times are accurate to `error`.
    pub(crate) fn apply_cases(&self, cases: &[Case], error: Duration, now: Duration) {
        let mut inner = self.lock();
        let mut is_new = false;
        for case in cases {
            if !inner.quarantine.merge_case(case, error, now) {
                continue;
            }
            is_new = true;
            let fingerprint = case.fingerprint;
            for (incarnation, at) in &case.ends {
                let note = Note::End { fingerprint, incarnation: *incarnation, at: *at };
                inner.all.push(note, now);
                // The entry that wrote the row may not have informed the others.
                inner.own.push(note, now);
            }
        }
        drop(inner);
        self.publish(is_new);
        self.publish_own(is_new);
    }

    /// Applies records, logs newly refused requests and notifies the readers.
    fn apply(&self, notes: impl Iterator<Item = Note>, is_own: bool, now: Duration) {
        let mut inner = self.lock();
        let mut is_new = false;
        for note in notes {
            let fingerprint = note.fingerprint();
            let was_refused = is_refused(&inner.quarantine, &fingerprint, now);
            if !inner.quarantine.add(note, now) {
                continue;
            }
            is_new = true;
            inner.all.push(note, now);
            if is_own {
                inner.own.push(note, now);
            }
            if was_refused {
                continue;
            }
            if is_refused(&inner.quarantine, &fingerprint, now) {
                event::REQUEST_QUARANTINED
                    .log(format_args!("fingerprint={fingerprint} seen_here={is_own}"));
            } else {
                log_suspect(&inner.quarantine, &fingerprint, now);
            }
        }
        drop(inner);
        self.publish(is_new);
        self.publish_own(is_new && is_own);
    }

    fn publish_own(&self, is_new: bool) {
        if is_new {
            self.own_changes.send_modify(|changes| *changes += 1);
        }
    }

    fn publish(&self, is_new: bool) {
        if is_new {
            self.is_idle.store(false, Ordering::Release);
            self.changes.send_modify(|changes| *changes += 1);
        }
    }

    /// Removes expired cases.
    pub(crate) fn expire(&self, now: Duration) {
        if self.is_idle() {
            return;
        }
        let mut inner = self.lock();
        inner.quarantine.expire(now);
        let Inner { quarantine, granted_trials, .. } = &mut *inner;
        granted_trials.retain(|fingerprint| is_refused(quarantine, fingerprint, now));
        if inner.quarantine.is_empty() {
            self.is_idle.store(true, Ordering::Release);
        }
    }

    /// Whether the trial of a refused request is due.
    pub(crate) fn is_trial_due(&self, fingerprint: &Fingerprint, now: Duration) -> bool {
        self.status(fingerprint, now)
            == QuarantineStatus::Refused { trial_in: Some(Duration::ZERO) }
    }

    /// Records that the store has granted the trial of a refused request to this entry.
    pub(crate) fn grant_trial(&self, fingerprint: &Fingerprint, now: Duration) {
        let mut inner = self.lock();
        if inner.quarantine.begin_trial(fingerprint, now).is_some() {
            inner.granted_trials.insert(*fingerprint);
        }
    }

    /// Takes a granted trial that has not been made. Returns whether there was one.
    pub(crate) fn take_trial(&self, fingerprint: &Fingerprint) -> bool {
        self.lock().granted_trials.remove(fingerprint)
    }

    /// Whether a granted trial has not been made yet.
    pub(crate) fn has_trial(&self, fingerprint: &Fingerprint) -> bool {
        self.lock().granted_trials.contains(fingerprint)
    }

    /// Returns a trial that was taken and not made, for the next request with this fingerprint.
    pub(crate) fn return_trial(&self, fingerprint: Fingerprint) {
        self.lock().granted_trials.insert(fingerprint);
    }

    /// Refused requests or, unless `only_refused`, all suspected requests.
    pub(crate) fn cases(&self, only_refused: bool, now: Duration) -> Vec<Case> {
        self.lock().quarantine.cases(only_refused, now)
    }

    /// Records of crashes that this entry observed, starting at `position` of the log, and the
    /// position to continue from. A new reader passes none and receives all known records.
    pub(crate) fn own_since(
        &self,
        position: Option<u64>,
        now: Duration,
    ) -> (Vec<QuarantineUpdate>, u64) {
        self.since(position, now, |inner| &mut inner.own)
    }

    /// Like [`Self::own_since`], including the records received from other entries.
    pub(crate) fn all_since(
        &self,
        position: Option<u64>,
        now: Duration,
    ) -> (Vec<QuarantineUpdate>, u64) {
        self.since(position, now, |inner| &mut inner.all)
    }

    /// Records of requests that are close to refusal and were updated at `position` of the log or
    /// later, and the position to continue from: all crashes of requests with [`URGENT_FROM`] or
    /// more. A single crash proves little, and a zone outage brings thousands of them.
    pub(crate) fn urgent_since(
        &self,
        position: u64,
        now: Duration,
    ) -> (Vec<QuarantineUpdate>, u64) {
        let mut inner = self.lock();
        let (notes, next) = inner.all.since(position, now);
        let mut requests: Vec<Fingerprint> = notes.iter().map(Note::fingerprint).collect();
        requests.sort_unstable();
        requests.dedup();
        let ends = requests.iter().map(|request| inner.quarantine.ends(request));
        let urgent = ends.filter(|ends| ends.len() >= URGENT_FROM).flatten();
        (urgent.map(|note| QuarantineUpdate::encode(&note, now)).collect(), next)
    }

    fn since(
        &self,
        position: Option<u64>,
        now: Duration,
        log: impl Fn(&mut Inner) -> &mut UpdateLog<Note>,
    ) -> (Vec<QuarantineUpdate>, u64) {
        let mut inner = self.lock();
        let (notes, next) = match position {
            Some(position) => log(&mut inner).since(position, now),
            None => (inner.all_notes(now), log(&mut inner).next_position()),
        };
        (notes.iter().map(|note| QuarantineUpdate::encode(note, now)).collect(), next)
    }

    /// Number of records that links missed because the log or a message was full.
    pub(crate) fn lost(&self) -> u64 {
        let inner = self.lock();
        inner.own.lost() + inner.all.lost()
    }

    /// Whether the store's row must be read because this entry cleared a refused request; resets
    /// the flag.
    pub(crate) fn take_stale_row(&self) -> bool {
        self.is_row_stale.swap(false, Ordering::AcqRel)
    }

    /// Marks this entry as informed of what the fleet knew before this process started. Returns
    /// whether it was not informed before.
    pub(crate) fn mark_informed(&self) -> bool {
        !self.is_informed.swap(true, Ordering::AcqRel)
    }

    /// Whether this entry has learned what the fleet knew before this process started.
    pub(crate) fn is_informed(&self) -> bool {
        self.is_informed.load(Ordering::Acquire)
    }

    /// The quarantine section of the state dump.
    pub(crate) fn dump(&self, now: Duration) -> Value {
        let inner = self.lock();
        let describe = |case: &Case| {
            json!({
                "fingerprint": case.fingerprint.to_string(),
                "ends": case.ends.len(),
                "refused": is_refused(&inner.quarantine, &case.fingerprint, now),
                "trials": case.trials,
            })
        };
        Value::Array(inner.quarantine.cases(false, now).iter().map(describe).collect())
    }
}

impl Inner {
    /// All known crashes that fit into one message, those of refused requests first.
    fn all_notes(&self, now: Duration) -> Vec<Note> {
        let mut cases = self.quarantine.cases(false, now);
        cases.sort_by_key(|case| !is_refused(&self.quarantine, &case.fingerprint, now));
        let notes = cases.iter().flat_map(|case| {
            let fingerprint = case.fingerprint;
            case.ends.iter().map(move |(incarnation, at)| Note::End {
                fingerprint,
                incarnation: *incarnation,
                at: *at,
            })
        });
        notes.take(LIMITS.per_message).collect()
    }
}

/// Logs the ends that count against a request if there are enough for a mistake to matter.
fn log_suspect(quarantine: &Quarantine, fingerprint: &Fingerprint, now: Duration) {
    let ends = quarantine.ends(fingerprint);
    if ends.len() < URGENT_FROM {
        return;
    }
    let age_ms = |note: &Note| match note {
        Note::End { at, .. } => Some(now.saturating_sub(*at).as_millis()),
        Note::Cleared { .. } => None,
    };
    let ages: Vec<u128> = ends.iter().filter_map(age_ms).collect();
    let events = quarantine.event_count(fingerprint);
    event::SUSPECT_COUNTED
        .log(format_args!("fingerprint={fingerprint} ends_ms={ages:?} events={events}"));
}

fn is_refused(quarantine: &Quarantine, fingerprint: &Fingerprint, now: Duration) -> bool {
    matches!(quarantine.status(fingerprint, now), QuarantineStatus::Refused { .. })
}
