//! Counting of the requests in flight.

use std::{sync::Arc, time::Duration};

use crate::router::{Router, request::memory_budget::HeldBytes};

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    router: Arc<Router>,
    /// When the request arrived, on the entry's clock.
    pub(crate) arrived_at: Duration,
    /// Memory that its body uses.
    held_body: Option<HeldBytes>,
}

impl InFlightGuard {
    pub(crate) fn new(router: &Arc<Router>) -> Self {
        router.record_request_started();
        Self { router: router.clone(), arrived_at: router.now(), held_body: None }
    }

    /// Counts further bytes of the body as held; `None` if the process holds too much.
    pub(crate) fn hold_body(&mut self, bytes: usize) -> Option<()> {
        let more = self.router.memory.try_hold(bytes)?;
        match &mut self.held_body {
            Some(held) => held.merge(more),
            None => self.held_body = Some(more),
        }
        Some(())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.router.record_request_finished();
    }
}
