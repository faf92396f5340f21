//! What an entry on the platform holds.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use tokio::{
    sync::{Notify, mpsc},
    time::timeout,
};

use crate::{
    clock::Clock,
    platform::host_settings::HostSettings,
    policy::{
        comeback::{Overload, retry_after},
        exposure::draw,
        extra_share::ExtraShare,
        lifecycle::{self, Lifecycle, LifecycleEvent, LifecycleState},
        send_budget::{SendBudget, SendTerms},
        stopping::still_fits,
    },
    router::{
        Fleet, evacuations::Evacuations, kept_board::KeptBoard, limit_board::LimitBoard,
        link::Link, load_board::LoadBoard, own_place::OwnPlace, quarantine_board::QuarantineBoard,
        quarantine_row::TrialRequest, readings::Readings, roll_out::RollOuts, views::Views,
    },
    routing::{Route, RoutingTable},
    settings::RouteSettings,
    telemetry::{Metrics, event},
};

/// Time the balancer needs to see that this entry is no longer ready: two questions, a second
/// apart, and a little more.
pub(crate) const READINESS_LAG: Duration = Duration::from_millis(2_500);
/// Time after which a caller may try another entry.
const RETRY_OTHER_ENTRY: Duration = Duration::from_millis(50);
/// Time from the end of a process until the next one on its Host takes requests; 0.5 to 0.6 s in
/// the logs of the first sites.
const RESTART_TIME: Duration = Duration::from_millis(700);
/// Time before the end of the grace at which what is left is cut.
pub(crate) const KILL_MARGIN: Duration = Duration::from_millis(300);

/// Reading of the entry's clock when the process starts. It leaves room for times before the start,
/// such as the begin of a roll-out that is under way; none of interest lies a day back.
const CLOCK_ORIGIN: Duration = Duration::from_secs(24 * 60 * 60);

/// Longest wait for the first configuration; 0.4 s on the slowest links of the grown sites after
/// all hosts lost power, and half a second leaves most of a stream's time to its first event.
const MAX_VIEW_WAIT: Duration = Duration::from_millis(500);

/// Time in which a process that starts or resumes learns what holds now: a read of the store takes 10 ms and
/// a link 0.3 s. Later, requests are no longer held for it.
const MAX_REFRESH_WAIT: Duration = Duration::from_secs(2);
/// Trials that may be asked for at once; a caller beyond them is refused, and the next one asks.
const TRIAL_QUEUE: usize = 16;

/// State of one entry, shared by its control and its traffic thread.
pub struct Router {
    /// What the platform says about this Host; replaced at a reload.
    pub settings: ArcSwap<HostSettings>,
    /// Configuration in force; none until one was read.
    pub table: ArcSwap<Option<RoutingTable>>,
    /// BackendServers in view.
    pub fleet: ArcSwap<Fleet>,
    /// AvailabilityZones that the operator wants nothing sent to.
    pub(crate) evacuations: Evacuations,
    /// This entry's place among all.
    pub(crate) own_place: OwnPlace,
    /// Servers that advertise a limit in their answers.
    pub(crate) limits: LimitBoard,
    /// Roll-outs and the evidence on their versions.
    pub roll_outs: RollOuts,
    /// What the operator settled about decisions.
    pub policy: RouteSettings,
    /// The store's rows as last seen.
    pub(crate) views: Views,
    /// What entries report to each other about the servers' load.
    pub(crate) loads: LoadBoard,
    /// What entries report to each other about prompt parts that servers keep.
    pub(crate) kept: KeptBoard,
    /// What entries report to each other about requests under which servers ended.
    pub(crate) quarantine: QuarantineBoard,
    /// What was learned of the models' pace.
    pub(crate) readings: Readings,
    /// What comes from another entry that is followed.
    pub(crate) link: Link,
    /// Metrics.
    pub metrics: Metrics,
    pub(super) retry_budgets: Mutex<HashMap<Box<str>, SendBudget>>,
    extra_share: Mutex<ExtraShare>,
    overloads: Mutex<HashMap<Box<str>, Overload>>,
    lifecycle: Mutex<Lifecycle>,
    in_flight: AtomicUsize,
    /// Wakes waiting requests when a configuration or servers come into view.
    view_changed: Notify,
    stop_began: OnceLock<Duration>,
    /// The entry's clock.
    pub clock: Clock,
    /// Where trials of refused requests are asked for, and the end for the control thread to take.
    pub(crate) trials: (mpsc::Sender<TrialRequest>, Mutex<Option<mpsc::Receiver<TrialRequest>>>),
}

impl Router {
    /// An entry that has no configuration yet.
    pub fn new(settings: HostSettings, policy: RouteSettings) -> Self {
        let (tx, rx) = mpsc::channel(TRIAL_QUEUE);
        Self {
            settings: ArcSwap::from_pointee(settings),
            table: ArcSwap::from_pointee(None),
            fleet: ArcSwap::from_pointee(Fleet::default()),
            evacuations: Evacuations::default(),
            own_place: OwnPlace::default(),
            limits: LimitBoard::default(),
            roll_outs: RollOuts::new(policy.exposure),
            policy,
            views: Views::default(),
            loads: LoadBoard::default(),
            kept: KeptBoard::default(),
            quarantine: QuarantineBoard::default(),
            link: Link::default(),
            metrics: Metrics::default(),
            retry_budgets: Mutex::default(),
            extra_share: Mutex::new(ExtraShare::started_at(CLOCK_ORIGIN)),
            overloads: Mutex::default(),
            readings: Readings::default(),
            lifecycle: Mutex::new(lifecycle::start()),
            in_flight: AtomicUsize::new(0),
            view_changed: Notify::new(),
            stop_began: OnceLock::new(),
            clock: Clock::starting_at(CLOCK_ORIGIN),
            trials: (tx, Mutex::new(Some(rx))),
        }
    }

    /// Time on the entry's clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// When the process started, on the entry's clock.
    pub(crate) fn started_at(&self) -> Duration {
        CLOCK_ORIGIN
    }

    /// Looks whether the Host was suspended; then what was received before is taken as old, and whoever waits
    /// looks again.
    pub(crate) fn notice_suspension(&self) -> bool {
        let Some(suspended) = self.clock.notice_suspension() else {
            return false;
        };
        event::HOST_RESUMED.log(format_args!("suspended_ms={}", suspended.as_millis()));
        // Followed entries have given this one up meanwhile, and the store's calls are long over.
        self.link.set_current(false);
        self.view_changed.notify_waiters();
        true
    }

    /// Whether configuration and servers were received since the Host last resumed. Where nobody reports them
    /// in time, what was known before has to do, as where the store is away.
    pub(crate) fn is_view_fresh(&self) -> bool {
        let woke_at = self.clock.woke_at();
        self.views.applied_at() >= woke_at || self.now() >= woke_at + MAX_REFRESH_WAIT
    }

    /// Whether this entry knows what is refused, or nobody reported it in time.
    fn is_informed(&self) -> bool {
        self.quarantine.is_informed() || self.now() >= CLOCK_ORIGIN + MAX_REFRESH_WAIT
    }

    /// Moves the process on.
    pub fn advance(&self, event: LifecycleEvent) {
        self.lifecycle.lock().expect("no panics under the lock").handle(&event);
    }

    /// Puts a configuration in force.
    pub(crate) fn set_table(&self, table: RoutingTable) {
        self.fleet.load().set_cache_capacities(&table.memories);
        self.table.store(Arc::new(Some(table)));
        self.view_changed.notify_waiters();
    }

    /// Takes over the servers in view.
    pub(crate) fn set_fleet(&self, fleet: Fleet) {
        if let Some(table) = self.table.load().as_ref() {
            fleet.set_cache_capacities(&table.memories);
        }
        self.kept.apply(&[], &fleet);
        self.limits.forget_gone(&fleet, self.now());
        self.fleet.store(Arc::new(fleet));
        self.view_changed.notify_waiters();
    }

    /// Whether the settings name this entry as one that others may follow.
    pub(crate) fn is_seed(&self) -> bool {
        let settings = self.settings.load();
        settings.peer.is_some_and(|peer| settings.seeds.contains(&peer))
    }

    /// Whether the settings name another entry that this one may follow instead of the store.
    pub(crate) fn may_follow(&self) -> bool {
        !self.is_seed() && !self.settings.load().seeds.is_empty()
    }

    /// Whether this entry should follow another one: always, unless it is a seed that the store
    /// answers.
    pub(crate) fn needs_link(&self) -> bool {
        !self.is_seed() || self.views.is_cut_off() || self.table.load().is_none()
    }

    /// Whether the link to another entry stands in for the store.
    pub(crate) fn follows_link(&self) -> bool {
        !self.is_seed() && self.link.is_current()
    }

    /// Whether those that follow this entry receive what the store says.
    pub(crate) fn is_current(&self) -> bool {
        self.table.load().is_some() && !self.views.is_cut_off()
    }

    /// Wakes those who wait, since something they may wait for is known.
    pub(crate) fn wake_waiters(&self) {
        self.view_changed.notify_waiters();
    }

    /// Waits for the first configuration, the first servers and the state of the roll-outs that were
    /// ordered before; a process that has just started has them in a moment, and a caller who is refused
    /// meanwhile may have no further try. An entry that took a completed roll-out as just begun sent
    /// sessions back to the old version for two seconds, though its servers may be gone.
    pub(crate) async fn wait_for_view(&self) {
        let work = async {
            loop {
                let view_changed = self.view_changed.notified();
                let has_view = self.table.load().is_some() && !self.fleet.load().is_empty();
                // Where the store is away this can't be known, and requests are not held for it.
                let lately = self.now().saturating_sub(MAX_VIEW_WAIT);
                let is_known = !self.roll_outs.is_any_unknown(lately);
                let is_received = self.is_view_fresh() && self.is_informed();
                if has_view && is_known && is_received {
                    return;
                }
                view_changed.await;
            }
        };
        // Without a view the request is refused by the checks that follow. A view from before a suspension is
        // used where nobody reports a newer one in time.
        let _ = timeout(MAX_VIEW_WAIT, work).await;
    }

    /// Whether the balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        self.is_in(LifecycleState::Serving {})
    }

    /// Notes that a planned stop began.
    pub(crate) fn begin_stop(&self) {
        self.stop_began.get_or_init(|| self.now());
        self.advance(LifecycleEvent::Leave);
    }

    /// Whether a request on this route can still be finished once a planned stop began.
    pub(crate) fn accepts(&self, route: &Route) -> bool {
        let Some(began) = self.stop_began.get() else {
            return true;
        };
        let end = *began + self.settings.load().grace.saturating_sub(KILL_MARGIN);
        still_fits(route, end.saturating_sub(self.now()))
    }

    /// When a caller that is rejected by a leaving entry should come back. The balancer sends
    /// new connections here only as long as it does not know, or when no other entry takes any:
    /// then there is nothing before the next process on this Host.
    pub(crate) fn leaving_retry_after(&self, connected_at: Duration) -> Duration {
        let began = self.stop_began.get().copied().unwrap_or_default();
        if connected_at < began + READINESS_LAG {
            return RETRY_OTHER_ENTRY;
        }
        (began + self.settings.load().grace + RESTART_TIME).saturating_sub(self.now())
    }

    /// Whether a planned stop began.
    pub fn is_leaving(&self) -> bool {
        !self.is_ready() && !self.is_in(LifecycleState::Starting {})
    }

    fn is_in(&self, state: LifecycleState) -> bool {
        *self.lifecycle.lock().expect("no panics under the lock").state() == state
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn record_request_started(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.metrics.in_flight.inc();
    }

    /// Counts a request as no longer in flight.
    pub(crate) fn record_request_finished(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.metrics.in_flight.dec();
    }

    /// Notes a caller's request for a service.
    pub(crate) fn record_request(&self, service: &str) {
        let terms = self.retry_limits();
        let mut retry_budgets = self.retry_budgets.lock().expect("no panics under the lock");
        retry_budgets.entry(service.into()).or_default().note_request(&terms, self.now());
    }

    /// Takes one repeated send to a service from the budget.
    pub(crate) fn take_retry(&self, service: &str) -> bool {
        let terms = self.retry_limits();
        let mut retry_budgets = self.retry_budgets.lock().expect("no panics under the lock");
        let is_taken =
            retry_budgets.entry(service.into()).or_default().try_repeat(&terms, self.now());
        self.metrics.count_repeat(service, is_taken);
        is_taken
    }

    /// Notes that no server of a service could take a request; when its caller should come back.
    pub(crate) fn record_overload(&self, service: &str, request_id: &str) -> Duration {
        let mut overloads = self.overloads.lock().expect("no panics under the lock");
        let lasted = overloads.entry(service.into()).or_default().note_refusal(self.now());
        retry_after(lasted, draw(request_id, service))
    }

    /// Whether the budget still holds a repeated send to a service.
    pub(crate) fn has_retry_left(&self, service: &str) -> bool {
        let terms = self.retry_limits();
        let mut retry_budgets = self.retry_budgets.lock().expect("no panics under the lock");
        retry_budgets.entry(service.into()).or_default().left(&terms, self.now()) >= 1.0
    }

    /// Takes in how many entries there are, as far as one knows that all report to. There are as many
    /// as the settings name at least, also where a seed is cut off from the others.
    pub(crate) fn record_entries(&self, entries: usize) {
        let named = self.settings.load().seeds.len();
        let entries = u32::try_from(entries.max(named)).unwrap_or(u32::MAX);
        let mut share = self.extra_share.lock().expect("no panics under the lock");
        share.note(entries, self.now());
    }

    /// Entries that this one knows of.
    pub(super) fn entries(&self) -> u32 {
        self.extra_share.lock().expect("no panics under the lock").entries()
    }

    pub(super) fn retry_limits(&self) -> SendTerms {
        let settings = self.settings.load();
        let window = settings.retry_window;
        let share = self.extra_share.lock().expect("no panics under the lock");
        let extra = settings.retry_extra * share.part(window, self.now());
        SendTerms { ratio: settings.retry_ratio, extra, window }
    }
}

impl std::fmt::Debug for Router {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Router").field("host", &self.settings.load().host).finish_non_exhaustive()
    }
}
