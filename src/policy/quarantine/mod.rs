//! Quarantine for requests and prompt parts that crash servers.
//!
//! A server's crash may be caused by a request: one whose prompt crashes every server that runs it
//! is sent again under other ids, by any entry, and would end one server after another. Beyer et
//! al. (Site Reliability Engineering, 2016, chapter 22) call this a "query of death"; message
//! queues have dead-letter queues for such "poison messages". The harm may also lie in one part of
//! the prompt, which requests have that are otherwise all different. So the ends of server
//! incarnations are counted for each request that was running there, and for each part of its
//! prompt that other requests may have. One end proves little, since it counts against everything
//! on that server; what was present at several ends is refused (`verdict`). A complete answer
//! clears a suspect. A refused one is sent again in a few trials, in case it is harmless or the
//! fault has been repaired.
//!
//! The notes of all entries are merged. The result does not depend on the order in which they
//! arrive or on duplicates (docs/decisions/0015 and 0020).

use std::{cell::Cell, collections::HashSet, time::Duration};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::policy::quarantine::{
    end_times::EndTimes, records::Records, suspect_record::SuspectRecord,
};

pub use answered_parts::AnsweredParts;
pub use case::Case;
pub use note::Note;
pub use suspect::Suspect;
pub use verdict::PART_REFUSED_AFTER;

mod answered_parts;
mod case;
mod end_times;
mod note;
mod records;
mod suspect;
mod suspect_record;
mod trials;
mod verdict;

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
/// Maximum number of remembered suspects, 0.5 MB. This suffices for the loss of a zone with 700
/// servers that run four requests each, and for the prompt parts that these share.
const MAX_SUSPECTS: usize = 4_096;
/// Time for which a suspect that is not refused is remembered after its last end. This is enough to
/// detect a crashing request that is sent every few minutes.
const SUSPECT_TTL: Duration = Duration::from_secs(60 * 60);
/// The same for a refused suspect.
const REFUSED_TTL: Duration = Duration::from_secs(24 * 60 * 60);
/// Number of ends from which requests with a part are placed together.
const MIN_PART_ENDS_FOR_PLACING: usize = 2;
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

/// All known requests and prompt parts that were running when a server ended.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: Records,
    /// When each incarnation ended.
    ended_at: EndTimes,
    /// Suspects that are refused, kept up to date with the records.
    refused: HashSet<Suspect>,
    /// Those of them that are refused since [`Self::take_newly_refused`] was last called.
    newly_refused: HashSet<Suspect>,
    /// Whether the ends have changed in a way that may change who is refused.
    is_verdict_stale: bool,
    /// Suspects whose records have changed since the last verdict.
    changed: Vec<Suspect>,
    /// No record expires before.
    no_expiry_before: Duration,
    /// Number of records examined, a measure of the work that depends on how many there are.
    examined: Cell<u64>,
}

impl Quarantine {
    /// Number of records that were examined so far.
    pub fn records_examined(&self) -> u64 {
        self.examined.get()
    }

    fn count_examined(&self, records: usize) {
        self.examined.set(self.examined.get() + records as u64);
    }

    /// Whether no suspects are known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Merges a note and returns whether it was new.
    pub fn add(&mut self, note: Note, now: Duration) -> bool {
        !self.add_all([note], now).is_empty()
    }

    /// Merges notes and returns those that were new.
    pub fn add_all(&mut self, notes: impl IntoIterator<Item = Note>, now: Duration) -> Vec<Note> {
        let mut new = Vec::new();
        for note in notes {
            // A note that is not new may still change when an incarnation ended.
            self.advance_end(&note);
            if self.merge(note, now) {
                new.push(note);
            }
        }
        self.judge_if_stale();
        new
    }

    fn merge(&mut self, note: Note, now: Duration) -> bool {
        let suspect = note.suspect();
        self.evict_if_full(&suspect);
        let is_new = self.records.update(suspect, |record| match note {
            Note::End { incarnation, at, .. } => record.add_end(incarnation, at),
            Note::Cleared { incarnation, .. } => record.clear_end(incarnation, now),
            Note::Answered { .. } => record.mark_answered(now),
        });
        if is_new {
            self.changed.push(suspect);
            self.advance_expiry(&suspect);
        }
        is_new
    }

    /// Records when an incarnation ended, the earliest time that is known.
    fn advance_end(&mut self, note: &Note) {
        let Note::End { incarnation, at, .. } = note else {
            return;
        };
        if self.ended_at.get(*incarnation).is_none_or(|known| known > *at) {
            self.ended_at.insert(*incarnation, *at);
            // An end elsewhere tells which ends of the others are separate events.
            self.is_verdict_stale = true;
        }
    }

    /// Brings the verdict up to date if notes may have changed it.
    fn judge_if_stale(&mut self) {
        // A suspect that has too few ends and was not refused has no part in the verdict.
        let is_concerned =
            |suspect: &Suspect| self.records.is_strong(suspect) || self.refused.contains(suspect);
        let is_any_concerned = self.changed.iter().any(is_concerned);
        self.changed.clear();
        if std::mem::take(&mut self.is_verdict_stale) || is_any_concerned {
            self.judge();
        }
    }

    /// Decides again who is refused.
    fn judge(&mut self) {
        self.count_examined(self.records.strong_count());
        let refused = verdict::refused_suspects(&self.records, &self.ended_at);
        self.newly_refused.retain(|suspect| refused.contains(suspect));
        self.newly_refused.extend(refused.difference(&self.refused));
        let before = std::mem::replace(&mut self.refused, refused);
        for suspect in &before {
            if !self.refused.contains(suspect) {
                self.advance_expiry(suspect);
            }
        }
    }

    /// Takes into account that a record may expire the shorter time after its last activity.
    fn advance_expiry(&mut self, suspect: &Suspect) {
        if let Some(record) = self.records.get(suspect) {
            self.no_expiry_before = self.no_expiry_before.min(record.last_activity() + SUSPECT_TTL);
        }
    }

    /// The suspects that are refused and were not when this was last called.
    pub fn take_newly_refused(&mut self) -> Vec<Suspect> {
        self.newly_refused.drain().collect()
    }

    /// The identity of an incarnation that ended now. A server may restart and end again before the
    /// server list shows its next incarnation, so an end considerably later than the known one
    /// belongs to another incarnation.
    pub fn incarnation_of_end(&self, listed: IncarnationHash, now: Duration) -> IncarnationHash {
        let mut incarnation = listed;
        while self.ended_at.get(incarnation).is_some_and(|at| at + DETECTION_WINDOW < now) {
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
        while let Some(ended_at) = self.ended_at.get(candidates[times.len()]) {
            times.push(ended_at);
            candidates.push(next_incarnation(candidates[candidates.len() - 1], listed));
        }
        if let Some(same) =
            times.iter().position(|ended_at| ended_at.abs_diff(at) <= DETECTION_WINDOW)
        {
            return candidates[same];
        }
        let place = times.partition_point(|ended_at| *ended_at < at);
        if place == times.len() {
            return candidates[place];
        }
        self.is_verdict_stale = true;
        self.move_ends(&candidates[place..]);
        for i in (place..times.len()).rev() {
            self.ended_at.insert(candidates[i + 1], times[i]);
        }
        self.ended_at.remove(candidates[place]);
        candidates[place]
    }

    /// Moves the ends of each of these incarnations but the last one to the incarnation that follows it.
    fn move_ends(&mut self, incarnations: &[IncarnationHash]) {
        let moved = &incarnations[..incarnations.len() - 1];
        let present = moved.iter().flat_map(|moved| self.records.present_at(*moved));
        let suspects: HashSet<Suspect> = present.copied().collect();
        self.count_examined(suspects.len());
        for suspect in suspects {
            self.records.update(suspect, |record| {
                for end in &mut record.ends {
                    if let Some(i) = moved.iter().position(|moved| *moved == end.incarnation) {
                        end.incarnation = incarnations[i + 1];
                    }
                }
            });
        }
    }

    /// The ends that count against a suspect.
    pub fn ends(&self, suspect: &Suspect) -> Vec<Note> {
        let suspect = *suspect;
        let counted = self.records.get(&suspect).into_iter().flat_map(SuspectRecord::counted_ends);
        counted.map(|(incarnation, at)| Note::End { suspect, incarnation, at }).collect()
    }

    /// Number of separate events among the ends that count against a request.
    pub fn event_count(&self, request: &Suspect) -> usize {
        let count = |record| verdict::count_request_events(record, &self.ended_at);
        self.records.get(request).map_or(0, count)
    }

    /// Whether a server has answered the suspect completely.
    pub fn was_answered(&self, suspect: &Suspect) -> bool {
        self.records.get(suspect).is_some_and(SuspectRecord::was_answered)
    }

    /// Notes that a server has answered a suspect completely, which clears all ends that count against it.
    pub fn answer_notes(&self, suspect: Suspect) -> Vec<Note> {
        let mut notes = self.clearing_notes(suspect);
        notes.push(Note::Answered { suspect });
        notes
    }

    /// Notes that clear all ends that count against a suspect.
    pub fn clearing_notes(&self, suspect: Suspect) -> Vec<Note> {
        let counted = self.records.get(&suspect).into_iter().flat_map(SuspectRecord::counted_ends);
        counted.map(|(incarnation, _)| Note::Cleared { suspect, incarnation }).collect()
    }

    /// Merges a case from the store, whose times are accurate to `error`, and returns whether it
    /// was new.
    ///
    /// Two entries that communicate only through the store may each have seen a server end while
    /// the list showed the same incarnation. The times distinguish the two incarnations, whose ends
    /// counted as one before.
    pub fn merge_case(&mut self, case: &Case, error: Duration, now: Duration) -> bool {
        let is_new = self.merge_case_unjudged(case, error, now);
        self.judge_if_stale();
        is_new
    }

    /// Merges cases like [`Self::merge_case`], with one verdict on all of them, and returns those that were new.
    pub fn merge_cases<'a>(
        &mut self,
        cases: &'a [Case],
        error: Duration,
        now: Duration,
    ) -> Vec<&'a Case> {
        let new = cases.iter().filter(|case| self.merge_case_unjudged(case, error, now)).collect();
        self.judge_if_stale();
        new
    }

    /// Merges a case without a verdict.
    fn merge_case_unjudged(&mut self, case: &Case, error: Duration, now: Duration) -> bool {
        let suspect = case.suspect;
        let mut is_new = false;
        for (incarnation, at) in &case.ends {
            let incarnation = if error < DETECTION_WINDOW / 2 {
                self.resolve_incarnation(*incarnation, *at)
            } else {
                *incarnation
            };
            let note = Note::End { suspect, incarnation, at: *at };
            self.advance_end(&note);
            is_new |= self.merge(note, now);
        }
        let Some(record) = self.records.get(&suspect) else {
            return false;
        };
        let has_more_trials = case.trials > record.trials;
        if has_more_trials {
            self.records.update(suspect, |record| {
                (record.trials, record.tried_at) = (case.trials, case.tried_at);
            });
        }
        is_new || has_more_trials
    }

    /// Whether a suspect may be sent.
    pub fn status(&self, suspect: &Suspect, now: Duration) -> QuarantineStatus {
        let Some(record) = self.records.get(suspect) else {
            return QuarantineStatus::Free;
        };
        if self.refused.contains(suspect) {
            let trial_at = self.trial_at(suspect, record);
            return QuarantineStatus::Refused {
                trial_in: trial_at.map(|at| at.saturating_sub(now)),
            };
        }
        if self.is_suspected(suspect) { QuarantineStatus::Suspect } else { QuarantineStatus::Free }
    }

    /// Whether ends count against a suspect, be it refused or not. Unlike [`Self::status`], it computes no trial.
    pub fn is_suspected(&self, suspect: &Suspect) -> bool {
        self.records.get(suspect).is_some_and(|record| record.counted_ends().next().is_some())
    }

    /// Whether a suspect is refused.
    pub fn is_refused(&self, suspect: &Suspect) -> bool {
        self.refused.contains(suspect)
    }

    /// The one of a request's suspects by which the request is placed, so that its next end, if it comes, is one
    /// server's and tells the suspect apart from others. A part that many requests have is left alone until two ends
    /// count against it, and as soon as it was answered.
    pub fn placing_suspect(&self, suspects: &[Suspect]) -> Option<Suspect> {
        let strength = |suspect: &Suspect| {
            let record = self.records.get(suspect)?;
            let count = record.counted_ends().count();
            let is_placed = match suspect {
                Suspect::Request(_) => count > 0,
                Suspect::Part(_) => count >= MIN_PART_ENDS_FOR_PLACING && !record.was_answered(),
            };
            is_placed.then_some((matches!(suspect, Suspect::Part(_)), count, *suspect))
        };
        suspects.iter().filter_map(strength).max().map(|(.., suspect)| suspect)
    }

    /// Refused suspects, and all others unless `only_refused`; those with the latest end first.
    pub fn cases(&self, only_refused: bool) -> Vec<Case> {
        let others = self.records.iter().map(|(suspect, _)| suspect).filter(|suspect| {
            self.count_examined(1);
            !self.refused.contains(suspect) && self.is_suspected(suspect)
        });
        let others = (!only_refused).then_some(others).into_iter().flatten();
        let wanted = self.refused.iter().chain(others);
        let mut cases: Vec<Case> = wanted.filter_map(|suspect| self.case(suspect)).collect();
        self.count_examined(self.refused.len());
        let last = |case: &Case| case.ends.last().map_or(Duration::ZERO, |(_, at)| *at);
        cases.sort_by_key(|case| std::cmp::Reverse((last(case), case.suspect)));
        cases
    }

    fn case(&self, suspect: &Suspect) -> Option<Case> {
        let record = self.records.get(suspect)?;
        Some(Case {
            suspect: *suspect,
            ends: record.counted_ends().collect(),
            trials: record.trials,
            tried_at: record.tried_at,
        })
    }

    /// Makes room for another suspect if necessary. Evicts suspects that are not refused first, in
    /// the order of their age, and an eighth of all at once, since each time requires a full scan.
    fn evict_if_full(&mut self, wanted: &Suspect) {
        if self.records.len() < MAX_SUSPECTS || self.records.contains(wanted) {
            return;
        }
        self.count_examined(self.records.len());
        // The verdict may be older than the records while notes are being merged.
        self.judge();
        let rank = |(suspect, record): (&Suspect, &SuspectRecord)| {
            (self.refused.contains(suspect), record.last_activity(), *suspect)
        };
        let mut all: Vec<_> = self.records.iter().map(rank).collect();
        all.sort_unstable();
        for (.., suspect) in &all[..MAX_SUSPECTS / 8] {
            self.records.remove(suspect);
        }
        self.is_verdict_stale = true;
        self.prune_incarnations();
    }

    /// Removes expired suspects and returns whether there were any.
    pub fn expire(&mut self, now: Duration) -> bool {
        if now < self.no_expiry_before {
            return false;
        }
        self.count_examined(self.records.len());
        let expires_at = |(suspect, record): (&Suspect, &SuspectRecord)| {
            let ttl = if self.refused.contains(suspect) { REFUSED_TTL } else { SUSPECT_TTL };
            (record.last_activity() + ttl, *suspect)
        };
        let (expired, kept): (Vec<_>, Vec<_>) =
            self.records.iter().map(expires_at).partition(|(at, _)| *at <= now);
        self.no_expiry_before = kept.iter().map(|(at, _)| *at).min().unwrap_or(Duration::MAX);
        if expired.is_empty() {
            return false;
        }
        for (_, suspect) in &expired {
            self.records.remove(suspect);
        }
        self.prune_incarnations();
        self.judge();
        true
    }

    fn prune_incarnations(&mut self) {
        let records = &self.records;
        self.ended_at.retain(|incarnation| !records.present_at(incarnation).is_empty());
    }
}
