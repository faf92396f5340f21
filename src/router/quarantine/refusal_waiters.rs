//! Requests at work that wait to learn that they are refused.

use std::{
    collections::HashMap,
    sync::{Arc, MutexGuard},
};

use tokio::sync::Notify;

use crate::{policy::quarantine::Suspect, sync::Mutex};

/// Requests at work by their suspects, so that a refusal wakes those that it concerns. Waking all of them for each note
/// would cost notes times requests at work, and a mass crash has many of both (docs/incidents/0025).
#[derive(Debug, Default)]
pub(crate) struct RefusalWaiters {
    by_suspect: Mutex<HashMap<Suspect, Vec<Arc<Notify>>>>,
}

/// A request that waits; it is removed when dropped.
#[derive(Debug)]
pub(crate) struct RefusalWaiter<'a> {
    waiters: &'a RefusalWaiters,
    suspects: Vec<Suspect>,
    woken: Arc<Notify>,
}

impl RefusalWaiters {
    /// Adds a request with these suspects.
    pub(crate) fn register(&self, suspects: Vec<Suspect>) -> RefusalWaiter<'_> {
        let woken = Arc::new(Notify::new());
        let mut by_suspect = self.lock();
        for suspect in &suspects {
            by_suspect.entry(*suspect).or_default().push(woken.clone());
        }
        drop(by_suspect);
        RefusalWaiter { waiters: self, suspects, woken }
    }

    /// Wakes the requests with one of these suspects.
    pub(crate) fn wake(&self, refused: &[Suspect]) {
        if refused.is_empty() {
            return;
        }
        let by_suspect = self.lock();
        for waiting in refused.iter().filter_map(|suspect| by_suspect.get(suspect)).flatten() {
            waiting.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Suspect, Vec<Arc<Notify>>>> {
        self.by_suspect.lock()
    }
}

impl RefusalWaiter<'_> {
    /// Waits until one of the suspects is refused. A refusal since the last call, or since the registration, counts.
    pub(crate) async fn wait(&self) {
        self.woken.notified().await;
    }
}

impl Drop for RefusalWaiter<'_> {
    fn drop(&mut self) {
        let mut by_suspect = self.waiters.lock();
        for suspect in &self.suspects {
            let Some(waiting) = by_suspect.get_mut(suspect) else {
                continue;
            };
            if let Some(i) = waiting.iter().position(|other| Arc::ptr_eq(other, &self.woken)) {
                waiting.swap_remove(i);
            }
            if waiting.is_empty() {
                by_suspect.remove(suspect);
            }
        }
    }
}
