//! Keeps the fleet up to date with the store's table of BackendServers.

use tokio::time::sleep;

use crate::{
    platform::store::{Rows, StoreClient, Table},
    router::{
        Fleet, Router,
        servers::{
            listing::Listing,
            server_ends::{self, Proof},
        },
        store::{
            feed::{RETRY_PAUSE, StoreReachability, follow_table},
            restore::Extent,
        },
    },
    telemetry::event,
};

/// Follows the store's table of servers and publishes a new fleet whenever it changes.
pub(crate) async fn follow_servers(router: &Router, store: &StoreClient) {
    let listing = crate::sync::Mutex::new(Listing::default());
    let apply = |rows: Rows, extent: Extent, reachability: &StoreReachability| {
        let mut listing = listing.lock();
        listing.apply(
            &rows,
            extent,
            reachability.removals_uncertain_until(router.now()),
            router.now(),
        );
        if extent.is_whole() || !rows.rows.is_empty() {
            publish_fleet(router, &listing);
        }
    };
    let expire = async {
        loop {
            sleep(RETRY_PAUSE).await;
            router.notice_suspension();
            let mut listing = listing.lock();
            if listing.expire(router.now()) {
                publish_fleet(router, &listing);
            }
        }
    };
    tokio::join!(follow_table(router, store, Table::Servers, apply), expire);
}

/// Replaces the router's fleet by the usable servers of the listing.
fn publish_fleet(router: &Router, listing: &Listing) {
    let before = router.fleet.load_full();
    let next = before.with_servers(listing.usable().cloned(), router.now());
    let unreadable = listing.unreadable();
    let cold = next.members().filter(|member| router.now() < member.cold_until()).count();
    event::SERVERS_CHANGED
        .log(format_args!("servers={} cold={cold} unreadable={unreadable}", next.len()));
    router.metrics.rows_unreadable.set(i64::try_from(unreadable).unwrap_or(i64::MAX));
    record_ended_servers(router, listing, &before, &next);
    router.set_fleet(next);
    record_versions(router);
}

/// Records the end of servers that have restarted, or whose rows are gone though they had not announced that they
/// are draining. A row that can't be read says nothing about its server.
fn record_ended_servers(router: &Router, listing: &Listing, before: &Fleet, next: &Fleet) {
    for member in before.missing_from(next) {
        let id = &member.server.id;
        let successor = next.member(id);
        let proof = if successor.is_some() { Proof::StartedAgain } else { Proof::Dropped };
        if !member.is_draining() && (successor.is_some() || !listing.is_unreadable(id)) {
            server_ends::record_server_end(router, member, proof);
        }
        if let Some(successor) = successor {
            server_ends::hand_over(member, successor, router.now());
        }
    }
}

/// Records, for each roll-out in progress, which versions have servers.
pub(crate) fn record_versions(router: &Router) {
    let fleet = router.fleet.load();
    for order in router.roll_outs.running() {
        for member in fleet.of_service(&order.service) {
            router.roll_outs.record_servers(&order.service, &member.server.version);
        }
    }
}
