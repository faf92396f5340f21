//! Tracks whether the platform's table and object services answer this process.

use std::{future::Future, sync::Arc, time::Duration};

use tokio::time::Instant;

use crate::{
    platform::Result,
    sync::Mutex,
    telemetry::{Metrics, event},
};

/// Time since the first of a series of failed calls after which the services count as unavailable; shorter
/// failures may just be lost replies.
const OUTAGE_AFTER: Duration = Duration::from_secs(2);

/// Outcome of one process's recent calls to the table and object services; clones share their state.
#[derive(Clone, Debug)]
pub struct StoreHealth {
    failing_since: Arc<Mutex<Option<Instant>>>,
    metrics: Metrics,
}

impl StoreHealth {
    /// Creates a tracker that assumes that the services are available.
    pub fn new(metrics: Metrics) -> Self {
        Self { failing_since: Arc::default(), metrics }
    }

    /// Whether the most recent call failed.
    pub fn last_call_failed(&self) -> bool {
        self.lock().is_some()
    }

    /// Whether all calls have failed for at least two seconds.
    pub fn is_unavailable(&self) -> bool {
        self.lock().is_some_and(|since| since.elapsed() >= OUTAGE_AFTER)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Instant>> {
        self.failing_since.lock()
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
