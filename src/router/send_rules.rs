//! What this entry may send to servers that take few requests: those that have just started, and those that
//! name a limit in their answers. Every send asks here, whatever it is for.

use std::{sync::Mutex, time::Duration};

use crate::{
    policy::{
        cold::ColdTerms,
        limit_news::LimitBelief,
        place::{Place, PlaceBelief, Sharer},
        rate_limit::{Allowance, Rate, allowance, stand_in},
    },
    router::{Member, Router, limit_board::LimitView, messages::ToldPlace},
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

    /// How many share, as far as it was heard.
    fn entries(&self) -> Option<u32> {
        self.belief.lock().expect("no panics under the lock").entries()
    }

    /// This entry's place; none until it is settled.
    fn get(&self, now: Duration) -> Option<Place> {
        self.belief.lock().expect("no panics under the lock").get(now)
    }
}

/// What a send to a server has to keep to.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SendRule {
    /// It gets nothing: it has announced that it is draining.
    Draining,
    /// It gets nothing until then: it has asked for a pause.
    Paused(Duration),
    /// Nothing: it takes what it has places for.
    Free,
    /// It may get so much from here.
    Limited(Allowance),
    /// It is sent to by other entries, which send it so much together.
    Others(Rate),
    /// It may get so much where nobody else can serve: this entry does not know its place.
    Unplaced(Allowance),
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
    named: Option<LimitView<'a>>,
    place: Option<Place>,
    now: Duration,
}

impl Router {
    /// What the sends for a service have to keep to now.
    pub(crate) fn send_rules(&self, service: &str) -> SendRules<'_> {
        let table = self.table.load();
        let cold = table.as_ref().as_ref().and_then(|table| table.cold.get(service)).copied();
        let named = self.limits.view();
        let is_any_limited = cold.is_some() || named.is_some();
        SendRules {
            router: self,
            cold,
            named,
            place: is_any_limited.then(|| self.place()).flatten(),
            now: self.now(),
        }
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
        self.send_rules(&member.server.service).take_send(member)
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

    /// Entries that share, where this one does not know its place: as many as it heard of, or as the settings name.
    fn entries(&self) -> u32 {
        let named = self.router.settings.load().seeds.len();
        let heard = self.router.heard_place.entries().unwrap_or_default();
        heard.max(u32::try_from(named).unwrap_or(u32::MAX))
    }

    /// What is known of the limit that a server names.
    fn named(&self, member: &Member) -> LimitBelief {
        let view = self.named.as_ref();
        view.map(|view| view.belief(member.life_hash())).unwrap_or_default()
    }

    /// Requests a second that a server takes from all entries; none where it takes what it has places for. What
    /// it bears while it is cold and what it names count alike, the smaller of both.
    fn rate(&self, member: &Member, named: &LimitBelief) -> Option<Rate> {
        let cold = self.cold.filter(|terms| self.is_cold(member, terms));
        let cold = cold.map(|terms| terms.sends_per_second);
        cold.into_iter().chain(named.rate()).reduce(Rate::min)
    }

    /// What a send to a server has to keep to.
    fn rule(&self, member: &Member) -> SendRule {
        let announced = member.record().announced;
        if announced.draining_since().is_some() {
            return SendRule::Draining;
        }
        if announced.is_paused(self.now) {
            return SendRule::Paused(announced.paused_until());
        }
        let named = self.named(member);
        let Some(rate) = self.rate(member, &named) else {
            return SendRule::Free;
        };
        let Some(place) = self.place else {
            return SendRule::Unplaced(Allowance::least(rate, self.entries()));
        };
        let unheard = self.now.saturating_sub(named.heard_at());
        let server = member.id_hash();
        let share = allowance(rate, place, server)
            .or_else(|| named.rate().and_then(|_| stand_in(rate, place, server, unheard)));
        share.map_or(SendRule::Others(rate), SendRule::Limited)
    }

    /// Whether a server may be sent a request now.
    pub(crate) fn may_send(&self, member: &Member) -> bool {
        match self.rule(member) {
            SendRule::Free => true,
            SendRule::Limited(allowance) => member.may_send_limited(&allowance, self.now),
            SendRule::Draining
            | SendRule::Paused(_)
            | SendRule::Others(_)
            | SendRule::Unplaced(_) => false,
        }
    }

    /// Time until a server takes a request from here, or from whoever sends to it; none where it never does.
    pub(crate) fn wait(&self, member: &Member) -> Option<Duration> {
        match self.rule(member) {
            SendRule::Draining => None,
            SendRule::Paused(until) => Some(until.saturating_sub(self.now)),
            SendRule::Free => Some(Duration::ZERO),
            SendRule::Limited(allowance) | SendRule::Unplaced(allowance) => {
                Some(member.next_limited_at(&allowance, self.now).saturating_sub(self.now))
            }
            SendRule::Others(rate) => Some(Allowance::least(rate, 1).window),
        }
    }

    /// Whether a server may be sent a request now where nobody else can serve: the hash of the request spreads the
    /// load over all servers, and the least allowance guards each.
    pub(crate) fn may_send_at_least(&self, member: &Member) -> bool {
        match self.rule(member) {
            SendRule::Unplaced(allowance) => member.may_send_limited(&allowance, self.now),
            _ => false,
        }
    }

    fn take_send(&self, member: &Member) -> Taken {
        match self.rule(member) {
            SendRule::Free => Taken::Free,
            SendRule::Limited(allowance) | SendRule::Unplaced(allowance)
                if member.take_limited_send(&allowance, self.now) =>
            {
                Taken::Limited
            }
            _ => Taken::Denied,
        }
    }
}
