//! The trial of a quarantined request: it is sent once, to see whether it still crashes servers.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use crate::{router::Router, routing::Fingerprint};

/// A trial that the store has granted to this entry and that one request is about to make. Dropped without having been
/// sent, it is left to the next request with the same fingerprint, since the store grants few of them.
#[derive(Debug)]
pub(crate) struct QuarantineTrial {
    router: Arc<Router>,
    fingerprint: Fingerprint,
    is_sent: AtomicBool,
}

impl QuarantineTrial {
    /// Takes the trial of a request if one was granted and not made.
    pub(crate) fn take(router: &Arc<Router>, fingerprint: Fingerprint) -> Option<Self> {
        let is_taken = router.quarantine.take_trial(&fingerprint);
        is_taken.then(|| Self {
            router: router.clone(),
            fingerprint,
            is_sent: AtomicBool::new(false),
        })
    }

    /// Records whether a server may run or have run the request.
    pub(crate) fn set_sent(&self, is_sent: bool) {
        self.is_sent.store(is_sent, Ordering::Release);
    }
}

impl Drop for QuarantineTrial {
    fn drop(&mut self) {
        if !self.is_sent.load(Ordering::Acquire) {
            self.router.quarantine.return_trial(self.fingerprint);
        }
    }
}
