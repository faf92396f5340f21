//! State of one roll-out on an entry: which requests the new version runs, the evidence, and the
//! verdict.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use rand::RngExt;
use serde::{Deserialize, Serialize};

use crate::{
    ids::{Era, Revision, StoreVersion},
    platform::store::is_first,
    policy::{
        exposure::{
            ExposureConfig, MAX_SAMPLE_SHARE, is_in_share, is_past_trial, may_complete,
            request_share, session_share, trial_progress,
        },
        roll_out::Evidence,
        route_evidence::{
            MAX_ROUTES, OTHER_ROUTES, RouteEvidence, RouteKey, VersionCounts, route_key,
        },
        run_outcome::RunOutcome,
        trial_budget::TrialBudget,
        version_verdict::{VerdictConfig, VersionVerdict},
    },
    router::roll_outs::version_rule::VersionRule,
    routing::{RequestHead, RollOutOrder, RollOutProgress, RollOutStatus},
    telemetry::event,
};

/// Time after the deadline at which an entry that does not collect the evidence of all gives up a version that nobody has
/// decided on. Those that collect it do so at the deadline and write their verdict within this time.
const UNDECIDED_DELAY: Duration = Duration::from_secs(1);
/// Time after the deadline from which a version without a known verdict gets no requests. A verdict reaches the other
/// entries within this time.
const UNKNOWN_VERDICT_DELAY: Duration = Duration::from_secs(2);
/// Settings of the verdict.
const VERDICT: VerdictConfig = VerdictConfig::DEFAULT;

/// Evidence of one entry on both versions of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VersionEvidence {
    pub(crate) service: Box<str>,
    /// Revision of the roll-out's order.
    pub(crate) revision: Revision,
    /// Era of the order; omitted while the store has never been restored from a backup.
    #[serde(default, skip_serializing_if = "is_first")]
    pub(crate) era: Era,
    /// Identifies the process that counts: one that was restarted counts from zero.
    #[serde(default)]
    pub(crate) process: u32,
    pub(crate) old: Evidence,
    pub(crate) new: Evidence,
    /// The same by route; empty from entries that do not report it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) routes: Vec<ReportedRoute>,
}

/// Evidence on one route: answers, failures, rated and slow answers of the old and of the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReportedRoute(RouteKey, [u64; 4], [u64; 4]);

impl ReportedRoute {
    fn new(route: RouteKey, counts: VersionCounts) -> Self {
        let fields = |e: Evidence| [e.answers, e.failures, e.rated, e.poor];
        Self(route, fields(counts.old), fields(counts.new))
    }

    fn counts(&self) -> VersionCounts {
        let evidence = |[answers, failures, rated, poor]: [u64; 4]| Evidence {
            answers,
            failures,
            rated,
            poor,
        };
        VersionCounts { old: evidence(self.1), new: evidence(self.2) }
    }
}

impl VersionEvidence {
    /// The evidence by route.
    pub(crate) fn by_route(&self) -> RouteEvidence {
        let mut evidence = RouteEvidence::default();
        if self.routes.is_empty() && self.old.answers + self.new.answers > 0 {
            evidence.add(OTHER_ROUTES, VersionCounts { old: self.old, new: self.new });
        }
        self.routes.iter().for_each(|route| evidence.add(route.0, route.counts()));
        evidence
    }

    /// Version of the roll-out's order.
    pub(crate) fn order(&self) -> StoreVersion {
        StoreVersion { era: self.era, revision: self.revision }
    }
}

/// A verdict to be written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Verdict {
    pub(crate) order: RollOutOrder,
    pub(crate) status: RollOutStatus,
    /// What it is based on, as fields of a log line.
    pub(crate) evidence: Box<str>,
}

/// State of one roll-out.
#[derive(Debug)]
pub(crate) struct RollOut {
    pub(crate) order: RollOutOrder,
    /// When it began, on this entry's clock.
    pub(crate) began: Duration,
    /// Whether the store reported when it began.
    pub(crate) is_start_reported: bool,
    /// When this entry found the order while starting; none once the progress is known.
    pub(crate) found_at: Option<Duration>,
    pub(crate) progress: RollOutProgress,
    /// Whether the evidence shows that the version is bad.
    pub(crate) is_held: bool,
    /// Evidence of this entry, and the number under which it reports it.
    pub(crate) own: RouteEvidence,
    process: u32,
    /// Evidence of all entries, as far as it was reported here; also that of processes that have ended.
    pub(crate) pooled: RouteEvidence,
    /// Last reported evidence of other entries by Host, with the number of their process.
    reported: HashMap<Box<str>, (u32, RouteEvidence)>,
    /// Names of the routes of which this entry has evidence.
    route_names: BTreeMap<RouteKey, Box<str>>,
    pub(crate) verdict: VersionVerdict,
    /// Requests of the trial. None for an order that was found at the start: the process before this one on the Host may
    /// have used them.
    budget: Option<TrialBudget>,
    /// Whether the fleet has had servers of the new version.
    pub(crate) has_servers: bool,
}

impl RollOut {
    /// A roll-out that begins now. `is_found` marks an order that was there when the entry started.
    pub(crate) fn new(order: RollOutOrder, now: Duration, is_found: bool) -> Self {
        Self {
            order,
            began: now,
            is_start_reported: false,
            found_at: is_found.then_some(now),
            progress: RollOutProgress::Running,
            is_held: false,
            own: RouteEvidence::default(),
            process: rand::rng().random(),
            pooled: RouteEvidence::default(),
            reported: HashMap::new(),
            route_names: BTreeMap::new(),
            verdict: VersionVerdict::default(),
            budget: (!is_found).then(|| TrialBudget::new(rand::rng().random())),
            has_servers: false,
        }
    }

    /// Rule for the versions that may run a request on this route now.
    pub(crate) fn version_rule(
        &self,
        route: &str,
        head: &RequestHead,
        now: Duration,
        config: &ExposureConfig,
        trial_part: impl FnOnce() -> Option<f64>,
    ) -> VersionRule {
        let new = VersionRule::Only(self.order.to.clone());
        let old = VersionRule::Except(self.order.to.clone());
        match self.progress {
            RollOutProgress::Completed => return new,
            RollOutProgress::RolledBack => return old,
            RollOutProgress::Running if self.is_held || !self.has_servers => return old,
            RollOutProgress::Running => {}
        }
        let (elapsed, duration) = (self.age(now), self.order.duration);
        if elapsed >= duration + UNKNOWN_VERDICT_DELAY {
            return VersionRule::Avoid(self.order.to.clone());
        }
        let share = match head.session {
            Some(_) => session_share(elapsed, duration, config),
            None => {
                let sample = |part| self.sample_share(route, now, config, part);
                let sample_share = trial_part().map_or(0.0, sample);
                request_share(elapsed, duration, config).max(sample_share)
            }
        };
        if is_in_share(head.session_key(), &self.order.to, share) { new } else { old }
    }

    /// Share of the requests without a session that the trial's budget allows on a route.
    fn sample_share(&self, route: &str, now: Duration, config: &ExposureConfig, part: f64) -> f64 {
        let progress = trial_progress(self.age(now), self.order.duration, config);
        let has_left = |budget: &TrialBudget| budget.has_left(progress, config.trial_share, part);
        if progress >= 1.0 || !self.budget.as_ref().is_some_and(has_left) {
            return 0.0;
        }
        self.verdict.sample_share(route_key(route), MAX_SAMPLE_SHARE)
    }

    /// Counts a request without a session that is sent during the trial.
    pub(crate) fn count_trial_send(&mut self, is_new: bool) {
        if let Some(budget) = &mut self.budget {
            budget.record(is_new);
        }
    }

    /// Whether the progress is still unknown; a known end is final.
    pub(crate) fn is_unknown(&self) -> bool {
        self.found_at.is_some() && self.progress == RollOutProgress::Running
    }

    /// Time since it began, as far as this entry knows.
    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.began)
    }

    /// Whether it is in the trial phase, in which only a small share of the requests runs on the
    /// new version.
    pub(crate) fn is_on_trial(&self, now: Duration, config: &ExposureConfig) -> bool {
        let is_running = self.progress == RollOutProgress::Running;
        is_running && !is_past_trial(self.age(now), self.order.duration, config)
    }

    /// Adds the outcome of an attempt and tests the evidence.
    pub(crate) fn record(&mut self, route: &str, version: &str, outcome: RunOutcome) {
        let key = route_key(route);
        if self.route_names.len() < MAX_ROUTES {
            self.route_names.entry(key).or_insert_with(|| route.into());
        }
        let is_new = *self.order.to == *version;
        self.own.record(key, is_new, outcome);
        self.pooled.record(key, is_new, outcome);
        self.evaluate();
    }

    /// Adds what another entry has reported since its last report, and tests the evidence.
    pub(crate) fn apply_report(&mut self, host: &str, report: &VersionEvidence) {
        let evidence = report.by_route();
        let last = self.reported.get(host).filter(|(process, _)| *process == report.process);
        let added = last.map_or_else(|| evidence.clone(), |(_, last)| evidence.since(last));
        self.pooled.add_all(&added);
        self.reported.insert(host.into(), (report.process, evidence));
        self.evaluate();
    }

    /// Tests the evidence of all entries and holds back the version if it is bad.
    fn evaluate(&mut self) {
        self.verdict.observe(&self.pooled, &VERDICT);
        if self.verdict.is_worse() {
            self.hold();
        }
    }

    /// Stops sending requests to the new version.
    fn hold(&mut self) {
        if std::mem::replace(&mut self.is_held, true) {
            return;
        }
        event::VERSION_SUSPECT.log(format_args!(
            "service={} version={} entries={} {}",
            self.order.service,
            self.order.to,
            self.reported.len() + 1,
            self.describe()
        ));
    }

    /// The evidence as fields of a log line.
    fn describe(&self) -> String {
        let counts = |e: Evidence| format!("{}/{}/{}", e.answers, e.failures, e.poor);
        let describe_route = |(key, VersionCounts { old, new })| {
            format!("{} new {} old {}", self.route_name(key), counts(new), counts(old))
        };
        let routes: Vec<String> = self.pooled.iter().map(describe_route).collect();
        let VersionCounts { old, new } = self.pooled.total();
        format!(
            "risk={:.4} strength={:.2} answers={} failures={} slow={} old_answers={} old_failures={} old_slow={} routes=\"{}\"",
            self.verdict.risk(),
            self.verdict.strength(&VERDICT),
            new.answers,
            new.failures,
            new.poor,
            old.answers,
            old.failures,
            old.poor,
            routes.join(", ")
        )
    }

    /// Name of a route; its key if only other entries have evidence on it.
    pub(crate) fn route_name(&self, key: RouteKey) -> Box<str> {
        let name = self.route_names.get(&key).cloned();
        name.unwrap_or_else(|| {
            if key == OTHER_ROUTES { "others".into() } else { key.to_string().into() }
        })
    }

    /// This entry's evidence, for its next report.
    pub(crate) fn evidence(&self) -> VersionEvidence {
        let VersionCounts { old, new } = self.own.total();
        VersionEvidence {
            service: self.order.service.clone(),
            revision: self.order.written_at.revision,
            era: self.order.written_at.era,
            process: self.process,
            old,
            new,
            routes: self.own.iter().map(|(key, counts)| ReportedRoute::new(key, counts)).collect(),
        }
    }

    /// The verdict that this entry can give now, if any. A version that is undecided at the deadline is rolled back: the
    /// order allows it no more time, and it may be bad. `collects_all` tells whether the evidence of all entries is
    /// reported to this one.
    pub(crate) fn verdict(
        &self,
        now: Duration,
        config: &ExposureConfig,
        collects_all: bool,
    ) -> Option<Verdict> {
        if self.progress != RollOutProgress::Running {
            return None;
        }
        let (elapsed, duration) = (self.age(now), self.order.duration);
        let undecided_at = duration + if collects_all { Duration::ZERO } else { UNDECIDED_DELAY };
        let is_complete =
            may_complete(elapsed, duration, config) && self.verdict.is_no_worse(&VERDICT);
        let (progress, reason) = if self.is_held {
            (RollOutProgress::RolledBack, "worse")
        } else if is_complete {
            (RollOutProgress::Completed, "no_worse")
        } else if elapsed >= undecided_at {
            (RollOutProgress::RolledBack, "undecided")
        } else {
            return None;
        };
        let status = RollOutStatus { to: self.order.to.clone(), progress };
        let evidence = format!("reason={reason} {}", self.describe()).into();
        Some(Verdict { order: self.order.clone(), status, evidence })
    }
}
