//! Control work of an entry, on a thread of its own.

use std::sync::Arc;

use tokio::{net::TcpListener, sync::watch};

use crate::{
    platform::store::StoreClient,
    router::{
        Router,
        duties::usage_reporter,
        peers::{links, peer_follower, seed_reporter},
        quarantine::quarantine_row,
        roll_outs::roll_out_driver,
        servers::server_table,
        store::orders,
    },
    telemetry::event,
};

/// Runs the control tasks until the entry stops.
pub(crate) async fn run(
    router: Arc<Router>,
    store: StoreClient,
    peers: Option<std::net::TcpListener>,
    mut has_ended: watch::Receiver<bool>,
) {
    let work = async {
        tokio::join!(
            orders::follow_orders(&router, &store),
            server_table::follow_servers(&router, &store),
            roll_out_driver::drive_roll_outs(&router, &store),
            serve_peers(router.clone(), peers),
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

async fn serve_peers(router: Arc<Router>, listener: Option<std::net::TcpListener>) {
    let Some(listener) = listener else {
        return;
    };
    let listener = listener.set_nonblocking(true).and_then(|()| TcpListener::from_std(listener));
    match listener {
        Ok(listener) => links::serve_peers(router, listener).await,
        Err(e) => event::ACCEPT_FAILED.log(format_args!("cause=\"{e}\"")),
    }
}
