//! Counting of the requests in flight.

use std::{sync::Arc, time::Duration};

use crate::router::{
    Router, callers::caller_connection::CallerConnection, request::memory_budget::HeldBytes,
};

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    router: Arc<Router>,
    /// When the request arrived, on the entry's clock.
    pub(crate) arrived_at: Duration,
    /// When the connection on which it arrived was opened.
    pub(crate) connected_at: Duration,
    /// The connection on which it arrived.
    pub(crate) connection: Arc<CallerConnection>,
    /// Memory that its body uses.
    held_body: HeldBytes,
    /// Whether it was received in full.
    is_received: bool,
}

impl InFlightGuard {
    pub(crate) fn new(
        router: &Arc<Router>,
        connection: &Arc<CallerConnection>,
        connected_at: Duration,
    ) -> Self {
        router.record_request_started();
        Self {
            router: router.clone(),
            arrived_at: router.now(),
            connected_at,
            connection: connection.clone(),
            held_body: HeldBytes::default(),
            is_received: false,
        }
    }

    /// Counts further bytes of the body as held; `None` if the process holds too much.
    pub(crate) async fn hold_body(&mut self, bytes: usize) -> Option<()> {
        let more = self.router.memory.hold_or_refuse(&self.connection, bytes).await?;
        self.held_body.merge(more);
        Some(())
    }

    /// Records that the request was received in full: what happens next is up to servers.
    pub(crate) fn mark_received(&mut self) {
        self.held_body.release_caller();
        self.connection.record_request_begun();
        self.is_received = true;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if self.is_received {
            self.connection.record_request_ended();
        }
        self.router.record_request_finished();
    }
}
