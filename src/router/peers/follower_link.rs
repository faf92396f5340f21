//! Serving an entry that follows this one: heartbeats with everything that is newer than the one before
//! (docs/decisions/0009 and 0026).

use futures_util::StreamExt;
use tokio::{
    sync::{
        broadcast::{self, error::RecvError},
        watch,
    },
    time::{Instant, sleep, sleep_until},
};
use tokio_tungstenite::tungstenite::Message;

use crate::{
    ids::StoreVersion,
    policy::link_age::ProbeTime,
    protocol::{Error, Result, decode},
    router::{
        Router,
        peers::{
            links::{
                BATCH_DELAY, HEARTBEAT_INTERVAL, SILENCE_TIMEOUT, Socket, send_message, timed_out,
            },
            messages::{PeerMessage, PeerRequest},
        },
        store::compressed_rows::CompressedUpdate,
    },
};

/// Maximum number of heartbeats that the follower has not answered by a probe. Further ones would wait in the queue of
/// a link that is slow, and be old when they arrive; updates are merged into the next one instead.
const MAX_UNANSWERED: u32 = 4;

/// What an entry asks for when it follows another one.
pub(crate) struct FollowRequest {
    /// Version of the newest rows that it has.
    pub(crate) version: StoreVersion,
    /// AvailabilityZone that this entry must be in, if any.
    pub(crate) only_in: Option<Box<str>>,
    /// Name of the follower's Host.
    pub(crate) host: Box<str>,
    /// Its first probe; none from followers that send none.
    pub(crate) probe: Option<ProbeTime>,
}

/// A follower, and what it has been sent.
struct FollowerLink<'a> {
    router: &'a Router,
    host: Box<str>,
    socket: Socket,
    changes: broadcast::Receiver<CompressedUpdate>,
    quarantine_changes: watch::Receiver<u64>,
    limit_changes: watch::Receiver<u64>,
    store_lost_changes: watch::Receiver<bool>,
    next_kept: u64,
    next_end: Option<u64>,
    next_limit: u64,
    next_speed: u64,
    /// The last probe received; none from followers that send none.
    probe: Option<ProbeTime>,
    /// Heartbeats sent since then.
    unanswered: u32,
}

/// Sends heartbeats with the store's updates to a follower until it closes the link.
pub(crate) async fn serve_follower(
    router: &Router,
    mut socket: Socket,
    request: FollowRequest,
) -> Result<()> {
    let zone = router.settings.load().zone.clone();
    let is_zone_accepted = request.only_in.is_none_or(|wanted| wanted == zone);
    send_message(&mut socket, &PeerMessage::Welcome { zone }).await?;
    if !is_zone_accepted {
        return Ok(());
    }
    let (mut updates, changes) = router.table_views.subscribe(request.version);
    let mut link = FollowerLink {
        router,
        host: request.host,
        socket,
        changes,
        quarantine_changes: router.quarantine.changes(),
        limit_changes: router.shared_limits.urgent_changes(),
        store_lost_changes: router.table_views.store_lost_changes(),
        next_kept: 0,
        next_end: None,
        next_limit: 0,
        next_speed: 0,
        probe: request.probe,
        unanswered: 0,
    };
    loop {
        let heartbeat = link.compose(updates);
        send_message(&mut link.socket, &heartbeat).await?;
        link.unanswered += 1;
        let Some(next) = link.wait_until_due().await? else {
            return Ok(());
        };
        updates = next;
    }
}

impl FollowerLink<'_> {
    /// Composes a heartbeat with everything that is newer than the one before.
    fn compose(&mut self, updates: Vec<CompressedUpdate>) -> PeerMessage {
        let router = self.router;
        let now = router.now();
        let (kept, next) = router.prefix_reports.all_since(self.next_kept, now);
        self.next_kept = next;
        self.quarantine_changes.mark_unchanged();
        let (ends, next) = router.quarantine.all_since(self.next_end, now);
        self.next_end = Some(next);
        self.limit_changes.mark_unchanged();
        self.store_lost_changes.mark_unchanged();
        let (limits, next) = router.shared_limits.all_since(self.next_limit);
        self.next_limit = next;
        let (speeds, next) = router.speed_reports.all_since(self.next_speed);
        self.next_speed = next;
        PeerMessage::Beat {
            is_current: router.is_current(),
            updates,
            entries: router.load_reports.entry_count(now),
            place: router.place_of(&self.host),
            loads: router.load_reports.sums(now),
            kept,
            ends,
            is_informed: router.quarantine.is_informed(),
            limits,
            speeds,
            true_time: router.shared_true_time(),
            probe: self.probe,
        }
    }

    /// Whether a heartbeat that is sent now doesn't wait behind others, as far as is known.
    fn may_send(&self) -> bool {
        self.probe.is_none() || self.unanswered < MAX_UNANSWERED
    }

    /// Waits until the next heartbeat is due and may be sent; returns the updates for it, or `None` once the follower
    /// has closed the link.
    ///
    /// # Errors
    /// When the follower is too far behind, or sends something else than probes.
    async fn wait_until_due(&mut self) -> Result<Option<Vec<CompressedUpdate>>> {
        let mut updates = Vec::new();
        let regular = Instant::now() + HEARTBEAT_INTERVAL;
        let mut is_due = false;
        loop {
            if is_due && self.may_send() {
                return Ok(Some(updates));
            }
            tokio::select! {
                update = self.changes.recv() => match update {
                    Ok(update) => {
                        updates.push(update);
                        is_due = true;
                    }
                    Err(RecvError::Lagged(_) | RecvError::Closed) => return Ok(None),
                },
                () = sleep_until(regular), if !is_due => is_due = true,
                _ = self.quarantine_changes.changed(), if !is_due => {
                    sleep(BATCH_DELAY).await;
                    is_due = true;
                }
                _ = self.limit_changes.changed(), if !is_due => {
                    sleep(BATCH_DELAY).await;
                    is_due = true;
                }
                // The follower asks the store itself as soon as it learns that this entry can't.
                _ = self.store_lost_changes.changed(), if !is_due => is_due = true,
                () = sleep_until(regular + SILENCE_TIMEOUT), if is_due => return Err(timed_out()),
                message = self.socket.next() => match message {
                    Some(Ok(Message::Close(_))) | None => return Ok(None),
                    Some(message) => self.receive(&message?)?,
                },
            }
        }
    }

    /// Records a message of the follower.
    fn receive(&mut self, message: &Message) -> Result<()> {
        let Message::Binary(data) = message else {
            return Ok(());
        };
        let PeerRequest::Probe(probe) = decode(data)? else {
            return Err(Error::ConnectionFailed("expected a probe".into()));
        };
        self.probe = Some(probe);
        self.unanswered = 0;
        Ok(())
    }
}
