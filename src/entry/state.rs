//! What one entry holds.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use serde_json::json;
use tokio::sync::watch;

use crate::{
    control::{
        config::Config,
        membership::{Scope, is_assigned},
        pull::PullSlot,
        store_health::StoreHealth,
    },
    entry::{
        charges::Charges,
        explain::Explanations,
        guard::{Suspicion, VersionTests},
        link::Link,
        routes::Routes,
        sessions::PinCache,
    },
    ids::{Incarnation, ObjectId, OrganisationId, VersionId, format_id, new_incarnation},
    ledger::GroupCommit,
    operator::commands::Writer,
    platform::{
        Host, HostState, HttpClient, InsertOutcome, ObjectsClient, RatingsClient, Role, TableClient,
    },
    policy::{
        cascade::CascadeEstimates,
        lifecycle::{self, Lifecycle, LifecycleEvent, LifecycleState},
        outlier::OutlierConfig,
        retry::RetryBudget,
    },
    protocol::Peer,
    settings::EntrySettings,
    telemetry::{Metrics, admin::AdminHandlers},
};

/// How long the first row of a group waits for others.
const GROUP_LINGER: Duration = Duration::from_millis(2);

/// How servers are chosen; all but the first are baselines for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerPolicy {
    /// Smallest estimated time to first token among few candidates.
    #[default]
    Estimate,
    /// Any server.
    Random,
    /// Smallest load as last reported.
    LeastReported,
}

/// How a cascade's stage is chosen; all but the first are baselines for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CascadePolicy {
    /// Learned start stage, and quality spent as far as it has been saved up.
    #[default]
    Learned,
    /// Always the first stage.
    Cheapest,
    /// Always the last stage.
    Costliest,
    /// Always start at the first, escalate what is rated below the target.
    Fixed,
}

/// The policies of an entry; production runs the defaults.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingPolicy {
    /// Choice of a server.
    pub server: ServerPolicy,
    /// Choice of a stage.
    pub cascade: CascadePolicy,
    /// Whether suspect versions are held.
    pub guard: bool,
    /// Rules for failing servers; none keeps every server in.
    pub outlier: Option<OutlierConfig>,
    /// Whether requests that may run only once are claimed first.
    pub claims: bool,
    /// Whether rows are written through the region's relay.
    pub relay: bool,
    /// Whether charge records are copied to the agent before an answer is delivered.
    pub charge_copies: bool,
}

impl Default for RoutingPolicy {
    fn default() -> Self {
        Self {
            server: ServerPolicy::default(),
            cascade: CascadePolicy::default(),
            guard: true,
            outlier: Some(OutlierConfig::default()),
            claims: true,
            relay: true,
            charge_copies: true,
        }
    }
}

/// One entry.
pub struct Entry {
    /// Its settings.
    pub settings: EntrySettings,
    /// Its policies.
    pub policy: RoutingPolicy,
    /// Its life.
    pub incarnation: Incarnation,
    /// Configuration in force here.
    pub config: Config,
    /// Its metrics.
    pub metrics: Metrics,
    pub(crate) health: StoreHealth,
    pub(crate) table: TableClient,
    pub(crate) objects: ObjectsClient,
    pub(crate) ratings: RatingsClient,
    pub(crate) http: HttpClient,
    pub(crate) group: GroupCommit,
    pub(crate) writer: Writer,
    pub(crate) links: Mutex<BTreeMap<Box<str>, Arc<Link>>>,
    pub(crate) routes: ArcSwap<Routes>,
    rebuilding: Mutex<()>,
    /// Host of the agent that writes this region's rows.
    pub(crate) relay: Mutex<Option<Box<str>>>,
    pub(crate) hosts: Mutex<Vec<Host>>,
    pub(crate) pulling: PullSlot,
    pub(crate) estimates: Mutex<CascadeEstimates>,
    pub(crate) stage_times: Mutex<HashMap<VersionId, Duration>>,
    pub(crate) budgets: Mutex<HashMap<OrganisationId, RetryBudget>>,
    pub(crate) running_by_organisation: Mutex<HashMap<OrganisationId, u32>>,
    pub(crate) charges: Charges,
    pub(crate) pins: Mutex<PinCache>,
    pub(crate) suspicion: Mutex<Suspicion>,
    pub(crate) version_tests: Mutex<VersionTests>,
    pub(crate) explanations: Mutex<Explanations>,
    pub(crate) in_flight: AtomicUsize,
    pub(crate) started: Instant,
    lifecycle: Mutex<Lifecycle>,
    pub(crate) killed: watch::Sender<bool>,
}

impl std::fmt::Debug for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Entry").field("host", &self.settings.host).finish_non_exhaustive()
    }
}

impl Entry {
    /// An entry that has not been started; must be called on a runtime.
    pub fn new(settings: EntrySettings, policy: RoutingPolicy) -> Self {
        let metrics = Metrics::default();
        let http = HttpClient::default();
        let health = StoreHealth::new(metrics.clone());
        let config = Config::new(metrics.clone());
        let table = TableClient::over_http(http.clone(), &settings.platform.table);
        let writer =
            Writer { table: table.clone(), health: health.clone(), config: config.clone() };
        Self {
            incarnation: new_incarnation(),
            objects: ObjectsClient::over_http(http.clone(), &settings.platform.objects),
            ratings: RatingsClient::over_http(http.clone(), &settings.platform.ratings),
            group: GroupCommit::start(table.clone(), health.clone(), GROUP_LINGER),
            charges: Charges::new(settings.max_waiting_charges),
            writer,
            table,
            http,
            health,
            config,
            metrics,
            links: Mutex::default(),
            routes: ArcSwap::default(),
            rebuilding: Mutex::default(),
            relay: Mutex::default(),
            hosts: Mutex::default(),
            pulling: PullSlot::default(),
            estimates: Mutex::default(),
            stage_times: Mutex::default(),
            budgets: Mutex::default(),
            running_by_organisation: Mutex::default(),
            pins: Mutex::default(),
            suspicion: Mutex::default(),
            version_tests: Mutex::default(),
            explanations: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            started: Instant::now(),
            lifecycle: Mutex::new(lifecycle::start()),
            killed: watch::Sender::new(false),
            settings,
            policy,
        }
    }

    pub(crate) fn peer(&self) -> Peer {
        Peer {
            host: self.settings.host.clone(),
            region: self.settings.region.clone(),
            zone: self.settings.zone.clone(),
            incarnation: self.incarnation,
            server: Box::default(),
        }
    }

    /// This entry as the host list has it.
    pub(crate) fn as_host(&self) -> Host {
        Host {
            name: self.settings.host.clone(),
            region: self.settings.region.clone(),
            zone: self.settings.zone.clone(),
            address: self.settings.caller,
            role: Role::Entry,
            state: HostState::Live,
        }
    }

    /// Whether a duty that a few entries share falls to this one.
    pub(crate) fn has_duty(&self, duty: &str, sharers: usize, scope: Scope) -> bool {
        let hosts = self.hosts.lock().expect("no panics under the lock");
        is_assigned(&self.as_host(), &hosts, duty, sharers, scope)
    }

    /// Writes a row if it still has the expected version; none means absent.
    ///
    /// Entries of a region hand their rows to one agent, which commits them in groups: at the size
    /// of `docs/CAPACITY.md` each entry alone sees too few to group.
    pub(crate) async fn write_row(
        &self,
        key: Box<str>,
        expected: Option<u64>,
        value: serde_json::Value,
    ) -> InsertOutcome {
        if let Some(link) = self.relay_link().filter(|_| self.policy.relay) {
            let outcome = link.write_row(key.clone(), expected, &value).await;
            // Nothing was written: the relay may be cut off from the store where this entry is not.
            if outcome != InsertOutcome::Refused {
                return outcome;
            }
        }
        self.group.write(key, expected, value).await
    }

    /// Link to the agent that writes the rows of this region, if it is up and takes work.
    pub(crate) fn relay_link(&self) -> Option<Arc<Link>> {
        let name = self.relay.lock().expect("no panics under the lock").clone()?;
        let links = self.links.lock().expect("no panics under the lock");
        links.get(&name).filter(|link| link.takes_work()).cloned()
    }

    /// Time on this entry's monotonic clock.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Links that are up.
    pub(crate) fn all_links(&self) -> Vec<Arc<Link>> {
        self.links.lock().expect("no panics under the lock").values().cloned().collect()
    }

    /// Builds the routes anew after links, loaded versions or the configuration changed.
    ///
    /// One at a time: of two that overlap, the one that saw the older state could win.
    pub(crate) fn rebuild_routes(&self) {
        let _one = self.rebuilding.lock().expect("no panics under the lock");
        let routes = Routes::build(&self.all_links(), &self.config.snapshot());
        self.routes.store(Arc::new(routes));
    }

    /// Whether new requests are refused.
    pub fn is_leaving(&self) -> bool {
        let lifecycle = self.lifecycle.lock().expect("no panics under the lock");
        matches!(lifecycle.state(), LifecycleState::Leaving {} | LifecycleState::Stopped {})
    }

    /// Whether the entry has a configuration and takes requests.
    pub fn is_ready(&self) -> bool {
        let lifecycle = self.lifecycle.lock().expect("no panics under the lock");
        matches!(lifecycle.state(), LifecycleState::Serving {})
    }

    pub(crate) fn advance(&self, event: LifecycleEvent) {
        self.lifecycle.lock().expect("no panics under the lock").handle(&event);
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    pub(crate) fn is_dead(&self) -> bool {
        *self.killed.borrow()
    }

    /// What the admin address shows.
    pub(crate) fn admin(self: &Arc<Self>) -> AdminHandlers {
        let (ready, dumped, metrics) = (self.clone(), self.clone(), self.metrics.clone());
        AdminHandlers {
            render_metrics: Arc::new(move || metrics.render()),
            is_ready: Arc::new(move || ready.is_ready()),
            dump_state: Arc::new(move || dumped.dump()),
        }
    }

    /// The state dump.
    pub fn dump(&self) -> serde_json::Value {
        let now = self.now();
        let links: Vec<_> = self
            .all_links()
            .iter()
            .map(|link| {
                json!({
                    "host": link.host.name,
                    "zone": link.host.zone,
                    "server": link.server,
                    "incarnation": format_id(link.peer.incarnation),
                    "in_flight": link.in_flight(),
                    "out": link.is_out(now),
                    "loaded": link.loaded(),
                    "heartbeat": link.beat(),
                })
            })
            .collect();
        let steering = self.dump_steering();
        json!({
            "role": "entry",
            "host": self.settings.host,
            "zone": self.settings.zone,
            "region": self.settings.region,
            "incarnation": format_id(self.incarnation),
            "config_revision": self.config.revision(),
            "ready": self.is_ready(),
            "leaving": self.is_leaving(),
            "in_flight": self.in_flight(),
            "store_down": self.health.last_call_failed(),
            "links": links,
            "hosts_known": self.hosts.lock().expect("no panics under the lock").len(),
            "servers_by_version": self.routes.load().version_counts(),
            "held": self.suspicion.lock().expect("no panics under the lock").all(&self.config.snapshot()),
            "cascades": steering,
            "pins_cached": self.pins.lock().expect("no panics under the lock").len(),
            "charges_waiting": self.charges.waiting(),
            "recent_requests": self.explanations.lock().expect("no panics under the lock").ids(20),
        })
    }

    fn dump_steering(&self) -> BTreeMap<ObjectId, serde_json::Value> {
        let snapshot = self.config.snapshot();
        let estimates = self.estimates.lock().expect("no panics under the lock");
        let mut dump = BTreeMap::new();
        for (id, spec) in &snapshot.cascades {
            let steering = estimates.quality_balance(id, spec.quality_target);
            let state = json!({
                "credit": steering.credit,
                "reached": steering.mean_rating,
                "target": spec.quality_target,
            });
            dump.insert(id.clone(), state);
        }
        dump
    }
}
