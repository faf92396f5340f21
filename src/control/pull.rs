//! Limits a process to one outstanding pull, a request to a peer for missing configuration.

use std::time::{Duration, Instant};

use crate::sync::Mutex;

/// Time after which an unanswered pull no longer blocks the next one.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// Slot for the single outstanding pull of a process.
#[derive(Debug, Default)]
pub struct PullSlot {
    asked_at: Mutex<Option<Instant>>,
}

impl PullSlot {
    /// Occupies the slot; returns false if a recent pull is still outstanding.
    pub fn try_acquire(&self) -> bool {
        let mut asked_at = self.asked_at.lock();
        if asked_at.is_some_and(|since| since.elapsed() < PULL_TIMEOUT) {
            return false;
        }
        *asked_at = Some(Instant::now());
        true
    }

    /// Frees the slot after a response has arrived.
    pub fn release(&self) {
        *self.asked_at.lock() = None;
    }
}
