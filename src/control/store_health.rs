//! Whether the platform's store answers, as this process has last seen it.

use std::{
    future::Future,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    platform::Result,
    telemetry::{Metrics, event},
};

/// Time without any answer after which the store counts as out rather than as losing replies.
const OUTAGE_AFTER: Duration = Duration::from_secs(2);

/// Store health of one process; clones share it.
#[derive(Clone, Debug)]
pub struct StoreHealth {
    down_since: Arc<Mutex<Option<Instant>>>,
    metrics: Metrics,
}

impl StoreHealth {
    /// Starts out as up.
    pub fn new(metrics: Metrics) -> Self {
        Self { down_since: Arc::default(), metrics }
    }

    /// Whether the last call failed.
    pub fn last_call_failed(&self) -> bool {
        self.lock().is_some()
    }

    /// Whether no call has been answered for a while.
    pub fn is_unavailable(&self) -> bool {
        self.lock().is_some_and(|since| since.elapsed() >= OUTAGE_AFTER)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Instant>> {
        self.down_since.lock().expect("no panics under the lock")
    }

    /// Carries a call out, counts it and notes whether it was answered.
    ///
    /// # Errors
    /// The call's own.
    pub async fn track<T>(&self, cause: &str, call: impl Future<Output = Result<T>>) -> Result<T> {
        self.metrics.count_store_call(cause);
        let res = call.await;
        if let Err(e) = &res {
            self.metrics.count_store_error(cause);
            let was_down = self.last_call_failed();
            self.lock().get_or_insert_with(Instant::now);
            if !was_down {
                event::STORE_UNREACHABLE.log(format_args!("cause={cause} problem={e}"));
            }
            return res;
        }
        if self.lock().take().is_some() {
            event::STORE_BACK.log(format_args!("cause={cause}"));
        }
        res
    }
}
