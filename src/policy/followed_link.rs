//! Whether a link to another entry replaces the store, and when it is left.

use std::time::Duration;

use crate::policy::link_age::{LinkAge, ProbeTime};

/// Time for which a link that is late is kept: it still tells the load of the servers, and a new one would send all that
/// is known again.
const LATE_LINK_GRACE: Duration = Duration::from_secs(1);

/// A link to another entry, as the entry that follows sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowedLink {
    age: LinkAge,
    /// Whether the other entry has returned a probe. One of an earlier version returns none, and answers each message
    /// by a heartbeat.
    returns_probes: bool,
    /// Time for which the other entry is followed after it has lost the store.
    grace: Duration,
    /// Whether the other entry reaches the store, and when it last said so.
    is_peer_current: bool,
    peer_current_at: Duration,
    /// Since when what arrives is too old.
    late_since: Option<Duration>,
}

impl FollowedLink {
    /// A link on which the first request is sent now. `limit` is its greatest age.
    pub fn new(now: Duration, limit: Duration, grace: Duration) -> Self {
        Self {
            age: LinkAge::new(now, limit),
            returns_probes: false,
            grace,
            is_peer_current: false,
            peer_current_at: now,
            late_since: None,
        }
    }

    /// Records a heartbeat: whether its sender reaches the store, and the probe that it returns.
    pub fn record_heartbeat(
        &mut self,
        now: Duration,
        is_peer_current: bool,
        probe: Option<ProbeTime>,
    ) {
        self.is_peer_current = is_peer_current;
        if is_peer_current {
            self.peer_current_at = now;
        }
        self.returns_probes = probe.is_some();
        match probe {
            Some(probe) => self.age.record_echo(probe, now),
            None => self.age.record_arrival(now),
        }
    }

    /// Judges the link by its age now. Returns whether it became late.
    pub fn update_lateness(&mut self, now: Duration) -> bool {
        let was_late = self.late_since.is_some();
        if self.age.is_late(now) {
            self.late_since.get_or_insert(now);
        } else if self.age.is_prompt(now) {
            self.late_since = None;
        }
        !was_late && self.late_since.is_some()
    }

    /// The probe to send after a heartbeat, if the other entry returns probes.
    pub fn next_probe(&self, now: Duration) -> Option<ProbeTime> {
        self.returns_probes.then(|| LinkAge::probe(now))
    }

    /// Age of what was received.
    pub fn age(&self) -> &LinkAge {
        &self.age
    }

    /// When the link becomes late unless another message is received; `None` if it is too old already.
    pub fn late_at(&self, now: Duration) -> Option<Duration> {
        (!self.age.is_late(now)).then(|| self.age.late_at())
    }

    /// Whether the link replaces the store.
    pub fn is_current(&self) -> bool {
        self.is_peer_current && self.late_since.is_none()
    }

    /// Why the link is left, if it is.
    pub fn reason_to_leave(&self, now: Duration) -> Option<&'static str> {
        if !self.is_peer_current && now >= self.peer_current_at + self.grace {
            return Some("the peer has lost the store");
        }
        let is_late = self.late_since.is_some_and(|since| now >= since + LATE_LINK_GRACE);
        is_late.then_some("what the peer sends arrives too late")
    }
}
