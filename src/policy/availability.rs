//! Whether a BackendServer may be sent a request now, and why not.
//!
//! This is the one decision that every send asks for, when its server is chosen and again at the moment of the
//! send (docs/decisions/0017).

use std::{fmt, time::Duration};

use crate::policy::{announcements::Announcements, send_window::SendWindow};

/// Part of the time for which a draining server goes on serving in which it still gets requests that no
/// other server can take. The rest covers requests on their way and late updates of its row.
const LAST_RESORT_DIVISOR: u32 = 2;

/// Why a server should get no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UnavailableCause {
    /// Another server answers at its address.
    Replaced,
    /// The operator has evacuated its AvailabilityZone.
    Evacuated,
    /// It is about to exit.
    Draining,
    /// It asked for a pause.
    Paused,
    /// Its pause has just ended, and enough requests wait for its answers.
    Recovering,
    /// It has as many requests of this entry as it took when it last rejected one.
    Full,
    /// It takes few requests, and this entry's share is spent or none.
    RateLimited,
    /// It failed several times in a row.
    Ejected,
}

impl UnavailableCause {
    /// All causes.
    pub const ALL: [Self; 8] = [
        Self::Replaced,
        Self::Evacuated,
        Self::Draining,
        Self::Paused,
        Self::Recovering,
        Self::Full,
        Self::RateLimited,
        Self::Ejected,
    ];

    /// The word for logs, metrics and the state dump.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Replaced => "replaced",
            Self::Evacuated => "evacuated",
            Self::Draining => "draining",
            Self::Paused => "paused",
            Self::Recovering => "recovering",
            Self::Full => "full",
            Self::RateLimited => "rate_limited",
            Self::Ejected => "ejected",
        }
    }
}

impl fmt::Display for UnavailableCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Whether a server may be sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It may.
    Open,
    /// Only where no other server can serve.
    LastResort(UnavailableCause),
    /// It may not.
    Closed {
        /// Why not.
        cause: UnavailableCause,
        /// When that ends; none where nobody knows.
        until: Option<Duration>,
    },
}

/// What limits the rate of this entry's sends to a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RateSignal {
    /// Nothing.
    #[default]
    Unlimited,
    /// This entry may send the next request at this time.
    Share(Duration),
    /// The same where no other server can serve: this entry does not know its share.
    LastResort(Duration),
    /// Other entries share what the server takes, the next of them at about this time.
    NoShare(Duration),
}

/// All that speaks for or against a send to a server; times are on the entry's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// Whether another server answered at its address.
    pub is_replaced: bool,
    /// Whether its AvailabilityZone is evacuated.
    pub is_evacuated: bool,
    /// Since when its row says that it is draining.
    pub row_draining_since: Option<Duration>,
    /// What it announced in its answers.
    pub announced: Announcements,
    /// For how long a draining server goes on serving.
    pub drain: Duration,
    /// Requests of this entry that it has not begun to answer.
    pub unanswered: u32,
    /// Requests of this entry that it has.
    pub in_flight: u32,
    /// How many it may have.
    pub window: SendWindow,
    /// Limit on the rate of sends.
    pub rate: RateSignal,
    /// Whether it is ejected as an outlier.
    pub is_ejected: bool,
}

/// Decides whether a server may be sent a request.
pub fn decide(signals: &Signals, now: Duration) -> Availability {
    let Signals { announced, .. } = signals;
    let closed = |cause, until| Availability::Closed { cause, until };
    if signals.is_replaced {
        return closed(UnavailableCause::Replaced, None);
    }
    if signals.is_evacuated {
        return closed(UnavailableCause::Evacuated, None);
    }
    let announcements = [signals.row_draining_since, announced.draining_since()];
    let draining = announcements.into_iter().flatten().min();
    if draining.is_some_and(|since| now >= since + signals.drain / LAST_RESORT_DIVISOR) {
        return closed(UnavailableCause::Draining, None);
    }
    if announced.is_paused(now) {
        return closed(UnavailableCause::Paused, Some(announced.paused_until()));
    }
    if announced.is_recovering(now) && signals.unanswered > announced.answers_since_pause() {
        return closed(UnavailableCause::Recovering, None);
    }
    if !signals.window.allows_another(signals.in_flight, now) {
        return closed(UnavailableCause::Full, None);
    }
    match signals.rate {
        RateSignal::Share(next) | RateSignal::LastResort(next) | RateSignal::NoShare(next)
            if now < next =>
        {
            return closed(UnavailableCause::RateLimited, Some(next));
        }
        RateSignal::NoShare(next) => return closed(UnavailableCause::RateLimited, Some(next)),
        _ => {}
    }
    if draining.is_some() {
        return Availability::LastResort(UnavailableCause::Draining);
    }
    if matches!(signals.rate, RateSignal::LastResort(_)) {
        return Availability::LastResort(UnavailableCause::RateLimited);
    }
    if signals.is_ejected {
        return Availability::LastResort(UnavailableCause::Ejected);
    }
    Availability::Open
}

impl Availability {
    /// Whether a request that was about to be sent must not be sent any more. What it counts towards itself does not
    /// stop it.
    pub fn stops_send(self) -> Option<UnavailableCause> {
        match self {
            Self::Closed {
                cause:
                    UnavailableCause::RateLimited
                    | UnavailableCause::Recovering
                    | UnavailableCause::Full,
                ..
            } => None,
            Self::Closed { cause, .. } => Some(cause),
            Self::Open | Self::LastResort(_) => None,
        }
    }

    /// Whether it is closed for this cause.
    pub fn is_closed_by(self, by: UnavailableCause) -> bool {
        matches!(self, Self::Closed { cause, .. } if cause == by)
    }

    /// Time until it may be sent a request; none where nobody knows.
    pub fn wait(self, now: Duration) -> Option<Duration> {
        match self {
            Self::Open | Self::LastResort(_) => Some(Duration::ZERO),
            Self::Closed { until, .. } => until.map(|until| until.saturating_sub(now)),
        }
    }

    /// Order in which servers are used; none where they are not. An ejected server may answer, and one that
    /// drains or whose rate limit is not shared yet is spared if that can be.
    fn tier(self) -> Option<u8> {
        match self {
            Self::Open => Some(0),
            Self::LastResort(UnavailableCause::Ejected) => Some(1),
            Self::LastResort(_) => Some(2),
            Self::Closed { .. } => None,
        }
    }
}

/// Keeps the servers of the first tier that has any.
pub fn retain_first_tier<T>(servers: &mut Vec<(T, Availability)>) {
    let first = servers.iter().filter_map(|(_, availability)| availability.tier()).min();
    servers.retain(|(_, availability)| availability.tier().is_some_and(|tier| Some(tier) == first));
}
