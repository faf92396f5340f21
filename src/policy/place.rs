//! This entry's place among all, by which entries share what a server takes without asking each other.
//!
//! The seeds know who reports to them, and report to each entry its rank by the names of the Hosts. Views differ while
//! entries come and go, so a place is changed with care: too many senders for one server would end it, and a server
//! whose senders are all gone would stand idle.

use std::time::Duration;

/// One entry among those that share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Entries whose Host's name comes before this one's.
    pub rank: u32,
    /// All that share, this one included.
    pub entries: u32,
}

impl Place {
    /// That of an entry which is alone.
    pub const ALONE: Self = Self { rank: 0, entries: 1 };
}

/// An entry as a seed sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedEntry<'a> {
    /// Name of its Host.
    pub host: &'a str,
    /// Whether it knows its place; a process that has just started does not, and sends nothing yet.
    pub is_settled: bool,
}

/// The place of the entry on this Host among those that a seed sees, itself included if it is one of them.
///
/// Entries that are not settled have no turn, so that a server is not left to a process that has just started. Where
/// they are many, as after a loss of half, they are ranked as well: to leave them out would move most places twice
/// within seconds, and views that differ let too many send.
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

/// How many entries are few of so many: a process is restarted every other minute, half of all hardly ever.
fn max_minor_change(entries: usize) -> usize {
    (entries / 4).max(1)
}

/// Time from the first report of an entry's place until it is used: a seed that has just started learns of some
/// entries only after 2 s, when they try it again, and what the process before sent on this Host is more than a
/// second old.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time for which a few entries less have to be reported before that counts: a report may be late.
const MINOR_LOSS_DELAY: Duration = Duration::from_secs(1);
/// The same for more of them: processes that were killed together are back and settled by then.
const MAJOR_LOSS_DELAY: Duration = Duration::from_secs(6);
/// Time for which the largest number of entries counts in the question who the most are.
const PEAK_TTL: Duration = Duration::from_secs(600);

/// What is reported to an entry of its place among all.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlaceTracker {
    place: Option<Place>,
    first_reported_at: Duration,
    /// Largest number of entries, and when it was last received.
    peak: (u32, Duration),
    /// Since when fewer entries than before have been reported.
    fewer_since: Option<Duration>,
}

impl PlaceTracker {
    /// Takes in a place that was received; `sees_all` where whoever reports it has been up for long enough to get updates from
    /// all entries.
    ///
    /// Where entries lose each other, each side sees fewer, and would take the whole of what a server takes for
    /// itself. So fewer count only where they are most of all: two sides can't both be that.
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
        let is_majority = sees_all && place.entries * 2 > self.peak.0;
        let lost = known.entries - place.entries;
        let is_minor_loss = lost as usize <= max_minor_change(known.entries as usize);
        let delay = if is_minor_loss { MINOR_LOSS_DELAY } else { MAJOR_LOSS_DELAY };
        let since = *self.fewer_since.get_or_insert(now);
        if is_majority && now >= since + delay {
            self.place = Some(place);
        }
    }

    /// How many share, as far as it was received; also before the place is settled.
    pub fn entries(&self) -> Option<u32> {
        self.place.map(|place| place.entries)
    }

    /// The place to go by; none until it is settled.
    pub fn get(&self, now: Duration) -> Option<Place> {
        self.place.filter(|_| now >= self.first_reported_at + SETTLE_TIME)
    }
}
