//! When a refused suspect is sent again, in case it is harmless or the fault has been repaired.

use std::time::Duration;

use crate::policy::quarantine::{
    CORRELATION_WINDOW, Case, IncarnationHash, PART_REFUSED_AFTER, Quarantine, Suspect,
    suspect_record::SuspectRecord,
};

/// Time from the last end or trial to the next trial: a repaired version is rolled out in minutes.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(5 * 60);
const LAST_TRIAL_DELAY: Duration = Duration::from_secs(40 * 60);
/// Delay of an additional earlier trial of a suspect that may be harmless, because another one
/// was present at the same ends or a server has answered it completely before. In the soak test, a
/// request sent by many callers was refused for minutes after it had been present at three ends
/// beside a crashing one; it made up half of an entry's requests.
const EARLY_TRIAL_DELAY: Duration = Duration::from_secs(1);
/// Delay of the second trial of a part that may be harmless, which many callers may need.
const SECOND_TRIAL_DELAY: Duration = Duration::from_secs(3);
/// Maximum number of trials over all entries after which only an operator releases a suspect. The platform tolerates
/// three sends of what crashes servers.
const MAX_TRIALS: usize = 3;
/// Time over which early trials are spread by suspect. Two trials on one server at the same
/// time would not show which request crashed it.
const EARLY_TRIAL_SPREAD: Duration = Duration::from_millis(1_500);

impl Quarantine {
    /// Whether a trial by a request with these suspects would show something: a part that is only left out because a
    /// refused one explains its ends may crash the server instead. Each suspect is best tested alone (Dorfman, The
    /// detection of defective members of large populations, 1943).
    pub fn is_trial_conclusive(&self, suspects: &[Suspect]) -> bool {
        let is_open = |suspect: &&Suspect| {
            matches!(suspect, Suspect::Part(_)) && !self.refused.contains(suspect)
        };
        let mut open = suspects.iter().filter(is_open).filter_map(|s| self.records.get(s));
        !open.any(|record| {
            !record.was_answered() && record.counted_ends().count() >= PART_REFUSED_AFTER
        })
    }

    /// When a refused suspect may be tried again; `None` after the last trial. After the end for which it is refused,
    /// all entries together may send it three more times at most.
    pub(super) fn trial_at(&self, suspect: &Suspect, record: &SuspectRecord) -> Option<Duration> {
        let spread =
            EARLY_TRIAL_SPREAD.mul_f64(f64::from(suspect.to_bits() as u8) / f64::from(u8::MAX));
        let early = self.may_be_harmless(suspect, record).then_some(EARLY_TRIAL_DELAY + spread);
        let is_part = matches!(suspect, Suspect::Part(_));
        let second = early.filter(|_| is_part).map(|_| SECOND_TRIAL_DELAY);
        let later = [FIRST_TRIAL_DELAY, LAST_TRIAL_DELAY];
        let mut delays = early.into_iter().chain(second).chain(later).take(MAX_TRIALS);
        let last_end = match suspect {
            Suspect::Request(_) => record.counted_ends().last().map(|(_, at)| at),
            // While servers end for whatever reason, the trial's may be one of them.
            Suspect::Part(_) => self.ended_at.last(),
        };
        let since = last_end.unwrap_or_default().max(record.tried_at);
        Some(since + delays.nth(record.trials as usize)?)
    }

    /// Whether a refused suspect may be harmless: a server has answered it completely before, or other suspects
    /// explain the ends that count against it. A request that many callers send runs on most servers, including those
    /// that ended before without being noticed.
    fn may_be_harmless(&self, suspect: &Suspect, record: &SuspectRecord) -> bool {
        if record.was_cleared() {
            return true;
        }
        match suspect {
            // The parts of a request were present wherever it was.
            Suspect::Request(_) => {
                self.was_request_beside(suspect, record) || self.is_explained(suspect, record)
            }
            Suspect::Part(_) => self.ended_without_it(record) || self.is_explained(suspect, record),
        }
    }

    /// Whether another request was present at all ends that count against this one.
    fn was_request_beside(&self, suspect: &Suspect, record: &SuspectRecord) -> bool {
        let mut incarnations = record.counted_ends().map(|(incarnation, _)| incarnation);
        let Some(first) = incarnations.next() else {
            return false;
        };
        let rest: Vec<IncarnationHash> = incarnations.collect();
        self.records.present_at(first).iter().any(|other| {
            self.count_examined(1);
            let was_at_rest = |record: &SuspectRecord| {
                rest.iter().all(|incarnation| record.was_running_on(*incarnation))
            };
            matches!(other, Suspect::Request(_))
                && other != suspect
                && self.records.get(other).is_some_and(was_at_rest)
        })
    }

    /// Whether refused suspects other than this one were present at all ends that count against it.
    fn is_explained(&self, suspect: &Suspect, record: &SuspectRecord) -> bool {
        record
            .counted_ends()
            .all(|(incarnation, _)| self.is_explained_by_another(suspect, incarnation))
    }

    /// Whether a refused suspect other than this one was present at an end.
    fn is_explained_by_another(&self, suspect: &Suspect, incarnation: IncarnationHash) -> bool {
        self.records.present_at(incarnation).iter().any(|other| {
            self.count_examined(1);
            other != suspect && self.refused.contains(other)
        })
    }

    /// Whether a server has ended without running the suspect since the last end that counts against it, so that
    /// something else crashes servers.
    fn ended_without_it(&self, record: &SuspectRecord) -> bool {
        let last_end = record.counted_ends().last().map_or(Duration::ZERO, |(_, at)| at);
        let mut later = self.ended_at.after(last_end + CORRELATION_WINDOW);
        later.any(|incarnation| !record.was_running_on(incarnation))
    }

    /// Records that a trial of a suspect begins and returns the case to persist.
    pub fn begin_trial(&mut self, suspect: &Suspect, now: Duration) -> Option<Case> {
        if !self.records.contains(suspect) {
            return None;
        }
        self.records.update(*suspect, |record| {
            (record.trials, record.tried_at) = (record.trials.saturating_add(1), now);
        });
        self.case(suspect)
    }
}
