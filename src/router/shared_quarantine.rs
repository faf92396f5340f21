//! What entries report to each other about requests under which servers ended.
//!
//! Each entry knows what it had at a server when that ended, and the same work comes again at any entry.
//! So each end is reported to every seed at once, and the seeds report to all that follow them
//! (docs/decisions/0015).

use std::{
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::{
    policy::quarantine::{Case, LifeHash, Note, Quarantine, Standing},
    router::update_log::{UpdateLog, UpdateLogLimits},
    routing::Fingerprint,
    telemetry::event,
};

/// Notes kept for links that are behind: those of a zone's loss, and 0.4 MB at most. A message has 512
/// at most, 16 KB; what comes later is sent to new links as a whole.
const LIMITS: UpdateLogLimits =
    UpdateLogLimits { capacity: 4_096, per_message: 512, max_age: Duration::from_secs(60) };

/// Ends under a request from which on news of it is urgent: one more and it is refused.
const URGENT_FROM: usize = 2;

/// A note on its way: fingerprint in two halves, the life, and the age in milliseconds, none where the end is
/// annulled. Four numbers without names take 32 bytes instead of 70.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct QuarantineUpdate(u64, u64, LifeHash, Option<u32>);

impl QuarantineUpdate {
    fn encode(note: &Note, now: Duration) -> Self {
        let age_ms =
            |at: &Duration| u32::try_from(now.saturating_sub(*at).as_millis()).unwrap_or(u32::MAX);
        let Fingerprint(fingerprint) = note.fingerprint();
        let (life, age_ms) = match note {
            Note::End { life, at, .. } => (*life, Some(age_ms(at))),
            Note::Annulled { life, .. } => (*life, None),
        };
        Self((fingerprint >> 64) as u64, fingerprint as u64, life, age_ms)
    }

    fn decode(self, now: Duration) -> Note {
        let Self(high, low, life, age_ms) = self;
        let fingerprint = Fingerprint(u128::from(high) << 64 | u128::from(low));
        match age_ms.map(u64::from).map(Duration::from_millis) {
            Some(age) => Note::End { fingerprint, life, at: now.saturating_sub(age) },
            None => Note::Annulled { fingerprint, life },
        }
    }
}

#[derive(Debug)]
struct Inner {
    quarantine: Quarantine,
    /// What this entry saw itself.
    own: UpdateLog<Note>,
    /// What it saw or received.
    all: UpdateLog<Note>,
}

/// The notes of an entry.
#[derive(Debug)]
pub(crate) struct SharedQuarantine {
    inner: Mutex<Inner>,
    /// Whether anything is known; without it nothing is hashed and nothing is locked.
    is_idle: AtomicBool,
    /// Counts changes.
    changes: watch::Sender<u64>,
    /// Counts those that this entry saw itself.
    own_changes: watch::Sender<u64>,
    /// Whether it is known what the fleet knew before this process started.
    is_informed: AtomicBool,
    /// Whether the store may still keep a request that this entry let go.
    is_row_stale: AtomicBool,
}

impl Default for SharedQuarantine {
    fn default() -> Self {
        let quarantine = Quarantine::default();
        let (own, all) = (UpdateLog::new(LIMITS), UpdateLog::new(LIMITS));
        Self {
            inner: Mutex::new(Inner { quarantine, own, all }),
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
        self.inner.lock().expect("no panics under the lock")
    }

    /// Whether no request is suspected of anything.
    pub(crate) fn is_idle(&self) -> bool {
        self.is_idle.load(Ordering::Acquire)
    }

    /// What may be done with a request.
    pub(crate) fn standing(&self, fingerprint: &Fingerprint, now: Duration) -> Standing {
        self.lock().quarantine.standing(fingerprint, now)
    }

    /// Notifies of each change from now on.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Notifies of each change that this entry saw itself, from now on.
    pub(crate) fn own_changes(&self) -> watch::Receiver<u64> {
        self.own_changes.subscribe()
    }

    /// Notes that a server ended at a time while these requests were at work there, as its address shows; the
    /// life that ended may be one that the list has not shown yet.
    pub(crate) fn record_ends(&self, all: &[Fingerprint], listed: LifeHash, at: Duration) {
        let life = self.lock().quarantine.name_of_end(listed, at);
        self.record_listed_ends(all, life, at);
    }

    /// Notes that this life of a server ended at a time while these requests were at work there, as the list
    /// reports. It is the same life for every entry, whenever each of them saw its own connections break.
    pub(crate) fn record_listed_ends(&self, all: &[Fingerprint], life: LifeHash, at: Duration) {
        let note = |f: &Fingerprint| Note::End { fingerprint: *f, life, at };
        self.apply(all.iter().map(note), true, at);
    }

    /// Notes that a server answered a request whole, or that an operator lets it go; whether it was
    /// suspected.
    pub(crate) fn clear(&self, fingerprint: Fingerprint, now: Duration) -> bool {
        let standing = self.standing(&fingerprint, now);
        if standing == Standing::Free {
            return false;
        }
        if matches!(standing, Standing::Refused { .. }) {
            self.is_row_stale.store(true, Ordering::Release);
        }
        let acquittal = self.lock().quarantine.acquittal(fingerprint);
        self.apply(acquittal.into_iter(), true, now);
        event::REQUEST_CLEARED.log(format_args!("fingerprint={fingerprint}"));
        true
    }

    /// Takes in what another entry reports.
    pub(crate) fn apply_updates(&self, reported: &[QuarantineUpdate], now: Duration) {
        if !reported.is_empty() {
            self.apply(reported.iter().map(|note| note.decode(now)), false, now);
        }
    }

    /// Takes in what the store keeps, its times `error` off at most.
    pub(crate) fn apply_cases(&self, cases: &[Case], error: Duration, now: Duration) {
        let mut inner = self.lock();
        let mut is_new = false;
        for case in cases {
            if !inner.quarantine.take_case(case, error, now) {
                continue;
            }
            is_new = true;
            let fingerprint = case.fingerprint;
            for (life, at) in &case.ends {
                let note = Note::End { fingerprint, life: *life, at: *at };
                inner.all.push(note, now);
                // Whoever wrote it may not have informed the others.
                inner.own.push(note, now);
            }
        }
        drop(inner);
        self.publish(is_new);
        self.publish_own(is_new);
    }

    fn apply(&self, notes: impl Iterator<Item = Note>, is_own: bool, now: Duration) {
        let mut inner = self.lock();
        let mut is_new = false;
        for note in notes {
            let fingerprint = note.fingerprint();
            let was_refused = is_refused(&inner.quarantine, &fingerprint, now);
            if !inner.quarantine.note(note, now) {
                continue;
            }
            is_new = true;
            inner.all.push(note, now);
            if is_own {
                inner.own.push(note, now);
            }
            if !was_refused && is_refused(&inner.quarantine, &fingerprint, now) {
                event::REQUEST_QUARANTINED
                    .log(format_args!("fingerprint={fingerprint} seen_here={is_own}"));
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

    /// Forgets what is too old.
    pub(crate) fn expire(&self, now: Duration) {
        if self.is_idle() {
            return;
        }
        let mut inner = self.lock();
        inner.quarantine.expire(now);
        if inner.quarantine.is_empty() {
            self.is_idle.store(true, Ordering::Release);
        }
    }

    /// Notes that a refused request gets its trial; the case to be kept, if it is due.
    pub(crate) fn begin_trial(&self, fingerprint: &Fingerprint, now: Duration) -> Option<Case> {
        let mut inner = self.lock();
        let standing = inner.quarantine.standing(fingerprint, now);
        let is_due = standing == Standing::Refused { trial_in: Some(Duration::ZERO) };
        if !is_due {
            return None;
        }
        inner.quarantine.begin_trial(fingerprint, now)
    }

    /// Requests that are refused, or all that are suspected.
    pub(crate) fn cases(&self, only_refused: bool, now: Duration) -> Vec<Case> {
        self.lock().quarantine.cases(only_refused, now)
    }

    /// What this entry saw since the note with this number, and the number to go on with. A reader that
    /// begins gets all that is known.
    pub(crate) fn own_since(
        &self,
        position: Option<u64>,
        now: Duration,
    ) -> (Vec<QuarantineUpdate>, u64) {
        self.since(position, now, |inner| &mut inner.own)
    }

    /// The same of what this entry saw or received.
    pub(crate) fn all_since(
        &self,
        position: Option<u64>,
        now: Duration,
    ) -> (Vec<QuarantineUpdate>, u64) {
        self.since(position, now, |inner| &mut inner.all)
    }

    /// What this entry saw or received since the note with this number, of requests that may be refused next: all
    /// ends under those that two or more count against. One end alone says little, and a zone's loss brings
    /// thousands of these.
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

    /// Notes that a link did not get because too many came.
    pub(crate) fn lost(&self) -> u64 {
        let inner = self.lock();
        inner.own.lost() + inner.all.lost()
    }

    /// Whether the store's row has to be looked at because this entry let a refused request go; once.
    pub(crate) fn take_stale_row(&self) -> bool {
        self.is_row_stale.swap(false, Ordering::AcqRel)
    }

    /// Notes that it is known what the fleet knew before this process started; whether that is new.
    pub(crate) fn mark_informed(&self) -> bool {
        !self.is_informed.swap(true, Ordering::AcqRel)
    }

    /// Whether it is known what the fleet knew before this process started.
    pub(crate) fn is_informed(&self) -> bool {
        self.is_informed.load(Ordering::Acquire)
    }

    /// Part of the state dump.
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
    /// All that is known, as notes; as many as one message holds, those of refused requests first.
    fn all_notes(&self, now: Duration) -> Vec<Note> {
        let mut cases = self.quarantine.cases(false, now);
        cases.sort_by_key(|case| !is_refused(&self.quarantine, &case.fingerprint, now));
        let notes = cases.iter().flat_map(|case| {
            let fingerprint = case.fingerprint;
            case.ends.iter().map(move |(life, at)| Note::End { fingerprint, life: *life, at: *at })
        });
        notes.take(LIMITS.per_message).collect()
    }
}

fn is_refused(quarantine: &Quarantine, fingerprint: &Fingerprint, now: Duration) -> bool {
    matches!(quarantine.standing(fingerprint, now), Standing::Refused { .. })
}
