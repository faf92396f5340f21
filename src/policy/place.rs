//! This entry's place among all, by which entries share without asking each other.

use std::time::Duration;

/// One entry among all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Entries whose Host's name comes before this one's.
    pub rank: u32,
    /// All entries, this one included.
    pub entries: u32,
}

impl Place {
    /// That of an entry which is alone.
    pub const ALONE: Self = Self { rank: 0, entries: 1 };
}

/// Time from the first word on an entry's place until it is used: a seed that has just started hears of some
/// entries only after 2 s, when they try it again, and what the process before sent on this Host is more than a
/// second old.
const SETTLES: Duration = Duration::from_secs(3);
/// Time for which the largest number of entries counts: where entries lose each other each side sees fewer, and
/// would take the whole of what a server bears for itself. Until then a fleet that shrank uses less.
const LARGEST_LASTS: Duration = Duration::from_secs(600);

/// What an entry heard of its place among all.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlaceBelief {
    place: Option<Place>,
    heard_at: Duration,
    since: Duration,
}

impl PlaceBelief {
    /// Takes in a place that was heard.
    pub fn hear(&mut self, place: Place, now: Duration) {
        let Some(known) = self.place else {
            *self = Self { place: Some(place), heard_at: now, since: now };
            return;
        };
        if place.entries >= known.entries || now >= self.heard_at + LARGEST_LASTS {
            (self.place, self.heard_at) = (Some(place), now);
        }
    }

    /// The place to go by; none until it is settled.
    pub fn get(&self, now: Duration) -> Option<Place> {
        self.place.filter(|_| now >= self.since + SETTLES)
    }
}
