//! Starting, reloading and stopping an entry on the platform.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{net::TcpListener, sync::watch, task::JoinHandle, time::sleep};

use crate::{
    control::thread,
    platform::{
        HttpClient,
        host_settings::{self, HostSettings},
        store::StoreClient,
    },
    router::{
        Router, admin_listen, control, listen, planned_stop::READINESS_LAG,
        quarantine::quarantine_release,
    },
    settings::RouteSettings,
    telemetry::{admin, event},
};

/// Interval at which a stopping entry checks whether requests are still in flight.
const IN_FLIGHT_POLL: Duration = Duration::from_millis(50);

/// Settings of an entry on the platform.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// The Host's settings, as provided by the platform.
    pub host: HostSettings,
    /// The operator's policy settings.
    pub policy: RouteSettings,
}

/// Addresses on which an entry on the platform listens.
#[derive(Clone, Copy, Debug)]
pub struct RouterAddresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For the load balancer's readiness check.
    pub readiness: SocketAddr,
    /// For other entries, if the settings name such an address.
    pub peer: Option<SocketAddr>,
}

/// A running entry.
#[derive(Debug)]
pub struct RunningRouter {
    /// State of the entry.
    pub router: Arc<Router>,
    /// Addresses that were bound.
    pub addresses: RouterAddresses,
    closing: watch::Sender<bool>,
    /// Stops the control thread when dropped.
    _ending: watch::Sender<bool>,
    callers: JoinHandle<()>,
}

/// Starts an entry on the current runtime, with a control thread of its own.
///
/// # Errors
/// If an address can't be bound or the control thread can't be spawned.
pub async fn start(settings: RouterSettings) -> std::io::Result<RunningRouter> {
    let RouterSettings { host, policy } = settings;
    let callers = TcpListener::bind(host.caller_address).await?;
    let readiness = TcpListener::bind(host.readiness_address).await?;
    event::PROCESS_STARTED.log(format_args!(
        "role=entry host={} zone={} caller={} readiness={} store={}",
        host.host, host.zone, host.caller_address, host.readiness_address, host.store_address
    ));
    let host_address = host.caller_address.ip();
    let store = StoreClient::new(HttpClient::default(), &host.store_address);
    let router = Arc::new(Router::new(host, policy));
    let controlled = router.clone();
    let peers = match router.settings.load().peer_address {
        Some(address) => Some(std::net::TcpListener::bind(address)?),
        None => None,
    };
    let addresses = RouterAddresses {
        caller: callers.local_addr()?,
        readiness: readiness.local_addr()?,
        peer: peers.as_ref().map(std::net::TcpListener::local_addr).transpose()?,
    };
    let (ending, has_ended) = watch::channel(false);
    thread::spawn("control", move || control::run(controlled, store, peers, has_ended))?;
    if let Some(port) = policy.metrics_port {
        let address = (host_address, port);
        serve_admin(&router, TcpListener::bind(address).await?);
    }
    let (closing, is_closing) = watch::channel(false);
    let callers = tokio::spawn(listen::serve_callers(router.clone(), callers, is_closing));
    tokio::spawn(listen::serve_readiness(router.clone(), readiness));
    Ok(RunningRouter { router, addresses, closing, _ending: ending, callers })
}

/// Serves metrics, the state dump and the release of quarantined requests on the admin address.
fn serve_admin(router: &Arc<Router>, listener: TcpListener) {
    let app = admin::router(router.admin()).merge(quarantine_release::routes(router.clone()));
    tokio::spawn(admin_listen::serve_admin(router.clone(), listener, app));
}

impl RunningRouter {
    /// Applies new text of the platform's settings file. Text that can't be parsed is logged and ignored.
    pub fn reload(&self, text: &str) {
        match host_settings::parse(text) {
            Ok(settings) => {
                event::SETTINGS_RELOADED.log(format_args!("host={}", settings.host));
                self.router.settings.store(Arc::new(settings));
            }
            Err(e) => event::SETTINGS_UNREADABLE.log(format_args!("cause=\"{e}\"")),
        }
    }

    /// Performs a planned stop: reports unready at once, keeps accepting requests until the load balancer has
    /// noticed, and lets requests in flight finish within the grace period; those that can't end before it get their
    /// final answer. Returns the number of requests that were cut off.
    pub async fn stop(self) -> usize {
        let router = &self.router;
        let stop = router.begin_stop();
        event::PROCESS_LEAVING.log(format_args!("in_flight={}", router.in_flight()));
        sleep(READINESS_LAG.min(stop.idle_close_at().saturating_sub(router.now()))).await;
        // The load balancer still sends callers here if no other entry is ready.
        while router.in_flight() > 0 && router.now() < stop.idle_close_at() {
            sleep(IN_FLIGHT_POLL).await;
        }
        self.closing.send_replace(true);
        while !self.callers.is_finished() && router.now() < stop.exit_at() {
            sleep(IN_FLIGHT_POLL).await;
        }
        let cut = router.in_flight();
        event::PROCESS_STOPPED.log(format_args!("cut={cut}"));
        cut
    }
}
