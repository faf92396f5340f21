//! This entry's rank among all entries, by which they divide the few requests that a limited server
//! accepts.

use std::time::Duration;

use crate::{
    policy::place::{ObservedEntry, Place, PlaceTracker, SETTLE_TIME},
    router::{Router, peers::messages::ReportedPlace},
    sync::Mutex,
};

/// This entry's rank as reported by the seeds.
#[derive(Debug, Default)]
pub(crate) struct OwnPlace {
    tracker: Mutex<PlaceTracker>,
}

impl OwnPlace {
    /// Records a rank reported by a seed.
    pub(crate) fn record(&self, reported: ReportedPlace, now: Duration) {
        let ReportedPlace { rank, entries, sees_all } = reported;
        let mut tracker = self.tracker.lock();
        tracker.update(Place { rank, entries }, sees_all, now);
    }

    /// Last reported number of entries that share, also before the rank is settled.
    pub(crate) fn entries(&self) -> Option<u32> {
        self.tracker.lock().entries()
    }

    /// This entry's rank; none until it is settled.
    fn get(&self, now: Duration) -> Option<Place> {
        self.tracker.lock().get(now)
    }
}

impl Router {
    /// This entry's rank. Without other seeds, an entry that is not a seed ranks as the only one.
    pub(crate) fn place(&self) -> Option<Place> {
        let settings = self.settings.load();
        let is_alone = settings.seed_peers.iter().all(|seed| Some(*seed) == settings.peer_address);
        let place = self.own_place.get(self.now());
        place.or_else(|| (is_alone && !self.is_seed()).then_some(Place::ALONE))
    }

    /// Rank of this entry, or of one that reports to it, as sent to that entry.
    pub(crate) fn place_of(&self, host: &str) -> Option<ReportedPlace> {
        let settings = self.settings.load();
        let own = ObservedEntry { host: &settings.host, is_settled: self.place().is_some() };
        let Place { rank, entries } = self.load_reports.place(host, own, self.now())?;
        Some(ReportedPlace {
            rank,
            entries,
            sees_all: self.now() >= self.started_at() + SETTLE_TIME,
        })
    }
}
