//! Roll-outs: which version runs a request, the evidence on a new version, and the verdict.
//!
//! Every entry evaluates its own evidence and immediately stops sending its requests to a bad
//! version. The verdict is a conditional write to the store, so it is given once, whichever entry
//! writes it, and no lease is needed (docs/decisions/0008).

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::{
    ids::StoreVersion,
    policy::{exposure::ExposureConfig, run_outcome::RunOutcome},
    router::roll_outs::{
        roll_out_state::{RollOut, Verdict, VersionEvidence},
        version_rule::VersionRule,
    },
    routing::{BackendServer, RequestHead, RollOutOrder, RollOutProgress},
    sync::Mutex,
    telemetry::{Metrics, event},
};

/// Time in which what one silent server does counts once: one long prompt may delay many streams.
const DEDUP_WINDOW: Duration = Duration::from_secs(2);
/// Number of servers from which expired records are removed.
const MAX_SERVERS: usize = 4_096;

#[derive(Debug, Default)]
struct Inner {
    roll_outs: HashMap<Box<str>, RollOut>,
    /// Withdrawn orders by service. A store that is restored from a backup may still have them.
    withdrawn: HashMap<Box<str>, RollOutOrder>,
    timeouts: LastCounted,
    overdue: LastCounted,
}

/// When something of each server was last counted.
#[derive(Debug, Default)]
struct LastCounted(HashMap<Box<str>, Duration>);

impl LastCounted {
    /// Whether nothing of this server was counted within [`DEDUP_WINDOW`]; if so, it is counted now.
    fn is_first(&mut self, server: &str, now: Duration) -> bool {
        if self.0.get(server).is_some_and(|at| now < *at + DEDUP_WINDOW) {
            return false;
        }
        if self.0.len() >= MAX_SERVERS {
            self.0.retain(|_, at| now < *at + DEDUP_WINDOW);
        }
        self.0.insert(server.into(), now);
        true
    }
}

/// All roll-outs, shared by the control and the traffic thread.
#[derive(Debug)]
pub struct RollOuts {
    inner: Arc<Mutex<Inner>>,
    config: ExposureConfig,
    order_found: Notify,
}

impl RollOuts {
    /// No roll-outs; `config` sets how the share of a new version grows.
    pub fn new(config: ExposureConfig) -> Self {
        Self { inner: Arc::default(), config, order_found: Notify::new() }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock()
    }

    /// Adds an order and returns whether it is new. `is_found` marks one that was there when the
    /// entry started. A known order keeps its evidence.
    pub(crate) fn add_order(&self, order: RollOutOrder, now: Duration, is_found: bool) -> bool {
        let mut inner = self.lock();
        if let Some(known) = inner.roll_outs.get_mut(&order.service) {
            if known.order.written_at >= order.written_at {
                return false;
            }
            if order.is_reissue_of(&known.order) {
                known.order = order;
                return false;
            }
        }
        let service = order.service.clone();
        inner.roll_outs.insert(service, RollOut::new(order, now, is_found));
        if is_found {
            self.order_found.notify_one();
        }
        true
    }

    /// Waits until an order is found whose progress has to be read.
    pub(crate) async fn wait_until_found(&self) {
        self.order_found.notified().await;
    }

    /// Whether an order was found after `found_after` and its progress is still unknown.
    pub(crate) fn has_unknown(&self, found_after: Duration) -> bool {
        let is_recent = |r: &RollOut| r.found_at.is_some_and(|at| at > found_after);
        self.lock().roll_outs.values().any(|r| r.is_unknown() && is_recent(r))
    }

    /// Whether this order was found when the entry started and its progress is still unknown.
    pub(crate) fn is_unknown(&self, order: &RollOutOrder) -> bool {
        self.lock().roll_outs.get(&order.service).is_some_and(RollOut::is_unknown)
    }

    /// Marks the progress of a found order as known.
    pub(crate) fn mark_known(&self, order: &RollOutOrder) {
        if let Some(roll_out) = self.lock().roll_outs.get_mut(&order.service) {
            roll_out.found_at = None;
        }
    }

    /// Removes the roll-out of a service.
    pub(crate) fn withdraw(&self, service: &str) {
        let mut inner = self.lock();
        if let Some(roll_out) = inner.roll_outs.remove(service) {
            inner.withdrawn.insert(service.into(), roll_out.order);
        }
    }

    /// Whether this order is the same as one that was withdrawn before the store was restored from
    /// a backup.
    pub(crate) fn was_withdrawn(&self, order: &RollOutOrder) -> bool {
        let inner = self.lock();
        inner.withdrawn.get(&order.service).is_some_and(|known| order.is_reissue_of(known))
    }

    /// Orders of roll-outs that have ended, and their progress.
    pub(crate) fn ended(&self) -> Vec<(RollOutOrder, RollOutProgress)> {
        let inner = self.lock();
        let ended = inner.roll_outs.values().filter(|r| r.progress != RollOutProgress::Running);
        ended.map(|r| (r.order.clone(), r.progress)).collect()
    }

    /// Time since the roll-out began; none if the store has not reported when it began.
    pub(crate) fn reported_age(&self, order: &RollOutOrder, now: Duration) -> Option<Duration> {
        let inner = self.lock();
        let roll_out = inner.roll_outs.get(&order.service).filter(|r| r.is_start_reported)?;
        Some(roll_out.age(now))
    }

    /// Applies what the store has about an order: when it began and its progress.
    pub(crate) fn apply_store_state(
        &self,
        service: &str,
        revision: StoreVersion,
        began: Option<Duration>,
        progress: RollOutProgress,
    ) {
        let mut inner = self.lock();
        let Some(roll_out) = inner.roll_outs.get_mut(service) else {
            return;
        };
        if roll_out.order.written_at != revision {
            return;
        }
        roll_out.is_start_reported |= began.is_some();
        roll_out.began = began.unwrap_or(roll_out.began).min(roll_out.began);
        if roll_out.progress == RollOutProgress::Running && progress != RollOutProgress::Running {
            event::VERDICT_SEEN.log(format_args!("service={service} progress={progress:?}"));
            roll_out.progress = progress;
        }
    }

    /// All known orders.
    pub(crate) fn orders(&self) -> Vec<RollOutOrder> {
        self.lock().roll_outs.values().map(|r| r.order.clone()).collect()
    }

    /// Time since the roll-out began, as far as this entry knows.
    pub(crate) fn age(&self, order: &RollOutOrder, now: Duration) -> Duration {
        let inner = self.lock();
        let roll_out = inner.roll_outs.get(&order.service);
        roll_out.map(|r| r.age(now)).unwrap_or_default()
    }

    /// Orders of roll-outs in progress.
    pub(crate) fn running(&self) -> Vec<RollOutOrder> {
        let inner = self.lock();
        let running = inner.roll_outs.values().filter(|r| r.progress == RollOutProgress::Running);
        running.map(|r| r.order.clone()).collect()
    }

    /// Rule for the versions that may run a request on this route now. `trial_part` is asked for this entry's part of the
    /// requests that a trial may have beside its share; none if the request must not be one of them.
    pub(crate) fn version_rule(
        &self,
        service: &str,
        route: &str,
        head: &RequestHead,
        now: Duration,
        trial_part: impl FnOnce() -> Option<f64>,
    ) -> VersionRule {
        let inner = self.lock();
        let Some(roll_out) = inner.roll_outs.get(service) else {
            return VersionRule::Any;
        };
        roll_out.version_rule(route, head, now, &self.config, trial_part)
    }

    /// Records that a request is sent to a server. Requests without a session count in the trial's budget. Those of a
    /// session that go to a version on trial are logged: the logs of all entries then show when the session first
    /// reached that version.
    pub(crate) fn record_send(&self, server: &BackendServer, head: &RequestHead, now: Duration) {
        let mut inner = self.lock();
        let roll_out = inner.roll_outs.get_mut(&server.service);
        let Some(roll_out) = roll_out.filter(|r| r.is_on_trial(now, &self.config)) else {
            return;
        };
        let is_new = roll_out.order.to == server.version;
        let Some(session) = &head.session else {
            roll_out.count_trial_send(is_new);
            return;
        };
        if is_new {
            let (request, service, version) = (&head.id, &server.service, &server.version);
            let age = roll_out.age(now).as_millis();
            event::SESSION_ON_TRIAL.log(format_args!(
                "request={request} session={session} service={service} version={version} roll_out_ms={age}"
            ));
        }
    }

    /// Records the outcome of an attempt of a request on this route.
    pub(crate) fn record_outcome(&self, server: &BackendServer, route: &str, outcome: RunOutcome) {
        if let Some(roll_out) = self.lock().roll_outs.get_mut(&server.service) {
            roll_out.record(route, &server.version, outcome);
        }
    }

    /// Records that an attempt got no answer in time. All requests that wait for a server that is silent time out together,
    /// so its timeouts within [`DEDUP_WINDOW`] count as one failure.
    pub(crate) fn record_timeout(
        &self,
        server: &BackendServer,
        route: &str,
        is_silent: bool,
        now: Duration,
    ) {
        if !is_silent || self.lock().timeouts.is_first(&server.id, now) {
            self.record_outcome(server, route, RunOutcome::Failed);
        }
    }

    /// Records that an attempt is overdue; returns whether it counts. Those at a silent server count like its timeouts.
    pub(crate) fn record_overdue(
        &self,
        server: &BackendServer,
        route: &str,
        is_silent: bool,
        now: Duration,
    ) -> bool {
        let counts = !is_silent || self.lock().overdue.is_first(&server.id, now);
        if counts {
            self.record_outcome(server, route, RunOutcome::Overdue);
        }
        counts
    }

    /// This entry's evidence on the roll-outs in progress, for its next report.
    pub(crate) fn evidence(&self) -> Vec<VersionEvidence> {
        let inner = self.lock();
        let running = inner.roll_outs.values().filter(|r| r.progress == RollOutProgress::Running);
        running.map(RollOut::evidence).collect()
    }

    /// Stores another entry's evidence and evaluates the evidence of all entries.
    pub(crate) fn apply_evidence(&self, host: &str, all: Vec<VersionEvidence>) {
        let mut inner = self.lock();
        for evidence in all {
            let roll_out = inner.roll_outs.get_mut(&evidence.service);
            if let Some(roll_out) = roll_out.filter(|r| r.order.written_at == evidence.order()) {
                roll_out.apply_report(host, &evidence);
            }
        }
    }

    /// Whether a server runs the version that is being rolled out.
    pub(crate) fn is_on_trial(&self, server: &BackendServer) -> bool {
        let inner = self.lock();
        let roll_out = inner.roll_outs.get(&server.service);
        roll_out
            .is_some_and(|r| r.progress == RollOutProgress::Running && r.order.to == server.version)
    }

    /// Records that the fleet has servers of a version.
    pub(crate) fn record_servers(&self, service: &str, version: &str) {
        if let Some(roll_out) = self.lock().roll_outs.get_mut(service) {
            roll_out.has_servers |= *roll_out.order.to == *version;
        }
    }

    /// Updates the metrics of the evidence.
    pub(crate) fn update_metrics(&self, metrics: &Metrics) {
        for roll_out in self.lock().roll_outs.values() {
            for (key, counts) in roll_out.own.iter() {
                let route = roll_out.route_name(key);
                for (version, evidence) in [("old", counts.old), ("new", counts.new)] {
                    let counts = [
                        ("answers", evidence.answers),
                        ("failures", evidence.failures),
                        ("slow", evidence.poor),
                    ];
                    metrics.set_evidence(&roll_out.order.service, &route, version, counts);
                }
            }
        }
    }

    /// The roll-outs section of the state dump.
    pub(crate) fn dump(&self) -> Value {
        let inner = self.lock();
        let describe = |r: &RollOut| {
            let (own, pooled) = (r.own.total(), &r.pooled);
            let routes = pooled.iter().map(|(key, counts)| {
                let (old, new) = (counts.old, counts.new);
                json!({
                    "route": r.route_name(key),
                    "answers": new.answers, "failures": new.failures, "slow": new.poor,
                    "old_answers": old.answers, "old_failures": old.failures, "old_slow": old.poor,
                })
            });
            json!({
                "service": r.order.service,
                "to": r.order.to,
                "progress": format!("{:?}", r.progress),
                "began": r.is_start_reported,
                "held": r.is_held,
                "answers": own.new.answers,
                "answers_of_all": pooled.total().new.answers,
                "failures": own.new.failures,
                "slow": own.new.poor,
                "old_answers": own.old.answers,
                "old_failures": own.old.failures,
                "old_slow": own.old.poor,
                "routes_of_all": routes.collect::<Vec<_>>(),
            })
        };
        Value::Array(inner.roll_outs.values().map(describe).collect())
    }

    /// Verdicts that this entry can give now. `collects_all` tells whether the evidence of all entries is reported to it.
    pub(crate) fn verdicts(&self, now: Duration, collects_all: bool) -> Vec<Verdict> {
        let inner = self.lock();
        inner
            .roll_outs
            .values()
            .filter_map(|roll_out| roll_out.verdict(now, &self.config, collects_all))
            .collect()
    }
}
