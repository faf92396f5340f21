//! Evidence on versions from the attempts of a request.
//!
//! Only attempts that follow no failed one count: a request that fails on one version often fails on the other one, too,
//! and repeats that go to the version on trial would make it look worse than it is.

use std::time::Duration;

use crate::{
    policy::run_outcome::RunOutcome,
    router::{Member, Router, request::request_context::RequestContext},
};

impl Router {
    /// Records how an attempt ended.
    pub(crate) fn record_run(&self, ctx: &RequestContext, member: &Member, outcome: RunOutcome) {
        if !ctx.is_repeat {
            self.roll_outs.record_outcome(&member.server, &ctx.route.name, outcome);
        }
    }

    /// Records that an attempt that was sent at `sent_at` got no response in time.
    pub(crate) fn record_run_timeout(
        &self,
        ctx: &RequestContext,
        member: &Member,
        sent_at: Duration,
    ) {
        if !ctx.is_repeat {
            let (route, is_silent) = (&ctx.route.name, member.is_silent(sent_at));
            self.roll_outs.record_timeout(&member.server, route, is_silent, self.now());
        }
    }

    /// Records that all attempts at a server failed together, because it is silent or has ended.
    pub(crate) fn record_server_failure(&self, ctx: &RequestContext, member: &Member) {
        if !ctx.is_repeat {
            self.roll_outs.record_timeout(&member.server, &ctx.route.name, true, self.now());
        }
    }

    /// Records that an attempt that was sent at `sent_at` is overdue; returns whether it counts.
    pub(crate) fn record_overdue(
        &self,
        ctx: &RequestContext,
        member: &Member,
        sent_at: Duration,
    ) -> bool {
        let (route, is_silent) = (&ctx.route.name, member.is_silent(sent_at));
        !ctx.is_repeat
            && self.roll_outs.record_overdue(&member.server, route, is_silent, self.now())
    }
}
