//! How many requests a second a server takes, over all entries, where it takes few.
//!
//! A server that has just started takes a number of sends a second, and a rate-limited server advertises one in its
//! answers. Entries don't ask each other before they send. So each server has a few entries of its own: the
//! entries are in one order, by the names of their Hosts, and each server's begin at a place that its hash
//! gives. These share what it takes; all others pass it over.
//!
//! Two views of how many entries there are differ by the entries that have just come or gone, and move each
//! server's first place by as many at most: views that differ by `d` let `2 d` entries more send. With equal
//! parts for all entries, each part is rounded up to one, and a hundred entries send a hundred at once.

use std::{collections::VecDeque, time::Duration};

use crate::policy::place::Place;

/// Requests a second, over all entries.
pub type Rate = f64;

/// Least that a limit counts for, whatever its server advertises: only its answers show that its limit is over.
pub const MIN_ADVERTISED_RATE: Rate = 0.05;
/// Least rate that is distinguished from none, so that no window is without end.
const MIN_RATE: Rate = 1e-3;

/// Time without an answer of a server, beyond that of two sends, after which others than its senders may ask it: news is
/// reported each second, and arrives with the next report and heartbeat, while an answer may take two seconds to begin.
const PROBE_AFTER_SILENCE: Duration = Duration::from_secs(4);
/// Time for which one entry may do so before it is the next one's turn: a report and a heartbeat.
const PROBE_TURN: Duration = Duration::from_millis(700);

/// What the head of an answer says of its server's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AdvertisedLimit {
    /// Nothing: the server takes what it has places for.
    #[default]
    Nothing,
    /// So many requests a second.
    Rate(Rate),
    /// Something that is no number of requests, so nothing is known.
    Unreadable,
}

impl AdvertisedLimit {
    /// Reads what a server names.
    pub fn parse(text: &str) -> Self {
        match text.trim().parse::<Rate>() {
            Ok(rate) if rate.is_finite() && rate >= 0.0 => Self::Rate(rate),
            _ => Self::Unreadable,
        }
    }

    /// The smaller of two limits that one answer names; one that can be read goes before one that can't.
    #[must_use]
    pub fn smaller(self, other: Self) -> Self {
        match (self, other) {
            (Self::Rate(a), Self::Rate(b)) => Self::Rate(a.min(b)),
            (Self::Rate(_), _) => self,
            _ => other,
        }
    }
}

/// What one entry may send to one server under a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Sends in any window of this length.
    pub sends: u32,
    /// A second or longer, so that no second has more sends than that.
    pub window: Duration,
}

impl Allowance {
    /// The least: what an entry may send that does not know its place among so many, and only where nobody else can
    /// serve. Where all of them have just started, that adds up to what the server takes.
    pub fn minimum(rate: Rate, entries: u32) -> Self {
        Self { sends: 1, window: window(entries.max(1), rate).max(Duration::from_secs(1)) }
    }
}

/// Time for which a server takes so many requests.
fn window(sends: u32, rate: Rate) -> Duration {
    Duration::from_secs_f64(f64::from(sends) / rate.max(MIN_RATE))
}

/// What an entry may send to the server with this hash, which takes `rate` from all entries; none where other
/// entries send to it.
///
/// All senders together may send the next whole number of requests in the time, a second or more, for which the
/// server takes as many: so nothing of a fraction is lost, and no second has more than that number.
pub fn allowance(rate: Rate, place: Place, server: u64) -> Option<Allowance> {
    let whole = rounded_up(rate);
    let senders = place.entries.clamp(1, whole);
    let index = sender_index(place, server);
    if index >= senders {
        return None;
    }
    let sends = whole / senders + u32::from(index < whole % senders);
    Some(Allowance { sends, window: window(whole, rate) })
}

/// What an entry without a share may send to a server that has answered nobody for a while: its senders have no
/// work for it, or are gone, and only an answer shows that its limit is over. One such entry at a time, one after
/// the other, so that they don't all come at once; none where it is another one's turn.
pub fn probe_allowance(
    rate: Rate,
    place: Place,
    server: u64,
    silent_for: Duration,
) -> Option<Allowance> {
    let silence = PROBE_AFTER_SILENCE + window(2, rate);
    let waited = silent_for.checked_sub(silence)?;
    let senders = place.entries.clamp(1, rounded_up(rate));
    let position = sender_index(place, server).checked_sub(senders)?;
    let candidates = u128::from(place.entries - senders);
    let current = waited.as_millis() / PROBE_TURN.as_millis() % candidates;
    (current == u128::from(position)).then_some(Allowance { sends: 1, window: silence })
}

/// The next whole number of requests.
fn rounded_up(rate: Rate) -> u32 {
    (rate.ceil() as u32).max(1)
}

/// This entry's turn at a server, from 0.
fn sender_index(place: Place, server: u64) -> u32 {
    let entries = place.entries.max(1);
    // Scaled, not taken modulo: one entry more moves the first place by one at most.
    let first = ((u128::from(server) * u128::from(entries)) >> 64) as u32;
    (place.rank + entries - first) % entries
}

/// Sends of this entry to one server under a limit, those of the last window.
#[derive(Clone, Debug, Default)]
pub struct SlidingWindowLog {
    sent_at: VecDeque<Duration>,
}

impl SlidingWindowLog {
    /// Whether one more may be made now.
    pub fn may_send(&self, allowance: &Allowance, now: Duration) -> bool {
        self.next_at(allowance, now) <= now
    }

    /// When the next one may be made.
    pub fn next_at(&self, allowance: &Allowance, now: Duration) -> Duration {
        let Some(first) = self.sent_at.len().checked_sub(allowance.sends.max(1) as usize) else {
            return now;
        };
        self.sent_at[first] + allowance.window
    }

    /// Notes one that is made now.
    pub fn record(&mut self, allowance: &Allowance, now: Duration) {
        while self.sent_at.front().is_some_and(|at| *at + allowance.window <= now) {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
    }
}
