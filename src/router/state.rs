//! Shared state of an entry on the platform.

use std::{
    collections::HashMap,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use tokio::{
    sync::{Notify, mpsc, watch},
    time::timeout,
};

use crate::{
    clock::Clock,
    platform::host_settings::HostSettings,
    policy::{
        connection_limit::max_connections,
        exposure::hash_fraction,
        extra_share::ExtraShare,
        lifecycle::{self, Lifecycle, LifecycleEvent, LifecycleState},
        link_age::max_link_age,
        overload::{Overload, retry_after},
        shutdown::PlannedStop,
        trial_budget::budget_part,
        windowed_retry_budget::{RetryLimits, WindowedRetryBudget},
    },
    router::{
        Fleet,
        callers::connection_table::ConnectionTable,
        duties::usage_meter::UsageMeter,
        listen_purpose::ListenPurpose,
        peers::{
            load_reports::LoadReports, own_place::OwnPlace, peer_link::PeerLink,
            prefix_reports::PrefixReports, shared_limits::SharedLimits,
            shared_quarantine::SharedQuarantine, speed_reports::SpeedReports,
        },
        quarantine::quarantine_row::TrialRequest,
        request::memory_budget::MemoryBudget,
        roll_outs::roll_out::RollOuts,
        servers::{evacuations::Evacuations, timing_estimates::TimingEstimates},
        store::table_views::TableViews,
    },
    routing::RoutingTable,
    settings::RouteSettings,
    sync::Mutex,
    telemetry::{Metrics, event, log_rate::LogRate},
};

/// Reading of the entry's clock when the process starts. It is not zero, so that earlier times such as the start of
/// a roll-out in progress can be represented; no time of interest lies more than a day back.
const CLOCK_ORIGIN: Duration = Duration::from_secs(24 * 60 * 60);

/// Longest time a request waits for the first configuration and servers. They took 0.4 s to arrive on the slowest
/// links of the larger sites after all hosts had lost power. Half a second leaves most of the time that a stream has
/// until its first event.
const MAX_VIEW_WAIT: Duration = Duration::from_millis(500);

/// Time after a start or resume for which requests wait for current data. A read of the store takes 10 ms, a link to
/// another entry 0.3 s. After this time requests are served with the data at hand.
const MAX_REFRESH_WAIT: Duration = Duration::from_secs(2);
/// Capacity of the queue of quarantine trials. When it is full, the request is refused, and a later attempt asks for
/// its trial again.
const TRIAL_QUEUE: usize = 16;

/// State of one entry, shared by its control thread and its request-serving thread.
pub struct Router {
    /// The Host's settings, as provided by the platform; replaced on reload.
    pub settings: ArcSwap<HostSettings>,
    /// Configuration in force; `None` until the first one has been read.
    pub table: ArcSwap<Option<RoutingTable>>,
    /// Known BackendServers.
    pub fleet: ArcSwap<Fleet>,
    /// AvailabilityZones that the operator has evacuated, so that nothing is sent there.
    pub(crate) evacuations: Evacuations,
    /// This entry's rank among all entries, by which limited sends are shared.
    pub(crate) own_place: OwnPlace,
    /// Rate limits that servers advertise in their responses.
    pub(crate) shared_limits: SharedLimits,
    /// Roll-outs and the evidence about their versions.
    pub roll_outs: RollOuts,
    /// The operator's policy settings.
    pub policy: RouteSettings,
    /// Last known contents of the store's tables.
    pub(crate) table_views: TableViews,
    /// Load of the servers, as entries report it to each other.
    pub(crate) load_reports: LoadReports,
    /// Prompt prefixes in the servers' caches, as entries report them to each other.
    pub(crate) prefix_reports: PrefixReports,
    /// Speed of the servers' machines, as entries report it to each other.
    pub(crate) speed_reports: SpeedReports,
    /// Requests during which servers crashed, as entries report them to each other.
    pub(crate) quarantine: SharedQuarantine,
    /// Open connections of callers.
    pub(crate) connections: Arc<ConnectionTable>,
    /// Memory that requests and responses may use while they are held.
    pub(crate) memory: MemoryBudget,
    /// Counts of the requests that begin to run, for the report of usage.
    pub(crate) usage: UsageMeter,
    /// Measured speed of the models.
    pub(crate) speed_estimates: TimingEstimates,
    /// Times that new versions are compared with.
    pub(crate) usual_times: TimingEstimates,
    /// The link to another entry that this one follows instead of the store.
    pub(crate) peer_link: PeerLink,
    /// Limits the log lines on connections of callers that are cut.
    pub(crate) cut_log: LogRate,
    /// Limits the log lines on links of other entries that ended.
    pub(crate) link_log: LogRate,
    /// Prometheus metrics.
    pub metrics: Metrics,
    /// Retry budgets by service.
    pub(super) retry_budgets: Mutex<HashMap<Box<str>, WindowedRetryBudget>>,
    /// This entry's share of the retries that all entries may make beyond the configured ratio.
    extra_share: Mutex<ExtraShare>,
    /// How long no server of a service could accept requests, by service; determines `Retry-After`.
    overloads: Mutex<HashMap<Box<str>, Overload>>,
    lifecycle: Mutex<Lifecycle>,
    /// Whether the address for callers is bound.
    listens_to_callers: watch::Sender<bool>,
    in_flight: AtomicUsize,
    /// Wakes waiting requests when the configuration, the servers or other awaited data change.
    view_changed: Notify,
    /// The planned stop, once it has begun.
    pub(super) planned_stop: OnceLock<PlannedStop>,
    /// The entry's clock. All times of the request path are readings of it.
    pub clock: Clock,
    /// Queue of requests for quarantine trials; one task of the control thread at a time holds the receiver.
    pub(crate) trials:
        (mpsc::Sender<TrialRequest>, tokio::sync::Mutex<mpsc::Receiver<TrialRequest>>),
}

impl Router {
    /// An entry that has no configuration yet.
    pub fn new(settings: HostSettings, policy: RouteSettings) -> Self {
        let (tx, rx) = mpsc::channel(TRIAL_QUEUE);
        let exposure = policy.exposure.within(settings.exposure_share);
        let limits = policy.callers;
        let limit = max_connections(
            settings.memory_limit,
            settings.descriptor_limit,
            limits.connection_bytes,
        );
        let connections = Arc::new(ConnectionTable::new(limit));
        let memory =
            MemoryBudget::new(settings.memory_limit, connections.clone(), limits.evict_after);
        Self {
            memory,
            connections,
            settings: ArcSwap::from_pointee(settings),
            table: ArcSwap::from_pointee(None),
            fleet: ArcSwap::from_pointee(Fleet::default()),
            evacuations: Evacuations::default(),
            own_place: OwnPlace::default(),
            shared_limits: SharedLimits::default(),
            roll_outs: RollOuts::new(exposure),
            policy,
            table_views: TableViews::default(),
            load_reports: LoadReports::default(),
            prefix_reports: PrefixReports::default(),
            speed_reports: SpeedReports::default(),
            quarantine: SharedQuarantine::default(),
            usage: UsageMeter::new(CLOCK_ORIGIN),
            peer_link: PeerLink::default(),
            cut_log: LogRate::default(),
            link_log: LogRate::default(),
            metrics: Metrics::default(),
            retry_budgets: Mutex::default(),
            extra_share: Mutex::new(ExtraShare::new(CLOCK_ORIGIN)),
            overloads: Mutex::default(),
            speed_estimates: TimingEstimates::default(),
            usual_times: TimingEstimates::default(),
            lifecycle: Mutex::new(lifecycle::start()),
            listens_to_callers: watch::Sender::new(false),
            in_flight: AtomicUsize::new(0),
            view_changed: Notify::new(),
            planned_stop: OnceLock::new(),
            clock: Clock::starting_at(CLOCK_ORIGIN),
            trials: (tx, tokio::sync::Mutex::new(rx)),
        }
    }

    /// Current time on the entry's clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// When the process started, on the entry's clock.
    pub(crate) fn started_at(&self) -> Duration {
        CLOCK_ORIGIN
    }

    /// Checks whether the Host has been suspended since the last check. If so, data received before the suspension is
    /// treated as outdated and waiting requests check their condition again.
    pub(crate) fn notice_suspension(&self) -> bool {
        let Some(suspended) = self.clock.detect_suspension() else {
            return false;
        };
        event::HOST_RESUMED.log(format_args!("suspended_ms={}", suspended.as_millis()));
        // By now the followed entry has dropped its link to this one, and calls to the store have timed out.
        self.peer_link.set_current(false);
        self.view_changed.notify_waiters();
        true
    }

    /// Whether configuration and servers have been received since the Host last resumed. If they don't arrive in
    /// time, the earlier data counts as fresh, as it does while the store is unreachable.
    pub(crate) fn is_view_fresh(&self) -> bool {
        let resumed_at = self.clock.last_resumed_at();
        self.table_views.applied_at() >= resumed_at || self.now() >= resumed_at + MAX_REFRESH_WAIT
    }

    /// Whether this entry has received the list of quarantined requests, or the time to wait for it is over.
    fn is_informed(&self) -> bool {
        self.quarantine.is_informed() || self.now() >= CLOCK_ORIGIN + MAX_REFRESH_WAIT
    }

    /// Advances the state machine of the process's lifecycle.
    pub fn advance(&self, event: LifecycleEvent) {
        self.lifecycle.lock().handle(&event);
    }

    /// Puts a configuration in force.
    pub(crate) fn set_table(&self, table: RoutingTable) {
        self.fleet.load().set_cache_capacities(&table.kv_cache_tokens);
        self.table.store(Arc::new(Some(table)));
        self.view_changed.notify_waiters();
    }

    /// Replaces the known servers.
    pub(crate) fn set_fleet(&self, fleet: Fleet) {
        if let Some(table) = self.table.load().as_ref() {
            fleet.set_cache_capacities(&table.kv_cache_tokens);
        }
        self.prefix_reports.apply(&[], &fleet);
        self.shared_limits.forget_departed(&fleet, self.now());
        self.fleet.store(Arc::new(fleet));
        // Reports that are applied at the same time either see the new fleet or are applied here.
        self.speed_reports.apply_to_new_servers(&self.fleet, self.now());
        self.view_changed.notify_waiters();
    }

    /// Whether the settings name this entry as a seed, which others may follow.
    pub(crate) fn is_seed(&self) -> bool {
        let settings = self.settings.load();
        settings.peer_address.is_some_and(|peer| settings.seed_peers.contains(&peer))
    }

    /// Whether the settings name a seed that this entry may follow instead of the store.
    pub(crate) fn may_follow(&self) -> bool {
        !self.is_seed() && !self.settings.load().seed_peers.is_empty()
    }

    /// Whether this entry should follow another one: always, unless it is a seed that reaches the store.
    pub(crate) fn needs_link(&self) -> bool {
        !self.is_seed() || self.table_views.is_store_lost() || self.table.load().is_none()
    }

    /// Whether this entry gets its data over the link to another entry instead of from the store.
    pub(crate) fn follows_link(&self) -> bool {
        !self.is_seed() && self.peer_link.is_current()
    }

    /// Age of a followed entry's data from which on the store is asked instead.
    pub(crate) fn max_link_age(&self) -> Duration {
        let settings = self.settings.load();
        max_link_age(settings.drain_time.min(settings.config_apply_time))
    }

    /// Whether this entry's data is current, so that others may follow it.
    pub(crate) fn is_current(&self) -> bool {
        self.table.load().is_some() && !self.table_views.is_store_lost()
    }

    /// Wakes waiting requests, so that they check their condition again.
    pub(crate) fn wake_waiters(&self) {
        self.view_changed.notify_waiters();
    }

    /// Waits for the first configuration, the first servers and the state of roll-outs that were ordered earlier. A
    /// process that has just started receives them within moments, and a caller refused in the meantime may not get
    /// another attempt. Without the state of roll-outs, an entry treated a completed roll-out as just begun and sent
    /// sessions back to the old version for two seconds, though its servers may be gone.
    pub(crate) async fn wait_for_view(&self) {
        let work = async {
            loop {
                let view_changed = self.view_changed.notified();
                let has_view = self.table.load().is_some() && !self.fleet.load().is_empty();
                // While the store is unreachable the state can't be learned, so requests wait only for a limited
                // time.
                let recent = self.now().saturating_sub(MAX_VIEW_WAIT);
                let is_known = !self.roll_outs.has_unknown(recent);
                let is_received = self.is_view_fresh() && self.is_informed();
                if has_view && is_known && is_received {
                    return;
                }
                view_changed.await;
            }
        };
        // After a timeout, a request without configuration or servers is refused by later checks. Data from before a
        // suspension is used if nothing newer arrives in time.
        let _ = timeout(MAX_VIEW_WAIT, work).await;
    }

    /// Whether the load balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        self.listens_to_callers() && self.is_in(LifecycleState::Serving {})
    }

    /// Whether callers can connect.
    pub(crate) fn listens_to_callers(&self) -> bool {
        *self.listens_to_callers.borrow()
    }

    /// Waits until callers can connect. Until then another process may serve on this Host, and what all entries share is
    /// its part to report and to perform.
    pub(crate) async fn wait_until_listening(&self) {
        let mut listens = self.listens_to_callers.subscribe();
        // The sender is part of this router, so it can't be gone.
        let _ = listens.wait_for(|listens| *listens).await;
    }

    /// Records whether an address of this entry is bound.
    pub(crate) fn set_listening(&self, purpose: ListenPurpose, is_bound: bool) {
        if purpose == ListenPurpose::Callers {
            self.listens_to_callers.send_replace(is_bound);
        }
    }

    /// Whether the process is stopping or has stopped.
    pub fn is_leaving(&self) -> bool {
        !self.is_in(LifecycleState::Serving {}) && !self.is_in(LifecycleState::Starting {})
    }

    fn is_in(&self, state: LifecycleState) -> bool {
        *self.lifecycle.lock().state() == state
    }

    /// Bytes of requests and responses that are held for slow callers and servers.
    pub fn held_bytes(&self) -> usize {
        self.memory.held()
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight, until [`record_request_finished`](Self::record_request_finished).
    pub(crate) fn record_request_started(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.metrics.in_flight.inc();
    }

    /// Ends the counting of a request as in flight.
    pub(crate) fn record_request_finished(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.metrics.in_flight.dec();
    }

    /// Counts a caller's request towards the retry budget of its service.
    pub(crate) fn record_request(&self, service: &str) {
        let terms = self.retry_limits();
        let mut retry_budgets = self.retry_budgets.lock();
        retry_budgets.entry(service.into()).or_default().record_request(&terms, self.now());
    }

    /// Takes one retry from the service's budget; false if the budget is exhausted.
    pub(crate) fn take_retry(&self, service: &str) -> bool {
        let terms = self.retry_limits();
        let mut retry_budgets = self.retry_budgets.lock();
        let is_taken =
            retry_budgets.entry(service.into()).or_default().try_retry(&terms, self.now());
        self.metrics.count_retry(service, is_taken);
        is_taken
    }

    /// Records that no server of a service could accept a request; returns the `Retry-After` for its caller.
    pub(crate) fn record_overload(&self, service: &str, request_id: &str) -> Duration {
        let mut overloads = self.overloads.lock();
        let lasted = overloads.entry(service.into()).or_default().record_refusal(self.now());
        retry_after(lasted, hash_fraction(request_id, service))
    }

    /// Whether the service's budget still allows a retry.
    pub(crate) fn has_retry_left(&self, service: &str) -> bool {
        let terms = self.retry_limits();
        let mut retry_budgets = self.retry_budgets.lock();
        retry_budgets.entry(service.into()).or_default().remaining(&terms, self.now()) >= 1.0
    }

    /// Whether overload control is in force.
    pub(crate) fn controls_overload(&self) -> bool {
        self.policy.overload_control.is_in_force(self.settings.load().expects_overload)
    }

    /// Records the number of entries, as counted by a seed that all of them report to. The settings give a lower
    /// bound, since a seed that is cut off from the others counts too few.
    pub(crate) fn record_entries(&self, entries: usize) {
        let seeds = self.settings.load().seed_peers.len();
        let entries = u32::try_from(entries.max(seeds)).unwrap_or(u32::MAX);
        let mut share = self.extra_share.lock();
        share.record_entries(entries, self.now());
    }

    /// Number of entries that this one knows of.
    pub(super) fn entries(&self) -> u32 {
        self.extra_share.lock().entries()
    }

    /// This entry's part of the requests that a trial may have beside its share.
    pub(crate) fn trial_part(&self) -> f64 {
        let entries = match self.entries() {
            0 => self.place().map_or(0, |place| place.entries),
            entries => entries,
        };
        budget_part(self.settings.load().exposure_tolerance, entries)
    }

    /// Limits of the retry budgets; the extra retries are shared among all entries.
    pub(super) fn retry_limits(&self) -> RetryLimits {
        let settings = self.settings.load();
        let window = settings.retry_window;
        let share = self.extra_share.lock();
        let extra = settings.retry_extra * share.fraction(window, self.now());
        RetryLimits { ratio: settings.retry_ratio, extra, window }
    }
}

impl std::fmt::Debug for Router {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Router").field("host", &self.settings.load().host).finish_non_exhaustive()
    }
}
