//! What this entry may send to servers that take few requests: those that have just started, and those that
//! name a limit in their answers. Every send asks here, whatever it is for.

use std::{sync::Mutex, time::Duration};

use crate::{
    policy::{
        cold::ColdTerms,
        place::{Place, PlaceBelief, Sharer},
        rate_limit::{Allowance, Rate, allowance},
    },
    router::{Member, Router, peers::ToldPlace},
};

/// Time for which a server that nobody answered for is taken as cold once it answers, beyond the time that a
/// start takes: it is asked again after 4 s at most, and its row tells a heartbeat later.
const ASKED_AGAIN: Duration = Duration::from_secs(4);

/// Time after which a seed that has started hears from all entries: they try it again after 2 s.
const SEES_ALL_AFTER: Duration = Duration::from_secs(3);

/// This entry's place among all, as the seeds tell it.
#[derive(Debug, Default)]
pub(crate) struct HeardPlace {
    belief: Mutex<PlaceBelief>,
}

impl HeardPlace {
    /// Takes in this entry's place among all.
    pub(crate) fn hear(&self, told: ToldPlace, now: Duration) {
        let ToldPlace { rank, entries, sees_all } = told;
        let mut belief = self.belief.lock().expect("no panics under the lock");
        belief.hear(Place { rank, entries }, sees_all, now);
    }

    /// This entry's place; none until it is settled.
    fn get(&self, now: Duration) -> Option<Place> {
        self.belief.lock().expect("no panics under the lock").get(now)
    }
}

/// What a send to a server has to keep to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SendRule {
    /// Nothing: it takes what it has places for.
    Free,
    /// It may get so much from here.
    Limited(Allowance),
    /// It is sent to by other entries.
    Others,
}

/// Whether a send may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Taken {
    /// Its server is under no limit.
    Free,
    /// It was taken from what the server may get from here.
    Limited,
    /// Another request was faster.
    Denied,
}

/// What the sends for one service have to keep to now.
#[derive(Debug)]
pub(crate) struct SendRules<'a> {
    router: &'a Router,
    cold: Option<ColdTerms>,
    place: Option<Place>,
    now: Duration,
}

impl Router {
    /// What the sends for a service have to keep to now; none where all its servers take what they have places
    /// for.
    pub(crate) fn send_rules(&self, service: &str) -> Option<SendRules<'_>> {
        let table = self.table.load();
        let cold = table.as_ref().as_ref().and_then(|table| table.cold.get(service)).copied();
        if cold.is_none() && self.limits.is_idle() {
            return None;
        }
        Some(SendRules { router: self, cold, place: self.place(), now: self.now() })
    }

    /// This entry's place among all; that of one that is alone where no other one is named.
    pub(crate) fn place(&self) -> Option<Place> {
        let settings = self.settings.load();
        let is_alone = settings.seeds.iter().all(|seed| Some(*seed) == settings.peer);
        let place = self.heard_place.get(self.now());
        place.or_else(|| (is_alone && !self.is_seed()).then_some(Place::ALONE))
    }

    /// The place of an entry that reports to this one, or of this one itself.
    pub(crate) fn place_of(&self, host: &str) -> Option<ToldPlace> {
        let settings = self.settings.load();
        let own = Sharer { host: &settings.host, is_settled: self.place().is_some() };
        let Place { rank, entries } = self.loads.place(host, own, self.now())?;
        Some(ToldPlace {
            rank,
            entries,
            sees_all: self.now() >= self.started_at() + SEES_ALL_AFTER,
        })
    }

    /// Takes a send to a server from what it may get from here.
    pub(crate) fn take_send(&self, member: &Member) -> Taken {
        let rules = self.send_rules(&member.server.service);
        rules.map_or(Taken::Free, |rules| rules.take_send(member))
    }
}

impl SendRules<'_> {
    /// Whether a server is cold, by its row or because nothing newer is known of it since it may have
    /// become so.
    fn is_cold(&self, member: &Member, terms: &ColdTerms) -> bool {
        let taken_back = self.router.evacuations.taken_back_at(&member.server.zone);
        self.now < member.cold_until()
            || taken_back.is_some_and(|at| self.now < at + terms.lasts)
            || member.unreachable_at().is_some_and(|at| self.now < at + terms.lasts + ASKED_AGAIN)
    }

    /// Requests a second that a server takes from all entries; none where it takes what it has places for. What
    /// it bears while it is cold and what it names count alike, the smaller of both.
    pub(crate) fn rate(&self, member: &Member) -> Option<Rate> {
        let cold = self.cold.filter(|terms| self.is_cold(member, terms));
        let cold = cold.map(|terms| terms.sends_per_second);
        let named = self.router.limits.belief(member.life_hash()).rate();
        cold.into_iter().chain(named).reduce(Rate::min)
    }

    /// What a send to a server has to keep to.
    pub(crate) fn rule(&self, member: &Member) -> SendRule {
        let Some(rate) = self.rate(member) else {
            return SendRule::Free;
        };
        let share = self.place.and_then(|place| allowance(rate, place, member.id_hash()));
        share.map_or(SendRule::Others, SendRule::Limited)
    }

    /// Whether a server may be sent a request now.
    pub(crate) fn may_send(&self, member: &Member) -> bool {
        match self.rule(member) {
            SendRule::Free => true,
            SendRule::Limited(allowance) => member.may_send_limited(&allowance, self.now),
            SendRule::Others => false,
        }
    }

    /// What may be sent to a server where nobody else can serve and this entry does not know its place: then the
    /// hash of the request spreads the load over all servers, and the least allowance guards each.
    fn least(&self, member: &Member) -> Option<Allowance> {
        let rate = self.rate(member).filter(|_| self.place.is_none())?;
        Some(Allowance::least(rate))
    }

    /// Whether a server may be sent a request now where nobody else can serve.
    pub(crate) fn may_send_at_least(&self, member: &Member) -> bool {
        let least = self.least(member);
        least.is_some_and(|allowance| member.may_send_limited(&allowance, self.now))
    }

    fn take_send(&self, member: &Member) -> Taken {
        let allowance = match self.rule(member) {
            SendRule::Free => return Taken::Free,
            SendRule::Limited(allowance) => Some(allowance),
            SendRule::Others => self.least(member),
        };
        let is_taken =
            allowance.is_some_and(|allowance| member.take_limited_send(&allowance, self.now));
        if is_taken { Taken::Limited } else { Taken::Denied }
    }
}
