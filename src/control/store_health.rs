//! Tracks whether the platform's store is reachable from this process.

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

/// Time without a successful call after which the store counts as unavailable; a shorter failure may just
/// be a lost reply.
const OUTAGE_AFTER: Duration = Duration::from_secs(2);

/// Reachability of the store from one process; clones share their state.
#[derive(Clone, Debug)]
pub struct StoreHealth {
    failing_since: Arc<Mutex<Option<Instant>>>,
    metrics: Metrics,
}

impl StoreHealth {
    /// Creates a tracker that considers the store reachable.
    pub fn new(metrics: Metrics) -> Self {
        Self { failing_since: Arc::default(), metrics }
    }

    /// Whether the most recent call failed.
    pub fn last_call_failed(&self) -> bool {
        self.lock().is_some()
    }

    /// Whether calls have been failing for at least two seconds.
    pub fn is_unavailable(&self) -> bool {
        self.lock().is_some_and(|since| since.elapsed() >= OUTAGE_AFTER)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Instant>> {
        self.failing_since.lock().expect("no code panics while holding this lock")
    }

    /// Awaits a call, counts it in the metrics and records whether it succeeded.
    ///
    /// # Errors
    /// Those of the call.
    pub async fn track<T>(&self, cause: &str, call: impl Future<Output = Result<T>>) -> Result<T> {
        self.metrics.count_store_call(cause);
        let res = call.await;
        if let Err(e) = &res {
            self.metrics.count_store_error(cause);
            let was_failing = self.last_call_failed();
            self.lock().get_or_insert_with(Instant::now);
            if !was_failing {
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
