//! This entry's place among all, by which entries share what servers take that take few requests.

use std::{sync::Mutex, time::Duration};

use crate::{
    policy::place::{ObservedEntry, Place, PlaceTracker, SETTLE_TIME},
    router::{Router, messages::ReportedPlace},
};

/// This entry's place among all, as the seeds report it.
#[derive(Debug, Default)]
pub(crate) struct OwnPlace {
    belief: Mutex<PlaceTracker>,
}

impl OwnPlace {
    /// Takes in this entry's place among all.
    pub(crate) fn record(&self, reported: ReportedPlace, now: Duration) {
        let ReportedPlace { rank, entries, sees_all } = reported;
        let mut belief = self.belief.lock().expect("no panics under the lock");
        belief.update(Place { rank, entries }, sees_all, now);
    }

    /// How many share, as far as it was reported.
    pub(crate) fn entries(&self) -> Option<u32> {
        self.belief.lock().expect("no panics under the lock").entries()
    }

    /// This entry's place; none until it is settled.
    fn get(&self, now: Duration) -> Option<Place> {
        self.belief.lock().expect("no panics under the lock").get(now)
    }
}

impl Router {
    /// This entry's place among all; that of one that is alone where no other one is named.
    pub(crate) fn place(&self) -> Option<Place> {
        let settings = self.settings.load();
        let is_alone = settings.seed_peers.iter().all(|seed| Some(*seed) == settings.peer_address);
        let place = self.own_place.get(self.now());
        place.or_else(|| (is_alone && !self.is_seed()).then_some(Place::ALONE))
    }

    /// The place of an entry that reports to this one, or of this one itself.
    pub(crate) fn place_of(&self, host: &str) -> Option<ReportedPlace> {
        let settings = self.settings.load();
        let own = ObservedEntry { host: &settings.host, is_settled: self.place().is_some() };
        let Place { rank, entries } = self.loads.place(host, own, self.now())?;
        Some(ReportedPlace {
            rank,
            entries,
            sees_all: self.now() >= self.started_at() + SETTLE_TIME,
        })
    }
}
