//! Drain notices and pauses that one incarnation of a BackendServer announces in its answers.

use std::time::Duration;

/// Answers after a pause until a server is used without restriction. The allowed number of
/// unanswered requests doubles with each round trip, so this takes four round trips.
const RECOVERY_ANSWERS: u32 = 16;
/// Longest time that recovery after a pause takes, so that a server whose answers never arrive
/// does not stay restricted.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Drain notice and latest pause of one server incarnation; times are on the entry's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Announcements {
    draining_since: Option<Duration>,
    /// When the latest pause was announced.
    paused_at: Option<Duration>,
    paused_until: Option<Duration>,
    /// Answers since the last pause, rejections not counted.
    answers_since_pause: u32,
}

impl Announcements {
    /// Records a drain notice and returns whether it is the first one. Draining ends only with a
    /// new incarnation of the server.
    pub fn record_draining(&mut self, now: Duration) -> bool {
        let is_first = self.draining_since.is_none();
        self.draining_since.get_or_insert(now);
        is_first
    }

    /// Records a pause and returns whether the server was not paused before. If pauses overlap,
    /// the later end applies.
    pub fn record_pause(&mut self, pause: Duration, now: Duration) -> bool {
        let is_new = !self.is_paused(now);
        self.paused_at = Some(now);
        self.paused_until = self.paused_until.max(Some(now + pause));
        self.answers_since_pause = 0;
        is_new
    }

    /// What was announced after a time, for a server that has restarted by then.
    pub fn since(self, at: Duration) -> Self {
        let draining_since = self.draining_since.filter(|since| at < *since);
        if self.paused_at.is_some_and(|paused_at| at < paused_at) {
            return Self { draining_since, ..self };
        }
        Self { draining_since, ..Self::default() }
    }

    /// Records an answer other than a rejection and returns whether it is the first one after a
    /// pause.
    pub fn record_answer(&mut self, now: Duration) -> bool {
        if self.is_paused(now) {
            return false;
        }
        self.answers_since_pause = self.answers_since_pause.saturating_add(1);
        self.answers_since_pause == 1 && self.paused_until.is_some()
    }

    /// When the first drain notice arrived.
    pub fn draining_since(&self) -> Option<Duration> {
        self.draining_since
    }

    /// End of the latest pause; zero if there was none.
    pub fn paused_until(&self) -> Duration {
        self.paused_until.unwrap_or_default()
    }

    /// Whether the server is paused.
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until()
    }

    /// Whether the latest pause ended so recently that concurrent requests are still restricted.
    pub fn is_recovering(&self, now: Duration) -> bool {
        self.answers_since_pause < RECOVERY_ANSWERS
            && self
                .paused_until
                .is_some_and(|until| (until..until + MAX_RECOVERY_TIME).contains(&now))
    }

    /// Answers since the latest pause. While recovering, a server may have one more unanswered
    /// request than this.
    pub fn answers_since_pause(&self) -> u32 {
        self.answers_since_pause
    }
}
