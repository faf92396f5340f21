//! Limits a process to one outstanding pull, a request to a peer for missing configuration.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

/// Time after which an unanswered pull no longer blocks the next one.
const PATIENCE: Duration = Duration::from_millis(500);

/// Slot for the outstanding pull of a process.
#[derive(Debug, Default)]
pub struct PullSlot {
    asked: Mutex<Option<Instant>>,
}

impl PullSlot {
    /// Occupies the slot; returns false if a recent pull is still outstanding.
    pub fn try_acquire(&self) -> bool {
        let mut asked = self.asked.lock().expect("no code panics while holding this lock");
        if asked.is_some_and(|since| since.elapsed() < PATIENCE) {
            return false;
        }
        *asked = Some(Instant::now());
        true
    }

    /// Frees the slot after a response has arrived.
    pub fn release(&self) {
        *self.asked.lock().expect("no code panics while holding this lock") = None;
    }
}
