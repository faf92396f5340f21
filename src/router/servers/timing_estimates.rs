//! Learned speeds of models: prompt processing and token generation.

use std::{collections::HashMap, sync::MutexGuard, time::Duration};

use crate::{policy::timing::TimingEstimate, sync::Mutex};

/// Maximum number of names for which times are learned: several times the models, services and routes of the largest
/// deployment. Callers choose the names of models.
const MAX_KEYS: usize = 512;
/// Longest name for which times are learned, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Estimates by model, or by service or route if it has no models.
#[derive(Debug, Default)]
pub(crate) struct TimingEstimates {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    by_key: HashMap<Box<str>, Entry>,
    /// Number of answers that were learned from.
    answers: u64,
}

#[derive(Debug, Default)]
struct Entry {
    estimate: TimingEstimate,
    /// The last answer that it learned from.
    last_answer: u64,
}

impl State {
    /// The estimate that learns from an answer; `None` if the name is too long. A new name replaces the one that has
    /// learned nothing for longest.
    fn learning(&mut self, key: &str) -> Option<&mut TimingEstimate> {
        if key.len() > MAX_KEY_BYTES {
            return None;
        }
        self.answers += 1;
        if !self.by_key.contains_key(key) {
            self.make_room();
            self.by_key.insert(key.into(), Entry::default());
        }
        let entry = self.by_key.get_mut(key)?;
        entry.last_answer = self.answers;
        Some(&mut entry.estimate)
    }

    fn make_room(&mut self) {
        if self.by_key.len() < MAX_KEYS {
            return;
        }
        let oldest = self.by_key.iter().min_by_key(|(_, entry)| entry.last_answer);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.by_key.remove(&key);
        }
    }
}

impl TimingEstimates {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock()
    }

    /// The current estimate, or the initial one if nothing was learned.
    pub(crate) fn get(&self, key: &str) -> TimingEstimate {
        self.lock().by_key.get(key).map(|entry| entry.estimate).unwrap_or_default()
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
        if let Some(estimate) = self.lock().learning(key) {
            estimate.record_head(unread_tokens, queue_time, elapsed);
        }
    }

    /// Learns from the mean time between two events of a stream.
    pub(crate) fn record_event_interval(&self, key: &str, interval: Duration) {
        if let Some(estimate) = self.lock().learning(key) {
            estimate.record_event_interval(interval);
        }
    }
}
