//! Shares a server's rate limit among the entries without communication between them.
//!
//! A server that has just started accepts a fixed number of requests per second, and a
//! rate-limited server advertises its limit in its answers. Entries do not coordinate before each
//! send. Instead a few entries are the senders of each server: all entries are ordered by the
//! names of their Hosts, and a server's senders start at the position given by its hash. The
//! senders divide the rate among them; all other entries skip the server.
//!
//! Two entries' views of the number of entries differ by those that have just started or stopped.
//! If the views differ by `d`, the first sender's position moves by `d` at most, so up to `2 d`
//! additional entries may send. Equal shares for all entries would not work: each share is
//! rounded up to one request, so a hundred entries would send a hundred at once.

use std::{collections::VecDeque, time::Duration};

use crate::policy::place::Place;

/// Requests per second from all entries together.
pub type Rate = f64;

/// Lower bound of an advertised limit. Without any requests there would be no answer to show that
/// the limit has ended.
pub const MIN_ADVERTISED_RATE: Rate = 0.05;
/// Lower bound of the rate when a window is computed, so that every window is finite.
const MIN_RATE: Rate = 1e-3;

/// Time without an answer from a server, in addition to the time of two sends, after which entries
/// other than its senders may probe it. An unchanged limit is reported every second and arrives
/// with the next report and heartbeat, and an answer may take two seconds to begin.
const PROBE_AFTER_SILENCE: Duration = Duration::from_secs(4);
/// Time for which one entry may probe before the next one may: the interval of a report and a
/// heartbeat.
const PROBE_TURN: Duration = Duration::from_millis(700);

/// The rate limit in the head of a server's answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AdvertisedLimit {
    /// No limit: the server accepts as many requests as it has slots.
    #[default]
    Nothing,
    /// Requests per second.
    Rate(Rate),
    /// Not a valid number, so nothing is known.
    Unreadable,
}

impl AdvertisedLimit {
    /// Parses the header's value.
    pub fn parse(text: &str) -> Self {
        match text.trim().parse::<Rate>() {
            Ok(rate) if rate.is_finite() && rate >= 0.0 => Self::Rate(rate),
            _ => Self::Unreadable,
        }
    }

    /// The smaller of two limits in one answer; one that can be read is preferred to one that
    /// cannot.
    #[must_use]
    pub fn smaller(self, other: Self) -> Self {
        match (self, other) {
            (Self::Rate(a), Self::Rate(b)) => Self::Rate(a.min(b)),
            (Self::Rate(_), _) => self,
            _ => other,
        }
    }
}

/// The number of requests that one entry may send to one server in a time window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Sends allowed in any window of the given length.
    pub sends: u32,
    /// Length of the window, at least a second, so that no second has more sends than that.
    pub window: Duration,
}

impl Allowance {
    /// The allowance of an entry that does not know its place among this many entries. It is used
    /// only if no other server can take the request. If all entries have just started, these
    /// allowances add up to the server's rate.
    pub fn minimum(rate: Rate, entries: u32) -> Self {
        Self { sends: 1, window: window(entries.max(1), rate).max(Duration::from_secs(1)) }
    }
}

/// Time in which a server with this rate accepts this many requests.
fn window(sends: u32, rate: Rate) -> Duration {
    Duration::from_secs_f64(f64::from(sends) / rate.max(MIN_RATE))
}

/// The allowance of the entry at `place` for the server with this hash, which accepts `rate` from
/// all entries together; `None` if the entry is not one of the server's senders.
///
/// The rate is rounded up to a whole number of requests, and the window is the time in which the
/// server accepts that many, a second or more. All senders together can then use the full rate
/// without exceeding the rounded number in any second.
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

/// The allowance of an entry that is not one of a server's senders, to probe the server after no
/// entry has received an answer for a while.
///
/// The senders may have no requests for the server or may be gone, and only an answer shows that
/// its limit has ended. The other entries take turns so that they do not all send at once;
/// `None` if it is not this entry's turn.
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

/// The rate as a whole number of requests, at least one.
fn rounded_up(rate: Rate) -> u32 {
    (rate.ceil() as u32).max(1)
}

/// The entry's index in the order of entries that starts with the server's first sender.
fn sender_index(place: Place, server: u64) -> u32 {
    let entries = place.entries.max(1);
    // The hash is scaled rather than taken modulo, so that one more entry moves the first sender
    // by one position at most.
    let first = ((u128::from(server) * u128::from(entries)) >> 64) as u32;
    // In 64 bits, since another entry may report any number.
    let index = u64::from(place.rank) + u64::from(entries - first);
    (index % u64::from(entries)) as u32
}

/// Times of this entry's rate-limited sends to one server within the last window.
#[derive(Clone, Debug, Default)]
pub struct SlidingWindowLog {
    sent_at: VecDeque<Duration>,
}

impl SlidingWindowLog {
    /// Whether another send is allowed now.
    pub fn may_send(&self, allowance: &Allowance, now: Duration) -> bool {
        self.next_at(allowance, now) <= now
    }

    /// When the next send is allowed.
    pub fn next_at(&self, allowance: &Allowance, now: Duration) -> Duration {
        let Some(first) = self.sent_at.len().checked_sub(allowance.sends.max(1) as usize) else {
            return now;
        };
        self.sent_at[first] + allowance.window
    }

    /// Records a send made now and discards those that have left the window.
    pub fn record(&mut self, allowance: &Allowance, now: Duration) {
        while self.sent_at.front().is_some_and(|at| *at + allowance.window <= now) {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
    }
}
