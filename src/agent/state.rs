//! What one agent holds.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use serde_json::json;
use tokio::{sync::watch, task::AbortHandle};

use crate::{
    agent::{
        copies::Copies,
        evidence::{EpochSums, EvidenceSums},
    },
    control::{config::Config, pull::PullSlot, store_health::StoreHealth},
    ids::{Incarnation, ObjectId, Revision, VersionId, format_id, new_incarnation},
    ledger::GroupCommit,
    platform::{HttpClient, ObjectsClient, TableClient},
    policy::{
        attempt::AttemptKey,
        concurrency_limit::AdaptiveConcurrencyLimit,
        fair_queue::FairQueue,
        gate::Gate,
        lifecycle::{self, Lifecycle, LifecycleEvent, LifecycleState},
    },
    protocol::{AgentLoad, FrameSender, Peer, StartAttempt, ToEntry, encode},
    settings::AgentSettings,
    telemetry::{Metrics, admin::AdminHandlers},
};

/// Weight of a new sample in running means.
const SMOOTHING: f64 = 0.1;
const FIRST_SERVICE: Duration = Duration::from_millis(300);
const FIRST_TOKEN: Duration = Duration::from_millis(10);
const FIRST_PREFILL: f64 = 8_000.0;
/// How long the first row of a group waits for rows of other entries: at most 20 groups a second.
const ROW_LINGER: Duration = Duration::from_millis(50);
/// Pins remembered for the time while the table service is down.
const MAX_PINS: usize = 50_000;

/// Number of a link within one agent's life.
pub(crate) type LinkId = u64;

/// An attempt waiting at the agent.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) start: StartAttempt,
    pub(crate) link: LinkId,
    pub(crate) received: Instant,
}

/// An attempt at the BackendServer.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) link: LinkId,
    pub(crate) repeatable: bool,
    pub(crate) abort: AbortHandle,
}

/// One link to an entry.
#[derive(Debug)]
pub(crate) struct LinkHandle {
    pub(crate) peer: Peer,
    pub(crate) tx: FrameSender,
    pub(crate) starts_seen: AtomicU64,
    pub(crate) sent: Mutex<SentOnLink>,
}

/// What heartbeats on a link have already told.
#[derive(Debug, Default)]
pub(crate) struct SentOnLink {
    pub(crate) loaded: Option<Vec<VersionId>>,
    pub(crate) evidence: BTreeMap<VersionId, EpochSums>,
}

/// Attempts and what is known about the BackendServer's speed.
#[derive(Debug)]
pub(crate) struct Work {
    pub(crate) gate: Gate,
    pub(crate) queue: FairQueue<Pending>,
    pub(crate) behind: Vec<Pending>,
    pub(crate) running: HashMap<AttemptKey, Running>,
    pub(crate) started: usize,
    pub(crate) limit: AdaptiveConcurrencyLimit,
    pub(crate) service: Duration,
    pub(crate) token: Duration,
    pub(crate) prefill: f64,
    pub(crate) failures_in_a_row: u32,
}

impl Work {
    /// Takes the timing of an ended attempt into the running means.
    pub(crate) fn observe(&mut self, service: Duration, between_tokens: Option<Duration>) {
        self.service = blend(self.service, service);
        let Some(between_tokens) = between_tokens else {
            return;
        };
        self.token = blend(self.token, between_tokens);
        self.limit.observe(between_tokens);
    }
}

fn blend(mean: Duration, sample: Duration) -> Duration {
    mean.mul_f64(1.0 - SMOOTHING) + sample.mul_f64(SMOOTHING)
}

/// One agent.
pub struct Agent {
    /// Its settings.
    pub settings: AgentSettings,
    /// Its life.
    pub incarnation: Incarnation,
    /// Configuration in force here.
    pub config: Config,
    /// Its metrics.
    pub metrics: Metrics,
    pub(crate) health: StoreHealth,
    pub(crate) http: HttpClient,
    pub(crate) objects: ObjectsClient,
    pub(crate) rows: GroupCommit,
    pub(crate) work: Mutex<Work>,
    pub(crate) links: Mutex<BTreeMap<LinkId, Arc<LinkHandle>>>,
    pub(crate) next_link: AtomicU64,
    pub(crate) loaded: Mutex<Option<Vec<VersionId>>>,
    pub(crate) evidence: Mutex<EvidenceSums>,
    pub(crate) held: Mutex<BTreeMap<VersionId, Revision>>,
    pub(crate) copies: Mutex<Copies>,
    pub(crate) pins: Mutex<HashMap<(Box<str>, ObjectId), VersionId>>,
    pub(crate) pulling: PullSlot,
    lifecycle: Mutex<Lifecycle>,
    dead: AtomicBool,
    pub(crate) killed: watch::Sender<bool>,
}

impl std::fmt::Debug for Agent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Agent").field("server", &self.settings.server).finish_non_exhaustive()
    }
}

impl Agent {
    /// An agent that has not been started; must be called on a runtime.
    pub fn new(settings: AgentSettings) -> Self {
        let metrics = Metrics::default();
        let http = HttpClient::default();
        let work = Work {
            gate: Gate::default(),
            queue: FairQueue::new(settings.max_queued),
            behind: Vec::new(),
            running: HashMap::new(),
            started: 0,
            limit: AdaptiveConcurrencyLimit::new(settings.max_running, settings.token_target),
            service: FIRST_SERVICE,
            token: FIRST_TOKEN,
            prefill: FIRST_PREFILL,
            failures_in_a_row: 0,
        };
        let health = StoreHealth::new(metrics.clone());
        let table = TableClient::over_http(http.clone(), &settings.platform.table);
        Self {
            incarnation: new_incarnation(),
            config: Config::new(metrics.clone()),
            rows: GroupCommit::start(table, health.clone(), ROW_LINGER),
            health,
            objects: ObjectsClient::over_http(http.clone(), &settings.platform.objects),
            http,
            work: Mutex::new(work),
            links: Mutex::default(),
            next_link: AtomicU64::new(0),
            loaded: Mutex::default(),
            evidence: Mutex::default(),
            held: Mutex::default(),
            copies: Mutex::new(Copies::new(settings.max_waiting_charges)),
            pins: Mutex::default(),
            pulling: PullSlot::default(),
            lifecycle: Mutex::new(lifecycle::start()),
            dead: AtomicBool::new(false),
            killed: watch::Sender::new(false),
            metrics,
            settings,
        }
    }

    pub(crate) fn peer(&self) -> Peer {
        Peer {
            host: self.settings.host.clone(),
            region: self.settings.region.clone(),
            zone: self.settings.zone.clone(),
            incarnation: self.incarnation,
            server: self.settings.server.clone(),
        }
    }

    /// Links that are up.
    pub(crate) fn all_links(&self) -> Vec<Arc<LinkHandle>> {
        self.links.lock().expect("no panics under the lock").values().cloned().collect()
    }

    pub(crate) fn lock_work(&self) -> MutexGuard<'_, Work> {
        self.work.lock().expect("no panics under the lock")
    }

    /// Whether new work is refused.
    pub fn is_leaving(&self) -> bool {
        let lifecycle = self.lifecycle.lock().expect("no panics under the lock");
        !matches!(lifecycle.state(), LifecycleState::Starting {} | LifecycleState::Serving {})
    }

    pub(crate) fn advance(&self, event: LifecycleEvent) {
        self.lifecycle.lock().expect("no panics under the lock").handle(&event);
    }

    /// Load as a link is told.
    pub(crate) fn load_now(&self, link: LinkId) -> AgentLoad {
        let starts_seen = {
            let links = self.links.lock().expect("no panics under the lock");
            links.get(&link).map_or(0, |link| link.starts_seen.load(Ordering::Relaxed))
        };
        let work = self.lock_work();
        AgentLoad { running: work.started as u32, queued: work.queue.len() as u32, starts_seen }
    }

    /// Whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        let work = self.lock_work();
        work.started == 0 && work.queue.is_empty() && work.behind.is_empty()
    }

    /// Attempts running.
    pub fn running(&self) -> usize {
        self.lock_work().started
    }

    pub(crate) fn is_dead(&self) -> bool {
        self.dead.load(Ordering::Relaxed)
    }

    pub(crate) fn kill(&self) {
        self.dead.store(true, Ordering::Relaxed);
        self.killed.send_replace(true);
        let work = self.lock_work();
        for running in work.running.values() {
            running.abort.abort();
        }
    }

    /// Sends a frame on a link, if it is still up.
    pub(crate) async fn send(&self, link: LinkId, frame: &ToEntry) {
        let handle = self.links.lock().expect("no panics under the lock").get(&link).cloned();
        if let Some(handle) = handle {
            let _ = handle.tx.send(encode(frame)).await;
        }
    }

    pub(crate) fn remember_pin(&self, session: Box<str>, model: ObjectId, version: VersionId) {
        let mut pins = self.pins.lock().expect("no panics under the lock");
        if pins.len() >= MAX_PINS {
            pins.clear();
        }
        pins.insert((session, model), version);
    }

    pub(crate) fn remembered_pin(&self, session: Box<str>, model: ObjectId) -> Option<VersionId> {
        let pins = self.pins.lock().expect("no panics under the lock");
        pins.get(&(session, model)).cloned()
    }

    /// What the admin address shows.
    pub(crate) fn admin(self: &Arc<Self>) -> AdminHandlers {
        let (ready, dumped, metrics) = (self.clone(), self.clone(), self.metrics.clone());
        AdminHandlers {
            render_metrics: Arc::new(move || metrics.render()),
            is_ready: Arc::new(move || !ready.is_leaving()),
            dump_state: Arc::new(move || dumped.dump()),
        }
    }

    /// The state dump.
    pub fn dump(&self) -> serde_json::Value {
        let links: Vec<_> = self
            .links
            .lock()
            .expect("no panics under the lock")
            .values()
            .map(|link| {
                json!({
                    "entry": link.peer.host,
                    "incarnation": format_id(link.peer.incarnation),
                    "starts_seen": link.starts_seen.load(Ordering::Relaxed),
                })
            })
            .collect();
        let evidence = self.evidence.lock().expect("no panics under the lock").all();
        let held = self.held.lock().expect("no panics under the lock").clone();
        let copies = self.copies.lock().expect("no panics under the lock").len();
        let loaded = self.loaded.lock().expect("no panics under the lock").clone();
        let work = self.lock_work();
        json!({
            "role": "agent",
            "host": self.settings.host,
            "zone": self.settings.zone,
            "region": self.settings.region,
            "incarnation": format_id(self.incarnation),
            "server": self.settings.server,
            "config_revision": self.config.revision(),
            "leaving": self.is_leaving(),
            "links": links,
            "loaded": loaded,
            "running": work.started,
            "queued": work.queue.len(),
            "behind_revision": work.behind.len(),
            "limit": work.limit.get(),
            "remembered_attempts": work.gate.len(),
            "service_ms": work.service.as_secs_f64() * 1e3,
            "token_ms": work.token.as_secs_f64() * 1e3,
            "prefill_rate": work.prefill,
            "failures_in_a_row": work.failures_in_a_row,
            "evidence": evidence,
            "held": held,
            "charge_copies": copies,
            "store_down": self.health.last_call_failed(),
        })
    }
}
