//! Roll-outs: which version a request runs on, the evidence on a new version, and the verdict.
//!
//! Every entry judges by its own evidence and keeps a bad version from its own requests at once.
//! The verdict is written to the store under a condition, so that it is given once, whoever
//! writes it; no lease is needed (docs/decisions/0008).

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{
    ids::Revision,
    policy::{
        exposure::{ExposureTerms, may_complete, may_move_sessions, share_at, takes_new},
        roll_out::{Evidence, Finding, VersionTest},
    },
    resources::Guard,
    routing::{BackendServer, Progress, RequestHead, RollOutOrder, RollOutStatus, ServerVersion},
    telemetry::{Metrics, event, metrics::EvidenceLabels},
};

/// Rise of the failure rate that makes a version bad, and the chance of a false verdict. Bad
/// versions fail a third of their requests and more. A good version taken back costs a roll-out,
/// a bad one found late breaks a promise, so the chance is not made small.
const GUARD: Guard = Guard { step_samples: 1, tolerated_rise: 0.15, false_hold: 0.1 };
/// Answers of the new version without which a roll-out is not completed.
const LEAST_ANSWERS: u64 = 20;
/// Time in which the silences of one server count once: one long prompt may hold up many streams.
const SAME_SILENCE: Duration = Duration::from_secs(2);
/// Servers whose silence is remembered before old ones are forgotten.
const MOST_SILENCES: usize = 4_096;
/// Sessions remembered at most; the oldest are forgotten first.
const MOST_SESSIONS: usize = 20_000;

/// What became of a run, as evidence on its version. Failures and slowness are tested apart:
/// sound servers are slow now and then beside long prompts, and seldom fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunOutcome {
    /// Whole and not slow.
    Good,
    /// It failed or broke off.
    Failed,
    /// It took several times longer than such runs do.
    Slow,
}

/// What one entry has seen of a roll-out's two versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VersionEvidence {
    service: Box<str>,
    /// Order it is about.
    revision: Revision,
    old: Evidence,
    new: Evidence,
}

/// Which versions may run a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum VersionRule {
    /// All.
    #[default]
    Any,
    /// Only this one.
    Only(ServerVersion),
    /// All but this one.
    Not(ServerVersion),
}

impl VersionRule {
    pub(crate) fn allows(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => **only == *version,
            Self::Not(not) => **not != *version,
        }
    }

    /// The rule, or none where it asks for a version that no server in view runs: the servers of
    /// a version may be taken away before the news of why is here.
    pub(crate) fn or_any_if_missing<'a>(self, mut versions: impl Iterator<Item = &'a str>) -> Self {
        match &self {
            Self::Only(only) if !versions.any(|version| *version == **only) => Self::Any,
            _ => self,
        }
    }
}

/// One roll-out as this entry sees it.
#[derive(Debug)]
struct RollOut {
    order: RollOutOrder,
    /// When it began, on the entry's clock.
    began: Duration,
    /// Whether the store told when it began.
    is_begun: bool,
    progress: Progress,
    /// Whether our own evidence says that the version is bad.
    is_held: bool,
    old: Evidence,
    new: Evidence,
    test: VersionTest,
    /// The test on the evidence of all entries, where this one is told of it.
    pooled_test: VersionTest,
    /// Evidence of the other entries, by Host.
    others: HashMap<Box<str>, VersionEvidence>,
    /// Whether servers of the new version were seen.
    has_servers: bool,
}

/// When a session last sent something, and whether it ran on the version being rolled out.
#[derive(Clone, Copy, Debug)]
struct SessionNote {
    at: Duration,
    on_new: bool,
}

#[derive(Debug, Default)]
struct Inner {
    roll_outs: HashMap<Box<str>, RollOut>,
    sessions: HashMap<Box<str>, SessionNote>,
    /// When a server's silence was last counted.
    silences: HashMap<Box<str>, Duration>,
}

/// What the driver should tell the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Verdict {
    pub(crate) order: RollOutOrder,
    pub(crate) status: RollOutStatus,
}

/// All roll-outs; shared by both threads.
#[derive(Debug)]
pub struct RollOuts {
    inner: Arc<Mutex<Inner>>,
    terms: ExposureTerms,
}

impl RollOuts {
    /// No roll-outs yet; their shares will grow by these terms.
    pub fn new(terms: ExposureTerms) -> Self {
        Self { inner: Arc::default(), terms }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panics under the lock")
    }

    /// Takes in an order; one already known keeps its evidence. Whether it is new.
    pub(crate) fn order(&self, order: RollOutOrder, now: Duration) -> bool {
        let mut inner = self.lock();
        let known = inner.roll_outs.get(&order.service);
        if known.is_some_and(|known| known.order.revision >= order.revision) {
            return false;
        }
        let service = order.service.clone();
        let fresh = RollOut {
            order,
            began: now,
            is_begun: false,
            progress: Progress::Running,
            is_held: false,
            old: Evidence::default(),
            new: Evidence::default(),
            test: VersionTest::default(),
            pooled_test: VersionTest::default(),
            others: HashMap::new(),
            has_servers: false,
        };
        for note in inner.sessions.values_mut() {
            note.on_new = false;
        }
        inner.roll_outs.insert(service, fresh);
        true
    }

    /// Forgets the roll-out of a service.
    pub(crate) fn withdraw(&self, service: &str) {
        self.lock().roll_outs.remove(service);
    }

    /// Takes in what the store says about an order: when it began and how far it got.
    pub(crate) fn adopt(
        &self,
        service: &str,
        revision: Revision,
        began: Option<Duration>,
        progress: Progress,
    ) {
        let mut inner = self.lock();
        let Some(roll_out) = inner.roll_outs.get_mut(service) else {
            return;
        };
        if roll_out.order.revision != revision {
            return;
        }
        roll_out.is_begun |= began.is_some();
        roll_out.began = began.unwrap_or(roll_out.began).min(roll_out.began);
        if roll_out.progress == Progress::Running && progress != Progress::Running {
            event::VERDICT_SEEN.log(format_args!("service={service} progress={progress:?}"));
            roll_out.progress = progress;
        }
    }

    /// All orders known.
    pub(crate) fn orders(&self) -> Vec<RollOutOrder> {
        self.lock().roll_outs.values().map(|r| r.order.clone()).collect()
    }

    /// Time since a roll-out began, as far as this entry knows.
    pub(crate) fn age(&self, order: &RollOutOrder, now: Duration) -> Duration {
        let inner = self.lock();
        let roll_out = inner.roll_outs.get(&order.service);
        roll_out.map(|r| now.saturating_sub(r.began)).unwrap_or_default()
    }

    /// Orders that are still under way.
    pub(crate) fn running(&self) -> Vec<RollOutOrder> {
        let inner = self.lock();
        let running = inner.roll_outs.values().filter(|r| r.progress == Progress::Running);
        running.map(|r| r.order.clone()).collect()
    }

    /// Which versions may run a request of a session.
    pub(crate) fn rule(
        &self,
        service: &str,
        head: &RequestHead,
        now: Duration,
        session_time: Duration,
    ) -> VersionRule {
        let mut inner = self.lock();
        let session = head.session_key();
        let note = inner.sessions.get(session).copied();
        let note = note.filter(|note| now < note.at + session_time);
        let rule = inner
            .roll_outs
            .get(service)
            .map_or(VersionRule::Any, |roll_out| roll_out.rule(session, note, now, &self.terms));
        if head.session.is_some() {
            let on_new = matches!(rule, VersionRule::Only(_));
            inner.remember(session, SessionNote { at: now, on_new }, session_time);
        }
        rule
    }

    /// Notes what became of an attempt that ran.
    pub(crate) fn note_outcome(&self, server: &BackendServer, outcome: RunOutcome) {
        let mut inner = self.lock();
        let Some(roll_out) = inner.roll_outs.get_mut(&server.service) else {
            return;
        };
        let is_new = roll_out.order.to == server.version;
        let evidence = if is_new { &mut roll_out.new } else { &mut roll_out.old };
        evidence.answers += 1;
        evidence.failures += u64::from(outcome == RunOutcome::Failed);
        evidence.rated += u64::from(outcome != RunOutcome::Failed);
        evidence.poor += u64::from(outcome == RunOutcome::Slow);
        roll_out.judge();
    }

    /// Notes that a server did not answer in time. All that wait for a server time out together,
    /// so such failures of one server count once in a while.
    pub(crate) fn note_silence(&self, server: &BackendServer, now: Duration) {
        {
            let mut inner = self.lock();
            let told = inner.silences.entry(server.id.clone()).or_default();
            let is_same = *told > Duration::ZERO && now < *told + SAME_SILENCE;
            if is_same {
                return;
            }
            *told = now;
            if inner.silences.len() > MOST_SILENCES {
                inner.silences.retain(|_, told| now < *told + SAME_SILENCE);
            }
        }
        self.note_outcome(server, RunOutcome::Failed);
    }

    /// What this entry has seen of the roll-outs under way, to be reported.
    pub(crate) fn evidence(&self) -> Vec<VersionEvidence> {
        let inner = self.lock();
        let running = inner.roll_outs.values().filter(|r| r.progress == Progress::Running);
        running.map(RollOut::evidence).collect()
    }

    /// Takes in what another entry has seen, and judges by all of it.
    pub(crate) fn take_evidence(&self, host: &str, all: Vec<VersionEvidence>) {
        let mut inner = self.lock();
        for evidence in all {
            let Some(roll_out) = inner.roll_outs.get_mut(&evidence.service) else {
                continue;
            };
            if roll_out.order.revision == evidence.revision {
                roll_out.others.insert(host.into(), evidence);
                roll_out.judge_pooled();
            }
        }
    }

    /// Whether a server runs the version that is being rolled out.
    pub(crate) fn is_on_trial(&self, server: &BackendServer) -> bool {
        let inner = self.lock();
        let roll_out = inner.roll_outs.get(&server.service);
        roll_out.is_some_and(|r| r.progress == Progress::Running && r.order.to == server.version)
    }

    /// Notes that servers of a version are in view.
    pub(crate) fn note_servers(&self, service: &str, version: &str) {
        if let Some(roll_out) = self.lock().roll_outs.get_mut(service) {
            roll_out.has_servers |= *roll_out.order.to == *version;
        }
    }

    /// Shows the evidence as metrics.
    pub(crate) fn report(&self, metrics: &Metrics) {
        let inner = self.lock();
        for roll_out in inner.roll_outs.values() {
            for (version, evidence) in [("old", roll_out.old), ("new", roll_out.new)] {
                let counts = [
                    ("answers", evidence.answers),
                    ("failures", evidence.failures),
                    ("slow", evidence.poor),
                ];
                for (count, value) in counts {
                    let labels = EvidenceLabels {
                        service: roll_out.order.service.to_string(),
                        version: version.into(),
                        count: count.into(),
                    };
                    let value = i64::try_from(value).unwrap_or(i64::MAX);
                    metrics.evidence.get_or_create(&labels).set(value);
                }
            }
        }
    }

    /// Part of the state dump.
    pub(crate) fn dump(&self) -> Value {
        let inner = self.lock();
        let one = |r: &RollOut| {
            json!({
                "service": r.order.service,
                "to": r.order.to,
                "progress": format!("{:?}", r.progress),
                "began": r.is_begun,
                "held": r.is_held,
                "answers": r.new.answers,
                "answers_of_all": r.pooled().1.answers,
                "failures": r.new.failures,
                "slow": r.new.poor,
                "old_answers": r.old.answers,
                "old_failures": r.old.failures,
                "old_slow": r.old.poor,
            })
        };
        Value::Array(inner.roll_outs.values().map(one).collect())
    }

    /// Verdicts that this entry can give now.
    pub(crate) fn verdicts(&self, now: Duration) -> Vec<Verdict> {
        let inner = self.lock();
        inner.roll_outs.values().filter_map(|roll_out| roll_out.verdict(now, &self.terms)).collect()
    }
}

impl Inner {
    fn remember(&mut self, session: &str, note: SessionNote, session_time: Duration) {
        if self.sessions.len() >= MOST_SESSIONS {
            self.sessions.retain(|_, kept| note.at < kept.at + session_time);
        }
        self.sessions.insert(session.into(), note);
    }
}

impl RollOut {
    fn rule(
        &self,
        session: &str,
        note: Option<SessionNote>,
        now: Duration,
        terms: &ExposureTerms,
    ) -> VersionRule {
        let new = VersionRule::Only(self.order.to.clone());
        let old = VersionRule::Not(self.order.to.clone());
        match self.progress {
            Progress::Completed => return new,
            Progress::RolledBack => return old,
            Progress::Running if self.is_held || !self.has_servers => return old,
            Progress::Running => {}
        }
        let elapsed = now.saturating_sub(self.began);
        if let Some(note) = note {
            if note.on_new {
                return new;
            }
            if !may_move_sessions(elapsed, self.order.within, terms) {
                return old;
            }
        }
        let share = share_at(elapsed, self.order.within, terms);
        if takes_new(session, &self.order.to, share) { new } else { old }
    }

    fn judge(&mut self) {
        self.test.observe(self.old, self.new, &GUARD);
        if self.test.finding(&GUARD) == Finding::Worse {
            self.hold(1, self.old, self.new);
        }
    }

    /// Evidence of all entries on the old and the new version, as far as it is known here.
    fn pooled(&self) -> (Evidence, Evidence) {
        let sum = |(old, new): (Evidence, Evidence), other: &VersionEvidence| {
            (old.plus(other.old), new.plus(other.new))
        };
        self.others.values().fold((self.old, self.new), sum)
    }

    fn judge_pooled(&mut self) {
        let (old, new) = self.pooled();
        self.pooled_test.observe(old, new, &GUARD);
        if self.pooled_test.finding(&GUARD) == Finding::Worse {
            self.hold(self.others.len() + 1, old, new);
        }
    }

    /// Keeps the version from requests, by the evidence of so many entries.
    fn hold(&mut self, entries: usize, old: Evidence, new: Evidence) {
        if std::mem::replace(&mut self.is_held, true) {
            return;
        }
        event::VERSION_SUSPECT.log(format_args!(
            "service={} version={} entries={entries} answers={} failures={} slow={} old_answers={} old_failures={} old_slow={}",
            self.order.service,
            self.order.to,
            new.answers,
            new.failures,
            new.poor,
            old.answers,
            old.failures,
            old.poor
        ));
    }

    fn evidence(&self) -> VersionEvidence {
        VersionEvidence {
            service: self.order.service.clone(),
            revision: self.order.revision,
            old: self.old,
            new: self.new,
        }
    }

    /// Whether the version may be called good.
    fn is_proved(&self) -> bool {
        let tests = [&self.test, &self.pooled_test];
        self.new.answers >= LEAST_ANSWERS && !tests.iter().any(|t| t.is_suspicious(&GUARD))
    }

    fn verdict(&self, now: Duration, terms: &ExposureTerms) -> Option<Verdict> {
        if self.progress != Progress::Running {
            return None;
        }
        let elapsed = now.saturating_sub(self.began);
        let progress = if self.is_held {
            Progress::RolledBack
        } else if may_complete(elapsed, self.order.within, terms) && self.is_proved() {
            Progress::Completed
        } else {
            return None;
        };
        let status = RollOutStatus { to: self.order.to.clone(), progress };
        Some(Verdict { order: self.order.clone(), status })
    }
}
