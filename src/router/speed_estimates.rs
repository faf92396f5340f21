//! What an entry has learned of how fast models read and answer.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use crate::policy::reading::ReadingBelief;

/// Beliefs by model, or by service where there is no model.
#[derive(Debug, Default)]
pub(crate) struct SpeedEstimates {
    by_key: Mutex<HashMap<Box<str>, ReadingBelief>>,
}

impl SpeedEstimates {
    fn lock(&self) -> MutexGuard<'_, HashMap<Box<str>, ReadingBelief>> {
        self.by_key.lock().expect("no panics under the lock")
    }

    /// What was learned so far.
    pub(crate) fn get(&self, key: &str) -> ReadingBelief {
        self.lock().get(key).copied().unwrap_or_default()
    }

    /// Learns from the time to an answer's head.
    pub(crate) fn record_head_time(
        &self,
        key: &str,
        unread_tokens: u64,
        queue_time: Duration,
        elapsed: Duration,
    ) {
        self.lock().entry(key.into()).or_default().note(unread_tokens, queue_time, elapsed);
    }

    /// Learns from a stream's mean time between two events.
    pub(crate) fn record_pace(&self, key: &str, pace: Duration) {
        self.lock().entry(key.into()).or_default().note_pace(pace);
    }
}
