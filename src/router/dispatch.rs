//! Which server a request is tried at next, until one answers or nothing more may be tried.

use std::{sync::Arc, time::Duration};

use crate::{
    platform::headers::AttemptHeaders,
    policy::{
        attempt::{self, AttemptEvent, AttemptState, Verdict, judge, may_send_again},
        availability::Cause,
        patience::head_patience,
    },
    router::{
        Member, Router,
        attempt::{AttemptError, AttemptPlan, OpenResponse, send},
        availability::SendPermit,
        refusal::Refusal,
        request_context::{AttemptParams, RequestContext},
        roll_out::RunOutcome,
        selection::{latency_key, marks, select_server, unavailability},
        server_ends::{LossCause, record_broken_connection, record_lost},
    },
    routing::{AnswerKind, RouteKind},
    telemetry::event,
};

/// Sends of one request that reach a server at most, refused ones included: with more, a full
/// pool would be asked over and over.
const MAX_DELIVERIES: u32 = 5;
/// Servers that one request is tried at, those included that can't be reached: these cost a round
/// trip each, and half of a pool may be gone before the list says so.
const MAX_ATTEMPTS: usize = 12;
/// Least time left with which a server is still asked.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Tries servers until one answers; the answer may be the server's own failure.
pub(crate) async fn send_until_answered(
    router: &Router,
    ctx: &mut RequestContext,
    params: AttemptParams<'_>,
) -> Result<OpenResponse, Refusal> {
    let mut failed = None;
    loop {
        if router.notice_suspension() || !router.is_view_fresh() {
            router.wait_for_view().await;
        }
        let Some(member) = next_server(router, ctx, params) else {
            return failed.ok_or_else(|| refusal_after_attempts(router, ctx, params));
        };
        if ctx.deliveries > 0 && !ctx.take_retry(router) {
            return failed.ok_or_else(|| refusal_after_attempts(router, ctx, params));
        }
        match router.acquire_send(&member) {
            SendPermit::Unlimited => {}
            SendPermit::Limited => router.metrics.count_limited(ctx.send_kind()),
            // The choice is made anew.
            SendPermit::Denied => continue,
        }
        match attempt_at(router, ctx, &member, params).await {
            Ok(response) if response.head.kind == AnswerKind::Success => return Ok(response),
            Ok(response) => failed = Some(response),
            Err(e) => {
                let id = &ctx.req.head.id;
                let (route, server, number) = (&ctx.route.name, &member.server.id, ctx.runs);
                event::ATTEMPT_FAILED.log(format_args!(
                    "request={id} fingerprint={} route={route} server={server} runs={number} cause=\"{e}\"",
                    ctx.fingerprint()
                ));
            }
        }
    }
}

/// What the caller gets when nothing more is tried.
fn refusal_after_attempts(
    router: &Router,
    ctx: &RequestContext,
    params: AttemptParams<'_>,
) -> Refusal {
    match judge(&ctx.attempts) {
        Verdict::NotRun if router.is_refused(ctx) => {
            Refusal::Quarantined { retry_after: router.refused_for(ctx) }
        }
        Verdict::NotRun => {
            let retry_after = router.record_overload(&ctx.service, &ctx.req.head.id);
            let Some((cause, wait)) = unavailability(router, ctx, params) else {
                return Refusal::NotRun { retry_after };
            };
            if cause == Cause::RateLimited {
                router.metrics.count_limited("refused");
                return Refusal::RateLimited { retry_after: retry_after.max(wait) };
            }
            // Spread, so that callers don't come back together when the first pause ends.
            Refusal::Unavailable { cause, retry_after: wait + retry_after }
        }
        _ if ctx.time_left(router) < MIN_TIME_LEFT => Refusal::TimedOut,
        _ => Refusal::Lost,
    }
}

/// The next server, if another attempt may be made.
fn next_server(
    router: &Router,
    ctx: &RequestContext,
    params: AttemptParams<'_>,
) -> Option<Arc<Member>> {
    let may = may_send_again(&ctx.attempts, ctx.route.is_idempotent())
        && ctx.runs_left() > 0
        && ctx.deliveries < MAX_DELIVERIES
        && ctx.attempts.len() < MAX_ATTEMPTS
        && router.now() + MIN_TIME_LEFT < ctx.attempt_deadline()
        && !router.is_refused(ctx)
        && !(ctx.is_quarantine_trial && ctx.runs > 0);
    if !may {
        return None;
    }
    let untried = select_server(router, ctx, params, |server| !ctx.has_tried(server));
    untried.or_else(|| select_server(router, ctx, params, |server| !ctx.is_unreachable(server)))
}

/// Whether the request could go on at another server than this one; takes the repeated send that
/// it needs from the budget.
pub(crate) fn reserve_failover(
    router: &Router,
    ctx: &RequestContext,
    params: AttemptParams<'_>,
    current: &str,
) -> bool {
    select_server(router, ctx, params, |server| server != current && !ctx.has_tried(server))
        .is_some()
        && router.take_retry(&ctx.service)
}

async fn attempt_at(
    router: &Router,
    ctx: &mut RequestContext,
    member: &Arc<Member>,
    params: AttemptParams<'_>,
) -> Result<OpenResponse, AttemptError> {
    let allows_failover = ctx.route.is_idempotent() && ctx.runs_left() > 1;
    let key = latency_key(ctx, params);
    let belief = router.readings.get(key);
    let marks = marks(ctx, params);
    let prompt_tokens = ctx.req.head.prompt_tokens;
    let kept_marks = member.state().kept.kept_marks(&marks);
    let kept_tokens: u64 = marks[..kept_marks].iter().map(|mark| mark.tokens).sum();
    let uncached_tokens = prompt_tokens.saturating_sub(kept_tokens);
    // What is believed to be kept may be gone: the time for the whole prompt is allowed.
    let prefill_time = belief.reading_time(prompt_tokens);
    let (kind, objective) = (ctx.route.kind, ctx.route.objective);
    // This one is awaited there, too.
    let outstanding = member.outstanding() + 1;
    let patience = head_patience(kind, objective, belief.head_time(), prefill_time, outstanding);
    let plan = AttemptPlan {
        member,
        headers: AttemptHeaders {
            server: &member.server.id,
            organisation: ctx.organisation.as_deref(),
            time_left: ctx.time_left(router),
            model: params.model,
            priority: ctx.priority(),
            last_event: params.last_event,
        },
        is_once_only: !ctx.route.is_idempotent(),
        latency_key: key,
        marks: &marks,
        kept_marks,
        uncached_tokens,
        patience: allows_failover.then_some(patience),
        deadline: ctx.attempt_deadline(),
    };
    let mut has_retry = false;
    let can_fail_over = || {
        has_retry = reserve_failover(router, ctx, params, &member.server.id);
        has_retry
    };
    router.roll_outs.log_trial(&member.server, &ctx.req.head, router.now());
    let result = send(router, ctx, &plan, can_fail_over).await;
    let (state, outcome) = classify_result(&result);
    router.metrics.count_attempt(&member.server.version, outcome);
    ctx.attempts.push(state);
    ctx.tried_servers.push(member.server.id.clone());
    match result {
        Err(AttemptError::NotSent(_)) => ctx.unreachable_servers.push(member.server.id.clone()),
        Err(AttemptError::Unavailable(_)) => {}
        _ => {
            ctx.deliveries += 1;
            ctx.has_retry = has_retry;
        }
    }
    if !matches!(&result, Err(e) if e.proves_not_run()) {
        ctx.runs += 1;
        record_run_outcome(router, ctx, member, &result).await;
    }
    result
}

/// State of an attempt after its result, and the word for it in metrics.
fn classify_result(result: &Result<OpenResponse, AttemptError>) -> (AttemptState, &'static str) {
    let sent = attempt::advance(attempt::fresh(), AttemptEvent::Sent);
    match result {
        Ok(response) if response.head.kind == AnswerKind::Success => {
            (attempt::advance(sent, AttemptEvent::Started), "answered")
        }
        Ok(_) => (attempt::advance(sent, AttemptEvent::Failed), "failed"),
        Err(e) if e.proves_not_run() => (attempt::advance(sent, AttemptEvent::Refused), "refused"),
        Err(_) => (attempt::advance(sent, AttemptEvent::LinkLost), "lost"),
    }
}

/// Counts an attempt that may have run for or against its server, its version and the request itself.
async fn record_run_outcome(
    router: &Router,
    ctx: &RequestContext,
    member: &Arc<Member>,
    result: &Result<OpenResponse, AttemptError>,
) {
    let outcome = match result {
        // It may have begun to run, and end the server all the same.
        Err(AttemptError::Quarantined) => {
            return record_lost(router, ctx, member, LossCause::Disconnected);
        }
        Err(AttemptError::Lost(_)) => return record_broken_connection(router, ctx, member).await,
        Err(AttemptError::Timeout) => {
            record_lost(router, ctx, member, LossCause::Abandoned);
            return router.roll_outs.note_silence(&member.server, router.now());
        }
        Ok(response) if response.head.kind == AnswerKind::Success => {
            // Judged when its body has ended, but for a stream that is late already.
            if !response.is_slow || ctx.route.kind != RouteKind::Stream {
                return;
            }
            RunOutcome::Slow
        }
        _ => RunOutcome::Failed,
    };
    router.roll_outs.note_outcome(&member.server, outcome);
}
