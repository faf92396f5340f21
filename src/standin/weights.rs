//! Stand-in for the weight store: engines fetch versions from it at a limited rate.

use std::{sync::Arc, time::Duration};

use tokio::sync::Semaphore;

/// A store that serves a few loads at a time.
#[derive(Clone, Debug)]
pub struct WeightStore {
    slots: Arc<Semaphore>,
    load_time: Duration,
}

impl WeightStore {
    /// A store with `slots` loads at a time, each taking `load_time`.
    pub fn new(slots: usize, load_time: Duration) -> Self {
        Self { slots: Arc::new(Semaphore::new(slots)), load_time }
    }

    /// Waits for a slot and fetches one version's weights.
    pub async fn fetch(&self) {
        let _slot = self.slots.acquire().await.expect("the semaphore is never closed");
        tokio::time::sleep(self.load_time).await;
    }
}
