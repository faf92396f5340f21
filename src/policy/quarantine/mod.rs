//! Quarantine for requests that crash servers.
//!
//! A server's crash may be caused by a request: one whose prompt crashes every server that runs it
//! is sent again under other ids, by any entry, and would end one server after another. Beyer et
//! al. (Site Reliability Engineering, 2016, chapter 22) call this a "query of death"; message
//! queues have dead-letter queues for such "poison messages". So the ends of server incarnations
//! are counted for each request that was running there. One end proves little, since it counts
//! against every request on that server; a request that was present at three ends is refused. A
//! complete answer to a request clears it. A refused request is sent again in a few trials, in case
//! it is harmless or the fault has been repaired.
//!
//! The notes of all entries are merged. The result does not depend on the order in which they
//! arrive or on duplicates (docs/decisions/0015).

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{policy::quarantine::request_record::RequestRecord, routing::Fingerprint};

pub use note::Note;

mod note;
mod request_record;

/// Hash that identifies one incarnation of a server, that is one run of its process.
pub type IncarnationHash = u64;

/// Number of ends at which a request must have been running to be refused. With two, a harmless
/// request that ran beside the crashing one would be refused as soon as both were sent to the same
/// server again.
pub const REFUSED_AFTER: usize = 3;
/// Ends within this time may have a common cause, such as the failure of a rack. They count as one
/// for a request if another server ended in the same period without running it. The ends caused by
/// a crashing request are further apart, since each server must first receive and start it.
const CORRELATION_WINDOW: Duration = Duration::from_millis(250);
/// Time within which all entries, even on a busy Host, notice that the connections to an ended
/// server are broken. Servers take a second or more to restart.
const DETECTION_WINDOW: Duration = Duration::from_millis(400);
/// Maximum number of remembered requests, 0.5 MB. This suffices for the loss of a zone with 700
/// servers that run four requests each.
const MAX_REQUESTS: usize = 4_096;
/// Time for which a request that is not refused is remembered after its last end. This is enough to
/// detect a crashing request that is sent every few minutes.
const SUSPECT_TTL: Duration = Duration::from_secs(60 * 60);
/// The same for a refused request.
const REFUSED_TTL: Duration = Duration::from_secs(24 * 60 * 60);
/// Time from the last end or trial to the next trial: a repaired version is rolled out in minutes.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(5 * 60);
const LAST_TRIAL_DELAY: Duration = Duration::from_secs(40 * 60);
/// Delay of an additional earlier trial of a request that may be harmless, because another request
/// was present at the same ends or a server has answered it completely before. In the soak test, a
/// request sent by many callers was refused for minutes after it had been present at three ends
/// beside a crashing one; it made up half of an entry's requests.
const EARLY_TRIAL_DELAY: Duration = Duration::from_secs(1);
/// Time over which early trials are spread by fingerprint. Two trials on one server at the same
/// time would not show which request crashed it.
const EARLY_TRIAL_SPREAD: Duration = Duration::from_millis(1_500);

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// No ends count against it.
    Free,
    /// Too few ends count against it to refuse it.
    Suspect,
    /// It is refused.
    Refused {
        /// Time until its next trial; `None` if only an operator can release it.
        trial_in: Option<Duration>,
    },
}

/// Generates the identity of an incarnation that the server list has not shown, from the identity
/// of the previous one and of the one listed.
fn next_incarnation(previous: IncarnationHash, listed: IncarnationHash) -> IncarnationHash {
    xxh3_64_with_seed(&previous.to_le_bytes(), listed)
}

/// A refused or suspected request, as persisted in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Case {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Incarnations that ended while running the request, and when.
    pub ends: Vec<(IncarnationHash, Duration)>,
    /// Trials made since.
    pub trials: u32,
    /// When the last trial began.
    pub tried_at: Duration,
}

/// All known requests that were running when a server ended.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    requests: HashMap<Fingerprint, RequestRecord>,
    /// When each incarnation ended.
    ended_at: HashMap<IncarnationHash, Duration>,
}

impl Quarantine {
    /// Whether no requests are known.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Merges a note and returns whether it was new.
    pub fn add(&mut self, note: Note, now: Duration) -> bool {
        match note {
            Note::End { fingerprint, incarnation, at } => {
                self.evict_if_full(&fingerprint);
                let is_new =
                    self.requests.entry(fingerprint).or_default().add_end(incarnation, at, false);
                let ended_at = self.ended_at.entry(incarnation).or_insert(at);
                *ended_at = (*ended_at).min(at);
                is_new
            }
            Note::Cleared { fingerprint, incarnation } => {
                self.evict_if_full(&fingerprint);
                self.requests.entry(fingerprint).or_default().add_end(incarnation, now, true)
            }
        }
    }

    /// The identity of an incarnation that ended now. A server may restart and end again before the
    /// server list shows its next incarnation, so an end considerably later than the known one
    /// belongs to another incarnation.
    pub fn incarnation_of_end(&self, listed: IncarnationHash, now: Duration) -> IncarnationHash {
        let mut incarnation = listed;
        while self.ended_at.get(&incarnation).is_some_and(|at| *at + DETECTION_WINDOW < now) {
            incarnation = next_incarnation(incarnation, listed);
        }
        incarnation
    }

    /// The identity of an incarnation that ended at this time while the server list showed
    /// `listed`. The earliest end belongs to `listed` itself, in whatever order the ends become
    /// known: known ends that are later move to the generated identities that follow.
    fn resolve_incarnation(&mut self, listed: IncarnationHash, at: Duration) -> IncarnationHash {
        let mut candidates = vec![listed];
        let mut times = Vec::new();
        while let Some(ended_at) = self.ended_at.get(&candidates[times.len()]) {
            times.push(*ended_at);
            candidates.push(next_incarnation(candidates[candidates.len() - 1], listed));
        }
        if let Some(same) =
            times.iter().position(|ended_at| ended_at.abs_diff(at) <= DETECTION_WINDOW)
        {
            return candidates[same];
        }
        let place = times.partition_point(|ended_at| *ended_at < at);
        for record in self.requests.values_mut() {
            for end in &mut record.ends {
                if let Some(i) =
                    candidates[place..times.len()].iter().position(|n| *n == end.incarnation)
                {
                    end.incarnation = candidates[place + i + 1];
                }
            }
        }
        for i in (place..times.len()).rev() {
            self.ended_at.insert(candidates[i + 1], times[i]);
        }
        self.ended_at.remove(&candidates[place]);
        candidates[place]
    }

    /// The ends that count against a request.
    pub fn ends(&self, request: &Fingerprint) -> Vec<Note> {
        let fingerprint = *request;
        let counted = self.requests.get(request).into_iter().flat_map(RequestRecord::counted_ends);
        counted.map(|(incarnation, at)| Note::End { fingerprint, incarnation, at }).collect()
    }

    /// Number of separate events among the ends that count against a request.
    pub fn event_count(&self, request: &Fingerprint) -> usize {
        self.requests.get(request).map_or(0, |record| self.count_events(record))
    }

    /// Notes that clear all ends that count against a request.
    pub fn clearing_notes(&self, fingerprint: Fingerprint) -> Vec<Note> {
        let counted =
            self.requests.get(&fingerprint).into_iter().flat_map(RequestRecord::counted_ends);
        counted.map(|(incarnation, _)| Note::Cleared { fingerprint, incarnation }).collect()
    }

    /// Merges a case from the store, whose times are accurate to `error`, and returns whether it
    /// was new.
    ///
    /// Two entries that communicate only through the store may each have seen a server end while
    /// the list showed the same incarnation. The times distinguish the two incarnations, whose ends
    /// counted as one before.
    pub fn merge_case(&mut self, case: &Case, error: Duration, now: Duration) -> bool {
        let fingerprint = case.fingerprint;
        let mut is_new = false;
        for (incarnation, at) in &case.ends {
            let incarnation = if error < DETECTION_WINDOW / 2 {
                self.resolve_incarnation(*incarnation, *at)
            } else {
                *incarnation
            };
            is_new |= self.add(Note::End { fingerprint, incarnation, at: *at }, now);
        }
        let Some(record) = self.requests.get_mut(&fingerprint) else {
            return false;
        };
        let has_more_trials = case.trials > record.trials;
        if has_more_trials {
            (record.trials, record.tried_at) = (case.trials, case.tried_at);
        }
        is_new || has_more_trials
    }

    /// Whether a request may be sent.
    pub fn status(&self, fingerprint: &Fingerprint, now: Duration) -> QuarantineStatus {
        let Some(record) = self.requests.get(fingerprint) else {
            return QuarantineStatus::Free;
        };
        match self.count_events(record) {
            0 => QuarantineStatus::Free,
            count if count < REFUSED_AFTER => QuarantineStatus::Suspect,
            _ => {
                let trial_at = self.trial_at(fingerprint, record);
                QuarantineStatus::Refused { trial_in: trial_at.map(|at| at.saturating_sub(now)) }
            }
        }
    }

    /// When a refused request may be tried again; `None` after the last trial. After the third end,
    /// all entries together may send the request three more times at most.
    fn trial_at(&self, fingerprint: &Fingerprint, record: &RequestRecord) -> Option<Duration> {
        let spread =
            EARLY_TRIAL_SPREAD.mul_f64(f64::from(fingerprint.0 as u8) / f64::from(u8::MAX));
        let early = self.may_be_harmless(fingerprint, record).then_some(EARLY_TRIAL_DELAY + spread);
        let mut delays = early.into_iter().chain([FIRST_TRIAL_DELAY, LAST_TRIAL_DELAY]);
        let last_end = record.counted_ends().last().map_or(Duration::ZERO, |(_, at)| at);
        Some(last_end.max(record.tried_at) + delays.nth(record.trials as usize)?)
    }

    /// Whether the request may be harmless: a server has answered it completely before, or another
    /// request was present at all ends that count against it. A request that many callers send runs
    /// on most servers, including those that ended before without being noticed.
    fn may_be_harmless(&self, fingerprint: &Fingerprint, record: &RequestRecord) -> bool {
        if record.has_cleared_end() {
            return true;
        }
        let was_present = |other: &RequestRecord| {
            record.counted_ends().all(|(incarnation, _)| other.was_running_on(incarnation))
        };
        self.requests.iter().any(|(other, ends)| other != fingerprint && was_present(ends))
    }

    /// Number of ends that count against a request. Ends that may have a common cause with the end
    /// of a server that was not running it count once.
    fn count_events(&self, record: &RequestRecord) -> usize {
        let mut counted = 0;
        let mut first_at: Option<Duration> = None;
        for (_, at) in record.counted_ends() {
            let is_correlated = first_at.is_some_and(|first_at| {
                at <= first_at + CORRELATION_WINDOW && self.ended_elsewhere(record, first_at, at)
            });
            if !is_correlated {
                counted += 1;
                first_at = Some(at);
            }
        }
        counted
    }

    /// Whether a server that was not running the request ended at about this time.
    fn ended_elsewhere(&self, record: &RequestRecord, from: Duration, to: Duration) -> bool {
        let (from, to) = (from.saturating_sub(CORRELATION_WINDOW), to + CORRELATION_WINDOW);
        let mut incarnations = self.ended_at.iter();
        incarnations.any(|(incarnation, at)| {
            from <= *at && *at <= to && !record.was_running_on(*incarnation)
        })
    }

    /// Records that a trial of a request begins and returns the case to persist.
    pub fn begin_trial(&mut self, fingerprint: &Fingerprint, now: Duration) -> Option<Case> {
        let record = self.requests.get_mut(fingerprint)?;
        (record.trials, record.tried_at) = (record.trials + 1, now);
        self.case(fingerprint)
    }

    /// Refused requests, and suspected ones unless `only_refused`; those with the latest end first.
    pub fn cases(&self, only_refused: bool, now: Duration) -> Vec<Case> {
        let is_wanted = |fingerprint: &&Fingerprint| match self.status(fingerprint, now) {
            QuarantineStatus::Free => false,
            QuarantineStatus::Suspect => !only_refused,
            QuarantineStatus::Refused { .. } => true,
        };
        let wanted = self.requests.keys().filter(is_wanted);
        let mut cases: Vec<Case> = wanted.filter_map(|f| self.case(f)).collect();
        let last = |case: &Case| case.ends.last().map_or(Duration::ZERO, |(_, at)| *at);
        cases.sort_by_key(|case| std::cmp::Reverse((last(case), case.fingerprint)));
        cases
    }

    fn case(&self, fingerprint: &Fingerprint) -> Option<Case> {
        let record = self.requests.get(fingerprint)?;
        Some(Case {
            fingerprint: *fingerprint,
            ends: record.counted_ends().collect(),
            trials: record.trials,
            tried_at: record.tried_at,
        })
    }

    /// Makes room for another request if necessary. Evicts requests that are not refused first, in
    /// the order of their age, and an eighth of all at once, since each time requires a full scan.
    fn evict_if_full(&mut self, wanted: &Fingerprint) {
        if self.requests.len() < MAX_REQUESTS || self.requests.contains_key(wanted) {
            return;
        }
        let rank = |record: &RequestRecord| (record.is_refusable(), record.last_activity());
        let mut all: Vec<_> = self.requests.iter().map(|(f, record)| (rank(record), *f)).collect();
        all.sort_unstable();
        for (_, fingerprint) in &all[..MAX_REQUESTS / 8] {
            self.requests.remove(fingerprint);
        }
        self.prune_incarnations();
    }

    /// Removes expired requests and returns whether there were any.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.requests.len();
        self.requests.retain(|_, record| {
            now < record.last_activity()
                + if record.is_refusable() { REFUSED_TTL } else { SUSPECT_TTL }
        });
        if self.requests.len() == before {
            return false;
        }
        self.prune_incarnations();
        true
    }

    fn prune_incarnations(&mut self) {
        let ends = self.requests.values().flat_map(|record| &record.ends);
        let needed: HashSet<IncarnationHash> = ends.map(|end| end.incarnation).collect();
        self.ended_at.retain(|incarnation, _| needed.contains(incarnation));
    }
}
