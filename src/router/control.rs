//! Control work of an entry, on a thread of its own.

use std::sync::Arc;

use tokio::sync::watch;

use crate::{
    control::supervisor::supervise,
    platform::store::StoreClient,
    router::{
        Router,
        duties::usage_reporter,
        listen_purpose::ListenPurpose,
        listeners::Listener,
        peers::{links, peer_follower, seed_reporter},
        quarantine::quarantine_row,
        roll_outs::roll_out_driver,
        servers::server_table,
        store::orders,
    },
    sync::Mutex,
};

/// Runs the control tasks until the entry stops. A task that panics is started again; the others go on.
pub(crate) async fn run(
    router: Arc<Router>,
    store: StoreClient,
    peers: Arc<Mutex<Option<Listener>>>,
    mut has_ended: watch::Receiver<bool>,
) {
    let (router, store, metrics) = (&router, &store, &router.metrics);
    let is_ending = has_ended.clone();
    let work = async {
        tokio::join!(
            supervise("orders", metrics, || orders::follow_orders(router, store)),
            supervise("servers", metrics, || server_table::follow_servers(router, store)),
            supervise("roll-outs", metrics, || roll_out_driver::drive_roll_outs(router, store)),
            supervise("peers", metrics, || serve_peers(router, &peers, is_ending.clone())),
            supervise("follower", metrics, || peer_follower::follow_peers(router)),
            supervise("seed reports", metrics, || report_to_seeds(router)),
            supervise("quarantine", metrics, || quarantine_row::sync_row(router, store)),
            supervise("usage", metrics, || report_usage(router, store)),
        )
    };
    tokio::select! {
        _ = work => {}
        // An error means that the sender was dropped without `stop`, which ends the entry as well.
        _ = has_ended.wait_for(|ended| *ended) => {}
    }
}

/// Serves other entries; on a restart, their address is bound anew.
async fn serve_peers(
    router: &Arc<Router>,
    peers: &Mutex<Option<Listener>>,
    has_ended: watch::Receiver<bool>,
) {
    let bound = peers.lock().take();
    let peers = bound.unwrap_or_else(|| Listener::new(router, ListenPurpose::Entries));
    // Settings without such an address are those of an entry that nobody links to.
    if peers.address().is_some() {
        let serve = |listener| links::serve_peers(router.clone(), listener);
        peers.keep_serving(has_ended, serve).await;
    }
}

async fn report_to_seeds(router: &Arc<Router>) {
    router.wait_until_listening().await;
    seed_reporter::report_to_seeds(router).await;
}

async fn report_usage(router: &Arc<Router>, store: &StoreClient) {
    router.wait_until_listening().await;
    usage_reporter::report_usage(router, store).await;
}
