//! Records and logs the rate limits that servers advertise.

use std::time::Duration;

use serde_json::Value;

use crate::{
    policy::rate_limit::AdvertisedLimit,
    router::{
        Member, Router,
        peers::shared_limits::{LimitUpdate, RateChange},
    },
    routing::{ResponseHead, ResponseKind},
    telemetry::event,
};

/// Where a limit was learned from. The names are written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// A response of the server.
    Answer,
    /// Another entry.
    Entry,
}

impl Router {
    /// Records the limit in a server's response to a request that was sent at `sent_at`.
    pub(crate) fn record_advertised_limit(
        &self,
        member: &Member,
        head: &ResponseHead,
        sent_at: Duration,
    ) {
        let now = self.now();
        if head.rate_limit == AdvertisedLimit::Unreadable && member.record_unreadable_limit(now) {
            event::RATE_LIMIT_UNREADABLE.log(format_args!("server={}", member.server.id));
        }
        // A refusal without a limit means that the server is full, not that its limit has been lifted.
        if head.kind == ResponseKind::NotRun && head.rate_limit == AdvertisedLimit::Nothing {
            return;
        }
        let changed = self.shared_limits.record_answer(
            member.incarnation_hash(),
            head.rate_limit,
            sent_at,
            now,
        );
        if let Some(changed) = changed {
            self.log_limit(changed, Source::Answer);
        }
    }

    /// Applies the limits that another entry reports.
    pub(crate) fn apply_limit_updates(&self, reported: &[LimitUpdate]) {
        for changed in self.shared_limits.apply_updates(reported, self.now()) {
            self.log_limit(changed, Source::Entry);
        }
    }

    /// Limits of the known servers, as part of the state dump.
    pub(crate) fn dump_limits(&self) -> Value {
        self.shared_limits.dump(&self.fleet.load(), self.now())
    }

    /// Logs that a server's limit has changed or has been lifted.
    fn log_limit(&self, changed: RateChange, source: Source) {
        let RateChange { incarnation, before, rate } = changed;
        let fleet = self.fleet.load();
        let server =
            fleet.by_incarnation(incarnation).map_or("not in view", |member| &member.server.id);
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
