//! Metrics of a process. `docs/METRICS.md` lists their stable names.

use std::{
    collections::BTreeSet,
    sync::{Arc, atomic::AtomicU64},
};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::sync::Mutex;

/// Labels of a finished request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Organisation.
    pub organisation: String,
    /// `ok`, or the code of the error.
    pub code: String,
}

/// Labels of a finished attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AttemptLabels {
    /// Version.
    pub version: String,
    /// `done`, `refused`, `lost` or `cancelled`.
    pub outcome: String,
}

/// Labels of a call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PlatformCallLabels {
    /// Purpose of the call.
    pub cause: String,
}

/// Labels of a finished stage of a cascade.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StageLabels {
    /// Model.
    pub model: String,
    /// `passed`, `escalated` or `kept`.
    pub outcome: String,
}

/// Labels of a request that was not given the largest model under overload control.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct HeldBackLabels {
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// `reserved` or `late`.
    pub reason: String,
}

/// Labels of metrics per service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabels {
    /// Service.
    pub service: String,
}

/// Labels of a retry for which the retry budget was asked.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RetryLabels {
    /// Service.
    pub service: String,
    /// `taken` from the budget or `denied` by it.
    pub outcome: String,
}

/// Labels of panics of supervised tasks.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TaskLabels {
    /// Name of the task.
    pub task: String,
}

/// Labels of sends to servers that accept few requests: cold servers and those that advertise a rate limit.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LimitedSendLabels {
    /// `first` or `further` send of its request, or `refused` if no server accepted it.
    pub outcome: String,
}

/// Labels of sends to servers that have announced that they are unavailable.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct UnavailableSendLabels {
    /// `draining` or `paused`.
    pub cause: String,
    /// `first` or `further` send of its request.
    pub send: String,
}

/// Labels of servers that were excluded from a selection.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AvoidedServerLabels {
    /// Why the server is unavailable.
    pub cause: String,
}

/// Labels of attempts that were rejected with status 421.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct MisdirectedLabels {
    /// Who rejected it: the server `itself`, `another` or `unknown`.
    pub by: String,
}

/// Labels of connections of callers that were cut.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CutLabels {
    /// `memory`, `connections`, `yield`, `deadline` or `slow`.
    pub reason: String,
}

/// Labels of usage reports sent to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct UsageReportLabels {
    /// `accepted`, `busy`, `rejected` or `lost`.
    pub outcome: String,
}

/// Labels of reports on the speed of servers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SpeedReportLabels {
    /// `own`, `news`, `known`, `dropped` or `disbelieved`.
    pub outcome: String,
}

/// Labels of bounds of the servers' speeds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SpeedBoundLabels {
    /// `smallest` or `largest`.
    pub bound: String,
}

/// Labels of unknown response headers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct UnreadHeaderLabels {
    /// Name of the header, or `other` beyond the maximum number of names.
    pub name: String,
}

/// Maximum number of distinct names of unknown headers; it limits the number of time series.
const MAX_UNREAD_HEADER_NAMES: usize = 32;

/// Labels of the evidence about a version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EvidenceLabels {
    /// Service.
    pub service: String,
    /// Route, or `others` beyond the maximum number of routes.
    pub route: String,
    /// `old` or `new`.
    pub version: String,
    /// `answers`, `failures` or `slow`.
    pub count: String,
}

/// All metrics of a process. Clones share the same values.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
    /// Requests answered, by organisation and code.
    pub requests: Family<RequestLabels, Counter>,
    /// Attempts ended, by version and outcome.
    pub attempts: Family<AttemptLabels, Counter>,
    /// Time to first token as measured by this process, in seconds.
    pub first_token: Histogram,
    /// Time from the arrival of a request to the end of its answer, in seconds.
    pub total_time: Histogram,
    /// Cascade stages, by model and outcome.
    pub stages: Family<StageLabels, Counter>,
    /// Requests held back from the largest model, by priority and reason.
    pub held_back: Family<HeldBackLabels, Counter>,
    /// Log lines dropped because too many were waiting.
    pub log_lines_dropped: Gauge,
    /// Panics of all threads and tasks.
    pub panics: Gauge,
    /// Tasks that were started again after a panic, by task.
    pub tasks_restarted: Family<TaskLabels, Counter>,
    /// Age of the latest data from the store, in milliseconds.
    pub feed_age_ms: Gauge,
    /// Rows of BackendServers that currently can't be parsed.
    pub rows_unreadable: Gauge,
    /// Rows of the store that were left out, since their keys can't be read.
    pub rows_skipped: Counter,
    /// Entries known to this entry.
    pub entries: Gauge,
    /// Notes about cached prompt prefixes that other entries did not receive.
    pub kept_notes_lost: Gauge,
    /// Notes about ended servers that other entries did not receive.
    pub quarantine_notes_lost: Gauge,
    /// How often the lock of the quarantine was acquired.
    pub quarantine_lock_acquired: Gauge,
    /// Time for which threads waited for it, in microseconds.
    pub quarantine_lock_waited_us: Gauge,
    /// Time for which it was held, in microseconds.
    pub quarantine_lock_held_us: Gauge,
    /// Records of the quarantine that were examined.
    pub quarantine_records_examined: Gauge,
    /// Requests in quarantine because servers ended while running them.
    pub quarantined: Gauge,
    /// Prompt parts with which requests are refused because servers ended.
    pub quarantined_parts: Gauge,
    /// AvailabilityZones under an evacuation order.
    pub evacuated_zones: Gauge,
    /// Servers that ended while running requests of this entry.
    pub server_ends: Counter,
    /// Retries left in the budget, by service.
    pub repeats_left: Family<ServiceLabels, Gauge>,
    /// Retries for which the budget was asked, by service and outcome.
    pub repeats: Family<RetryLabels, Counter>,
    /// Servers that currently advertise a rate limit.
    pub servers_rate_limited: Gauge,
    /// Sends to servers that accept few requests.
    pub limited_sends: Family<LimitedSendLabels, Counter>,
    /// Known servers that have announced that they are draining.
    pub servers_draining: Gauge,
    /// Known servers that have asked for a pause that has not ended.
    pub servers_paused: Gauge,
    /// Sends to servers that have announced that they are unavailable.
    pub unavailable_sends: Family<UnavailableSendLabels, Counter>,
    /// Servers excluded from a selection because they are unavailable.
    pub servers_avoided: Family<AvoidedServerLabels, Counter>,
    /// Attempts rejected with status 421.
    pub misdirected: Family<MisdirectedLabels, Counter>,
    /// Known servers that have reported how long work takes on their machines.
    pub servers_of_known_speed: Gauge,
    /// Smallest and largest time factor of these servers.
    pub server_time_factor: Family<SpeedBoundLabels, Gauge<f64, AtomicU64>>,
    /// Reports on the speed of servers, by what became of them.
    pub speed_reports: Family<SpeedReportLabels, Counter>,
    /// Answers with an unknown header.
    pub unread_headers: Family<UnreadHeaderLabels, Counter>,
    /// Names of unknown headers that have a label value of their own.
    unread_header_names: Arc<Mutex<BTreeSet<String>>>,
    /// Responses with a length beside their chunks.
    pub lengths_ignored: Counter,
    /// Bytes of requests and responses held for slow callers and servers.
    pub held_bytes: Gauge,
    /// Connections of callers that were closed before their response was complete, by reason.
    pub callers_cut: Family<CutLabels, Counter>,
    /// Open connections of callers.
    pub caller_connections: Gauge,
    /// New connections of callers that were closed unread.
    pub connections_unread: Counter,
    /// Whether this entry holds the lease of the usage duty: 1 or 0.
    pub duty_held: Gauge,
    /// Usage reports sent to the platform.
    pub usage_reports: Family<UsageReportLabels, Counter>,
    /// Windows whose usage was not reported.
    pub usage_windows_lost: Counter,
    /// Evidence about versions under roll-out.
    pub evidence: Family<EvidenceLabels, Gauge>,
    /// Requests in flight at an entry, or attempts in flight at an agent.
    pub in_flight: Gauge,
    /// Attempts queued.
    pub queued: Gauge,
    /// Open links.
    pub links: Gauge,
    /// Configuration revision in force.
    pub config_revision: Gauge,
    /// Charge records waiting to be written.
    pub charges_waiting: Gauge,
    /// Charge records written.
    pub charges_written: Counter,
    /// Bytes of heartbeats and configuration sent over links.
    pub control_bytes: Counter,
    /// Calls to the table service, by cause.
    pub store_calls: Family<PlatformCallLabels, Counter>,
    /// Failed calls to the platform, by cause.
    pub store_errors: Family<PlatformCallLabels, Counter>,
}

impl Default for Metrics {
    fn default() -> Self {
        let metrics = Self {
            registry: Arc::new(Mutex::new(Registry::with_prefix("mintmoor"))),
            requests: Family::default(),
            attempts: Family::default(),
            first_token: Histogram::new(exponential_buckets(0.005, 1.6, 16)),
            total_time: Histogram::new(exponential_buckets(0.005, 1.8, 16)),
            stages: Family::default(),
            held_back: Family::default(),
            log_lines_dropped: Gauge::default(),
            panics: Gauge::default(),
            tasks_restarted: Family::default(),
            feed_age_ms: Gauge::default(),
            rows_unreadable: Gauge::default(),
            rows_skipped: Counter::default(),
            entries: Gauge::default(),
            kept_notes_lost: Gauge::default(),
            quarantine_notes_lost: Gauge::default(),
            quarantine_lock_acquired: Gauge::default(),
            quarantine_lock_waited_us: Gauge::default(),
            quarantine_lock_held_us: Gauge::default(),
            quarantine_records_examined: Gauge::default(),
            quarantined: Gauge::default(),
            quarantined_parts: Gauge::default(),
            evacuated_zones: Gauge::default(),
            server_ends: Counter::default(),
            repeats_left: Family::default(),
            repeats: Family::default(),
            servers_rate_limited: Gauge::default(),
            limited_sends: Family::default(),
            servers_draining: Gauge::default(),
            servers_paused: Gauge::default(),
            unavailable_sends: Family::default(),
            servers_avoided: Family::default(),
            misdirected: Family::default(),
            servers_of_known_speed: Gauge::default(),
            server_time_factor: Family::default(),
            speed_reports: Family::default(),
            unread_headers: Family::default(),
            unread_header_names: Arc::default(),
            held_bytes: Gauge::default(),
            lengths_ignored: Counter::default(),
            callers_cut: Family::default(),
            caller_connections: Gauge::default(),
            connections_unread: Counter::default(),
            duty_held: Gauge::default(),
            usage_reports: Family::default(),
            usage_windows_lost: Counter::default(),
            evidence: Family::default(),
            in_flight: Gauge::default(),
            queued: Gauge::default(),
            links: Gauge::default(),
            config_revision: Gauge::default(),
            charges_waiting: Gauge::default(),
            charges_written: Counter::default(),
            control_bytes: Counter::default(),
            store_calls: Family::default(),
            store_errors: Family::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&self) {
        let mut registry = self.registry.lock();
        registry.register("requests", "Requests answered", self.requests.clone());
        registry.register("attempts", "Attempts ended", self.attempts.clone());
        let first_token = self.first_token.clone();
        registry.register("first_token_seconds", "Time to first token", first_token);
        let total_time = self.total_time.clone();
        registry.register("total_seconds", "Time to the end of the answer", total_time);
        registry.register("stages", "Cascade stages by outcome", self.stages.clone());
        let help = "Requests held back from the largest model";
        registry.register("held_back", help, self.held_back.clone());
        self.register_process(&mut registry);
        registry.register("entries", "Entries known of", self.entries.clone());
        let lost = self.kept_notes_lost.clone();
        registry.register("kept_notes_lost", "Notes on kept parts that were lost", lost);
        let zones = self.evacuated_zones.clone();
        registry.register("evacuated_zones", "AvailabilityZones that are evacuated", zones);
        let left = self.repeats_left.clone();
        registry.register("repeats_left", "Repeated sends still allowed", left);
        let repeats = self.repeats.clone();
        registry.register("repeats", "Repeated sends taken and denied", repeats);
        let rate_limited = self.servers_rate_limited.clone();
        registry.register("servers_rate_limited", "Servers that advertise a limit", rate_limited);
        let limited = self.limited_sends.clone();
        registry.register("limited_sends", "Sends to servers that take few", limited);
        let draining = self.servers_draining.clone();
        registry.register("servers_draining", "Servers that announced draining", draining);
        let paused = self.servers_paused.clone();
        registry.register("servers_paused", "Servers that asked for a pause", paused);
        let sends = self.unavailable_sends.clone();
        registry.register("unavailable_sends", "Sends to unavailable servers", sends);
        let avoided = self.servers_avoided.clone();
        registry.register("servers_avoided", "Servers left out of a choice", avoided);
        let misdirected = self.misdirected.clone();
        registry.register("misdirected", "Attempts rejected with status 421", misdirected);
        let unread = self.unread_headers.clone();
        registry.register("unread_headers", "Answers with a header nothing reads", unread);
        let ignored = self.lengths_ignored.clone();
        registry.register("lengths_ignored", "Responses with a length beside chunks", ignored);
        self.register_quarantine(&mut registry);
        self.register_speeds(&mut registry);
        self.register_memory(&mut registry);
        self.register_usage(&mut registry);
        registry.register("evidence", "Answers of versions under roll-out", self.evidence.clone());
        registry.register("in_flight", "Requests in flight", self.in_flight.clone());
        registry.register("queued", "Attempts queued", self.queued.clone());
        registry.register("links", "Links up", self.links.clone());
        registry.register("config_revision", "Revision in force", self.config_revision.clone());
        let waiting = self.charges_waiting.clone();
        registry.register("charges_waiting", "Charge records not yet written", waiting);
        let written = self.charges_written.clone();
        registry.register("charges_written", "Charge records written", written);
        let control_bytes = self.control_bytes.clone();
        registry.register("control_bytes", "Control bytes sent over links", control_bytes);
        registry.register("store_calls", "Calls to the table service", self.store_calls.clone());
        registry.register("store_errors", "Platform calls that failed", self.store_errors.clone());
    }

    fn register_process(&self, registry: &mut Registry) {
        let dropped = self.log_lines_dropped.clone();
        registry.register("log_lines_dropped", "Log lines dropped", dropped);
        registry.register("panics", "Panics of threads and tasks", self.panics.clone());
        let restarted = self.tasks_restarted.clone();
        registry.register("tasks_restarted", "Tasks started again after a panic", restarted);
        registry.register("feed_age_ms", "Age of the store's last word", self.feed_age_ms.clone());
        let unreadable = self.rows_unreadable.clone();
        registry.register("rows_unreadable", "Rows of servers that can't be read", unreadable);
        let help = "Rows without a readable key";
        registry.register("rows_skipped", help, self.rows_skipped.clone());
    }

    fn register_quarantine(&self, registry: &mut Registry) {
        let lost = self.quarantine_notes_lost.clone();
        registry.register("quarantine_notes_lost", "Notes on ends of servers that were lost", lost);
        let acquired = self.quarantine_lock_acquired.clone();
        registry.register("quarantine_lock_acquired", "Acquisitions of the lock", acquired);
        let waited = self.quarantine_lock_waited_us.clone();
        registry.register("quarantine_lock_waited_us", "Time waited for the lock", waited);
        let held = self.quarantine_lock_held_us.clone();
        registry.register("quarantine_lock_held_us", "Time for which the lock was held", held);
        let examined = self.quarantine_records_examined.clone();
        registry.register("quarantine_records_examined", "Records examined", examined);
        let quarantined = self.quarantined.clone();
        registry.register("quarantined", "Requests refused because servers ended", quarantined);
        let parts = self.quarantined_parts.clone();
        registry.register("quarantined_parts", "Prompt parts refused because servers ended", parts);
        let ends = self.server_ends.clone();
        registry.register("server_ends", "Servers seen to end with requests at work", ends);
    }

    fn register_speeds(&self, registry: &mut Registry) {
        let known = self.servers_of_known_speed.clone();
        registry.register("servers_of_known_speed", "Servers that report their speed", known);
        let factor = self.server_time_factor.clone();
        registry.register("server_time_factor", "Bounds of the servers' time factors", factor);
        registry.register(
            "speed_reports",
            "Reports on servers' speeds",
            self.speed_reports.clone(),
        );
    }

    fn register_memory(&self, registry: &mut Registry) {
        let held = self.held_bytes.clone();
        registry.register("held_bytes", "Bytes held for slow callers and servers", held);
        let cut = self.callers_cut.clone();
        registry.register("callers_cut", "Connections of callers that were cut", cut);
        let open = self.caller_connections.clone();
        registry.register("caller_connections", "Open connections of callers", open);
        let unread = self.connections_unread.clone();
        registry.register("connections_unread", "New connections closed unread", unread);
    }

    fn register_usage(&self, registry: &mut Registry) {
        let held = self.duty_held.clone();
        registry.register("duty_held", "Whether this entry holds the usage duty", held);
        registry.register("usage_reports", "Usage reports sent", self.usage_reports.clone());
        let lost = self.usage_windows_lost.clone();
        registry.register("usage_windows_lost", "Windows whose usage was not reported", lost);
    }

    /// Counts an answered request.
    pub fn count_request(&self, organisation: &str, code: &str) {
        let labels = RequestLabels { organisation: organisation.into(), code: code.into() };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts an attempt that ended.
    pub fn count_attempt(&self, version: &str, outcome: &str) {
        let labels = AttemptLabels { version: version.into(), outcome: outcome.into() };
        self.attempts.get_or_create(&labels).inc();
    }

    /// Counts a stage of a cascade.
    pub fn count_stage(&self, model: &str, outcome: &str) {
        let labels = StageLabels { model: model.into(), outcome: outcome.into() };
        self.stages.get_or_create(&labels).inc();
    }

    /// Counts a request that was not given the largest model under overload control.
    pub fn count_held_back(&self, priority: u8, reason: &str) {
        let labels = HeldBackLabels { priority: priority.into(), reason: reason.into() };
        self.held_back.get_or_create(&labels).inc();
    }

    /// Counts a task that is started again after a panic.
    pub fn count_task_restart(&self, task: &str) {
        self.tasks_restarted.get_or_create(&TaskLabels { task: task.into() }).inc();
    }

    /// Counts a retry that the budget allowed or denied.
    pub fn count_retry(&self, service: &str, is_taken: bool) {
        let outcome = if is_taken { "taken" } else { "denied" };
        let labels = RetryLabels { service: service.into(), outcome: outcome.into() };
        self.repeats.get_or_create(&labels).inc();
    }

    /// Counts a send to a server that accepts few requests.
    pub fn count_limited_send(&self, outcome: &str) {
        self.limited_sends.get_or_create(&LimitedSendLabels { outcome: outcome.into() }).inc();
    }

    /// Counts a send to a server that has announced that it is unavailable.
    pub fn count_unavailable_send(&self, cause: &str, send: &str) {
        let labels = UnavailableSendLabels { cause: cause.into(), send: send.into() };
        self.unavailable_sends.get_or_create(&labels).inc();
    }

    /// Counts a connection of a caller that was cut.
    pub fn count_caller_cut(&self, reason: &str) {
        self.callers_cut.get_or_create(&CutLabels { reason: reason.into() }).inc();
    }

    /// Counts servers that were excluded from a selection.
    pub fn count_avoided_servers(&self, cause: &str, servers: u64) {
        self.servers_avoided
            .get_or_create(&AvoidedServerLabels { cause: cause.into() })
            .inc_by(servers);
    }

    /// Counts an attempt that was rejected with status 421.
    pub fn count_misdirected(&self, by: &str) {
        self.misdirected.get_or_create(&MisdirectedLabels { by: by.into() }).inc();
    }

    /// Counts reports on the speed of servers.
    pub fn count_speed_reports(&self, outcome: &str, reports: u64) {
        if reports > 0 {
            let labels = SpeedReportLabels { outcome: outcome.into() };
            self.speed_reports.get_or_create(&labels).inc_by(reports);
        }
    }

    /// Sets the number of servers of known speed, and the bounds of their time factors.
    pub fn set_server_speeds(&self, time_factors: &[f64]) {
        self.servers_of_known_speed.set(i64::try_from(time_factors.len()).unwrap_or(i64::MAX));
        let bounds = [
            ("smallest", time_factors.iter().copied().reduce(f64::min)),
            ("largest", time_factors.iter().copied().reduce(f64::max)),
        ];
        for (bound, factor) in bounds {
            let labels = SpeedBoundLabels { bound: bound.into() };
            match factor {
                Some(factor) => {
                    self.server_time_factor.get_or_create(&labels).set(factor);
                }
                None => {
                    self.server_time_factor.remove(&labels);
                }
            }
        }
    }

    /// Counts an answer with an unknown header. Returns true for the first answer with this name, as long
    /// as the maximum number of names is not reached.
    pub fn count_unread_header(&self, name: &str) -> bool {
        let mut names = self.unread_header_names.lock();
        let is_new = !names.contains(name) && names.len() < MAX_UNREAD_HEADER_NAMES;
        if is_new {
            names.insert(name.into());
        }
        let name = if names.contains(name) { name } else { "other" };
        self.unread_headers.get_or_create(&UnreadHeaderLabels { name: name.into() }).inc();
        is_new
    }

    /// Sets the evidence of this entry on one version and route.
    pub fn set_evidence(
        &self,
        service: &str,
        route: &str,
        version: &str,
        counts: [(&str, u64); 3],
    ) {
        for (count, value) in counts {
            let labels = EvidenceLabels {
                service: service.into(),
                route: route.into(),
                version: version.into(),
                count: count.into(),
            };
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            self.evidence.get_or_create(&labels).set(value);
        }
    }

    /// Counts a usage report that was sent.
    pub fn count_usage_report(&self, outcome: &str) {
        self.usage_reports.get_or_create(&UsageReportLabels { outcome: outcome.into() }).inc();
    }

    /// Counts a call to the table service.
    pub fn count_store_call(&self, cause: &str) {
        self.store_calls.get_or_create(&PlatformCallLabels { cause: cause.into() }).inc();
    }

    /// Counts a failed call to the platform.
    pub fn count_store_error(&self, cause: &str) {
        self.store_errors.get_or_create(&PlatformCallLabels { cause: cause.into() }).inc();
    }

    /// Renders all metrics in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock();
        encode(&mut text, &registry).expect("writing to a String never fails");
        text
    }
}
