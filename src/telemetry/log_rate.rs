//! Limits the log lines of events that peers can cause as often as they like.

use std::time::Duration;

use crate::sync::Mutex;

/// Time between two lines.
const INTERVAL: Duration = Duration::from_secs(1);

/// Admits one line in each interval.
#[derive(Debug, Default)]
pub struct LogRate(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    next_at: Duration,
    unlogged: u64,
}

impl LogRate {
    /// A limit under which nothing has been logged yet.
    pub const fn new() -> Self {
        Self(Mutex::new(State { next_at: Duration::ZERO, unlogged: 0 }))
    }

    /// Whether an event is logged; returns how many were not logged since the last line.
    pub fn admit(&self, now: Duration) -> Option<u64> {
        let mut state = self.0.lock();
        if now < state.next_at {
            state.unlogged += 1;
            return None;
        }
        state.next_at = now + INTERVAL;
        Some(std::mem::take(&mut state.unlogged))
    }
}
