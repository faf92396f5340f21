//! What is known of one request that was running when servers ended.

use std::time::Duration;

use crate::policy::quarantine::{IncarnationHash, REFUSED_AFTER};

/// Maximum number of remembered ends per request; earlier ones no longer matter.
const MAX_ENDS_PER_REQUEST: usize = 16;

/// The end of a server incarnation that was running a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct End {
    pub(super) incarnation: IncarnationHash,
    pub(super) at: Duration,
    is_cleared: bool,
}

/// All known ends and trials of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct RequestRecord {
    /// Ordered by time, the earliest first.
    pub(super) ends: Vec<End>,
    pub(super) trials: u32,
    pub(super) tried_at: Duration,
}

impl RequestRecord {
    /// Adds or clears an end and returns whether that is new.
    pub(super) fn add_end(
        &mut self,
        incarnation: IncarnationHash,
        at: Duration,
        is_cleared: bool,
    ) -> bool {
        if let Some(end) = self.ends.iter_mut().find(|end| end.incarnation == incarnation) {
            let is_new = is_cleared && !end.is_cleared;
            end.is_cleared |= is_cleared;
            return is_new;
        }
        let place = self.ends.partition_point(|end| (end.at, end.incarnation) < (at, incarnation));
        self.ends.insert(place, End { incarnation, at, is_cleared });
        if self.ends.len() > MAX_ENDS_PER_REQUEST {
            self.ends.remove(0);
        }
        true
    }

    /// The ends that count against the request.
    pub(super) fn counted_ends(&self) -> impl Iterator<Item = (IncarnationHash, Duration)> {
        self.ends.iter().filter(|end| !end.is_cleared).map(|end| (end.incarnation, end.at))
    }

    /// Whether an end was cleared by a complete answer or by an operator.
    pub(super) fn has_cleared_end(&self) -> bool {
        self.ends.iter().any(|end| end.is_cleared)
    }

    pub(super) fn last_activity(&self) -> Duration {
        self.ends.last().map_or(Duration::ZERO, |end| end.at).max(self.tried_at)
    }

    pub(super) fn was_running_on(&self, incarnation: IncarnationHash) -> bool {
        self.ends.iter().any(|end| end.incarnation == incarnation)
    }

    /// Whether there are enough ends to refuse the request. Other requests are evicted first.
    pub(super) fn is_refusable(&self) -> bool {
        self.counted_ends().count() >= REFUSED_AFTER
    }
}
