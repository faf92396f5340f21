//! When server incarnations ended, by incarnation and in the order of time.

use std::{
    collections::{BTreeSet, HashMap},
    ops::{Bound, RangeInclusive},
    time::Duration,
};

use crate::policy::quarantine::IncarnationHash;

/// When each incarnation ended. The order of time lets a verdict look at the ends around one moment without going over
/// all that are known.
#[derive(Clone, Debug, Default)]
pub(super) struct EndTimes {
    by_incarnation: HashMap<IncarnationHash, Duration>,
    by_time: BTreeSet<(Duration, IncarnationHash)>,
}

impl EndTimes {
    pub(super) fn get(&self, incarnation: IncarnationHash) -> Option<Duration> {
        self.by_incarnation.get(&incarnation).copied()
    }

    pub(super) fn insert(&mut self, incarnation: IncarnationHash, at: Duration) {
        self.remove(incarnation);
        self.by_incarnation.insert(incarnation, at);
        self.by_time.insert((at, incarnation));
    }

    pub(super) fn remove(&mut self, incarnation: IncarnationHash) {
        if let Some(at) = self.by_incarnation.remove(&incarnation) {
            self.by_time.remove(&(at, incarnation));
        }
    }

    /// Keeps the ends of the incarnations for which `is_needed` returns true.
    pub(super) fn retain(&mut self, is_needed: impl Fn(IncarnationHash) -> bool) {
        self.by_incarnation.retain(|incarnation, _| is_needed(*incarnation));
        self.by_time.retain(|(_, incarnation)| is_needed(*incarnation));
    }

    /// Incarnations that ended in this period.
    pub(super) fn within(
        &self,
        period: RangeInclusive<Duration>,
    ) -> impl Iterator<Item = IncarnationHash> {
        let from = (*period.start(), IncarnationHash::MIN);
        let to = (*period.end(), IncarnationHash::MAX);
        self.by_time.range(from..=to).map(|(_, incarnation)| *incarnation)
    }

    /// Incarnations that ended later than at this time.
    pub(super) fn after(&self, at: Duration) -> impl Iterator<Item = IncarnationHash> {
        let later = (Bound::Excluded((at, IncarnationHash::MAX)), Bound::Unbounded);
        self.by_time.range(later).map(|(_, incarnation)| *incarnation)
    }

    /// When the last incarnation ended.
    pub(super) fn last(&self) -> Option<Duration> {
        self.by_time.last().map(|(at, _)| *at)
    }
}
