//! Learned speeds of models: prompt processing and token generation.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use crate::policy::timing::TimingEstimate;

/// Estimates by model, or by service if it has no models.
#[derive(Debug, Default)]
pub(crate) struct TimingEstimates {
    by_key: Mutex<HashMap<Box<str>, TimingEstimate>>,
}

impl TimingEstimates {
    fn lock(&self) -> MutexGuard<'_, HashMap<Box<str>, TimingEstimate>> {
        self.by_key.lock().expect("no code panics while holding this lock")
    }

    /// The current estimate, or the initial one if nothing was learned.
    pub(crate) fn get(&self, key: &str) -> TimingEstimate {
        self.lock().get(key).copied().unwrap_or_default()
    }

    /// Learns from the time until the head of an answer arrived. The server had to process
    /// `unread_tokens` of the prompt after other prompts that took `queue_time`.
    pub(crate) fn record_head_time(
        &self,
        key: &str,
        unread_tokens: u64,
        queue_time: Duration,
        elapsed: Duration,
    ) {
        self.lock().entry(key.into()).or_default().record_head(unread_tokens, queue_time, elapsed);
    }

    /// Learns from the mean time between two events of a stream.
    pub(crate) fn record_event_interval(&self, key: &str, interval: Duration) {
        self.lock().entry(key.into()).or_default().record_event_interval(interval);
    }
}
