//! Gathers what is known of a server for the decision whether it may be sent a request.
//!
//! The decision itself is [`crate::policy::availability`].

use std::time::Duration;

use crate::{
    policy::{
        availability::{Availability, RateSignal, Signals, UnavailableCause, decide},
        cold_start::ColdStartLimit,
        known_limit::KnownLimit,
        place::Place,
        rate_limit::{Allowance, Rate, allowance, probe_allowance},
    },
    router::{Member, Router, shared_limits::LimitView},
};

/// Time for which a server that nobody answered for is taken as cold once it answers, beyond the time that a
/// start takes: it is asked again after 4 s at most, and its row follows a heartbeat later.
const PROBE_INTERVAL: Duration = Duration::from_secs(4);

/// What limits the sends to a server that takes few requests.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SendLimit {
    /// This entry's share.
    Share(Allowance),
    /// The same where no other server can serve: this entry does not know its share.
    LastResort(Allowance),
    /// Other entries share that rate.
    OfOthers(Rate),
}

/// Whether a send may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendPermit {
    /// Its server is under no limit.
    Unlimited,
    /// It was taken from this entry's share.
    Limited,
    /// Its server became unavailable since it was chosen.
    Denied,
}

/// Checks the servers of one service at one moment.
#[derive(Debug)]
pub(crate) struct AvailabilityCheck<'a> {
    router: &'a Router,
    cold: Option<ColdStartLimit>,
    named: Option<LimitView<'a>>,
    place: Option<Place>,
    is_any_evacuated: bool,
    drain: Duration,
    now: Duration,
}

impl Router {
    /// Checks which servers of a service may be sent requests now.
    pub(crate) fn check_service(&self, service: &str) -> AvailabilityCheck<'_> {
        let table = self.table.load();
        let cold =
            table.as_ref().as_ref().and_then(|table| table.cold_starts.get(service)).copied();
        let named = self.limits.view();
        let is_any_limited = cold.is_some() || named.is_some();
        AvailabilityCheck {
            router: self,
            cold,
            named,
            place: is_any_limited.then(|| self.place()).flatten(),
            is_any_evacuated: self.evacuations.has_any(),
            drain: self.settings.load().drain_time,
            now: self.now(),
        }
    }

    /// Takes a send to a server from what it may get from here.
    pub(crate) fn acquire_send(&self, member: &Member) -> SendPermit {
        self.check_service(&member.server.service).acquire_send(member)
    }

    /// Why a request that is about to be sent to a server must not be sent any more.
    pub(crate) fn stops_send(&self, member: &Member) -> Option<UnavailableCause> {
        self.check_service(&member.server.service).availability(member).stops_send()
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
        let is_evacuated = self.is_any_evacuated && self.router.evacuations.is_evacuated(zone);
        let signals = Signals { is_evacuated, drain: self.drain, rate, ..member.signals(self.now) };
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

    fn next_at(&self, member: &Member, allowance: &Allowance) -> Duration {
        member.next_limited_at(allowance, self.now)
    }

    /// Whether a server is cold, by its row or because nothing newer is known of it since it may have
    /// become so.
    fn is_cold(&self, member: &Member, terms: &ColdStartLimit) -> bool {
        let taken_back = self.router.evacuations.ended_at(&member.server.zone);
        self.now < member.cold_until()
            || taken_back.is_some_and(|at| self.now < at + terms.duration)
            || member
                .unreachable_at()
                .is_some_and(|at| self.now < at + terms.duration + PROBE_INTERVAL)
    }

    /// Entries that share, where this one does not know its place: as many as were reported, or as the settings name.
    fn entries(&self) -> u32 {
        let named = self.router.settings.load().seed_peers.len();
        let reported = self.router.own_place.entries().unwrap_or_default();
        reported.max(u32::try_from(named).unwrap_or(u32::MAX))
    }

    /// What is known of the limit that a server advertises.
    fn advertised(&self, member: &Member) -> KnownLimit {
        let view = self.named.as_ref();
        view.map(|view| view.belief(member.incarnation_hash())).unwrap_or_default()
    }

    /// Requests a second that a server takes from all entries; none where it takes what it has slots for. The
    /// smaller one counts of what it takes while it is cold and what it advertises.
    fn rate(&self, member: &Member, advertised: &KnownLimit) -> Option<Rate> {
        let cold = self.cold.filter(|terms| self.is_cold(member, terms));
        let cold = cold.map(|terms| terms.sends_per_second);
        cold.into_iter().chain(advertised.rate()).reduce(Rate::min)
    }

    /// What limits the sends to a server; none where nothing does.
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
