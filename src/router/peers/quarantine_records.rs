//! What this entry knows of suspects, and the logs of what it passes on to others.

use std::{collections::HashSet, time::Duration};

use crate::{
    policy::quarantine::{AnsweredParts, IncarnationHash, Note, Quarantine, Suspect},
    router::peers::update_log::{UpdateLog, UpdateLogLimits},
    telemetry::event,
};

/// The log holds the records of a zone outage in at most 0.4 MB. A message holds at most 512
/// records, 16 KB; new links receive the complete state instead of the log.
const LIMITS: UpdateLogLimits =
    UpdateLogLimits { capacity: 4_096, per_message: 512, max_age: Duration::from_secs(60) };

/// Number of crashes from which a suspect's records are urgent: one or two more and it is refused.
pub(super) const URGENT_FROM: usize = 2;

/// Quarantine of this entry, without the synchronization of its threads.
#[derive(Debug)]
pub(super) struct QuarantineRecords {
    pub(super) quarantine: Quarantine,
    /// Records of crashes that this entry observed.
    pub(super) own: UpdateLog<Note>,
    /// Records that this entry observed or received.
    pub(super) all: UpdateLog<Note>,
    /// Refused suspects whose trial the store has granted to this entry and that were not sent yet.
    pub(super) granted_trials: HashSet<Suspect>,
    /// Prompt parts to which this entry has received complete answers, suspected or not.
    pub(super) answered_parts: AnsweredParts,
}

impl Default for QuarantineRecords {
    fn default() -> Self {
        Self {
            quarantine: Quarantine::default(),
            own: UpdateLog::new(LIMITS),
            all: UpdateLog::new(LIMITS),
            granted_trials: HashSet::new(),
            answered_parts: AnsweredParts::default(),
        }
    }
}

impl QuarantineRecords {
    /// Merges records, logs what is newly refused or suspected and returns the new ones.
    pub(super) fn merge(
        &mut self,
        notes: impl IntoIterator<Item = Note>,
        is_own: bool,
        now: Duration,
    ) -> Vec<Note> {
        let notes: Vec<Note> = notes.into_iter().collect();
        let is_refused = |note: &Note| self.quarantine.is_refused(&note.suspect());
        let refused_before: HashSet<Suspect> =
            notes.iter().filter(|note| is_refused(note)).map(Note::suspect).collect();
        let new = self.quarantine.add_all(notes, now);
        let mut logged = HashSet::new();
        for note in &new {
            self.all.push(*note, now);
            if is_own {
                self.own.push(*note, now);
            }
            let suspect = note.suspect();
            if !refused_before.contains(&suspect) && logged.insert(suspect) {
                self.log_suspicion(suspect, is_own, now);
            }
        }
        new
    }

    /// Logs that a suspect is refused now, or the ends that count against it if there are enough for a mistake to
    /// matter.
    fn log_suspicion(&self, suspect: Suspect, is_own: bool, now: Duration) {
        let ends = self.quarantine.ends(&suspect);
        let is_refused = self.quarantine.is_refused(&suspect);
        match suspect {
            Suspect::Request(_) if is_refused => {
                event::REQUEST_QUARANTINED
                    .log(format_args!("fingerprint={suspect} seen_here={is_own}"));
            }
            Suspect::Part(part) if is_refused => {
                event::PART_QUARANTINED.log(format_args!(
                    "part={part:x} fingerprint={suspect} ends={} answered={} seen_here={is_own}",
                    ends.len(),
                    self.quarantine.was_answered(&suspect)
                ));
            }
            // A part that was answered is present at most ends.
            Suspect::Part(_) if self.quarantine.was_answered(&suspect) => {}
            _ => log_suspect(&self.quarantine, suspect, &ends, now),
        }
    }

    /// Reports which of these suspected parts this entry has received complete answers to, which the other entries
    /// may not know of; where it did not observe their ends itself, only once several count. Returns whether that is
    /// new.
    pub(super) fn report_answers(
        &mut self,
        suspects: &[Suspect],
        is_own: bool,
        now: Duration,
    ) -> bool {
        let mut notes = Vec::new();
        for suspect in suspects {
            let Suspect::Part(part) = suspect else {
                continue;
            };
            let Some(answered_at) = self.answered_parts.last(*part, now) else {
                continue;
            };
            let ends = self.quarantine.ends(suspect);
            if !is_own && ends.len() < URGENT_FROM {
                continue;
            }
            notes.push(Note::Answered { suspect: *suspect });
            // Ends before the answer no longer count.
            notes.extend(ends.iter().filter_map(|end| match end {
                Note::End { suspect, incarnation, at } if *at <= answered_at => {
                    Some(Note::Cleared { suspect: *suspect, incarnation: *incarnation })
                }
                _ => None,
            }));
        }
        !notes.is_empty() && !self.merge(notes, true, now).is_empty()
    }

    /// All known crashes that fit into one message, those of refused suspects first, and which suspects were answered.
    pub(super) fn all_notes(&self) -> Vec<Note> {
        let mut cases = self.quarantine.cases(false);
        cases.sort_by_key(|case| !self.quarantine.is_refused(&case.suspect));
        let notes = cases.iter().flat_map(|case| {
            let suspect = case.suspect;
            let answered =
                self.quarantine.was_answered(&suspect).then_some(Note::Answered { suspect });
            let end = move |(incarnation, at): &(IncarnationHash, Duration)| Note::End {
                suspect,
                incarnation: *incarnation,
                at: *at,
            };
            answered.into_iter().chain(case.ends.iter().map(end))
        });
        notes.take(LIMITS.per_message).collect()
    }
}

/// Logs the ends that count against a suspect if there are enough for a mistake to matter.
fn log_suspect(quarantine: &Quarantine, suspect: Suspect, ends: &[Note], now: Duration) {
    if ends.len() < URGENT_FROM {
        return;
    }
    let age_ms = |note: &Note| match note {
        Note::End { at, .. } => Some(now.saturating_sub(*at).as_millis()),
        Note::Cleared { .. } | Note::Answered { .. } => None,
    };
    let ages: Vec<u128> = ends.iter().filter_map(age_ms).collect();
    let events = quarantine.event_count(&suspect);
    event::SUSPECT_COUNTED.log(format_args!(
        "fingerprint={suspect} kind={} ends_ms={ages:?} events={events}",
        suspect.kind()
    ));
}
