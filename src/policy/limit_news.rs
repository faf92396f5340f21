//! What entries know of the limit that one server names, and whose word is the newest.
//!
//! Entries hear it from the server's answers and from each other, late and by several ways, and their clocks say
//! nothing about the order. So each change that one of them hears from the server itself gets the next number: who
//! knew the former number heard it later.

use std::time::Duration;

use crate::policy::rate_limit::{LEAST_NAMED, Rate, SaidLimit};

/// Time after which it is told once more that a server still names its limit: where nobody says so, others see
/// that nobody asks it.
const SAID_AGAIN: Duration = Duration::from_secs(1);
/// Part of a limit below which a new one is told at once. A limit may waver with each answer, and each such message
/// tells the load as well; a smaller fall waits for the next heartbeat, and until then the server gets at most one
/// and a half times what it names.
const FALLS_BELOW: f64 = 0.7;

/// What is known of one server, as entries tell it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitNews {
    /// Counts the changes.
    pub change: u32,
    /// Counts how often it was heard again since the last change.
    pub again: u32,
    /// Requests a second over all entries; none where it names no limit any more.
    pub rate: Option<Rate>,
}

impl LimitNews {
    /// Whether this is newer than what is known. Of two changes that were heard at the same time the smaller limit
    /// holds: the server's next answer settles it, and until then it gets too little rather than too much.
    pub fn is_newer_than(&self, known: &Self) -> bool {
        if self.change != known.change || self.rate == known.rate {
            return (self.change, self.again) > (known.change, known.again);
        }
        self.rate.unwrap_or(Rate::INFINITY) < known.rate.unwrap_or(Rate::INFINITY)
    }
}

/// What a change means for those who send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The limit is new or fell: entries that have not heard of it send too much.
    Urgent,
    /// It rose or ended.
    Calm,
    /// It is as before, and was heard again.
    Again,
}

/// What this entry knows of one server's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitBelief {
    news: Option<LimitNews>,
    heard_at: Duration,
    /// When there was last something to tell.
    told_at: Duration,
}

impl LimitBelief {
    /// Requests a second that the server takes; none where it names no limit.
    pub fn rate(&self) -> Option<Rate> {
        self.news.and_then(|news| news.rate)
    }

    /// What is known, as it is told.
    pub fn news(&self) -> Option<LimitNews> {
        self.news
    }

    /// When the server was last heard of, through any entry.
    pub fn heard_at(&self) -> Duration {
        self.heard_at
    }

    /// Takes in what an answer says to a request that was sent at `sent_at`; gives what there is to tell.
    ///
    /// An answer that names no limit ends it only where the request was sent after the limit was last named:
    /// answers overtake each other, and an older one would open the server to everybody.
    pub fn hear(&mut self, said: SaidLimit, sent_at: Duration, now: Duration) -> Option<Change> {
        let rate = match said {
            SaidLimit::Rate(rate) => Some(rate.max(LEAST_NAMED)),
            SaidLimit::Nothing if self.rate().is_some() && sent_at >= self.heard_at => None,
            SaidLimit::Nothing | SaidLimit::Unreadable => return None,
        };
        let known = self.news.unwrap_or(LimitNews { change: 0, again: 0, rate: None });
        if rate != known.rate {
            let news = LimitNews { change: known.change.saturating_add(1), again: 0, rate };
            return Some(self.put(news, now));
        }
        self.heard_at = now;
        if now < self.told_at + SAID_AGAIN {
            return None;
        }
        let again = known.again.saturating_add(1);
        Some(self.put(LimitNews { again, ..known }, now))
    }

    /// Takes in what another entry tells; gives what there is to tell on.
    pub fn take_told(&mut self, told: LimitNews, now: Duration) -> Option<Change> {
        let is_new = self.news.is_none_or(|known| told.is_newer_than(&known));
        is_new.then(|| self.put(told, now))
    }

    fn put(&mut self, news: LimitNews, now: Duration) -> Change {
        let before = self.rate().unwrap_or(Rate::INFINITY);
        (self.news, self.heard_at, self.told_at) = (Some(news), now, now);
        match news.rate {
            Some(rate) if rate < before * FALLS_BELOW => Change::Urgent,
            rate if rate.unwrap_or(Rate::INFINITY) == before => Change::Again,
            _ => Change::Calm,
        }
    }
}
