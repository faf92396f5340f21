//! Control work of an entry, on a thread of its own.

use std::sync::Arc;

use tokio::sync::watch;

use crate::{
    platform::store::StoreClient,
    router::{
        Router,
        duties::usage_reporter,
        listeners::Listener,
        peers::{links, peer_follower, seed_reporter},
        quarantine::quarantine_row,
        roll_outs::roll_out_driver,
        servers::server_table,
        store::orders,
    },
};

/// Runs the control tasks until the entry stops.
pub(crate) async fn run(
    router: Arc<Router>,
    store: StoreClient,
    peers: Listener,
    mut has_ended: watch::Receiver<bool>,
) {
    let is_ending = has_ended.clone();
    let work = async {
        tokio::join!(
            orders::follow_orders(&router, &store),
            server_table::follow_servers(&router, &store),
            roll_out_driver::drive_roll_outs(&router, &store),
            serve_peers(&router, peers, is_ending),
            peer_follower::follow_peers(&router),
            seed_reporter::report_to_seeds(&router),
            follow_quarantine(&router, &store),
            usage_reporter::report_usage(&router, &store),
        )
    };
    tokio::select! {
        _ = work => {}
        // An error means that the sender was dropped without `stop`, which ends the entry as well.
        _ = has_ended.wait_for(|ended| *ended) => {}
    }
}

async fn follow_quarantine(router: &Arc<Router>, store: &StoreClient) {
    if let Some(trials) = router.take_trial_requests() {
        quarantine_row::sync_row(router, store, trials).await;
    }
}

async fn serve_peers(router: &Arc<Router>, peers: Listener, has_ended: watch::Receiver<bool>) {
    // Settings without such an address are those of an entry that nobody links to.
    if peers.address().is_some() {
        let serve = |listener| links::serve_peers(router.clone(), listener);
        peers.keep_serving(has_ended, serve).await;
    }
}
