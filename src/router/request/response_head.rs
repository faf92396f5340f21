//! Records what the head of a response tells about its server.

use std::time::Duration;

use crate::{
    router::{
        Member, Router,
        request::{
            attempt::AttemptPlan, request_context::RequestContext, selection::usual_time_key,
        },
    },
    routing::{BodyFraming, FramingError, ResponseHead, ResponseKind, RouteKind},
    telemetry::event,
};

/// Records the head of a response that was not rejected as misdirected.
pub(super) fn record_head(
    router: &Router,
    ctx: &RequestContext,
    member: &Member,
    head: &ResponseHead,
    framing: Result<BodyFraming, FramingError>,
    sent_at: Duration,
) {
    let id = &ctx.req.head.id;
    if head.kind.is_signed() {
        router.record_signed(member, id);
    } else {
        member.record_received(router.now());
    }
    record_framing(router, member, framing, id);
    record_health(router, member, head, framing.is_ok());
    if head.kind.is_authentic() {
        router.record_advertised_limit(member, head, sent_at);
        router.record_announcements(member, head, id);
        router.record_unread_headers(member, head);
        if let Some(load) = head.load {
            router.record_load(member, load, sent_at);
        }
    }
    record_usage(router, ctx, head, sent_at);
}

/// Learns from the time that the head took; returns whether it took several times longer than usual. `ahead` is the
/// prefill time of the prompts that the server had to process before.
pub(super) fn record_head_time(
    router: &Router,
    ctx: &RequestContext,
    plan: &AttemptPlan<'_>,
    head: &ResponseHead,
    ahead: Duration,
    elapsed: Duration,
) -> bool {
    let tokens = plan.uncached_tokens;
    let speed = plan.member.state().speed;
    let at_present_speed = elapsed.div_f64(speed.present(router.now()));
    let usual_key = usual_time_key(ctx, plan.model);
    let is_slow = router.usual_times.get(usual_key).is_slow_head(tokens, at_present_speed);
    if head.kind == ResponseKind::Success {
        let at_usual_speed = elapsed.div_f64(speed.lasting());
        router.speed_estimates.record_head_time(plan.latency_key, tokens, ahead, at_usual_speed);
        // A version that is being rolled out must not influence the times that it is measured by.
        if !router.roll_outs.is_on_trial(&plan.member.server) {
            router.usual_times.record_head_time(usual_key, tokens, ahead, at_usual_speed);
        }
    }
    is_slow
}

/// Counts the response for or against the server's health.
fn record_health(router: &Router, member: &Member, head: &ResponseHead, is_framed: bool) {
    let is_unusable = matches!(
        head.kind,
        ResponseKind::WrongRequest | ResponseKind::Unsigned | ResponseKind::InvalidStatus
    ) || !is_framed;
    if is_unusable || (head.status.is_server_error() && !head.announces_rejection()) {
        member.record_failure(router.now());
    } else if head.kind != ResponseKind::NotRun && !head.announces_rejection() {
        // A request that the server did not run says nothing about those that it runs.
        router.record_answer(member);
    }
}

/// Counts a request as usage of its Organisation when its first run begins. The head of a stream arrives with its first event; other responses
/// arrive when the run has ended, and servers rarely queue those requests.
fn record_usage(router: &Router, ctx: &RequestContext, head: &ResponseHead, sent_at: Duration) {
    if !matches!(head.kind, ResponseKind::Success | ResponseKind::Failure) {
        return;
    }
    let began_at = if ctx.route.kind == RouteKind::Stream { router.now() } else { sent_at };
    if ctx.record_run_start(began_at) {
        router.record_usage(ctx.organisation.as_deref(), began_at);
    }
}

/// Counts a response whose length is ignored because its body is chunked.
fn record_framing(
    router: &Router,
    member: &Member,
    framing: Result<BodyFraming, FramingError>,
    request_id: &str,
) {
    if framing == Ok(BodyFraming::Chunked { has_length: true }) {
        router.metrics.lengths_ignored.inc();
        let id = &member.server.id;
        event::LENGTH_IGNORED.log(format_args!("server={id} request={request_id}"));
    }
}
