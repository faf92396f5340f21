//! The trial of quarantined suspects: a request with them is sent once, to see whether it still crashes servers.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use crate::{policy::quarantine::Suspect, router::Router};

/// A trial that the store has granted to this entry and that one request is about to make. Dropped without having been
/// sent, it is left to the next request with the same suspects, since the store grants few of them.
#[derive(Debug)]
pub(crate) struct QuarantineTrial {
    router: Arc<Router>,
    suspects: Box<[Suspect]>,
    is_sent: AtomicBool,
}

impl QuarantineTrial {
    /// Takes the trial of these suspects if one was granted for each and not made.
    pub(crate) fn take(router: &Arc<Router>, suspects: Box<[Suspect]>) -> Option<Self> {
        let is_taken = router.quarantine.take_trial(&suspects);
        is_taken.then(|| Self { router: router.clone(), suspects, is_sent: AtomicBool::new(false) })
    }

    /// Whether the trial is one of this suspect.
    pub(crate) fn covers(&self, suspect: &Suspect) -> bool {
        self.suspects.contains(suspect)
    }

    /// Records whether a server may run or have run the request.
    pub(crate) fn set_sent(&self, is_sent: bool) {
        self.is_sent.store(is_sent, Ordering::Release);
    }
}

impl Drop for QuarantineTrial {
    fn drop(&mut self) {
        if !self.is_sent.load(Ordering::Acquire) {
            self.router.quarantine.return_trial(&self.suspects);
        }
    }
}
