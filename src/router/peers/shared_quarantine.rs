//! Quarantine state of this entry and its exchange with other entries.
//!
//! Each entry knows which requests it had running on a server when that server crashed, and the
//! same request, or another one with the same prompt part, may arrive next at any entry. So each
//! crash is reported to every seed at once, and the seeds report it to all their followers
//! (docs/decisions/0015 and 0020).

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use serde_json::{Value, json};
use tokio::sync::{Notify, watch};

use crate::{
    policy::quarantine::{Case, IncarnationHash, Note, Quarantine, QuarantineStatus, Suspect},
    router::{
        peers::{
            quarantine_records::{QuarantineRecords, URGENT_FROM},
            quarantine_update::QuarantineUpdate,
            timed_mutex::{LockUsage, TimedGuard, TimedMutex},
            update_log::UpdateLog,
        },
        quarantine::refusal_waiters::{RefusalWaiter, RefusalWaiters},
    },
    routing::PartId,
    telemetry::event,
};

/// Time for which the lock may be held before that is logged: a row of the store merges in half of it, and a caller
/// notices a tenth of a second.
const MAX_LOCK_HOLD: Duration = Duration::from_millis(10);

/// Quarantined and suspected requests and prompt parts, shared by the threads of this entry.
#[derive(Debug)]
pub(crate) struct SharedQuarantine {
    inner: TimedMutex<QuarantineRecords>,
    /// Whether nothing is suspected. Requests are then neither hashed nor checked under the
    /// lock.
    is_idle: AtomicBool,
    /// Notifies of the first suspect.
    activated: Notify,
    /// Requests at work, woken when they are refused.
    waiters: RefusalWaiters,
    /// Number of changes.
    changes: watch::Sender<u64>,
    /// Number of changes that this entry observed itself.
    own_changes: watch::Sender<u64>,
    /// Whether this entry has learned what the fleet knew before this process started.
    is_informed: AtomicBool,
    /// Whether the store may still list a suspect that this entry has cleared.
    is_row_stale: AtomicBool,
}

impl Default for SharedQuarantine {
    fn default() -> Self {
        Self {
            inner: TimedMutex::default(),
            is_idle: AtomicBool::new(true),
            activated: Notify::new(),
            waiters: RefusalWaiters::default(),
            changes: watch::Sender::new(0),
            own_changes: watch::Sender::new(0),
            is_informed: AtomicBool::new(false),
            is_row_stale: AtomicBool::new(false),
        }
    }
}

impl SharedQuarantine {
    fn lock(&self) -> TimedGuard<'_, QuarantineRecords> {
        self.inner.lock()
    }

    /// How the lock was used since the start of the process.
    pub(crate) fn lock_usage(&self) -> LockUsage {
        self.inner.usage()
    }

    /// Number of records that were examined since the start of the process.
    pub(crate) fn records_examined(&self) -> u64 {
        self.lock().quarantine.records_examined()
    }

    /// Logs if the lock was held for too long since the last call.
    pub(crate) fn log_long_hold(&self) {
        let longest = self.inner.take_longest();
        if longest > MAX_LOCK_HOLD {
            event::QUARANTINE_LOCK_HELD.log(format_args!("longest_ms={}", longest.as_millis()));
        }
    }

    /// Changes the records and wakes the requests that are refused since.
    fn change<T>(&self, change: impl FnOnce(&mut QuarantineRecords) -> T) -> T {
        let mut inner = self.lock();
        let result = change(&mut inner);
        let newly_refused = inner.quarantine.take_newly_refused();
        let is_idle = inner.quarantine.is_empty();
        let was_idle = self.is_idle.swap(is_idle, Ordering::AcqRel);
        drop(inner);
        if was_idle && !is_idle {
            self.activated.notify_waiters();
        }
        // The requests look only at a quarantine that is not idle.
        self.waiters.wake(&newly_refused);
        result
    }

    /// Waits until something is suspected.
    pub(crate) async fn wait_until_active(&self) {
        let activated = self.activated.notified();
        if self.is_idle() {
            activated.await;
        }
    }

    /// Registers a request at work with these suspects, to be woken when one of them is refused.
    pub(crate) fn register_waiter(&self, suspects: Vec<Suspect>) -> RefusalWaiter<'_> {
        self.waiters.register(suspects)
    }

    /// Whether nothing is suspected.
    pub(crate) fn is_idle(&self) -> bool {
        self.is_idle.load(Ordering::Acquire)
    }

    /// Whether a suspect may be sent, is suspected or is refused.
    pub(crate) fn status(&self, suspect: &Suspect, now: Duration) -> QuarantineStatus {
        self.lock().quarantine.status(suspect, now)
    }

    /// Whether one of these suspects is refused. Unlike [`Self::refused_among`], it computes no trials.
    pub(crate) fn is_any_refused<'a>(
        &self,
        mut suspects: impl Iterator<Item = &'a Suspect>,
    ) -> bool {
        let inner = self.lock();
        suspects.any(|suspect| inner.quarantine.is_refused(suspect))
    }

    /// Whether no end counts any longer against one of these suspects.
    pub(crate) fn is_any_cleared<'a>(
        &self,
        mut suspects: impl Iterator<Item = &'a Suspect>,
    ) -> bool {
        let inner = self.lock();
        suspects.any(|suspect| !inner.quarantine.is_suspected(suspect))
    }

    /// Those of a request's suspects that are refused, each with the time until its next trial.
    pub(crate) fn refused_among(
        &self,
        suspects: &[Suspect],
        now: Duration,
    ) -> Vec<(Suspect, Option<Duration>)> {
        let inner = self.lock();
        let refused =
            suspects.iter().filter_map(|suspect| match inner.quarantine.status(suspect, now) {
                QuarantineStatus::Refused { trial_in } => Some((*suspect, trial_in)),
                _ => None,
            });
        refused.collect()
    }

    /// Whether a trial by a request with these suspects would show something.
    pub(crate) fn is_trial_conclusive(&self, suspects: &[Suspect]) -> bool {
        self.lock().quarantine.is_trial_conclusive(suspects)
    }

    /// The one of a request's suspects by which it is placed, if any.
    pub(crate) fn placing_suspect(&self, suspects: &[Suspect]) -> Option<Suspect> {
        self.lock().quarantine.placing_suspect(suspects)
    }

    /// Notifies of every later change.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Notifies of every later change that this entry observed itself.
    pub(crate) fn own_changes(&self) -> watch::Receiver<u64> {
        self.own_changes.subscribe()
    }

    /// Records that a server crashed while these suspects ran on it, as connections to its address
    /// show. `listed` is the incarnation in the server list; the one that crashed may be newer.
    pub(crate) fn record_ends(&self, all: &[Suspect], listed: IncarnationHash, at: Duration) {
        let incarnation = self.lock().quarantine.incarnation_of_end(listed, at);
        self.record_listed_ends(all, incarnation, at);
    }

    /// Records that this incarnation of a server crashed while these suspects ran on it, as the
    /// server list shows. All entries record the same incarnation, whenever each of them saw its
    /// own connections break.
    pub(crate) fn record_listed_ends(
        &self,
        all: &[Suspect],
        incarnation: IncarnationHash,
        at: Duration,
    ) {
        let note = |suspect: &Suspect| Note::End { suspect: *suspect, incarnation, at };
        self.apply(all.iter().map(note), true, at);
    }

    /// Records that a server answered a request with these prompt parts completely, which clears them.
    pub(crate) fn record_answered_parts(
        &self,
        parts: impl Iterator<Item = PartId> + Clone,
        now: Duration,
    ) {
        let mut inner = self.lock();
        for part in parts.clone() {
            inner.answered_parts.record(part, now);
        }
        drop(inner);
        if self.is_idle() {
            return;
        }
        for part in parts {
            self.record_answer(Suspect::Part(part), now);
        }
    }

    /// Clears a suspect, because a server answered it completely.
    pub(crate) fn record_answer(&self, suspect: Suspect, now: Duration) {
        self.clear(suspect, now, Quarantine::answer_notes);
    }

    /// Clears a suspect on an operator's order. Returns whether it was suspected.
    pub(crate) fn release(&self, suspect: Suspect, now: Duration) -> bool {
        self.clear(suspect, now, Quarantine::clearing_notes)
    }

    fn clear(
        &self,
        suspect: Suspect,
        now: Duration,
        notes: impl Fn(&Quarantine, Suspect) -> Vec<Note>,
    ) -> bool {
        let cleared = self.change(|inner| {
            if !inner.quarantine.is_suspected(&suspect) {
                return None;
            }
            let is_refused = inner.quarantine.is_refused(&suspect);
            inner.granted_trials.remove(&suspect);
            let is_urgent = is_refused || inner.quarantine.ends(&suspect).len() >= URGENT_FROM;
            let notes = notes(&inner.quarantine, suspect);
            inner.merge(notes, true, now);
            Some((is_refused, is_urgent))
        });
        let Some((is_refused, is_urgent)) = cleared else {
            return false;
        };
        if is_refused {
            self.is_row_stale.store(true, Ordering::Release);
        }
        if is_urgent {
            self.publish(true);
            self.publish_own(true);
        }
        // A part that many requests have is cleared after every crash.
        if is_refused || matches!(suspect, Suspect::Request(_)) {
            event::REQUEST_CLEARED
                .log(format_args!("fingerprint={suspect} kind={}", suspect.kind()));
        }
        true
    }

    /// Applies another entry's updates.
    pub(crate) fn apply_updates(&self, reported: &[QuarantineUpdate], now: Duration) {
        self.apply(reported.iter().map(|note| note.decode(now)), false, now);
    }

    /// Applies the cases from the store, whose times are accurate to `error`.
    pub(crate) fn apply_cases(&self, cases: &[Case], error: Duration, now: Duration) {
        let is_new = self.change(|inner| {
            let new = inner.quarantine.merge_cases(cases, error, now);
            let is_new = !new.is_empty();
            for case in new {
                let suspect = case.suspect;
                for (incarnation, at) in &case.ends {
                    let note = Note::End { suspect, incarnation: *incarnation, at: *at };
                    inner.all.push(note, now);
                    // The entry that wrote the row may not have informed the others.
                    inner.own.push(note, now);
                }
            }
            let suspects: Vec<Suspect> = cases.iter().map(|case| case.suspect).collect();
            inner.report_answers(&suspects, false, now);
            is_new
        });
        self.publish(is_new);
        self.publish_own(is_new);
    }

    /// Applies records, logs newly refused suspects and notifies the readers.
    fn apply(&self, notes: impl Iterator<Item = Note>, is_own: bool, now: Duration) {
        let (is_new, has_answers) = self.change(|inner| {
            let new = inner.merge(notes, is_own, now);
            let suspects: Vec<Suspect> = new.iter().map(Note::suspect).collect();
            (!new.is_empty(), inner.report_answers(&suspects, is_own, now))
        });
        self.publish(is_new);
        self.publish_own(has_answers || (is_own && is_new));
    }

    fn publish_own(&self, is_new: bool) {
        if is_new {
            self.own_changes.send_modify(|changes| *changes += 1);
        }
    }

    fn publish(&self, is_new: bool) {
        if is_new {
            self.changes.send_modify(|changes| *changes += 1);
        }
    }

    /// Removes expired cases.
    pub(crate) fn expire(&self, now: Duration) {
        if self.is_idle() {
            return;
        }
        self.change(|inner| {
            inner.quarantine.expire(now);
            let QuarantineRecords { quarantine, granted_trials, .. } = inner;
            granted_trials.retain(|suspect| quarantine.is_refused(suspect));
        });
    }

    /// Whether the trial of a refused suspect is due.
    pub(crate) fn is_trial_due(&self, suspect: &Suspect, now: Duration) -> bool {
        self.status(suspect, now) == QuarantineStatus::Refused { trial_in: Some(Duration::ZERO) }
    }

    /// Records that the store has granted the trial of refused suspects to this entry.
    pub(crate) fn grant_trial(&self, suspects: &[Suspect], now: Duration) {
        let mut inner = self.lock();
        for suspect in suspects {
            if inner.quarantine.begin_trial(suspect, now).is_some() {
                inner.granted_trials.insert(*suspect);
            }
        }
    }

    /// Takes the granted trials of these suspects that have not been made. Returns whether there was one of each.
    pub(crate) fn take_trial(&self, suspects: &[Suspect]) -> bool {
        let mut inner = self.lock();
        let is_granted = suspects.iter().all(|suspect| inner.granted_trials.contains(suspect));
        if is_granted {
            inner.granted_trials.retain(|suspect| !suspects.contains(suspect));
        }
        is_granted
    }

    /// Whether a granted trial has not been made yet.
    pub(crate) fn has_trial(&self, suspect: &Suspect) -> bool {
        self.lock().granted_trials.contains(suspect)
    }

    /// Returns trials that were taken and not made, for the next request with these suspects.
    pub(crate) fn return_trial(&self, suspects: &[Suspect]) {
        self.lock().granted_trials.extend(suspects);
    }

    /// Refused suspects or, unless `only_refused`, all of them.
    pub(crate) fn cases(&self, only_refused: bool) -> Vec<Case> {
        self.lock().quarantine.cases(only_refused)
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

    /// Records of suspects that are close to refusal and were updated at `position` of the log or
    /// later, and the position to continue from: all crashes of suspects with [`URGENT_FROM`] or
    /// more, and what clears them. A single crash proves little, and a zone outage brings thousands
    /// of them.
    pub(crate) fn urgent_since(
        &self,
        position: u64,
        now: Duration,
    ) -> (Vec<QuarantineUpdate>, u64) {
        let mut inner = self.lock();
        let (notes, next) = inner.all.since(position, now);
        let mut suspects: Vec<Suspect> = notes.iter().map(Note::suspect).collect();
        suspects.sort_unstable();
        suspects.dedup();
        let ends = suspects.iter().map(|suspect| inner.quarantine.ends(suspect));
        let crashes = ends.filter(|ends| ends.len() >= URGENT_FROM).flatten();
        let answers = notes.iter().filter(|note| !matches!(note, Note::End { .. })).copied();
        let urgent = crashes.chain(answers);
        (urgent.map(|note| QuarantineUpdate::encode(&note, now)).collect(), next)
    }

    fn since(
        &self,
        position: Option<u64>,
        now: Duration,
        log: impl Fn(&mut QuarantineRecords) -> &mut UpdateLog<Note>,
    ) -> (Vec<QuarantineUpdate>, u64) {
        let mut inner = self.lock();
        let (notes, next) = match position {
            Some(position) => log(&mut inner).since(position, now),
            None => (inner.all_notes(), log(&mut inner).next_position()),
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
    pub(crate) fn dump(&self) -> Value {
        let inner = self.lock();
        let describe = |case: &Case| {
            json!({
                "fingerprint": case.suspect.to_string(),
                "kind": case.suspect.kind(),
                "ends": case.ends.len(),
                "answered": inner.quarantine.was_answered(&case.suspect),
                "refused": inner.quarantine.is_refused(&case.suspect),
                "trials": case.trials,
            })
        };
        Value::Array(inner.quarantine.cases(false).iter().map(describe).collect())
    }
}
