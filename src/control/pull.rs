//! Whose turn it is to answer a pull: one peer is asked at a time.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

/// One answer to a pull is waited for this long before another peer is asked.
const PATIENCE: Duration = Duration::from_millis(500);

/// The pull under way in one process, if there is one.
#[derive(Debug, Default)]
pub struct PullSlot {
    asked: Mutex<Option<Instant>>,
}

impl PullSlot {
    /// Takes the turn to ask a peer; false while another peer's answer is waited for.
    pub fn try_acquire(&self) -> bool {
        let mut asked = self.asked.lock().expect("no panics under the lock");
        if asked.is_some_and(|since| since.elapsed() < PATIENCE) {
            return false;
        }
        *asked = Some(Instant::now());
        true
    }

    /// Notes that an answer has come.
    pub fn release(&self) {
        *self.asked.lock().expect("no panics under the lock") = None;
    }
}
