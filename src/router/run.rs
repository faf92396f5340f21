//! Starting, reloading and stopping an entry on the platform.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{sync::watch, task::JoinHandle, time::sleep};

use crate::{
    control::thread,
    platform::{
        HttpClient,
        host_settings::{self, HostSettings},
        store::StoreClient,
    },
    policy::backoff::Backoff,
    router::{
        Router, admin_listen, control, listen, listen_purpose::ListenPurpose, listeners::Listener,
        planned_stop::READINESS_LAG, quarantine::quarantine_release,
    },
    settings::RouteSettings,
    sync::Mutex,
    telemetry::{admin, event},
};

/// Part of the process's memory that responses of the store may take while they are read.
const STORE_PART: u64 = 8;
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

/// Addresses on which an entry on the platform listens, or will once they can be bound.
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
    /// Addresses that are bound, or will be.
    pub addresses: RouterAddresses,
    closing: watch::Sender<bool>,
    /// Stops the control thread when dropped.
    _ending: watch::Sender<bool>,
    callers: JoinHandle<()>,
}

/// Starts an entry on the current runtime, with a control thread of its own. Addresses that can't be bound yet are
/// waited for in the background.
pub async fn start(settings: RouterSettings) -> RunningRouter {
    let RouterSettings { host, policy } = settings;
    event::PROCESS_STARTED.log(format_args!(
        "role=entry host={} zone={} caller={} readiness={} store={}",
        host.host, host.zone, host.caller_address, host.readiness_address, host.store_address
    ));
    let reading = usize::try_from(host.memory_limit / STORE_PART).unwrap_or(usize::MAX);
    let http = HttpClient::default().reading_at_most(reading);
    let store = StoreClient::new(http, &host.store_address);
    let caller_address = host.caller_address;
    let readiness_address = host.readiness_address;
    let router = Arc::new(Router::new(host, policy));
    let callers = bind(&router, ListenPurpose::Callers).await;
    let readiness = bind(&router, ListenPurpose::Readiness).await;
    let peers = bind(&router, ListenPurpose::Entries).await;
    let metrics = bind(&router, ListenPurpose::Metrics).await;
    let addresses = RouterAddresses {
        caller: callers.address().unwrap_or(caller_address),
        readiness: readiness.address().unwrap_or(readiness_address),
        peer: peers.address(),
    };
    let (closing, is_closing) = watch::channel(false);
    tokio::spawn(keep_serving_readiness(router.clone(), readiness, is_closing.clone()));
    if metrics.address().is_some() {
        tokio::spawn(keep_serving_metrics(router.clone(), metrics, is_closing.clone()));
    }
    let callers = tokio::spawn(keep_serving_callers(router.clone(), callers, is_closing));
    let (ending, has_ended) = watch::channel(false);
    // Callers are served already, so a stop has to be possible while this thread can't be started yet.
    tokio::spawn(spawn_control(router.clone(), store, peers, has_ended));
    RunningRouter { router, addresses, closing, _ending: ending, callers }
}

/// A listener after the first attempt to bind its address.
async fn bind(router: &Arc<Router>, purpose: ListenPurpose) -> Listener {
    let mut listener = Listener::new(router, purpose);
    listener.try_bind().await;
    listener
}

async fn keep_serving_callers(
    router: Arc<Router>,
    callers: Listener,
    closing: watch::Receiver<bool>,
) {
    let is_closing = closing.clone();
    let serve = |listener| listen::serve_callers(router.clone(), listener, is_closing.clone());
    callers.keep_serving(closing, serve).await;
}

async fn keep_serving_readiness(
    router: Arc<Router>,
    readiness: Listener,
    closing: watch::Receiver<bool>,
) {
    let serve = |listener| listen::serve_readiness(router.clone(), listener);
    readiness.keep_serving(closing, serve).await;
}

/// Serves metrics, the state dump and the release of quarantined requests on the admin address.
async fn keep_serving_metrics(
    router: Arc<Router>,
    metrics: Listener,
    closing: watch::Receiver<bool>,
) {
    let app = admin::router(router.admin()).merge(quarantine_release::routes(router.clone()));
    let serve = |listener| admin_listen::serve_admin(router.clone(), listener, app.clone());
    metrics.keep_serving(closing, serve).await;
}

/// Starts the control thread, as soon as the system allows one more thread.
async fn spawn_control(
    router: Arc<Router>,
    store: StoreClient,
    peers: Listener,
    has_ended: watch::Receiver<bool>,
) {
    let peers = Arc::new(Mutex::new(Some(peers)));
    let mut backoff = Backoff::default();
    loop {
        let restarted = router.clone();
        let count = move || restarted.metrics.count_task_restart("control");
        let (router, store) = (router.clone(), store.clone());
        let (peers, has_ended) = (peers.clone(), has_ended.clone());
        let work =
            move || control::run(router.clone(), store.clone(), peers.clone(), has_ended.clone());
        let Err(e) = thread::spawn_supervised("control", count, work) else {
            return;
        };
        if backoff.is_logged() {
            event::THREAD_WAITS.log(format_args!("thread=control cause=\"{e}\""));
        }
        sleep(backoff.record_failure(rand::random())).await;
    }
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
        if !router.listens_to_callers() && router.in_flight() == 0 {
            return self.stop_unserved();
        }
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

    /// Ends an entry that no caller can reach, so that there is nobody to wait for.
    fn stop_unserved(self) -> usize {
        self.router.begin_stop();
        event::PROCESS_LEAVING.log(format_args!("in_flight=0"));
        self.closing.send_replace(true);
        event::PROCESS_STOPPED.log(format_args!("cut=0"));
        0
    }
}
