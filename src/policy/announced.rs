//! What one life of a BackendServer has announced in its answers.

use std::time::Duration;

/// Drain notice and pause; times are on the entry's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Announced {
    draining_since: Option<Duration>,
    paused_until: Duration,
}

impl Announced {
    /// Notes a drain notice; whether it is the first one. Only a new life ends it.
    pub fn note_draining(&mut self, now: Duration) -> bool {
        let is_first = self.draining_since.is_none();
        self.draining_since.get_or_insert(now);
        is_first
    }

    /// Notes a pause; whether it is a new one. The later end holds.
    pub fn note_pause(&mut self, pause: Duration, now: Duration) -> bool {
        let is_new = !self.is_paused(now);
        self.paused_until = self.paused_until.max(now + pause);
        is_new
    }

    /// When it first announced that it is draining.
    pub fn draining_since(&self) -> Option<Duration> {
        self.draining_since
    }

    /// When the last pause ends or ended.
    pub fn paused_until(&self) -> Duration {
        self.paused_until
    }

    /// Whether it is to be sent nothing now by its own request.
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until
    }
}
