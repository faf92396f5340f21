//! Following another entry instead of the store.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    ids::StoreVersion,
    platform::host_settings::HostSettings,
    policy::{followed_link::FollowedLink, link_age::LinkAge},
    protocol::{Error, Result},
    router::{
        Router,
        peers::{
            links::{
                OPEN_TIMEOUT, Socket, connect, other_seeds, receive_message, send_message,
                timed_out,
            },
            messages::{PeerMessage, PeerRequest},
            unread_tables::UnreadTables,
        },
    },
    telemetry::event,
};

/// Interval between checks whether a link is needed, and between attempts to open one.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The same interval until there is a configuration. Seeds that start at the same time listen a
/// moment later, and an entry without a link by then reads everything from the store.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which an entry follows a seed that has lost the store, when it is the last seed to try.
/// Another seed may have lost the store for only a moment.
const CUT_OFF_SEED_GRACE: Duration = Duration::from_secs(2);

/// Why an entry stops following a peer without an error.
enum LeaveReason {
    /// The peer is in another AvailabilityZone, and the zones of some seeds are still unknown.
    OtherZone,
    /// A link is no longer needed.
    Unwanted,
}

/// Order in which the seeds are tried.
#[derive(Default)]
struct SeedRotation {
    zones: HashMap<SocketAddr, Box<str>>,
    /// Number of seeds that failed since a link was last given up as not needed; selects the next
    /// seed.
    next_index: usize,
}

impl SeedRotation {
    /// The other seeds: first those whose zone is not known yet, then those in this zone, then the
    /// rest.
    fn by_preference(&self, settings: &HostSettings) -> Vec<SocketAddr> {
        let mut others = other_seeds(settings);
        others.sort_by_key(|seed| match self.zones.get(seed) {
            Some(zone) => (*zone != settings.zone, true),
            None => (false, false),
        });
        others
    }

    /// Whether a seed is followed only if it is in this zone: its own zone is unknown, and so is
    /// another seed's. A seed that was left because of its zone is followed when its turn comes
    /// again, since the others may be gone.
    fn needs_zone_check(&self, peer: SocketAddr, others: &[SocketAddr]) -> bool {
        let is_unknown = |seed: &SocketAddr| !self.zones.contains_key(seed);
        is_unknown(&peer) && others.iter().any(|seed| *seed != peer && is_unknown(seed))
    }
}

/// Ends the link for the readers of the tables when the task that serves it ends, also by a panic; they turn to the
/// store.
struct EndLinkOnDrop<'a>(&'a Router);

impl Drop for EndLinkOnDrop<'_> {
    fn drop(&mut self) {
        self.0.peer_link.clear();
    }
}

/// Follows another entry whenever a link is needed.
pub(crate) async fn follow_peers(router: &Router) {
    let _end = EndLinkOnDrop(router);
    let mut seeds = SeedRotation::default();
    loop {
        if router.needs_link() && follow_next(router, &mut seeds).await {
            continue;
        }
        let is_starting = router.table.load().is_none();
        sleep(if is_starting { STARTUP_CHECK_INTERVAL } else { CHECK_INTERVAL }).await;
    }
}

/// Follows the next seed. Returns whether the one after it should be tried immediately.
async fn follow_next(router: &Router, seeds: &mut SeedRotation) -> bool {
    let others = seeds.by_preference(&router.settings.load());
    let Some(peer) = others.get(seeds.next_index % others.len().max(1)).copied() else {
        return false;
    };
    let requires_own_zone = seeds.needs_zone_check(peer, &others);
    let is_last = seeds.next_index % others.len() == others.len() - 1;
    let grace = if is_last { CUT_OFF_SEED_GRACE } else { Duration::ZERO };
    match follow_peer(router, peer, &mut seeds.zones, requires_own_zone, grace).await {
        Ok(LeaveReason::OtherZone) => return true,
        Ok(LeaveReason::Unwanted) => seeds.next_index = 0,
        Err(e) => {
            event::PEER_FAILED.log(format_args!("peer={peer} cause=\"{e}\""));
            seeds.next_index += 1;
        }
    }
    let was_followed = router.peer_link.set_current(false);
    if was_followed {
        event::PEER_LEFT.log(format_args!("peer={peer}"));
    }
    router.peer_link.clear();
    // The next seed may have what this one no longer reports.
    let is_round_complete = seeds.next_index.is_multiple_of(others.len());
    others.len() > 1 && (was_followed || !is_round_complete)
}

/// Follows a peer while it sends heartbeats and a link is needed. A peer in another zone is left immediately if
/// `requires_own_zone`, one that has lost the store after `grace`, and one whose data arrives too late after a while.
async fn follow_peer(
    router: &Router,
    peer: SocketAddr,
    zones: &mut HashMap<SocketAddr, Box<str>>,
    requires_own_zone: bool,
    grace: Duration,
) -> Result<LeaveReason> {
    let mut wakes = router.clock.subscribe_suspensions();
    let (mut socket, mut link, zone) = open_link(router, peer, requires_own_zone, grace).await?;
    let is_own_zone = zone == router.settings.load().zone;
    zones.insert(peer, zone);
    if !is_own_zone && requires_own_zone {
        return Ok(LeaveReason::OtherZone);
    }
    let mut unread = UnreadTables::default();
    while router.needs_link() {
        let heartbeat = tokio::select! {
            biased;
            _ = wakes.changed() => return Err(host_suspended()),
            heartbeat = receive_until_late(router, &mut socket, &link) => heartbeat?,
        };
        // Messages that were waiting while the Host was suspended are outdated.
        if router.notice_suspension() {
            return Err(host_suspended());
        }
        if let Some(heartbeat) = heartbeat {
            apply_heartbeat(router, heartbeat, &mut unread, &mut link)?;
            if let Some(probe) = link.next_probe(router.now()) {
                send_message(&mut socket, &PeerRequest::Probe(probe)).await?;
            }
        }
        if link.update_lateness(router.now()) {
            let age_ms = link.age().age(router.now()).as_millis();
            event::PEER_LATE.log(format_args!("peer={peer} age_ms={age_ms}"));
        }
        let is_current = link.is_current() && unread.is_empty();
        if router.peer_link.set_current(is_current) && is_current {
            event::PEER_FOLLOWED.log(format_args!("peer={peer}"));
        }
        if unread.is_retry_due(router.now()) {
            return Err(Error::ConnectionFailed("the peer's rows can't be read".into()));
        }
        if let Some(cause) = link.reason_to_leave(router.now()) {
            return Err(Error::ConnectionFailed(cause.into()));
        }
    }
    Ok(LeaveReason::Unwanted)
}

/// Opens a link to a peer and asks to follow it; also returns the peer's zone. The peer sends nothing more if it is in
/// another zone and `requires_own_zone`.
async fn open_link(
    router: &Router,
    peer: SocketAddr,
    requires_own_zone: bool,
    grace: Duration,
) -> Result<(Socket, FollowedLink, Box<str>)> {
    let deadline = Instant::now() + OPEN_TIMEOUT;
    let mut socket = timeout_at(deadline, connect(peer)).await.map_err(|_| timed_out())??;
    let StoreVersion { era, revision: version } = router.table_views.oldest_version();
    let settings = router.settings.load_full();
    let only_in = requires_own_zone.then(|| settings.zone.clone());
    let host = settings.host.clone();
    let link = FollowedLink::new(router.now(), router.max_link_age(), grace);
    let probe = Some(LinkAge::probe(router.now()));
    let request = PeerRequest::Follow { version, era, only_in, host, probe };
    send_message(&mut socket, &request).await?;
    let PeerMessage::Welcome { zone } = receive_message(&mut socket).await? else {
        return Err(Error::ConnectionFailed("expected a welcome message".into()));
    };
    Ok((socket, link, zone))
}

/// Waits for the next message; `None` when the link becomes late before it arrives.
async fn receive_until_late(
    router: &Router,
    socket: &mut Socket,
    link: &FollowedLink,
) -> Result<Option<PeerMessage>> {
    let late_at = link.late_at(router.now());
    let received = router.clock.timeout_until(|| late_at, receive_message(socket)).await;
    received.transpose()
}

fn host_suspended() -> Error {
    Error::ConnectionFailed("host was suspended".into())
}

/// Applies a heartbeat.
fn apply_heartbeat(
    router: &Router,
    message: PeerMessage,
    unread: &mut UnreadTables,
    link: &mut FollowedLink,
) -> Result<()> {
    let PeerMessage::Beat {
        is_current,
        updates,
        entries,
        place,
        loads,
        kept,
        ends,
        is_informed,
        limits,
        speeds,
        true_time,
        probe,
    } = message
    else {
        return Err(Error::ConnectionFailed("expected a heartbeat".into()));
    };
    for update in updates {
        unread.receive(router, &update)?;
    }
    link.record_heartbeat(router.now(), is_current, probe);
    router.table_views.record_peer_message(router.now(), link.age().proved_at());
    if entries > 0 {
        router.record_entries(entries);
    }
    if let Some(place) = place.filter(|place| place.rank < place.entries) {
        router.own_place.record(place, router.now());
    }
    let fleet = router.fleet.load_full();
    router.load_reports.apply(&loads, &fleet, router.now());
    router.prefix_reports.apply(&kept, &fleet);
    router.apply_quarantine_updates(&ends);
    router.apply_limit_updates(&limits);
    router.apply_speed_reports(&speeds, "followed entry");
    // A seed estimates true time from the clocks of all entries.
    if let Some(true_time) = true_time.filter(|_| !router.is_seed()) {
        router.usage.adopt_true_time(true_time, router.now());
    }
    if is_informed && router.quarantine.mark_informed() {
        router.wake_waiters();
    }
    Ok(())
}
