//! Notes that entries send each other, in the order in which they came.

use std::{collections::VecDeque, time::Duration};

/// How much is kept and reported.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UpdateLogLimits {
    /// Notes kept for links that are behind or new.
    pub(crate) capacity: usize,
    /// Notes reported in one message.
    pub(crate) per_message: usize,
    /// Age at which a note is passed on no more.
    pub(crate) max_age: Duration,
}

/// Notes in the order in which they came; readers keep the number of the next one they want.
#[derive(Debug)]
pub(crate) struct UpdateLog<T> {
    updates: VecDeque<(Duration, T)>,
    /// Number of the oldest one.
    first_position: u64,
    /// Notes that a reader did not get because too many came.
    lost: u64,
    limits: UpdateLogLimits,
}

impl<T: Copy> UpdateLog<T> {
    pub(crate) fn new(limits: UpdateLogLimits) -> Self {
        Self { updates: VecDeque::new(), first_position: 0, lost: 0, limits }
    }

    pub(crate) fn push(&mut self, update: T, now: Duration) {
        self.updates.push_back((now, update));
        if self.updates.len() > self.limits.capacity {
            self.updates.pop_front();
            self.first_position += 1;
        }
    }

    /// Number of the next note that comes.
    pub(crate) fn next_position(&self) -> u64 {
        self.first_position + self.updates.len() as u64
    }

    /// The notes from a number on that are not too old, and the number to go on with.
    pub(crate) fn since(&mut self, position: u64, now: Duration) -> (Vec<T>, u64) {
        let skipped =
            usize::try_from(position.saturating_sub(self.first_position)).unwrap_or(usize::MAX);
        let after = self.updates.iter().skip(skipped);
        let fresh =
            after.filter(|(at, _)| now < *at + self.limits.max_age).map(|(_, update)| *update);
        let fresh: Vec<T> = fresh.collect();
        // The newest count: what is left out was reported earlier.
        let omitted = fresh.len().saturating_sub(self.limits.per_message);
        // A reader that begins has nothing to lose.
        if position > 0 {
            self.lost += self.first_position.saturating_sub(position) + omitted as u64;
        }
        (fresh[omitted..].to_vec(), self.next_position())
    }

    /// Notes that readers did not get because too many came.
    pub(crate) fn lost(&self) -> u64 {
        self.lost
    }
}
