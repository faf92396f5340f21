//! News that must not wait for the next heartbeat, for the entries that report here.

use tokio::{sync::watch, time::sleep};

use crate::router::{Router, messages::PeerMessage, peers::BATCH_DELAY};

/// Urgent news for one link, as it comes.
pub(super) struct UrgentUpdates<'a> {
    router: &'a Router,
    quarantine_changes: watch::Receiver<u64>,
    limits: watch::Receiver<u64>,
    next_end: u64,
    next_limit: u64,
    /// Whether there was a change since the last message.
    has_changes: bool,
}

impl<'a> UrgentUpdates<'a> {
    pub(super) fn new(router: &'a Router) -> Self {
        let (quarantine_changes, limits) =
            (router.quarantine.changes(), router.limits.urgent_changes());
        // What is known already is reported at once.
        Self { router, quarantine_changes, limits, next_end: 0, next_limit: 0, has_changes: true }
    }

    /// Waits for the next urgent news. It may be dropped while it waits, and loses nothing by it.
    pub(super) async fn next(&mut self) -> PeerMessage {
        loop {
            if !self.has_changes {
                tokio::select! {
                    _ = self.quarantine_changes.changed() => {}
                    _ = self.limits.changed() => {}
                }
                self.has_changes = true;
            }
            sleep(BATCH_DELAY).await;
            self.has_changes = false;
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
