//! An entry's place in the order of all entries, from which its share of rate-limited servers
//! follows without coordination.
//!
//! All entries report to the seeds, a few entries named in the settings, and each seed tells each
//! entry its rank by Host name. While entries start and stop, their views differ, so a place
//! changes only after checks: too many senders would crash a server, and a server whose senders are
//! all gone would receive nothing.

use std::time::Duration;

/// The rank of an entry among all entries that share rate-limited servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Number of entries whose Host names sort before this one's.
    pub rank: u32,
    /// Number of entries, including this one.
    pub entries: u32,
}

impl Place {
    /// The place of a single entry.
    pub const ALONE: Self = Self { rank: 0, entries: 1 };
}

/// An entry as a seed sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedEntry<'a> {
    /// Name of its Host.
    pub host: &'a str,
    /// Whether it knows its place. A process that has just started does not, and sends nothing to
    /// rate-limited servers yet.
    pub is_settled: bool,
}

/// The place of the entry on this Host among the entries that a seed sees; `None` if it is not one
/// of them.
///
/// Entries that are not settled are left out of the ranking, so that a server's only sender is not
/// a process that has just started. If there are many of them, such as after half of all entries
/// were lost, they are ranked too: leaving them out would move most places twice within seconds,
/// and with differing views too many entries send.
pub fn place_among(host: &str, seen: &[ObservedEntry<'_>]) -> Option<Place> {
    if !seen.iter().any(|entry| entry.host == host) {
        return None;
    }
    let unsettled = seen.iter().filter(|entry| !entry.is_settled).count();
    let many_unsettled = unsettled > max_minor_change(seen.len());
    let is_ranked =
        |entry: &&ObservedEntry<'_>| many_unsettled || entry.is_settled || entry.host == host;
    let ranked = seen.iter().filter(is_ranked);
    let rank = ranked.clone().filter(|entry| entry.host < host).count();
    Some(Place { rank: u32::try_from(rank).ok()?, entries: u32::try_from(ranked.count()).ok()? })
}

/// Largest change in this number of entries that counts as minor. A single process restarts every
/// other minute, while half of all entries are almost never lost at once.
fn max_minor_change(entries: usize) -> usize {
    (entries / 4).max(1)
}

/// Time from the first report of an entry's place until the place is used. A seed that has just
/// started learns of some entries only after 2 s, when they reconnect, and by then the last sends
/// of the previous process on this Host are more than a second old.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time for which slightly fewer entries must be reported before the change is applied, since a
/// report may be late.
const MINOR_LOSS_DELAY: Duration = Duration::from_secs(1);
/// The same for considerably fewer entries. Processes that were killed together have restarted and
/// settled by then.
const MAJOR_LOSS_DELAY: Duration = Duration::from_secs(6);
/// Time for which the largest reported number of entries is used to determine a majority.
const PEAK_TTL: Duration = Duration::from_secs(600);

/// Derives the place that an entry uses from those reported to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlaceTracker {
    place: Option<Place>,
    first_reported_at: Duration,
    /// Largest number of entries and when it was last reported.
    peak: (u32, Duration),
    /// Since when fewer entries than before have been reported.
    fewer_since: Option<Duration>,
}

impl PlaceTracker {
    /// Applies a reported place; `sees_all` if its reporter has been running long enough to receive
    /// updates from all entries.
    ///
    /// In a network partition each side sees fewer entries and would use the full rate of every
    /// server. So a lower number of entries is accepted only if it is a majority of the largest
    /// number, which cannot be true on both sides.
    pub fn update(&mut self, place: Place, sees_all: bool, now: Duration) {
        let (peak, received_at) = self.peak;
        if place.entries >= peak || now >= received_at + PEAK_TTL {
            self.peak = (place.entries, now);
        }
        let Some(known) = self.place else {
            (self.place, self.first_reported_at) = (Some(place), now);
            return;
        };
        if place.entries >= known.entries {
            (self.place, self.fewer_since) = (Some(place), None);
            return;
        }
        let is_majority = sees_all && u64::from(place.entries) * 2 > u64::from(self.peak.0);
        let lost = known.entries - place.entries;
        let is_minor_loss = lost as usize <= max_minor_change(known.entries as usize);
        let delay = if is_minor_loss { MINOR_LOSS_DELAY } else { MAJOR_LOSS_DELAY };
        let since = *self.fewer_since.get_or_insert(now);
        if is_majority && now >= since + delay {
            self.place = Some(place);
        }
    }

    /// Number of entries, if it was reported; also while the place is not settled.
    pub fn entries(&self) -> Option<u32> {
        self.place.map(|place| place.entries)
    }

    /// The place to use; `None` until it is settled.
    pub fn get(&self, now: Duration) -> Option<Place> {
        self.place.filter(|_| now >= self.first_reported_at + SETTLE_TIME)
    }
}
