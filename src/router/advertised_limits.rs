//! What this entry does with the limits that servers advertise.

use std::time::Duration;

use serde_json::Value;

use crate::{
    policy::rate_limit::AdvertisedLimit,
    router::{
        Member, Router,
        shared_limits::{LimitUpdate, RateChange},
    },
    routing::{AnswerHead, AnswerKind},
    telemetry::event,
};

/// Where the news of a limit came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Answer,
    Entry,
}

impl Router {
    /// Notes what a server's answer says of its limit, to a request that was sent at `sent_at`.
    pub(crate) fn note_advertised_limit(
        &self,
        member: &Member,
        head: &AnswerHead,
        sent_at: Duration,
    ) {
        let now = self.now();
        if head.rate_limit == AdvertisedLimit::Unreadable && member.note_unreadable_limit(now) {
            event::RATE_LIMIT_UNREADABLE.log(format_args!("server={}", member.server.id));
        }
        // A refusal that advertises no limit says that the server is full, not that its limit is over.
        if head.kind == AnswerKind::NotRun && head.rate_limit == AdvertisedLimit::Nothing {
            return;
        }
        let changed = self.limits.record_answer(member.life_hash(), head.rate_limit, sent_at, now);
        if let Some(changed) = changed {
            self.log_limit(changed, Source::Answer);
        }
    }

    /// Takes in the limits that another entry reports.
    pub(crate) fn take_limit_updates(&self, reported: &[LimitUpdate]) {
        for changed in self.limits.apply_updates(reported, self.now()) {
            self.log_limit(changed, Source::Entry);
        }
    }

    /// Limits of servers in view, as part of the state dump.
    pub(crate) fn dump_limits(&self) -> Value {
        self.limits.dump(&self.fleet.load(), self.now())
    }

    fn log_limit(&self, changed: RateChange, source: Source) {
        let RateChange { life, before, rate } = changed;
        let fleet = self.fleet.load();
        let server = fleet.by_life(life).map_or("not in view", |member| &member.server.id);
        let Some(rate) = rate else {
            event::RATE_LIMIT_ENDED
                .log(format_args!("server={server} before={before:?} source={source:?}"));
            return;
        };
        let place = self.place().map(|place| (place.rank, place.entries));
        event::RATE_LIMIT_NAMED.log(format_args!(
            "server={server} rate={rate} before={before:?} source={source:?} place={place:?}"
        ));
    }
}
