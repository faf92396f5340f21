//! A mutex that measures how long it is waited for and held.

use std::{
    ops::{Deref, DerefMut},
    sync::{
        MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use crate::sync::Mutex;

/// A mutex between the control thread and the thread that serves callers: while one of them holds it for long, the
/// other one stands still.
#[derive(Debug, Default)]
pub(super) struct TimedMutex<T> {
    inner: Mutex<T>,
    acquired: AtomicU64,
    waited_ns: AtomicU64,
    held_ns: AtomicU64,
    longest_ns: AtomicU64,
}

/// How a mutex was used since the start of the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LockUsage {
    /// How often it was acquired.
    pub(crate) acquired: u64,
    /// Total time for which threads waited for it.
    pub(crate) waited: Duration,
    /// Total time for which it was held.
    pub(crate) held: Duration,
}

/// Releases the mutex when dropped, and records how long it was held.
pub(super) struct TimedGuard<'a, T> {
    guard: MutexGuard<'a, T>,
    mutex: &'a TimedMutex<T>,
    acquired_at: Instant,
}

impl<T> TimedMutex<T> {
    pub(super) fn lock(&self) -> TimedGuard<'_, T> {
        let asked_at = Instant::now();
        let guard = self.inner.lock();
        let acquired_at = Instant::now();
        self.acquired.fetch_add(1, Ordering::Relaxed);
        add(&self.waited_ns, acquired_at - asked_at);
        TimedGuard { guard, mutex: self, acquired_at }
    }

    pub(super) fn usage(&self) -> LockUsage {
        let total = |ns: &AtomicU64| Duration::from_nanos(ns.load(Ordering::Relaxed));
        LockUsage {
            acquired: self.acquired.load(Ordering::Relaxed),
            waited: total(&self.waited_ns),
            held: total(&self.held_ns),
        }
    }

    /// The longest time for which it was held since the last call.
    pub(super) fn take_longest(&self) -> Duration {
        Duration::from_nanos(self.longest_ns.swap(0, Ordering::Relaxed))
    }
}

impl<T> Deref for TimedGuard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.guard
    }
}

impl<T> DerefMut for TimedGuard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.guard
    }
}

impl<T> Drop for TimedGuard<'_, T> {
    fn drop(&mut self) {
        let held = self.acquired_at.elapsed();
        add(&self.mutex.held_ns, held);
        self.mutex.longest_ns.fetch_max(as_ns(held), Ordering::Relaxed);
    }
}

fn add(total_ns: &AtomicU64, time: Duration) {
    total_ns.fetch_add(as_ns(time), Ordering::Relaxed);
}

fn as_ns(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}
