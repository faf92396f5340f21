//! Monotonic clock that keeps counting while the Host is suspended.
//!
//! `std::time::Instant` and Tokio's timers stop during a suspension, so that afterwards deadlines, leases
//! and state received from peers would still look current. This clock reads `CLOCK_BOOTTIME`, which includes
//! suspended time and never goes backwards. Wall-clock time can go backwards and is not used.
//!
//! Tokio's timers don't follow this clock. Code that waits for a point in time on it is woken when a
//! suspension is detected and then checks the time again ([`Clock::timeout_at`]).

use std::{
    future::Future,
    pin::pin,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use rustix::time::{ClockId, clock_gettime};
use tokio::{sync::watch, time::sleep};

use crate::sync::Mutex;

/// Least difference between boot time and monotonic time that counts as a suspension. The two clocks are
/// read one after the other, and a process preempted in between sees a difference of some milliseconds.
const MIN_SUSPENSION: Duration = Duration::from_millis(150);

/// Time since the Host booted, including suspended time.
pub fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}

/// Readings of the monotonic and the boot-time clock, taken together.
#[derive(Clone, Copy, Debug)]
struct ClockReadings {
    monotonic: Instant,
    boottime: Duration,
}

/// Clock of one process.
#[derive(Debug)]
pub struct Clock {
    /// Time since boot when this clock was created.
    created_at: Duration,
    /// Time that this clock showed when it was created.
    origin: Duration,
    last_readings: Mutex<ClockReadings>,
    /// Number of suspensions detected.
    suspensions: watch::Sender<u64>,
    /// Number of times that all waiters had to look at the time and their deadlines again.
    wakes: watch::Sender<u64>,
    /// When the last suspension was detected, in milliseconds on this clock; 0 if there was none.
    last_resumed_ms: AtomicU64,
    /// Suspended time simulated by tests, in milliseconds.
    simulated_ms: AtomicU64,
}

impl Clock {
    /// Creates a clock that shows `origin` now.
    pub fn starting_at(origin: Duration) -> Self {
        let created_at = since_boot();
        Self {
            created_at,
            origin,
            last_readings: Mutex::new(ClockReadings {
                monotonic: Instant::now(),
                boottime: created_at,
            }),
            suspensions: watch::Sender::new(0),
            wakes: watch::Sender::new(0),
            last_resumed_ms: AtomicU64::new(0),
            simulated_ms: AtomicU64::new(0),
        }
    }

    /// Current time on this clock.
    pub fn now(&self) -> Duration {
        (self.origin + self.since_boot()).saturating_sub(self.created_at)
    }

    fn since_boot(&self) -> Duration {
        since_boot() + Duration::from_millis(self.simulated_ms.load(Ordering::Acquire))
    }

    /// Advances the clock as if the Host had been suspended for `time`; for tests.
    pub fn simulate_suspension(&self, time: Duration) {
        self.simulated_ms.fetch_add(time.as_millis() as u64, Ordering::AcqRel);
    }

    /// Checks whether the Host was suspended since the last check. If it was, wakes all waiters and returns
    /// the length of the suspension.
    pub fn detect_suspension(&self) -> Option<Duration> {
        let suspended = {
            let mut last_readings = self.last_readings.lock();
            let now = ClockReadings { monotonic: Instant::now(), boottime: self.since_boot() };
            let previous = std::mem::replace(&mut *last_readings, now);
            let monotonic = now.monotonic.saturating_duration_since(previous.monotonic);
            now.boottime.saturating_sub(previous.boottime).saturating_sub(monotonic)
        };
        if suspended < MIN_SUSPENSION {
            return None;
        }
        self.last_resumed_ms.store(self.now().as_millis() as u64, Ordering::Release);
        self.suspensions.send_modify(|count| *count += 1);
        self.wake_waiters();
        Some(suspended)
    }

    /// When a suspension was last detected; zero if there was none.
    pub fn last_resumed_at(&self) -> Duration {
        Duration::from_millis(self.last_resumed_ms.load(Ordering::Acquire))
    }

    /// Subscribes to the suspensions detected from now on.
    pub fn subscribe_suspensions(&self) -> watch::Receiver<u64> {
        self.suspensions.subscribe()
    }

    /// Makes all waiters look at the time and their deadlines again.
    pub fn wake_waiters(&self) {
        self.wakes.send_modify(|count| *count += 1);
    }

    /// Runs `work` until a point in time on this clock; `None` once that has passed, also when it passed
    /// while the Host was suspended. Output that is ready takes precedence over the timeout.
    pub async fn timeout_at<F: Future>(&self, deadline: Duration, work: F) -> Option<F::Output> {
        self.timeout_until(|| Some(deadline), work).await
    }

    /// Like [`Clock::timeout_at`], with a deadline that is computed again when waiters are woken
    /// ([`Clock::wake_waiters`]). While there is none, no timer runs.
    pub async fn timeout_until<F: Future>(
        &self,
        deadline: impl Fn() -> Option<Duration>,
        work: F,
    ) -> Option<F::Output> {
        let mut work = pin!(work);
        let mut wakes = self.wakes.subscribe();
        loop {
            let deadline = deadline();
            let left = deadline.map(|deadline| deadline.saturating_sub(self.now()));
            let passed = async {
                match left {
                    Some(left) => sleep(left).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                output = work.as_mut() => return Some(output),
                () = passed => {
                    if deadline.is_some_and(|deadline| self.now() >= deadline) {
                        return None;
                    }
                }
                _ = wakes.changed() => {}
            }
        }
    }
}
