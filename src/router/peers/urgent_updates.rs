//! Updates for reporting entries that must not wait for the next heartbeat.

use tokio::{sync::watch, time::sleep};

use crate::router::{
    Router,
    peers::{links::BATCH_DELAY, messages::PeerMessage},
};

/// Urgent updates for one link.
pub(crate) struct UrgentUpdates<'a> {
    router: &'a Router,
    quarantine_changes: watch::Receiver<u64>,
    limit_changes: watch::Receiver<u64>,
    next_end: u64,
    next_limit: u64,
    /// Whether there was a change since the last message.
    has_changes: bool,
}

impl<'a> UrgentUpdates<'a> {
    pub(crate) fn new(router: &'a Router) -> Self {
        let (quarantine_changes, limit_changes) =
            (router.quarantine.changes(), router.shared_limits.urgent_changes());
        // What is already known is sent immediately.
        Self {
            router,
            quarantine_changes,
            limit_changes,
            next_end: 0,
            next_limit: 0,
            has_changes: true,
        }
    }

    /// Waits for the next urgent updates. It is cancel safe: no update is lost when the future is
    /// dropped.
    pub(crate) async fn next(&mut self) -> PeerMessage {
        loop {
            if !self.has_changes {
                tokio::select! {
                    _ = self.quarantine_changes.changed() => {}
                    _ = self.limit_changes.changed() => {}
                }
                self.has_changes = true;
            }
            sleep(BATCH_DELAY).await;
            self.has_changes = false;
            let router = self.router;
            let (ends, next_end) = router.quarantine.urgent_since(self.next_end, router.now());
            let (limits, next_limit) = router.shared_limits.all_since(self.next_limit);
            (self.next_end, self.next_limit) = (next_end, next_limit);
            if !ends.is_empty() || !limits.is_empty() {
                return PeerMessage::News { ends, limits };
            }
        }
    }
}
