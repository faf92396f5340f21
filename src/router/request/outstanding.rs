//! Counting of the requests that a server has not answered yet.

use std::{sync::Arc, time::Duration};

use crate::router::Member;

/// Counts a request in the load of its server until it is dropped.
#[derive(Debug)]
pub(crate) struct OutstandingGuard {
    member: Arc<Member>,
    /// Prefill time of its prompt.
    prefill_time: Duration,
    /// Whether its response has begun.
    has_begun: bool,
}

impl OutstandingGuard {
    pub(super) fn new(member: &Arc<Member>, prefill_time: Duration) -> Self {
        let mut state = member.state();
        state.load.own_requests += 1;
        state.unanswered += 1;
        state.backlog += prefill_time;
        drop(state);
        Self { member: member.clone(), prefill_time, has_begun: false }
    }

    /// Records that the response has begun or is no longer awaited.
    pub(super) fn mark_begun(&mut self) {
        if std::mem::replace(&mut self.has_begun, true) {
            return;
        }
        let mut state = self.member.state();
        state.unanswered -= 1;
        state.backlog = state.backlog.saturating_sub(self.prefill_time);
    }
}

impl Drop for OutstandingGuard {
    fn drop(&mut self) {
        self.mark_begun();
        self.member.state().load.own_requests -= 1;
    }
}
