//! What this entry may send to servers that have just started.

use std::{sync::Mutex, time::Duration};

use crate::{
    policy::cold::{Allowance, ColdTerms, Place, PlaceBelief, allowance},
    router::{Member, Router},
};

/// Time for which a server that nobody answered for is taken as cold once it answers, beyond the time that a
/// start takes: it is asked again after 4 s at most, and its row tells a heartbeat later.
const ASKED_AGAIN: Duration = Duration::from_secs(4);

/// This entry's place among all, as the seeds tell it.
#[derive(Debug, Default)]
pub(crate) struct ColdLimit {
    place: Mutex<PlaceBelief>,
}

impl ColdLimit {
    /// Takes in this entry's place among all.
    pub(crate) fn hear_place(&self, place: Place, now: Duration) {
        self.place.lock().expect("no panics under the lock").hear(place, now);
    }

    /// This entry's place; none until it is settled.
    fn place(&self, now: Duration) -> Option<Place> {
        self.place.lock().expect("no panics under the lock").get(now)
    }
}

/// What a send to a member has to keep to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ColdRule {
    /// It is not cold.
    Warm,
    /// It may get so much from here.
    Limited(Allowance),
    /// It is sent to by other entries.
    Others,
}

impl Router {
    /// What a cold server of this service bears; none where servers are never cold.
    pub(crate) fn cold_terms(&self, service: &str) -> Option<ColdTerms> {
        self.table.load().as_ref().as_ref()?.cold.get(service).copied()
    }

    /// This entry's place among all; that of one that is alone where no other one is named.
    pub(crate) fn place(&self) -> Option<Place> {
        let settings = self.settings.load();
        let is_alone = settings.seeds.iter().all(|seed| Some(*seed) == settings.peer);
        let place = self.cold.place(self.now());
        place.or_else(|| (is_alone && !self.is_seed()).then_some(Place::ALONE))
    }

    /// Whether a server is cold, by its row or because nothing newer is known of it since it may have
    /// become so.
    pub(crate) fn is_cold(&self, member: &Member, terms: &ColdTerms) -> bool {
        let now = self.now();
        let taken_back = self.evacuations.taken_back_at(&member.server.zone);
        now < member.cold_until()
            || taken_back.is_some_and(|at| now < at + terms.lasts)
            || member.unreachable_at().is_some_and(|at| now < at + terms.lasts + ASKED_AGAIN)
    }

    /// What a send to a server has to keep to.
    pub(crate) fn cold_rule(&self, member: &Member, terms: &ColdTerms) -> ColdRule {
        if !self.is_cold(member, terms) {
            return ColdRule::Warm;
        }
        let Some(place) = self.place() else {
            return ColdRule::Others;
        };
        match allowance(terms, place, member.id_hash()) {
            Some(allowance) => ColdRule::Limited(allowance),
            None => ColdRule::Others,
        }
    }

    /// Whether a server may be sent a request now.
    pub(crate) fn may_send(&self, member: &Member, terms: &ColdTerms) -> bool {
        match self.cold_rule(member, terms) {
            ColdRule::Warm => true,
            ColdRule::Limited(allowance) => member.may_send_cold(&allowance, self.now()),
            ColdRule::Others => false,
        }
    }

    /// The same where nobody else can serve and this entry does not know its place: then the hash of the
    /// request spreads the load over all servers, and the least allowance guards each.
    pub(crate) fn may_send_at_least(&self, member: &Member) -> bool {
        self.place().is_none() && member.may_send_cold(&Allowance::LEAST, self.now())
    }

    /// Takes a send to a server from what it may get; false where another request was faster.
    pub(crate) fn take_send(&self, member: &Member) -> bool {
        let Some(terms) = self.cold_terms(&member.server.service) else {
            return true;
        };
        let allowance = match self.cold_rule(member, &terms) {
            ColdRule::Warm => return true,
            ColdRule::Limited(allowance) => allowance,
            ColdRule::Others if self.place().is_none() => Allowance::LEAST,
            ColdRule::Others => return false,
        };
        member.take_cold_send(&allowance, self.now())
    }
}
