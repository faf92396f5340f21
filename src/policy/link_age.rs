//! Age of what an entry receives over a link to another one, proved by round trips.
//!
//! The arrival of a message says nothing about its age: on a link whose queue fills, messages arrive later and later
//! without a gap. So the receiver sends readings of its own clock, and the other side returns the last one that it has
//! received: what it sends with that is no older. No clock of another Host takes part (docs/decisions/0026). Leases are
//! measured in the same way, from before the question (C. Gray and D. Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for
//! Distributed File Cache Consistency", 1989).

use std::time::Duration;

/// Part of the shortest bound on the age of data that a link may use up. The rest is for the followed entry, which may
/// pause 800 ms between changed servers, and for the call to the store; docs/CAPACITY.md has the sum.
const LINK_PART: f64 = 0.5;
/// Smallest limit of a link's age: two heartbeats of 300 ms, between which nothing is proved, and as much as a third for
/// round trips and waiting for the processor.
const MIN_LIMIT: Duration = Duration::from_millis(1_000);
/// Part of the limit below which a late link replaces the store again. It is lower than 1, so that a link at the limit
/// doesn't alternate.
const PROMPT_PART: f64 = 0.6;

/// A reading of a receiver's clock, in microseconds; the sender only returns it.
pub type ProbeTime = u64;

/// What a link has proved so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkAge {
    /// Time on the receiver's clock at or after which the newest message was composed, as far as is proved.
    proved_at: Duration,
    /// Age from which on the link no longer replaces the store.
    limit: Duration,
}

/// The limit of a link's age where changes must be in force after `bound`.
pub fn max_link_age(bound: Duration) -> Duration {
    bound.mul_f64(LINK_PART).max(MIN_LIMIT)
}

impl LinkAge {
    /// A link whose first question is sent now: what answers it is no older.
    pub fn new(now: Duration, limit: Duration) -> Self {
        Self { proved_at: now, limit }
    }

    /// The probe to send now.
    pub fn probe(now: Duration) -> ProbeTime {
        u64::try_from(now.as_micros()).unwrap_or(ProbeTime::MAX)
    }

    /// Records a message that returns a probe. One that this receiver can't have sent is ignored.
    pub fn record_echo(&mut self, probe: ProbeTime, now: Duration) {
        let sent_at = Duration::from_micros(probe);
        if sent_at <= now {
            self.proved_at = self.proved_at.max(sent_at);
        }
    }

    /// Records a message of a sender that returns no probes: its age is unknown and counts as none.
    pub fn record_arrival(&mut self, now: Duration) {
        self.proved_at = self.proved_at.max(now);
    }

    /// Time on the receiver's clock up to which what was received is complete.
    pub fn proved_at(&self) -> Duration {
        self.proved_at
    }

    /// From when on the link is late unless another message is received.
    pub fn late_at(&self) -> Duration {
        self.proved_at + self.limit
    }

    /// Whether what was received may be too old to replace the store.
    pub fn is_late(&self, now: Duration) -> bool {
        now >= self.late_at()
    }

    /// Whether a late link is prompt again.
    pub fn is_prompt(&self, now: Duration) -> bool {
        self.age(now) < self.limit.mul_f64(PROMPT_PART)
    }

    /// Age of what was received.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.proved_at)
    }
}
