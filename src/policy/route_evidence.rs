//! Outcome counts of the old and the new version of a roll-out, by route.
//!
//! Routes fail at different rates by themselves. One rate over all of them hides a version that is bad on one route
//! only (docs/incidents/0028).

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::policy::{roll_out::Evidence, run_outcome::RunOutcome};

/// Hash of a route's name, by which entries name it to each other.
pub type RouteKey = u32;

/// Maximum number of routes that are counted separately, which bounds the reports between entries.
pub const MAX_ROUTES: usize = 16;
/// Key of all further routes together.
pub const OTHER_ROUTES: RouteKey = 0;

/// Key of the route with this name; never [`OTHER_ROUTES`].
pub fn route_key(name: &str) -> RouteKey {
    (xxh3_64(name.as_bytes()) as RouteKey).max(OTHER_ROUTES + 1)
}

/// Counts of both versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionCounts {
    /// Of the servers that do not run the new version.
    pub old: Evidence,
    /// Of the new version.
    pub new: Evidence,
}

impl VersionCounts {
    /// The sum of two counts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self { old: self.old.plus(other.old), new: self.new.plus(other.new) }
    }
}

/// Counts of both versions by route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteEvidence {
    routes: BTreeMap<RouteKey, VersionCounts>,
}

impl RouteEvidence {
    /// Adds the outcome of one attempt.
    pub fn record(&mut self, route: RouteKey, is_new: bool, outcome: RunOutcome) {
        let counts = self.counts_mut(route);
        let evidence = if is_new { &mut counts.new } else { &mut counts.old };
        let is_slow = matches!(outcome, RunOutcome::Slow | RunOutcome::Overdue);
        evidence.answers += u64::from(outcome != RunOutcome::Overdue);
        evidence.failures += u64::from(outcome == RunOutcome::Failed);
        evidence.rated += u64::from(is_slow || outcome == RunOutcome::Good);
        evidence.poor += u64::from(is_slow);
    }

    /// Adds counts of one route.
    pub fn add(&mut self, route: RouteKey, counts: VersionCounts) {
        let sum = self.counts_mut(route);
        *sum = sum.plus(counts);
    }

    /// Adds the counts of another entry.
    pub fn add_all(&mut self, other: &Self) {
        other.iter().for_each(|(route, counts)| self.add(route, counts));
    }

    /// The counts beyond those of an earlier reading, which must not be greater.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let added = |(route, counts): (RouteKey, VersionCounts)| {
            let before = earlier.routes.get(&route).copied().unwrap_or_default();
            let (old, new) = (counts.old.since(before.old), counts.new.since(before.new));
            (route, VersionCounts { old, new })
        };
        Self { routes: self.iter().map(added).collect() }
    }

    /// The counts of all routes together.
    pub fn total(&self) -> VersionCounts {
        self.routes.values().fold(VersionCounts::default(), |sum, counts| sum.plus(*counts))
    }

    /// The counts of each route, in the order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (RouteKey, VersionCounts)> + '_ {
        self.routes.iter().map(|(route, counts)| (*route, *counts))
    }

    fn counts_mut(&mut self, route: RouteKey) -> &mut VersionCounts {
        let has_room = self.routes.len() < MAX_ROUTES || self.routes.contains_key(&route);
        self.routes.entry(if has_room { route } else { OTHER_ROUTES }).or_default()
    }
}
