//! An entry's knowledge of the rate limit that a server advertises, and the order of the reports on
//! it.
//!
//! Entries learn the limit from the server's answers and from each other, with delays and over
//! several paths, and their clocks do not give an order. So whenever an entry learns of a change
//! from the server itself, the change gets the number after the latest one that the entry knows:
//! an entry that knew the former number received its change later.

use std::time::Duration;

use crate::policy::rate_limit::{AdvertisedLimit, MIN_ADVERTISED_RATE, Rate};

/// Time after which an unchanged limit is reported again. If these reports stop, the other entries
/// know that no entry sends requests to the server.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// A new limit below this part of the former one is reported immediately. The limit may vary
/// slightly with each answer, and each immediate message carries the load report as well. A smaller
/// fall waits for the next heartbeat; until then the server receives at most 1.5 times its limit.
const URGENT_RATIO: f64 = 0.7;

/// A report on one server's limit, as exchanged between entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// Number of changes of the limit so far; orders the reports.
    pub changes: u32,
    /// Number of times the unchanged limit was reported again since the last change.
    pub repeats: u32,
    /// Requests per second from all entries together; `None` if the server no longer advertises a
    /// limit.
    pub rate: Option<Rate>,
}

impl LimitReport {
    /// Whether this report replaces the known one. If two entries learned of different changes
    /// concurrently, both have the same number and the smaller limit applies: the server's next
    /// answer corrects it, and until then it receives too few requests rather than too many.
    pub fn is_newer_than(&self, known: &Self) -> bool {
        if self.changes != known.changes || self.rate == known.rate {
            return (self.changes, self.repeats) > (known.changes, known.repeats);
        }
        self.rate.unwrap_or(Rate::INFINITY) < known.rate.unwrap_or(Rate::INFINITY)
    }
}

/// How soon other entries must learn of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The limit is new or fell considerably: entries that do not know it send too much.
    Urgent,
    /// The limit fell slightly, rose or ended.
    Deferrable,
    /// The limit is unchanged and was confirmed.
    Repeated,
}

/// This entry's knowledge of one server's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KnownLimit {
    latest: Option<LimitReport>,
    received_at: Duration,
    /// When the latest report was created or received.
    reported_at: Duration,
}

impl KnownLimit {
    /// Requests per second that the server accepts; `None` if it advertises no limit.
    pub fn rate(&self) -> Option<Rate> {
        self.latest.and_then(|report| report.rate)
    }

    /// The latest report, to be sent to other entries.
    pub fn report(&self) -> Option<LimitReport> {
        self.latest
    }

    /// When the limit was last received, in an answer of the server or in another entry's report.
    pub fn received_at(&self) -> Duration {
        self.received_at
    }

    /// Records the limit in the answer to a request that was sent at `sent_at`; returns a change if
    /// it must be reported.
    ///
    /// An answer without a limit ends the limit only if its request was sent after the limit was
    /// last confirmed: answers may arrive out of order, and an older one would remove the limit for
    /// all entries.
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

    /// Merges another entry's report; returns a change if it must be forwarded.
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
