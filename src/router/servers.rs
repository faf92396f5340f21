//! The BackendServers as the store lists them.

use tokio::time::sleep;

use crate::{
    platform::store::{Rows, StoreClient, Table},
    router::{
        Fleet, Router,
        breaks::{self, Proof},
        feed::{RETRY_PAUSE, StoreReachability, follow_table},
        listing::Listing,
        restore::Extent,
    },
    telemetry::event,
};

/// Follows the list of servers.
pub(crate) async fn follow_servers(router: &Router, store: &StoreClient) {
    let listing = std::sync::Mutex::new(Listing::default());
    let apply = |rows: Rows, extent: Extent, reachability: &StoreReachability| {
        let mut listing = listing.lock().expect("no panics under the lock");
        listing.apply(
            &rows,
            extent,
            reachability.removals_uncertain_until(router.now()),
            router.now(),
        );
        if extent.is_whole() || !rows.rows.is_empty() {
            publish(router, &listing);
        }
    };
    let expire = async {
        loop {
            sleep(RETRY_PAUSE).await;
            router.notice_suspension();
            let mut listing = listing.lock().expect("no panics under the lock");
            if listing.expire(router.now()) {
                publish(router, &listing);
            }
        }
    };
    tokio::join!(follow_table(router, store, Table::Servers, apply), expire);
}

fn publish(router: &Router, listing: &Listing) {
    let before = router.fleet.load_full();
    let next = before.with(listing.usable().cloned(), router.now());
    let unreadable = listing.unreadable();
    let cold = next.members().filter(|member| router.now() < member.cold_until()).count();
    event::SERVERS_CHANGED
        .log(format_args!("servers={} cold={cold} unreadable={unreadable}", next.len()));
    router.metrics.rows_unreadable.set(i64::try_from(unreadable).unwrap_or(i64::MAX));
    note_ends(router, listing, &before, &next);
    router.put_fleet(next);
    note_versions(router);
}

/// Takes servers that have started again, or are gone without having said so, as ended.
fn note_ends(router: &Router, listing: &Listing, before: &Fleet, next: &Fleet) {
    for member in before.gone_in(next).filter(|member| !member.is_draining()) {
        let id = &member.server.id;
        if next.has_id(id) {
            breaks::note_end(router, member, Proof::StartedAgain);
        } else if !listing.is_unreadable(id) {
            breaks::note_end(router, member, Proof::Dropped);
        }
    }
}

/// Notes for the roll-outs under way which versions have servers.
pub(super) fn note_versions(router: &Router) {
    let fleet = router.fleet.load();
    for order in router.roll_outs.running() {
        for member in fleet.of_service(&order.service) {
            router.roll_outs.record_servers(&order.service, &member.server.version);
        }
    }
}
