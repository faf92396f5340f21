//! Following another entry instead of the store.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    ids::StoreVersion,
    platform::host_settings::HostSettings,
    protocol::{Error, Result},
    router::{
        Router,
        messages::{PeerMessage, PeerRequest},
        peers::{OPEN_TIMEOUT, connect, other_seeds, receive_message, send_message, timed_out},
    },
    telemetry::event,
};

/// Time between looks at whether a link is wanted, and between tries to get one.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The same until there is a configuration: seeds that start at the same time listen a moment later, and
/// whoever has no link by then asks the store for everything.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time an entry stays with a seed that the store does not answer, where the other seeds were no better:
/// as long as one of them may have been cut off for a moment.
const CUT_OFF_SEED_GRACE: Duration = Duration::from_secs(2);

/// Why an entry that was followed is followed no more.
enum LeaveReason {
    /// It stands in another AvailabilityZone, and there are entries whose zone is not known yet.
    OtherZone,
    /// No link is wanted any more.
    Unwanted,
}

/// The seeds as an entry that follows one knows them.
#[derive(Default)]
struct SeedRotation {
    zones: HashMap<SocketAddr, Box<str>>,
    /// Seeds given up since one was left for no fault of its own.
    next_index: usize,
}

impl SeedRotation {
    /// All but this entry: those in this zone first, then those not asked yet.
    fn by_preference(&self, settings: &HostSettings) -> Vec<SocketAddr> {
        let mut others = other_seeds(settings);
        others.sort_by_key(|seed| match self.zones.get(seed) {
            Some(zone) => (*zone != settings.zone, true),
            None => (false, false),
        });
        others
    }

    /// Whether a seed's zone should be asked before it is followed. One that was left for its zone and comes
    /// up again is followed: the others may be gone.
    fn needs_zone_check(&self, peer: SocketAddr, others: &[SocketAddr]) -> bool {
        let is_new = |seed: &SocketAddr| !self.zones.contains_key(seed);
        is_new(&peer) && others.iter().any(|seed| *seed != peer && is_new(seed))
    }
}

/// Follows another entry whenever that is wanted.
pub(crate) async fn follow_peers(router: &Router) {
    let mut seeds = SeedRotation::default();
    loop {
        if router.wants_link() && follow_next(router, &mut seeds).await {
            continue;
        }
        let is_starting = router.table.load().is_none();
        sleep(if is_starting { STARTUP_CHECK_INTERVAL } else { CHECK_INTERVAL }).await;
    }
}

/// Follows the next seed; whether the one after it should be tried at once.
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
    let was_followed = router.link.set_current(false);
    if was_followed {
        event::PEER_LEFT.log(format_args!("peer={peer}"));
    }
    router.link.clear();
    // The next seed may have what this one no longer reports.
    let is_round_complete = seeds.next_index.is_multiple_of(others.len());
    others.len() > 1 && (was_followed || !is_round_complete)
}

/// Follows one entry as long as it speaks and the link is wanted. One of another zone is left at
/// once where `wants_zone`, and one that the store does not answer after `stay`.
async fn follow_peer(
    router: &Router,
    peer: SocketAddr,
    zones: &mut HashMap<SocketAddr, Box<str>>,
    requires_own_zone: bool,
    grace: Duration,
) -> Result<LeaveReason> {
    let mut wakes = router.clock.wakes();
    let opening = Instant::now() + OPEN_TIMEOUT;
    let mut socket = timeout_at(opening, connect(peer)).await.map_err(|_| timed_out())??;
    let StoreVersion { era, revision: version } = router.views.oldest_version();
    let own_zone = router.settings.load().zone.clone();
    let only_in = requires_own_zone.then(|| own_zone.clone());
    let host = router.settings.load().host.clone();
    send_message(&mut socket, &PeerRequest::Follow { version, era, only_in, host }).await?;
    let PeerMessage::Welcome { zone } = receive_message(&mut socket).await? else {
        return Err(Error::Broken("no welcome".into()));
    };
    let is_own_zone = zone == own_zone;
    zones.insert(peer, zone);
    if !is_own_zone && requires_own_zone {
        return Ok(LeaveReason::OtherZone);
    }
    let mut current_at = router.now();
    while router.wants_link() {
        let heartbeat = tokio::select! {
            biased;
            _ = wakes.changed() => return Err(host_suspended()),
            heartbeat = receive_message(&mut socket) => heartbeat?,
        };
        // What waited to be read while the Host was suspended is old.
        if router.notice_suspension() {
            return Err(host_suspended());
        }
        let is_current = apply_heartbeat(router, heartbeat)?;
        if router.link.set_current(is_current) && is_current {
            event::PEER_FOLLOWED.log(format_args!("peer={peer}"));
        }
        if is_current {
            current_at = router.now();
        } else if router.now() >= current_at + grace {
            return Err(Error::Broken("the store does not answer it".into()));
        }
    }
    Ok(LeaveReason::Unwanted)
}

fn host_suspended() -> Error {
    Error::Broken("the Host was suspended".into())
}

/// Takes in a heartbeat; whether the store answers the entry that sent it.
fn apply_heartbeat(router: &Router, message: PeerMessage) -> Result<bool> {
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
    } = message
    else {
        return Err(Error::Broken("a second welcome".into()));
    };
    for update in updates {
        if !router.link.push(update.decompress()?) {
            return Err(Error::Broken("its updates are not taken".into()));
        }
    }
    router.views.record_peer_message(router.now());
    if entries > 0 {
        router.note_entries(entries);
    }
    if let Some(place) = place.filter(|place| place.rank < place.entries) {
        router.own_place.record(place, router.now());
    }
    let fleet = router.fleet.load_full();
    router.loads.apply(&loads, &fleet, router.now());
    router.kept.apply(&kept, &fleet);
    router.quarantine.apply_updates(&ends, router.now());
    router.take_limit_updates(&limits);
    if is_informed && router.quarantine.mark_informed() {
        router.wake_waiters();
    }
    Ok(is_current)
}
