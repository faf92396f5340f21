//! One roll-out as an entry sees it: whom its version serves, what speaks against it, and how it ends.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{Era, Revision, StoreVersion},
    platform::store::is_first,
    policy::{
        exposure::{
            ExposureTerms, is_beyond_trial, may_complete, request_share_at, session_share_at,
            takes_new,
        },
        roll_out::{Evidence, Finding, VersionTest},
    },
    resources::Guard,
    router::version_rule::VersionRule,
    routing::{Progress, RequestHead, RollOutOrder, RollOutStatus},
    telemetry::event,
};

/// Rise of the failure rate that makes a version bad, and the chance of a false verdict. Bad
/// versions fail a third of their requests and more. A good version taken back costs a roll-out,
/// a bad one found late breaks a promise, so the chance is not made small.
const GUARD: Guard = Guard { step_samples: 1, tolerated_rise: 0.15, false_hold: 0.1 };
/// Answers of the new version, to all entries together, without which a roll-out is not completed. An
/// entry that waits for so many of its own completes a good version a second or two late.
const MIN_ANSWERS: u64 = 20;

/// What one entry has seen of a roll-out's two versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VersionEvidence {
    pub(super) service: Box<str>,
    /// Order it is about.
    pub(super) revision: Revision,
    /// Era of the order; not reported where the store never came back from a copy.
    #[serde(default, skip_serializing_if = "is_first")]
    pub(super) era: Era,
    pub(super) old: Evidence,
    pub(super) new: Evidence,
}

impl VersionEvidence {
    /// The order it is about.
    pub(super) fn order(&self) -> StoreVersion {
        StoreVersion { era: self.era, revision: self.revision }
    }
}

/// What the driver should write to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Verdict {
    pub(crate) order: RollOutOrder,
    pub(crate) status: RollOutStatus,
}

/// One roll-out as this entry sees it.
#[derive(Debug)]
pub(super) struct RollOut {
    pub(super) order: RollOutOrder,
    /// When it began, on the entry's clock.
    pub(super) began: Duration,
    /// Whether the store reported when it began.
    pub(super) is_start_reported: bool,
    /// When this entry found it as it started, until it has learned how far it got.
    pub(super) found_at: Option<Duration>,
    pub(super) progress: Progress,
    /// Whether the evidence, our own or that of all entries, says that the version is bad.
    pub(super) is_held: bool,
    pub(super) old: Evidence,
    pub(super) new: Evidence,
    pub(super) test: VersionTest,
    /// The test on the evidence of all entries, where this one is informed of it.
    pub(super) pooled_test: VersionTest,
    /// Evidence of the other entries, by Host.
    pub(super) others: HashMap<Box<str>, VersionEvidence>,
    /// Whether servers of the new version were seen.
    pub(super) has_servers: bool,
}

impl RollOut {
    /// An order that has just been seen, or found by an entry that starts.
    pub(super) fn new(order: RollOutOrder, now: Duration, is_found: bool) -> Self {
        Self {
            order,
            began: now,
            is_start_reported: false,
            found_at: is_found.then_some(now),
            progress: Progress::Running,
            is_held: false,
            old: Evidence::default(),
            new: Evidence::default(),
            test: VersionTest::default(),
            pooled_test: VersionTest::default(),
            others: HashMap::new(),
            has_servers: false,
        }
    }

    /// Which versions may run a request now.
    pub(super) fn version_rule(
        &self,
        head: &RequestHead,
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
        let (elapsed, within) = (self.age(now), self.order.within);
        let share = match head.session {
            Some(_) => session_share_at(elapsed, within, terms),
            None => request_share_at(elapsed, within, terms),
        };
        if takes_new(head.session_key(), &self.order.to, share) { new } else { old }
    }

    /// Whether it is not known yet how far it got; an end that is known stands.
    pub(super) fn is_unknown(&self) -> bool {
        self.found_at.is_some() && self.progress == Progress::Running
    }

    /// Time since it began, as far as this entry knows.
    pub(super) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.began)
    }

    /// Whether only a trial's share of the requests runs on the new version.
    pub(super) fn is_on_trial(&self, now: Duration, terms: &ExposureTerms) -> bool {
        let is_running = self.progress == Progress::Running;
        is_running && !is_beyond_trial(self.age(now), self.order.within, terms)
    }

    pub(super) fn evaluate(&mut self) {
        self.test.observe(self.old, self.new, &GUARD);
        if self.test.finding(&GUARD) == Finding::Worse {
            self.hold(1, self.old, self.new);
        }
    }

    /// Evidence of all entries on the old and the new version, as far as it is known here.
    pub(super) fn pooled(&self) -> (Evidence, Evidence) {
        let sum = |(old, new): (Evidence, Evidence), other: &VersionEvidence| {
            (old.plus(other.old), new.plus(other.new))
        };
        self.others.values().fold((self.old, self.new), sum)
    }

    pub(super) fn evaluate_pooled(&mut self) {
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

    pub(super) fn evidence(&self) -> VersionEvidence {
        VersionEvidence {
            service: self.order.service.clone(),
            revision: self.order.revision.revision,
            era: self.order.revision.era,
            old: self.old,
            new: self.new,
        }
    }

    /// Whether the version may be called good.
    fn is_proven_good(&self) -> bool {
        let tests = [&self.test, &self.pooled_test];
        let (_, new) = self.pooled();
        new.answers >= MIN_ANSWERS && !tests.iter().any(|t| t.is_suspicious(&GUARD))
    }

    pub(super) fn verdict(&self, now: Duration, terms: &ExposureTerms) -> Option<Verdict> {
        if self.progress != Progress::Running {
            return None;
        }
        let elapsed = self.age(now);
        let progress = if self.is_held {
            Progress::RolledBack
        } else if may_complete(elapsed, self.order.within, terms) && self.is_proven_good() {
            Progress::Completed
        } else {
            return None;
        };
        let status = RollOutStatus { to: self.order.to.clone(), progress };
        Some(Verdict { order: self.order.clone(), status })
    }
}
