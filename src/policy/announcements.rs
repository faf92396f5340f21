//! What one life of a BackendServer has announced in its answers: that it is draining, or a pause.

use std::time::Duration;

/// Answers after a pause from which on a server is used as before: the sends that it may have waiting double
/// with each of its answers, so sixteen are four round trips.
const RECOVERY_ANSWERS: u32 = 16;
/// Longest time for which that counts, so that answers that never come don't keep a server from being used.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Drain notice and pause; times are on the entry's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Announcements {
    draining_since: Option<Duration>,
    paused_until: Option<Duration>,
    /// Answers since the last pause.
    answers_since_pause: u32,
}

impl Announcements {
    /// Notes a drain notice; whether it is the first one. Only a new life ends it.
    pub fn note_draining(&mut self, now: Duration) -> bool {
        let is_first = self.draining_since.is_none();
        self.draining_since.get_or_insert(now);
        is_first
    }

    /// Notes a pause; whether none was under way. The later end holds.
    pub fn note_pause(&mut self, pause: Duration, now: Duration) -> bool {
        let is_new = !self.is_paused(now);
        self.paused_until = self.paused_until.max(Some(now + pause));
        self.answers_since_pause = 0;
        is_new
    }

    /// Notes an answer that is no rejection; whether it is the first one after a pause.
    pub fn note_answer(&mut self, now: Duration) -> bool {
        if self.is_paused(now) {
            return false;
        }
        self.answers_since_pause = self.answers_since_pause.saturating_add(1);
        self.answers_since_pause == 1 && self.paused_until.is_some()
    }

    /// When it first announced that it is draining.
    pub fn draining_since(&self) -> Option<Duration> {
        self.draining_since
    }

    /// When the last pause ends or ended; zero where there was none.
    pub fn paused_until(&self) -> Duration {
        self.paused_until.unwrap_or_default()
    }

    /// Whether a pause is under way.
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until()
    }

    /// Whether its last pause ended so lately that it gets few requests at once.
    pub fn is_recovering(&self, now: Duration) -> bool {
        self.answers_since_pause < RECOVERY_ANSWERS
            && self
                .paused_until
                .is_some_and(|until| (until..until + MAX_RECOVERY_TIME).contains(&now))
    }

    /// Answers since the last pause, so many of which may be waited for at once and one more.
    pub fn answers_since_pause(&self) -> u32 {
        self.answers_since_pause
    }
}
