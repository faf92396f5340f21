//! A mutex that stays usable after a panic.

use std::sync::{MutexGuard, PoisonError};

/// A mutex whose lock is taken also after a panic of a thread that held it. With the standard library's poisoning, one
/// panic would make every later user of the lock panic too (docs/decisions/0025).
#[derive(Debug, Default)]
pub struct Mutex<T>(std::sync::Mutex<T>);

impl<T> Mutex<T> {
    /// A mutex that protects this value.
    pub const fn new(value: T) -> Self {
        Self(std::sync::Mutex::new(value))
    }

    /// Waits for the lock. The value is as the last holder left it, which may be in the middle of a change if that
    /// holder panicked.
    pub fn lock(&self) -> MutexGuard<'_, T> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
