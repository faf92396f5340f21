//! Sends a request to one server after another, until one responds or no further attempt is allowed.

use std::{sync::Arc, time::Duration};

use crate::{
    platform::request_headers::AttemptHeaders,
    policy::{
        answer_timeout::head_timeouts,
        attempt::{self, AttemptEvent, AttemptState},
        availability::{Availability, UnavailableCause},
        run_outcome::RunOutcome,
    },
    router::{
        Member, Router,
        request::{
            attempt::{AttemptError, AttemptPlan, OpenResponse, send},
            refusal::{NotRunCause, Refusal},
            request_context::{AttemptParams, RequestContext},
            selection::{first_available, has_server_left, latency_key, prefixes, select_server},
        },
        servers::{
            availability::SendPermit,
            lost_requests::LossCause,
            server_ends::{record_broken_connection, record_lost},
        },
    },
    routing::{ResponseKind, RouteKind},
    telemetry::event,
};

/// Maximum number of attempts of one request that reach a server, including those that the server refuses. With more,
/// requests would keep asking a pool that is full.
const MAX_DELIVERIES: u32 = 5;
/// Maximum number of attempts of one request, including those at unreachable servers. An unreachable server costs one
/// round trip, and half of a pool may be gone before the list shows it.
const MAX_ATTEMPTS: usize = 12;
/// Maximum number of times that servers are selected again because one became available in the meantime. Other requests
/// may take its place each time.
const MAX_RECHECKS: u32 = 3;
/// Number of servers that have to reject a request as misdirected before it is not sent to any further one. The first
/// may not have loaded a model that others have.
const MAX_REJECTING_SERVERS: usize = 2;
/// Minimum time before the deadline with which another attempt is made.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Sends a request to servers until one succeeds. If none does, returns the last failure response of a server, or
/// else a refusal.
pub(crate) async fn send_with_failover(
    router: &Router,
    ctx: &mut RequestContext,
    params: AttemptParams<'_>,
) -> Result<OpenResponse, Refusal> {
    let mut failed = None;
    let mut rechecks = 0;
    loop {
        if router.notice_suspension() || !router.is_view_fresh() {
            router.wait_for_view().await;
        }
        let Some(member) = next_server(router, ctx, params) else {
            let first = first_available(router, ctx, params);
            let is_available = matches!(first, Some((wait, _)) if wait.is_zero());
            if is_available && rechecks < MAX_RECHECKS && is_attempt_allowed(router, ctx) {
                rechecks += 1;
                continue;
            }
            return failed.ok_or_else(|| refusal_after_attempts(router, ctx, params, first));
        };
        if ctx.deliveries > 0 && !ctx.take_retry(router) {
            let first = first_available(router, ctx, params);
            return failed.ok_or_else(|| refusal_after_attempts(router, ctx, params, first));
        }
        match router.acquire_send(&member) {
            SendPermit::Unlimited => {}
            SendPermit::Limited => router.metrics.count_limited_send(ctx.send_kind()),
            // The server became unavailable since it was selected; select again.
            SendPermit::Denied => continue,
        }
        match attempt_at(router, ctx, &member, params).await {
            Ok(response) if response.head.kind == ResponseKind::Success => return Ok(response),
            Ok(response) => failed = Some(response),
            Err(e) => {
                let id = &ctx.req.head.id;
                let (route, server, number) = (&ctx.route.name, &member.server.id, ctx.runs);
                event::ATTEMPT_FAILED.log(format_args!(
                    "request={id} fingerprint={} parts={} route={route} server={server} runs={number} cause=\"{e}\"",
                    ctx.own_suspect(),
                    ctx.log_shared_parts()
                ));
            }
        }
    }
}

/// The refusal for the caller when no further attempt is made, given when the first server is available.
fn refusal_after_attempts(
    router: &Router,
    ctx: &RequestContext,
    params: AttemptParams<'_>,
    first: Option<(Duration, Availability)>,
) -> Refusal {
    if ctx.attempts.prove_not_run().is_none() {
        return lost_refusal(router, ctx);
    }
    if let Some(refusal) = router.quarantine_refusal(ctx) {
        return refusal;
    }
    if !router.may_send(ctx) {
        return router.leaving_refusal(ctx.in_flight.connected_at, &ctx.attempts);
    }
    if is_misdirected(router, ctx, params) {
        return Refusal::not_run(NotRunCause::Misdirected, &ctx.attempts);
    }
    let retry_after = router.record_overload(&ctx.service, &ctx.req.head.id);
    let cause = match first {
        Some((wait, Availability::Closed { cause: UnavailableCause::RateLimited, .. })) => {
            router.metrics.count_limited_send("refused");
            NotRunCause::RateLimited { retry_after: retry_after.max(wait) }
        }
        // The spread in `retry_after` keeps callers from returning all at once when the first server is available.
        Some((wait, Availability::Closed { cause, .. })) => {
            NotRunCause::Unavailable { cause, retry_after: wait + retry_after }
        }
        _ => NotRunCause::NoServer { retry_after },
    };
    Refusal::not_run(cause, &ctx.attempts)
}

/// Whether the request itself is the reason for which servers rejected it as misdirected. If this entry chose the model,
/// that choice may be the reason.
fn is_misdirected(router: &Router, ctx: &RequestContext, params: AttemptParams<'_>) -> bool {
    let rejecting = ctx.rejecting_servers();
    params.model.is_none()
        && rejecting > 0
        && (rejecting >= MAX_REJECTING_SERVERS || !has_server_left(router, ctx, params))
}

/// The refusal for a request that a server may have run, and whose response is lost.
pub(crate) fn lost_refusal(router: &Router, ctx: &RequestContext) -> Refusal {
    if ctx.time_left(router) < MIN_TIME_LEFT { Refusal::TimedOut } else { Refusal::Lost }
}

/// Whether the state of a request allows another attempt.
fn is_attempt_allowed(router: &Router, ctx: &RequestContext) -> bool {
    ctx.attempts.may_retry(ctx.route.is_idempotent())
        && ctx.runs_left() > 0
        && ctx.deliveries < MAX_DELIVERIES
        && ctx.rejecting_servers() < MAX_REJECTING_SERVERS
        && ctx.attempts.len() < MAX_ATTEMPTS
        && router.now() + MIN_TIME_LEFT < router.limit_to_stop(ctx.attempt_deadline())
        && router.may_send(ctx)
        && !router.is_refused(ctx)
        && !(ctx.is_quarantine_trial() && ctx.runs > 0)
}

/// The server for the next attempt, if one is allowed. Servers that were not tried yet are preferred.
fn next_server(
    router: &Router,
    ctx: &RequestContext,
    params: AttemptParams<'_>,
) -> Option<Arc<Member>> {
    if !is_attempt_allowed(router, ctx) {
        return None;
    }
    let untried = select_server(router, ctx, params, |server| !ctx.has_tried(server));
    untried.or_else(|| select_server(router, ctx, params, |server| !ctx.is_excluded(server)))
}

/// Whether the request can be moved from its current server to an untried one; if so, takes the retry that this needs
/// from the budget.
pub(crate) fn reserve_failover(
    router: &Router,
    ctx: &RequestContext,
    params: AttemptParams<'_>,
    current: &str,
) -> bool {
    router.may_send_again(ctx)
        && select_server(router, ctx, params, |server| server != current && !ctx.has_tried(server))
            .is_some()
        && router.take_retry(&ctx.service)
}

/// Makes one attempt at a server and records its outcome.
async fn attempt_at(
    router: &Router,
    ctx: &mut RequestContext,
    member: &Arc<Member>,
    params: AttemptParams<'_>,
) -> Result<OpenResponse, AttemptError> {
    ctx.is_repeat = ctx.has_lost_attempt();
    let allows_failover = ctx.route.is_idempotent() && ctx.runs_left() > 1;
    let key = latency_key(ctx, params);
    let timing = router.speed_estimates.get(key);
    let prefixes = prefixes(ctx, params);
    let prompt_tokens = ctx.req.head.prompt_tokens;
    let cached_prefix_count = member.state().prefixes.cached_prefix_count(&prefixes);
    let cached_tokens: u64 =
        prefixes[..cached_prefix_count].iter().map(|prefix| prefix.tokens).sum();
    let uncached_tokens = prompt_tokens.saturating_sub(cached_tokens);
    // Cached prefixes may have been evicted, so the timeout allows for processing the whole prompt.
    let time_factor = member.time_factor();
    let prefill_time = timing.prefill_time(prompt_tokens).mul_f64(time_factor);
    let mean_head_time = timing.mean_head_time().map(|mean| mean.mul_f64(time_factor));
    let (kind, objective) = (ctx.route.kind, ctx.route.objective);
    // Includes this request.
    let outstanding = member.outstanding() + 1;
    let timeouts = head_timeouts(kind, objective, mean_head_time, prefill_time, outstanding);
    let plan = AttemptPlan {
        member,
        headers: AttemptHeaders {
            server: &member.server.id,
            organisation: ctx.organisation.as_deref(),
            time_left: ctx.time_left(router),
            model: params.model,
            priority: ctx.priority(),
            last_event_id: params.last_event_id,
        },
        is_once_only: !ctx.route.is_idempotent(),
        model: params.model,
        latency_key: key,
        prefixes: &prefixes,
        cached_prefix_count,
        uncached_tokens,
        timeouts: allows_failover.then_some(timeouts),
        deadline: ctx.attempt_deadline(),
    };
    let mut has_retry = false;
    let can_fail_over = || {
        has_retry = reserve_failover(router, ctx, params, &member.server.id);
        has_retry
    };
    router.roll_outs.record_send(&member.server, &ctx.req.head, router.now());
    ctx.mark_trial_sent(true);
    let sent_at = router.now();
    let result = send(router, ctx, &plan, can_fail_over).await;
    record_attempt(router, ctx, member, &result, has_retry);
    let may_have_run = !matches!(&result, Err(e) if e.proves_not_run());
    ctx.mark_trial_sent(may_have_run);
    if may_have_run {
        ctx.runs += 1;
        record_run_outcome(router, ctx, member, sent_at, &result).await;
    }
    result
}

/// Records the result of an attempt in the state of its request.
fn record_attempt(
    router: &Router,
    ctx: &mut RequestContext,
    member: &Member,
    result: &Result<OpenResponse, AttemptError>,
    has_retry: bool,
) {
    let (state, outcome) = classify_result(result);
    router.metrics.count_attempt(&member.server.version, outcome);
    ctx.attempts.push(state);
    ctx.tried_servers.push(member.server.id.clone());
    if let Err(AttemptError::Misdirected(by)) = result {
        ctx.misdirected.push((member.server.id.clone(), *by));
    }
    match result {
        Err(AttemptError::NotSent(_)) => ctx.unreachable_servers.push(member.server.id.clone()),
        Err(AttemptError::Unavailable(_) | AttemptError::Leaving) => {}
        _ => {
            ctx.deliveries += 1;
            ctx.has_retry = has_retry;
        }
    }
}

/// The state of an attempt after its result, and the value of the `outcome` label in metrics.
fn classify_result(result: &Result<OpenResponse, AttemptError>) -> (AttemptState, &'static str) {
    let sent = attempt::advance(attempt::initial_state(), AttemptEvent::Sent);
    match result {
        Ok(response) if response.head.kind == ResponseKind::Success => {
            (attempt::advance(sent, AttemptEvent::Started), "answered")
        }
        Ok(_) => (attempt::advance(sent, AttemptEvent::Failed), "failed"),
        Err(e) if e.proves_not_run() => (attempt::advance(sent, AttemptEvent::Refused), "refused"),
        Err(_) => (attempt::advance(sent, AttemptEvent::LinkLost), "lost"),
    }
}

/// Records the outcome of an attempt that may have run, as evidence about its server, its version and the request
/// itself.
async fn record_run_outcome(
    router: &Router,
    ctx: &RequestContext,
    member: &Arc<Member>,
    sent_at: Duration,
    result: &Result<OpenResponse, AttemptError>,
) {
    let outcome = match result {
        // The server may have begun to run the request and may still crash.
        Err(AttemptError::Quarantined) => {
            return record_lost(router, ctx, member, sent_at, LossCause::Disconnected);
        }
        Err(AttemptError::Lost(_)) => {
            return record_broken_connection(router, ctx, member, sent_at).await;
        }
        Err(AttemptError::CutShort) => {
            return record_lost(router, ctx, member, sent_at, LossCause::Abandoned);
        }
        Err(AttemptError::Timeout) => {
            record_lost(router, ctx, member, sent_at, LossCause::Abandoned);
            return router.record_run_timeout(ctx, member, sent_at);
        }
        Ok(response) if response.head.kind == ResponseKind::Success => {
            // Recorded at the end of the body, except that the head of a stream was slow.
            let is_stream = ctx.route.kind == RouteKind::Stream;
            if !is_stream || !response.is_slow || response.was_overdue {
                return;
            }
            RunOutcome::Overdue
        }
        _ => RunOutcome::Failed,
    };
    router.record_run(ctx, member, outcome);
}
