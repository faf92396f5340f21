//! Counting of the requests in flight.

use std::{sync::Arc, time::Duration};

use crate::router::Router;

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    router: Arc<Router>,
    /// When the request arrived, on the entry's clock.
    pub(crate) arrived_at: Duration,
}

impl InFlightGuard {
    pub(crate) fn new(router: &Arc<Router>) -> Self {
        router.record_request_started();
        Self { router: router.clone(), arrived_at: router.now() }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.router.record_request_finished();
    }
}
