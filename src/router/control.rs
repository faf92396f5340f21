//! Control work of an entry, on a thread of its own.

use std::{sync::Arc, time::Duration};

use tokio::{net::TcpListener, sync::watch, time::sleep};

use crate::{
    control::supervisor::supervise,
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

/// Pause after the listener for other entries could not be used: descriptors may be short for a moment.
const LISTEN_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Runs the control tasks until the entry stops. A task that panics is started again; the others go on.
pub(crate) async fn run(
    router: Arc<Router>,
    store: StoreClient,
    peers: Option<Arc<std::net::TcpListener>>,
    mut has_ended: watch::Receiver<bool>,
) {
    let (router, store, metrics) = (&router, &store, &router.metrics);
    let work = async {
        tokio::join!(
            supervise("orders", metrics, || orders::follow_orders(router, store)),
            supervise("servers", metrics, || server_table::follow_servers(router, store)),
            supervise("roll-outs", metrics, || roll_out_driver::drive_roll_outs(router, store)),
            supervise("peers", metrics, || serve_peers(router.clone(), peers.clone())),
            supervise("follower", metrics, || peer_follower::follow_peers(router)),
            supervise("seed reports", metrics, || seed_reporter::report_to_seeds(router)),
            supervise("quarantine", metrics, || quarantine_row::sync_row(router, store)),
            supervise("usage", metrics, || usage_reporter::report_usage(router, store)),
        )
    };
    tokio::select! {
        _ = work => {}
        // An error means that the sender was dropped without `stop`, which ends the entry as well.
        _ = has_ended.wait_for(|ended| *ended) => {}
    }
}

async fn serve_peers(router: Arc<Router>, listener: Option<Arc<std::net::TcpListener>>) {
    let Some(listener) = listener else {
        return;
    };
    loop {
        // The listener itself is kept for a restart of this task.
        let accepting = listener.try_clone().and_then(|listener| {
            listener.set_nonblocking(true)?;
            TcpListener::from_std(listener)
        });
        match accepting {
            Ok(accepting) => return links::serve_peers(router, accepting).await,
            Err(e) => event::ACCEPT_FAILED.log(format_args!("cause=\"{e}\"")),
        }
        sleep(LISTEN_RETRY_PAUSE).await;
    }
}
