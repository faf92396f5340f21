//! What is known of one request or prompt part that was running when servers ended.

use std::time::Duration;

use crate::policy::quarantine::IncarnationHash;

/// Maximum number of remembered ends per suspect; earlier ones no longer matter.
const MAX_ENDS_PER_SUSPECT: usize = 16;

/// The end of a server incarnation that was running a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct End {
    pub(super) incarnation: IncarnationHash,
    pub(super) at: Duration,
    is_cleared: bool,
}

/// All known ends, answers and trials of one suspect.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct SuspectRecord {
    /// Ordered by time, the earliest first.
    pub(super) ends: Vec<End>,
    /// When it became known that a server had answered it completely.
    answered_at: Option<Duration>,
    pub(super) trials: u32,
    pub(super) tried_at: Duration,
}

impl SuspectRecord {
    /// Adds an end and returns whether it is new.
    pub(super) fn add_end(&mut self, incarnation: IncarnationHash, at: Duration) -> bool {
        !self.was_running_on(incarnation) && self.insert(End { incarnation, at, is_cleared: false })
    }

    /// Clears an end, which may not be known yet, and returns whether that is new. A suspect that is cleared of all
    /// ends gets new trials, should it be refused again.
    pub(super) fn clear_end(&mut self, incarnation: IncarnationHash, now: Duration) -> bool {
        let is_new = match self.ends.iter_mut().find(|end| end.incarnation == incarnation) {
            Some(end) => !std::mem::replace(&mut end.is_cleared, true),
            None => self.insert(End { incarnation, at: now, is_cleared: true }),
        };
        if is_new && self.counted_ends().next().is_none() {
            self.trials = 0;
        }
        is_new
    }

    /// Inserts an end in the order of time. Returns false if it is older than all that are remembered: reported as
    /// new, it would be passed on between entries indefinitely.
    fn insert(&mut self, end: End) -> bool {
        let place =
            self.ends.partition_point(|e| (e.at, e.incarnation) < (end.at, end.incarnation));
        let is_full = self.ends.len() >= MAX_ENDS_PER_SUSPECT;
        if is_full && place == 0 {
            return false;
        }
        self.ends.insert(place, end);
        if is_full {
            self.ends.remove(0);
        }
        true
    }

    /// Records that a server has answered it completely and returns whether that is new.
    pub(super) fn mark_answered(&mut self, now: Duration) -> bool {
        self.answered_at.replace(now).is_none()
    }

    /// Whether a server has answered it completely.
    pub(super) fn was_answered(&self) -> bool {
        self.answered_at.is_some()
    }

    /// Whether it was answered, or an end was cleared by an answer or by an operator, who may be wrong.
    pub(super) fn was_cleared(&self) -> bool {
        self.was_answered() || self.ends.iter().any(|end| end.is_cleared)
    }

    /// The ends that count against the suspect.
    pub(super) fn counted_ends(&self) -> impl Iterator<Item = (IncarnationHash, Duration)> {
        self.ends.iter().filter(|end| !end.is_cleared).map(|end| (end.incarnation, end.at))
    }

    /// The incarnations of all remembered ends, cleared or not.
    pub(super) fn incarnations(&self) -> impl Iterator<Item = IncarnationHash> {
        self.ends.iter().map(|end| end.incarnation)
    }

    pub(super) fn last_activity(&self) -> Duration {
        let last_end = self.ends.last().map_or(Duration::ZERO, |end| end.at);
        last_end.max(self.tried_at).max(self.answered_at.unwrap_or_default())
    }

    pub(super) fn was_running_on(&self, incarnation: IncarnationHash) -> bool {
        self.ends.iter().any(|end| end.incarnation == incarnation)
    }
}
