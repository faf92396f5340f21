//! Bounded log of updates that entries send to each other.

use std::{collections::VecDeque, time::Duration};

/// Limits of an [`UpdateLog`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct UpdateLogLimits {
    /// Updates kept for links that are new or behind.
    pub(crate) capacity: usize,
    /// Maximum number of updates in one message.
    pub(crate) per_message: usize,
    /// Age after which an update is no longer passed on.
    pub(crate) max_age: Duration,
}

/// Updates in order of arrival. Each reader keeps the position of the next update it needs.
#[derive(Debug)]
pub(crate) struct UpdateLog<T> {
    updates: VecDeque<(Duration, T)>,
    /// Position of the oldest update.
    first_position: u64,
    /// Updates that readers missed because the log or a message was full.
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

    /// Position of the next update to be pushed.
    pub(crate) fn next_position(&self) -> u64 {
        self.first_position + self.updates.len() as u64
    }

    /// Updates starting at `position`, except those that are too old, and the position to continue
    /// from.
    pub(crate) fn since(&mut self, position: u64, now: Duration) -> (Vec<T>, u64) {
        let skipped =
            usize::try_from(position.saturating_sub(self.first_position)).unwrap_or(usize::MAX);
        let after = self.updates.iter().skip(skipped);
        let fresh =
            after.filter(|(at, _)| now < *at + self.limits.max_age).map(|(_, update)| *update);
        let fresh: Vec<T> = fresh.collect();
        // The newest updates are kept; older ones were reported earlier.
        let omitted = fresh.len().saturating_sub(self.limits.per_message);
        // A reader that starts at 0 has not missed anything.
        if position > 0 {
            self.lost += self.first_position.saturating_sub(position) + omitted as u64;
        }
        (fresh[omitted..].to_vec(), self.next_position())
    }

    /// Number of updates that readers missed because the log or a message was full.
    pub(crate) fn lost(&self) -> u64 {
        self.lost
    }
}
