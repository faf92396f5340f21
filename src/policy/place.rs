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
    if !seen.iter().any(|sharer| sharer.host == host) {
        return None;
    }
    let new = seen.iter().filter(|sharer| !sharer.is_settled).count();
    let are_many_new = new > few_of(seen.len());
    let shares =
        |sharer: &&ObservedEntry<'_>| are_many_new || sharer.is_settled || sharer.host == host;
    let sharers = seen.iter().filter(shares);
    let rank = sharers.clone().filter(|sharer| sharer.host < host).count();
    Some(Place { rank: u32::try_from(rank).ok()?, entries: u32::try_from(sharers.count()).ok()? })
}

/// How many entries are few of so many: a process is restarted every other minute, half of all hardly ever.
fn few_of(entries: usize) -> usize {
    (entries / 4).max(1)
}

/// Time from the first report of an entry's place until it is used: a seed that has just started learns of some
/// entries only after 2 s, when they try it again, and what the process before sent on this Host is more than a
/// second old.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time for which a few entries less have to be reported before that counts: a report may be late.
const FEW_GONE_AFTER: Duration = Duration::from_secs(1);
/// The same for more of them: processes that were killed together are back and settled by then.
const MANY_GONE_AFTER: Duration = Duration::from_secs(6);
/// Time for which the largest number of entries counts in the question who the most are.
const LARGEST_LASTS: Duration = Duration::from_secs(600);

/// What is reported to an entry of its place among all.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlaceTracker {
    place: Option<Place>,
    since: Duration,
    /// Largest number of entries, and when it was last received.
    largest: (u32, Duration),
    /// Since when fewer entries than before have been reported.
    fewer_since: Option<Duration>,
}

impl PlaceTracker {
    /// Takes in a place that was received; `sees_all` where whoever reports it has been up for long enough to get updates from
    /// all entries.
    ///
    /// Where entries lose each other, each side sees fewer, and would take the whole of what a server takes for
    /// itself. So fewer count only where they are most of all: two sides can't both be that.
    pub fn note(&mut self, place: Place, sees_all: bool, now: Duration) {
        let (largest, received_at) = self.largest;
        if place.entries >= largest || now >= received_at + LARGEST_LASTS {
            self.largest = (place.entries, now);
        }
        let Some(known) = self.place else {
            (self.place, self.since) = (Some(place), now);
            return;
        };
        if place.entries >= known.entries {
            (self.place, self.fewer_since) = (Some(place), None);
            return;
        }
        let are_most = sees_all && place.entries * 2 > self.largest.0;
        let gone = known.entries - place.entries;
        let are_few_gone = gone as usize <= few_of(known.entries as usize);
        let after = if are_few_gone { FEW_GONE_AFTER } else { MANY_GONE_AFTER };
        let since = *self.fewer_since.get_or_insert(now);
        if are_most && now >= since + after {
            self.place = Some(place);
        }
    }

    /// How many share, as far as it was received; also before the place is settled.
    pub fn entries(&self) -> Option<u32> {
        self.place.map(|place| place.entries)
    }

    /// The place to go by; none until it is settled.
    pub fn get(&self, now: Duration) -> Option<Place> {
        self.place.filter(|_| now >= self.since + SETTLE_TIME)
    }
}
