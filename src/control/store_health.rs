//! Whether the platform's store answers, as this process has last seen it.

use std::{
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use crate::{
    platform::Result,
    telemetry::{Metrics, event},
};

/// Store health of one process; clones share it.
#[derive(Clone, Debug)]
pub struct StoreHealth {
    down: Arc<AtomicBool>,
    metrics: Metrics,
}

impl StoreHealth {
    /// Starts out as up.
    pub fn new(metrics: Metrics) -> Self {
        Self { down: Arc::default(), metrics }
    }

    /// Whether the last call failed.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed)
    }

    /// Carries a call out, counts it and notes whether it was answered.
    ///
    /// # Errors
    /// The call's own.
    pub async fn watch<T>(&self, cause: &str, call: impl Future<Output = Result<T>>) -> Result<T> {
        self.metrics.count_store_call(cause);
        let res = call.await;
        if let Err(e) = &res {
            self.metrics.count_store_error(cause);
            if !self.down.swap(true, Ordering::Relaxed) {
                event::STORE_UNREACHABLE.log(format_args!("cause={cause} problem={e}"));
            }
            return res;
        }
        if self.down.swap(false, Ordering::Relaxed) {
            event::STORE_BACK.log(format_args!("cause={cause}"));
        }
        res
    }
}
