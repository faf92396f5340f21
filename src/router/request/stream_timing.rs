//! When the events of a stream arrived from its servers and were relayed to its caller.

use std::time::Duration;

use tokio::time::Instant;

/// When the events of a stream were relayed to the caller, over all servers, on the entry's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct StreamTiming {
    pub(super) arrived_at: Duration,
    pub(super) last: Option<Duration>,
    pub(super) time_to_first: Duration,
    pub(super) longest_gap: Duration,
}

impl StreamTiming {
    pub(super) fn new(arrived_at: Duration) -> Self {
        let (time_to_first, longest_gap) = (Duration::ZERO, Duration::ZERO);
        Self { arrived_at, last: None, time_to_first, longest_gap }
    }

    /// Records an event that was passed to the caller's connection.
    pub(super) fn record_event(&mut self, now: Duration) {
        match self.last.replace(now) {
            None => self.time_to_first = now - self.arrived_at,
            Some(last) => self.longest_gap = self.longest_gap.max(now - last),
        }
    }
}

/// When the events of one server's run arrived. Uses the runtime's clock, which stops during a suspension of the
/// Host, since a suspension says nothing about the server's speed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunTiming {
    pub(super) first: Option<Instant>,
    pub(super) last: Option<Instant>,
    pub(super) gaps: u32,
    /// Whether the run was already counted as slow against its version.
    pub(super) is_counted: bool,
}

impl RunTiming {
    pub(super) fn record_event(&mut self, now: Instant) {
        self.first.get_or_insert(now);
        if self.last.replace(now).is_some() {
            self.gaps += 1;
        }
    }

    /// Time from the first event to the last one.
    pub(super) fn elapsed(&self) -> Duration {
        let Some((first, last)) = self.first.zip(self.last) else {
            return Duration::ZERO;
        };
        last - first
    }
}
