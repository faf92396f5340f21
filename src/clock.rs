//! The clock by which processes decide: it goes on while the Host is suspended.
//!
//! The clocks of the standard library and of the runtime stand still while a Host is suspended, so that
//! after it everything looks as fresh as before: deadlines, leases, what was received from others. This one
//! counts that time (`CLOCK_BOOTTIME`) and never goes back; the time of day does, and is not used.
//!
//! Timers of the runtime do not fire by it. Whoever waits for a moment on this clock is woken as soon as the
//! suspension is noticed, and looks again ([`Clock::timeout_at`]).

use std::{
    future::Future,
    pin::pin,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use rustix::time::{ClockId, clock_gettime};
use tokio::{sync::watch, time::sleep};

/// Difference between both clocks from which on the Host was suspended: they are read one after the other, and
/// a process that waits for its turn in between sees some milliseconds.
const MIN_SUSPENSION: Duration = Duration::from_millis(150);

/// Time since the Host started, with the time for which it was suspended.
pub fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}

/// When both clocks were last compared.
#[derive(Clone, Copy, Debug)]
struct Compared {
    steady: Instant,
    boot: Duration,
}

/// One process's clock.
#[derive(Debug)]
pub struct Clock {
    /// Time since the Host started when this clock was made.
    started: Duration,
    /// What it showed then.
    origin: Duration,
    compared: Mutex<Compared>,
    /// Suspensions noticed.
    wakes: watch::Sender<u64>,
    /// When the last one was noticed, milliseconds on this clock; 0 where there was none.
    woke_at_ms: AtomicU64,
    /// Time that tests have let pass as if the Host had been suspended, milliseconds.
    skipped_ms: AtomicU64,
}

impl Clock {
    /// A clock that shows `origin` now.
    pub fn starting_at(origin: Duration) -> Self {
        let started = since_boot();
        Self {
            started,
            origin,
            compared: Mutex::new(Compared { steady: Instant::now(), boot: started }),
            wakes: watch::Sender::new(0),
            woke_at_ms: AtomicU64::new(0),
            skipped_ms: AtomicU64::new(0),
        }
    }

    /// Time on this clock.
    pub fn now(&self) -> Duration {
        (self.origin + self.since_boot()).saturating_sub(self.started)
    }

    fn since_boot(&self) -> Duration {
        since_boot() + Duration::from_millis(self.skipped_ms.load(Ordering::Acquire))
    }

    /// Lets time pass as if the Host had been suspended; for tests.
    pub fn simulate_suspension(&self, time: Duration) {
        self.skipped_ms.fetch_add(time.as_millis() as u64, Ordering::AcqRel);
    }

    /// Looks whether the Host was suspended since the last look, and wakes those who wait if it was; gives
    /// for how long.
    pub fn detect_suspension(&self) -> Option<Duration> {
        let suspended = {
            let mut compared = self.compared.lock().expect("no panics under the lock");
            let now = Compared { steady: Instant::now(), boot: self.since_boot() };
            let before = std::mem::replace(&mut *compared, now);
            let steady = now.steady.saturating_duration_since(before.steady);
            now.boot.saturating_sub(before.boot).saturating_sub(steady)
        };
        if suspended < MIN_SUSPENSION {
            return None;
        }
        self.woke_at_ms.store(self.now().as_millis() as u64, Ordering::Release);
        self.wakes.send_modify(|wakes| *wakes += 1);
        Some(suspended)
    }

    /// When it was last noticed that the Host had been suspended; zero where it never was.
    pub fn last_resumed_at(&self) -> Duration {
        Duration::from_millis(self.woke_at_ms.load(Ordering::Acquire))
    }

    /// Notifies of each suspension from now on.
    pub fn subscribe_suspensions(&self) -> watch::Receiver<u64> {
        self.wakes.subscribe()
    }

    /// Waits for work until a moment on this clock; none once that has passed, also where it passed while
    /// the Host was suspended. What is ready by then is taken.
    pub async fn timeout_at<F: Future>(&self, moment: Duration, work: F) -> Option<F::Output> {
        let mut work = pin!(work);
        let mut wakes = self.subscribe_suspensions();
        loop {
            let left = moment.saturating_sub(self.now());
            tokio::select! {
                biased;
                output = work.as_mut() => return Some(output),
                () = sleep(left) => {
                    if self.now() >= moment {
                        return None;
                    }
                }
                _ = wakes.changed() => {}
            }
        }
    }
}
