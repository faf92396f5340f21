//! State of one roll-out on an entry: which requests the new version runs, the evidence, and the
//! verdict.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{Era, Revision, StoreVersion},
    platform::store::is_first,
    policy::{
        exposure::{
            ExposureConfig, is_in_share, is_past_trial, may_complete, request_share, session_share,
        },
        roll_out::{Evidence, Finding, VersionTest},
    },
    resources::Guard,
    router::roll_outs::version_rule::VersionRule,
    routing::{RequestHead, RollOutOrder, RollOutProgress, RollOutStatus},
    telemetry::event,
};

/// Rise of the failure rate that makes a version bad, and the probability of a false verdict. Bad
/// versions fail a third of their requests or more. Rolling back a good version costs a roll-out,
/// while finding a bad one late breaks a service promise, so the probability is not set very low.
const GUARD: Guard = Guard { step_samples: 1, tolerated_rise: 0.15, false_hold: 0.1 };
/// Answers of the new version, over all entries, that are required to complete a roll-out. Waiting
/// for that many answers on a single entry completed good versions one or two seconds late.
const MIN_ANSWERS: u64 = 20;

/// Evidence of one entry on both versions of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VersionEvidence {
    pub(crate) service: Box<str>,
    /// Revision of the roll-out's order.
    pub(crate) revision: Revision,
    /// Era of the order; omitted while the store has never been restored from a backup.
    #[serde(default, skip_serializing_if = "is_first")]
    pub(crate) era: Era,
    pub(crate) old: Evidence,
    pub(crate) new: Evidence,
}

impl VersionEvidence {
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
    /// Whether the evidence of this entry or of all entries shows that the version is bad.
    pub(crate) is_held: bool,
    pub(crate) old: Evidence,
    pub(crate) new: Evidence,
    pub(crate) test: VersionTest,
    /// Test on the evidence of all entries, as far as it was reported to this one.
    pub(crate) pooled_test: VersionTest,
    /// Evidence of other entries by Host.
    pub(crate) others: HashMap<Box<str>, VersionEvidence>,
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
            old: Evidence::default(),
            new: Evidence::default(),
            test: VersionTest::default(),
            pooled_test: VersionTest::default(),
            others: HashMap::new(),
            has_servers: false,
        }
    }

    /// Rule for the versions that may run a request now.
    pub(crate) fn version_rule(
        &self,
        head: &RequestHead,
        now: Duration,
        config: &ExposureConfig,
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
        let share = match head.session {
            Some(_) => session_share(elapsed, duration, config),
            None => request_share(elapsed, duration, config),
        };
        if is_in_share(head.session_key(), &self.order.to, share) { new } else { old }
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

    /// Tests this entry's evidence and holds back the version if it is bad.
    pub(crate) fn evaluate(&mut self) {
        self.test.observe(self.old, self.new, &GUARD);
        if self.test.finding(&GUARD) == Finding::Worse {
            self.hold(1, self.old, self.new);
        }
    }

    /// Evidence of all entries on the old and on the new version, as far as it was reported here.
    pub(crate) fn pooled(&self) -> (Evidence, Evidence) {
        let sum = |(old, new): (Evidence, Evidence), other: &VersionEvidence| {
            (old.plus(other.old), new.plus(other.new))
        };
        self.others.values().fold((self.old, self.new), sum)
    }

    /// Tests the evidence of all entries and holds back the version if it is bad.
    pub(crate) fn evaluate_pooled(&mut self) {
        let (old, new) = self.pooled();
        self.pooled_test.observe(old, new, &GUARD);
        if self.pooled_test.finding(&GUARD) == Finding::Worse {
            self.hold(self.others.len() + 1, old, new);
        }
    }

    /// Stops sending requests to the new version, based on the evidence of this number of entries.
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

    /// This entry's evidence, for its next report.
    pub(crate) fn evidence(&self) -> VersionEvidence {
        VersionEvidence {
            service: self.order.service.clone(),
            revision: self.order.written_at.revision,
            era: self.order.written_at.era,
            old: self.old,
            new: self.new,
        }
    }

    /// Whether there is enough evidence that the version is good.
    fn is_proven_good(&self) -> bool {
        let tests = [&self.test, &self.pooled_test];
        let (_, new) = self.pooled();
        new.answers >= MIN_ANSWERS && !tests.iter().any(|t| t.is_suspicious(&GUARD))
    }

    /// The verdict that this entry can give now, if any.
    pub(crate) fn verdict(&self, now: Duration, config: &ExposureConfig) -> Option<Verdict> {
        if self.progress != RollOutProgress::Running {
            return None;
        }
        let elapsed = self.age(now);
        let progress = if self.is_held {
            RollOutProgress::RolledBack
        } else if may_complete(elapsed, self.order.duration, config) && self.is_proven_good() {
            RollOutProgress::Completed
        } else {
            return None;
        };
        let status = RollOutStatus { to: self.order.to.clone(), progress };
        Some(Verdict { order: self.order.clone(), status })
    }
}
