//! How much one entry may send to a server that has just started.
//!
//! A cold server is slow and ends under too many requests. It bears a number of sends a second over all entries,
//! which don't ask each other before they send. So each server has a few entries of its own: the entries are in
//! one order, by the names of their Hosts, and each server's begin at a place that its hash gives. These share
//! what it bears; all others pass it over.
//!
//! Two views of how many entries there are differ by the entries that have just come or gone, and move each
//! server's first place by as many at most: views that differ by `d` let `2 d` entries more send.
//! With equal parts for all entries, 103 of them sent 84 requests in a second where 32 are borne, and 7 used 14
//! of 18 (simulated, work always waiting; docs/design/0001-the-shifted-work.md has the figures of both).

use std::{collections::VecDeque, time::Duration};

/// What a cold server of a service bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTerms {
    /// Sends a second, over all entries.
    pub sends_per_second: f64,
    /// How long a server is cold after its start.
    pub lasts: Duration,
}

/// This entry among all.
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

/// What one entry may send to one cold server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Sends in any window of this length.
    pub sends: u32,
    /// A second or longer, so that no second has more sends than that.
    pub window: Duration,
}

impl Allowance {
    /// The least: what an entry may send that does not know its place, and only where nobody else can serve.
    pub const LEAST: Self = Self { sends: 1, window: Duration::from_secs(1) };
}

/// What an entry may send to the cold server with this hash; none where other entries send to it.
pub fn allowance(terms: &ColdTerms, place: Place, server: u64) -> Option<Allowance> {
    let whole = (terms.sends_per_second as u32).max(1);
    let entries = place.entries.max(1);
    let senders = entries.min(whole);
    // Scaled, not taken modulo: one entry more moves the first place by one at most.
    let first = ((u128::from(server) * u128::from(entries)) >> 64) as u32;
    let turn = (place.rank + entries - first) % entries;
    if turn >= senders {
        return None;
    }
    let sends = whole / senders + u32::from(turn < whole % senders);
    // Where a server bears less than one a second, one in the time for which it bears one.
    let window = Duration::from_secs_f64(1.0 / terms.sends_per_second.clamp(1e-3, 1.0));
    Some(Allowance { sends, window })
}

/// Sends of this entry to one server, those of the last window.
#[derive(Clone, Debug, Default)]
pub struct ColdSends {
    at: VecDeque<Duration>,
}

impl ColdSends {
    /// Whether one more may be made now.
    pub fn may_send(&self, allowance: &Allowance, now: Duration) -> bool {
        let in_window = self.at.iter().rev().take_while(|at| now < **at + allowance.window);
        in_window.count() < allowance.sends as usize
    }

    /// Notes one that is made now.
    pub fn note(&mut self, allowance: &Allowance, now: Duration) {
        while self.at.front().is_some_and(|at| *at + allowance.window <= now) {
            self.at.pop_front();
        }
        self.at.push_back(now);
    }
}
