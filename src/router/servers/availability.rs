//! Collects what is known about a server and decides with [`crate::policy::availability`] whether it may be sent a
//! request.

use std::time::Duration;

use crate::{
    policy::{
        availability::{Availability, RateSignal, Signals, UnavailableCause, decide},
        cold_start::ColdStartLimit,
        known_limit::KnownLimit,
        place::Place,
        rate_limit::{Allowance, Rate, allowance, probe_allowance},
    },
    router::{Member, Router, peers::shared_limits::LimitView},
};

/// Added to the duration of a cold start when a server counts as cold after its address refused a connection: the
/// server is tried again after at most 4 s, and its row follows one heartbeat later.
const UNREACHABLE_COLD_MARGIN: Duration = Duration::from_secs(4);

/// Limit on the sends to a server that is cold or rate-limited.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SendLimit {
    /// This entry's share of the server's rate.
    Share(Allowance),
    /// A minimal share, used only if no other server can serve, since this entry does not know its rank.
    LastResort(Allowance),
    /// Only other entries have a share of this rate.
    OfOthers(Rate),
}

/// Permission to send a request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendPermit {
    /// The server is not limited.
    Unlimited,
    /// The send was counted against this entry's share.
    Limited,
    /// The server became unavailable since it was selected.
    Denied,
}

/// Checks the availability of the servers of one service at one moment.
#[derive(Debug)]
pub(crate) struct AvailabilityCheck<'a> {
    router: &'a Router,
    /// Limit on a cold server of the service; `None` if its servers start warm.
    cold_start_limit: Option<ColdStartLimit>,
    /// Limits that servers advertise; `None` if there are none.
    advertised_limits: Option<LimitView<'a>>,
    /// This entry's rank among the entries; read only if there is a limit to share.
    place: Option<Place>,
    has_evacuations: bool,
    /// For how long a draining server continues to serve.
    drain_time: Duration,
    /// Time of the check, on the entry's clock.
    now: Duration,
}

impl Router {
    /// Prepares a check of the servers of a service at the current time.
    pub(crate) fn availability_check(&self, service: &str) -> AvailabilityCheck<'_> {
        let table = self.table.load();
        let cold_start_limit =
            table.as_ref().as_ref().and_then(|table| table.cold_starts.get(service)).copied();
        let advertised_limits = self.shared_limits.view();
        let is_any_limited = cold_start_limit.is_some() || advertised_limits.is_some();
        AvailabilityCheck {
            router: self,
            cold_start_limit,
            advertised_limits,
            place: is_any_limited.then(|| self.place()).flatten(),
            has_evacuations: self.evacuations.has_any(),
            drain_time: self.settings.load().drain_time,
            now: self.now(),
        }
    }

    /// Acquires permission for one send to a server and counts it against the server's limit, if there is one.
    pub(crate) fn acquire_send(&self, member: &Member) -> SendPermit {
        self.availability_check(&member.server.service).acquire_send(member)
    }

    /// Why a request that is about to be sent to a server must not be sent, if the server became unavailable.
    pub(crate) fn stops_send(&self, member: &Member) -> Option<UnavailableCause> {
        self.availability_check(&member.server.service).availability(member).stops_send()
    }
}

impl AvailabilityCheck<'_> {
    /// Whether a server may be sent a request.
    pub(crate) fn availability(&self, member: &Member) -> Availability {
        let rate = self.limit(member).map_or(RateSignal::Unlimited, |limit| match limit {
            SendLimit::Share(allowance) => RateSignal::Share(self.next_at(member, &allowance)),
            SendLimit::LastResort(allowance) => {
                RateSignal::LastResort(self.next_at(member, &allowance))
            }
            SendLimit::OfOthers(rate) => {
                RateSignal::NoShare(self.now + Allowance::minimum(rate, 1).window)
            }
        });
        let zone = &member.server.zone;
        let is_evacuated = self.has_evacuations && self.router.evacuations.is_evacuated(zone);
        let signals =
            Signals { is_evacuated, drain: self.drain_time, rate, ..member.signals(self.now) };
        decide(&signals, self.now)
    }

    /// The moment of the check, on the entry's clock.
    pub(crate) fn now(&self) -> Duration {
        self.now
    }

    fn acquire_send(&self, member: &Member) -> SendPermit {
        if matches!(self.availability(member), Availability::Closed { .. }) {
            return SendPermit::Denied;
        }
        match self.limit(member) {
            None => SendPermit::Unlimited,
            Some(SendLimit::Share(allowance) | SendLimit::LastResort(allowance))
                if member.take_limited_send(&allowance, self.now) =>
            {
                SendPermit::Limited
            }
            _ => SendPermit::Denied,
        }
    }

    /// When this entry may next send to a server within its share.
    fn next_at(&self, member: &Member, allowance: &Allowance) -> Duration {
        member.next_limited_at(allowance, self.now)
    }

    /// Whether a server is cold: its row says so, its zone was evacuated until recently, or its address refused a
    /// connection recently.
    fn is_cold(&self, member: &Member, terms: &ColdStartLimit) -> bool {
        let taken_back = self.router.evacuations.ended_at(&member.server.zone);
        self.now < member.cold_until()
            || taken_back.is_some_and(|at| self.now < at + terms.duration)
            || member
                .unreachable_at()
                .is_some_and(|at| self.now < at + terms.duration + UNREACHABLE_COLD_MARGIN)
    }

    /// Number of entries that share a limit, for an entry that does not know its rank: the reported number, but
    /// at least the number of seeds in the settings.
    fn entries(&self) -> u32 {
        let seeds = self.router.settings.load().seed_peers.len();
        let reported = self.router.own_place.entries().unwrap_or_default();
        reported.max(u32::try_from(seeds).unwrap_or(u32::MAX))
    }

    /// What is known about the rate limit that a server advertises.
    fn advertised(&self, member: &Member) -> KnownLimit {
        let view = self.advertised_limits.as_ref();
        view.map(|view| view.limit(member.incarnation_hash())).unwrap_or_default()
    }

    /// The rate at which a server accepts requests from all entries: the smaller of its rate while cold and the
    /// rate that it advertises. `None` if only its slots limit it.
    fn rate(&self, member: &Member, advertised: &KnownLimit) -> Option<Rate> {
        let cold = self.cold_start_limit.filter(|terms| self.is_cold(member, terms));
        let cold = cold.map(|limit| limit.sends_per_second);
        cold.into_iter().chain(advertised.rate()).reduce(Rate::min)
    }

    /// The limit on the sends to a server, if there is one.
    fn limit(&self, member: &Member) -> Option<SendLimit> {
        let advertised = self.advertised(member);
        let rate = self.rate(member, &advertised)?;
        let Some(place) = self.place else {
            return Some(SendLimit::LastResort(Allowance::minimum(rate, self.entries())));
        };
        let silent_for = self.now.saturating_sub(advertised.received_at());
        let server = member.id_hash();
        let share = allowance(rate, place, server).or_else(|| {
            advertised.rate().and_then(|_| probe_allowance(rate, place, server, silent_for))
        });
        Some(share.map_or(SendLimit::OfOthers(rate), SendLimit::Share))
    }
}
