//! Notes that entries send each other, in the order in which they came.

use std::{collections::VecDeque, time::Duration};

/// How much is kept and reported.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UpdateLogLimits {
    /// Notes kept for links that are behind or new.
    pub(crate) kept: usize,
    /// Notes reported in one message.
    pub(crate) reported: usize,
    /// Age at which a note is passed on no more.
    pub(crate) reported_for: Duration,
}

/// Notes in the order in which they came; readers keep the number of the next one they want.
#[derive(Debug)]
pub(crate) struct UpdateLog<T> {
    notes: VecDeque<(Duration, T)>,
    /// Number of the oldest one.
    first: u64,
    /// Notes that a reader did not get because too many came.
    lost: u64,
    limits: UpdateLogLimits,
}

impl<T: Copy> UpdateLog<T> {
    pub(crate) fn new(limits: UpdateLogLimits) -> Self {
        Self { notes: VecDeque::new(), first: 0, lost: 0, limits }
    }

    pub(crate) fn push(&mut self, note: T, now: Duration) {
        self.notes.push_back((now, note));
        if self.notes.len() > self.limits.kept {
            self.notes.pop_front();
            self.first += 1;
        }
    }

    /// Number of the next note that comes.
    pub(crate) fn next(&self) -> u64 {
        self.first + self.notes.len() as u64
    }

    /// The notes from a number on that are not too old, and the number to go on with.
    pub(crate) fn from(&mut self, number: u64, now: Duration) -> (Vec<T>, u64) {
        let skipped = usize::try_from(number.saturating_sub(self.first)).unwrap_or(usize::MAX);
        let after = self.notes.iter().skip(skipped);
        let fresh =
            after.filter(|(at, _)| now < *at + self.limits.reported_for).map(|(_, note)| *note);
        let fresh: Vec<T> = fresh.collect();
        // The newest count: what is left out was reported earlier.
        let left_out = fresh.len().saturating_sub(self.limits.reported);
        // A reader that begins has nothing to lose.
        if number > 0 {
            self.lost += self.first.saturating_sub(number) + left_out as u64;
        }
        (fresh[left_out..].to_vec(), self.next())
    }

    /// Notes that readers did not get because too many came.
    pub(crate) fn lost(&self) -> u64 {
        self.lost
    }
}
