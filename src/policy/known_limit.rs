//! What entries know of the limit that one server advertises, and whose update is the newest.
//!
//! Entries learn it from the server's answers and from each other, late and by several ways, and their clocks say
//! nothing about the order. So each change that one of them learns from the server itself gets the next number: who
//! knew the former number received it later.

use std::time::Duration;

use crate::policy::rate_limit::{AdvertisedLimit, MIN_ADVERTISED_RATE, Rate};

/// Time after which it is reported once more that a server still advertises its limit: where nobody says so, others see
/// that nobody asks it.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Part of a limit below which a new one is reported at once. A limit may waver with each answer, and each such message
/// reports the load as well; a smaller fall waits for the next heartbeat, and until then the server gets at most one
/// and a half times what it names.
const URGENT_RATIO: f64 = 0.7;

/// What is known of one server, as entries report it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// Counts the changes.
    pub changes: u32,
    /// Counts how often it was received again since the last change.
    pub repeats: u32,
    /// Requests a second over all entries; none where it advertises no limit any more.
    pub rate: Option<Rate>,
}

impl LimitReport {
    /// Whether this is newer than what is known. Of two changes that were received at the same time the smaller limit
    /// holds: the server's next answer settles it, and until then it gets too little rather than too much.
    pub fn is_newer_than(&self, known: &Self) -> bool {
        if self.changes != known.changes || self.rate == known.rate {
            return (self.changes, self.repeats) > (known.changes, known.repeats);
        }
        self.rate.unwrap_or(Rate::INFINITY) < known.rate.unwrap_or(Rate::INFINITY)
    }
}

/// What a change means for those who send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The limit is new or fell: entries that have not learned of it send too much.
    Urgent,
    /// It rose or ended.
    Deferrable,
    /// It is as before, and was received again.
    Repeated,
}

/// What this entry knows of one server's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KnownLimit {
    latest: Option<LimitReport>,
    received_at: Duration,
    /// When there was last something to report.
    reported_at: Duration,
}

impl KnownLimit {
    /// Requests a second that the server takes; none where it advertises no limit.
    pub fn rate(&self) -> Option<Rate> {
        self.latest.and_then(|report| report.rate)
    }

    /// What is known, as it is reported.
    pub fn report(&self) -> Option<LimitReport> {
        self.latest
    }

    /// When the server was last seen, through any entry.
    pub fn received_at(&self) -> Duration {
        self.received_at
    }

    /// Takes in what an answer says to a request that was sent at `sent_at`; gives what there is to report.
    ///
    /// An answer that advertises no limit ends it only where the request was sent after the limit was last named:
    /// answers overtake each other, and an older one would open the server to everybody.
    pub fn record_answer(
        &mut self,
        advertised: AdvertisedLimit,
        sent_at: Duration,
        now: Duration,
    ) -> Option<LimitChange> {
        let rate = match advertised {
            AdvertisedLimit::Rate(rate) => Some(rate.max(MIN_ADVERTISED_RATE)),
            AdvertisedLimit::Nothing if self.rate().is_some() && sent_at >= self.received_at => {
                None
            }
            AdvertisedLimit::Nothing | AdvertisedLimit::Unreadable => return None,
        };
        let known = self.latest.unwrap_or(LimitReport { changes: 0, repeats: 0, rate: None });
        if rate != known.rate {
            let report = LimitReport { changes: known.changes.saturating_add(1), repeats: 0, rate };
            return Some(self.replace(report, now));
        }
        self.received_at = now;
        if now < self.reported_at + REPEAT_INTERVAL {
            return None;
        }
        let repeats = known.repeats.saturating_add(1);
        Some(self.replace(LimitReport { repeats, ..known }, now))
    }

    /// Takes in what another entry reports; gives what there is to pass on.
    pub fn merge(&mut self, reported: LimitReport, now: Duration) -> Option<LimitChange> {
        let is_new = self.latest.is_none_or(|known| reported.is_newer_than(&known));
        is_new.then(|| self.replace(reported, now))
    }

    fn replace(&mut self, report: LimitReport, now: Duration) -> LimitChange {
        let before = self.rate().unwrap_or(Rate::INFINITY);
        (self.latest, self.received_at, self.reported_at) = (Some(report), now, now);
        match report.rate {
            Some(rate) if rate < before * URGENT_RATIO => LimitChange::Urgent,
            rate if rate.unwrap_or(Rate::INFINITY) == before => LimitChange::Repeated,
            _ => LimitChange::Deferrable,
        }
    }
}
