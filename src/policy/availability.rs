//! Decides whether a BackendServer may be sent a request now, and if not, why.
//!
//! Every send makes this check twice: when its server is chosen and again immediately before
//! sending (docs/decisions/0017).

use std::{fmt, time::Duration};

use crate::policy::{
    address_owner::AddressOwner, announcements::Announcements, send_window::SendWindow,
};

/// A draining server is a last resort for the drain time divided by this. The rest of the drain
/// time covers requests in transit and late updates of the server's row.
const LAST_RESORT_DIVISOR: u32 = 2;

/// Why a server should not be sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UnavailableCause {
    /// A different server answered at its address a moment ago.
    Replaced,
    /// The operator has evacuated its AvailabilityZone.
    Evacuated,
    /// It is about to exit.
    Draining,
    /// It asked for a pause.
    Paused,
    /// Its pause ended recently, or a different server had its address, and as many requests as allowed are
    /// unanswered.
    Recovering,
    /// This entry's send window for it is full.
    Full,
    /// It has a rate limit, and this entry's share is used up or zero.
    RateLimited,
    /// It was ejected as an outlier, for example after consecutive failures.
    Ejected,
    /// A request sent to it was rejected as misdirected, and it is not known whether by this server.
    Unidentified,
}

impl UnavailableCause {
    /// All variants, in the order of their declaration.
    pub const ALL: [Self; 9] = [
        Self::Replaced,
        Self::Evacuated,
        Self::Draining,
        Self::Paused,
        Self::Recovering,
        Self::Full,
        Self::RateLimited,
        Self::Ejected,
        Self::Unidentified,
    ];

    /// The name used in logs, metrics and the state dump.
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
            Self::Unidentified => "unidentified",
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
    /// Only if no other server can take the request.
    LastResort(UnavailableCause),
    /// It may not.
    Closed {
        /// Why not.
        cause: UnavailableCause,
        /// When the server opens again, if that is known.
        until: Option<Duration>,
    },
}

/// The rate limit on this entry's sends to a server; times are those of the next allowed send.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RateSignal {
    /// The server has no rate limit.
    #[default]
    Unlimited,
    /// This entry has a share of the rate and may send from this time on.
    Share(Duration),
    /// This entry does not know its share and may send from this time on, but only if no other
    /// server can take the request.
    LastResort(Duration),
    /// Only other entries may send; the next of them does so at about this time.
    NoShare(Duration),
}

/// Inputs of the decision about one server; times are on the entry's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// Who answers at its address.
    pub address: AddressOwner,
    /// Whether its AvailabilityZone is evacuated.
    pub is_evacuated: bool,
    /// Since when the server's row has listed it as draining.
    pub row_draining_since: Option<Duration>,
    /// Drain notice and pause from the headers of its answers.
    pub announced: Announcements,
    /// How long a draining server continues to serve.
    pub drain: Duration,
    /// Requests of this entry that it has not begun to answer.
    pub unanswered: u32,
    /// Requests of this entry that it has not finished.
    pub in_flight: u32,
    /// Limit on the requests in flight.
    pub window: SendWindow,
    /// Limit on the rate of sends.
    pub rate: RateSignal,
    /// Whether it is ejected as an outlier.
    pub is_ejected: bool,
}

/// Decides whether a server may be sent a request.
pub fn decide(signals: &Signals, now: Duration) -> Availability {
    let Signals { address, announced, .. } = signals;
    let closed = |cause, until| Availability::Closed { cause, until };
    if let Some(until) = address.closed_until(now) {
        return closed(UnavailableCause::Replaced, Some(until));
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
    if address.is_on_trial() && signals.unanswered > 0 {
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
    if address.is_doubted(now) {
        return Availability::LastResort(UnavailableCause::Unidentified);
    }
    Availability::Open
}

impl Availability {
    /// Why a request whose server was already chosen must not be sent; `None` if it may be.
    /// Limits that already count this request do not stop it.
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

    /// Whether the server is closed for this cause.
    pub fn is_closed_by(self, by: UnavailableCause) -> bool {
        matches!(self, Self::Closed { cause, .. } if cause == by)
    }

    /// Time until the server may be sent a request, if that is known.
    pub fn wait(self, now: Duration) -> Option<Duration> {
        match self {
            Self::Open | Self::LastResort(_) => Some(Duration::ZERO),
            Self::Closed { until, .. } => until.map(|until| until.saturating_sub(now)),
        }
    }

    /// Preference of the server, lowest first; `None` if it must not be used. An ejected or
    /// unidentified server may answer, while one that drains or whose rate limit is not shared yet
    /// is spared if another one can take the request.
    fn tier(self) -> Option<u8> {
        match self {
            Self::Open => Some(0),
            Self::LastResort(UnavailableCause::Ejected | UnavailableCause::Unidentified) => Some(1),
            Self::LastResort(_) => Some(2),
            Self::Closed { .. } => None,
        }
    }
}

/// Keeps only the servers of the most preferred tier present; none if all are closed.
pub fn retain_first_tier<T>(servers: &mut Vec<(T, Availability)>) {
    let first = servers.iter().filter_map(|(_, availability)| availability.tier()).min();
    servers.retain(|(_, availability)| availability.tier().is_some_and(|tier| Some(tier) == first));
}
