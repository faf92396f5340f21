//! News that must not wait for the next heartbeat, for the entries that report here.

use tokio::{sync::watch, time::sleep};

use crate::router::{Router, messages::PeerMessage, peers::GATHER};

/// Urgent news for one link, as it comes.
pub(super) struct UrgentUpdates<'a> {
    router: &'a Router,
    suspicions: watch::Receiver<u64>,
    limits: watch::Receiver<u64>,
    next_end: u64,
    next_limit: u64,
    /// Whether there was a change since the last message.
    is_due: bool,
}

impl<'a> UrgentUpdates<'a> {
    pub(super) fn of(router: &'a Router) -> Self {
        let (suspicions, limits) = (router.quarantine.changes(), router.limits.urgent_changes());
        // What is known already is reported at once.
        Self { router, suspicions, limits, next_end: 0, next_limit: 0, is_due: true }
    }

    /// Waits for the next urgent news. It may be dropped while it waits, and loses nothing by it.
    pub(super) async fn next(&mut self) -> PeerMessage {
        loop {
            if !self.is_due {
                tokio::select! {
                    _ = self.suspicions.changed() => {}
                    _ = self.limits.changed() => {}
                }
                self.is_due = true;
            }
            sleep(GATHER).await;
            self.is_due = false;
            let router = self.router;
            let (ends, next_end) = router.quarantine.urgent_since(self.next_end, router.now());
            let (limits, next_limit) = router.limits.all_since(self.next_limit);
            (self.next_end, self.next_limit) = (next_end, next_limit);
            if !ends.is_empty() || !limits.is_empty() {
                return PeerMessage::News { ends, limits };
            }
        }
    }
}
