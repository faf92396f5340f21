//! Runs a task again after a panic.

use std::{
    future::Future,
    panic::AssertUnwindSafe,
    time::{Duration, Instant},
};

use futures_util::FutureExt;
use rand::RngExt;
use tokio::time::sleep;

use crate::telemetry::{Metrics, event};

/// Delay before the first restart; doubles with each further one, up to [`MAX_DELAY`].
const MIN_DELAY: Duration = Duration::from_millis(100);
/// Longest delay before a restart.
const MAX_DELAY: Duration = Duration::from_secs(10);
/// Time without a panic after which the next delay is [`MIN_DELAY`] again.
const SETTLED_AFTER: Duration = Duration::from_secs(60);

/// Exponential delays with jitter before restarts.
#[derive(Debug)]
pub(crate) struct RestartDelays {
    next: Duration,
    started_at: Instant,
}

impl RestartDelays {
    /// Delays of work that starts now.
    pub(crate) fn new() -> Self {
        Self { next: MIN_DELAY, started_at: Instant::now() }
    }

    /// The delay after a panic, between half of the exponential delay and the whole of it.
    pub(crate) fn advance(&mut self) -> Duration {
        if self.started_at.elapsed() >= SETTLED_AFTER {
            self.next = MIN_DELAY;
        }
        let delay = self.next.mul_f64(rand::rng().random_range(0.5..=1.0));
        self.next = (self.next * 2).min(MAX_DELAY);
        self.started_at = Instant::now() + delay;
        delay
    }
}

/// Runs a task until it completes. A panic of the task is logged and counted, and the task is started again after a
/// delay; what the task shares with others must be usable in the state in which a panic leaves it.
pub async fn supervise<F, Fut>(task: &str, metrics: &Metrics, mut start: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = ()>,
{
    let mut delays = RestartDelays::new();
    while AssertUnwindSafe(start()).catch_unwind().await.is_err() {
        let delay = delays.advance();
        event::TASK_PANICKED.log(format_args!("task=\"{task}\" delay_ms={}", delay.as_millis()));
        metrics.count_task_restart(task);
        sleep(delay).await;
    }
}
