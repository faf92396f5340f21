//! Runs a cascade of models and decides which stage's response goes to the caller.

use std::sync::Arc;

use crate::{
    policy::{
        escalation::{StageAnswer, escalation_timeout},
        reservation::{Reservation, StageDecision, decide},
    },
    router::{
        Router,
        request::{
            attempt::OpenResponse,
            dispatch::send_with_failover,
            refusal::Refusal,
            request_context::{AttemptParams, RequestContext},
            selection::estimate_latency,
        },
    },
    routing::ResponseKind,
    telemetry::event,
};

/// A response and the model of the cascade that produced it.
#[derive(Debug)]
pub(crate) struct StageResponse {
    pub(crate) response: OpenResponse,
    /// `None` if the caller named the model or the route has no cascade.
    pub(crate) model: Option<Box<str>>,
}

/// Runs models of the cascade until a response is good enough. The response of an earlier stage is held as a fallback
/// until the larger model has begun to respond, and is used if that does not happen in time.
pub(crate) async fn run_cascade(
    router: &Arc<Router>,
    ctx: &mut RequestContext,
) -> Result<StageResponse, Refusal> {
    let cascade = ctx.route.cascade.clone();
    let mut stage = 0;
    let mut fallback: Option<StageResponse> = None;
    loop {
        let model = cascade.get(stage).filter(|_| ctx.req.head.model.is_none()).cloned();
        let params =
            AttemptParams { model: model.as_deref(), last_event_id: ctx.req.head.last_event_id };
        let next = send_with_failover(router, ctx, params).await;
        ctx.head_deadline = None;
        let has_begun =
            matches!(&next, Ok(response) if response.head.kind == ResponseKind::Success);
        if let Some(earlier) = fallback.take().filter(|_| !has_begun) {
            log_fallback(router, ctx, &earlier);
            return Ok(earlier);
        }
        let response = next?;
        let input = escalation_input(router, ctx, params, stage, &response);
        let next = next_stage(router, ctx, &input);
        let may_escalate = |_: &_| router.has_retry_left(&ctx.service) && router.may_escalate(ctx);
        let Some(next) = next.filter(may_escalate) else {
            router.metrics.count_stage(model.as_deref().unwrap_or("-"), "passed");
            return Ok(StageResponse { response, model });
        };
        router.metrics.count_stage(model.as_deref().unwrap_or("-"), "escalated");
        ctx.head_deadline = Some(router.now() + escalation_timeout(&input));
        // These servers may have the larger model.
        ctx.misdirected.clear();
        fallback = Some(StageResponse { response, model });
        stage = next;
    }
}

/// The stage to escalate to, or none to pass the answer on.
fn next_stage(router: &Router, ctx: &RequestContext, input: &StageAnswer) -> Option<usize> {
    let reservation = router.controls_overload().then(|| reservation(router, ctx));
    match decide(input, &router.policy.escalation, reservation.as_ref()) {
        StageDecision::Escalate(stage) => Some(stage),
        StageDecision::PassOn => None,
        StageDecision::HoldBack(reason) => {
            if reservation.is_some() {
                router.metrics.count_held_back(input.priority, reason.name());
            }
            None
        }
    }
}

/// The reservation of the largest model on the servers of the request's service.
fn reservation(router: &Router, ctx: &RequestContext) -> Reservation {
    let table = router.table.load();
    let shortest_objective = table
        .as_ref()
        .as_ref()
        .and_then(|table| table.shortest_objectives.get(&ctx.service).copied())
        .unwrap_or(ctx.route.objective);
    Reservation { config: router.policy.reservation, shortest_objective }
}

/// The input for the decision whether to escalate to a larger model.
fn escalation_input(
    router: &Router,
    ctx: &RequestContext,
    params: AttemptParams<'_>,
    stage: usize,
    response: &OpenResponse,
) -> StageAnswer {
    let cascade = &ctx.route.cascade;
    let largest = AttemptParams { model: cascade.last().map(|model| &**model), ..params };
    let largest = estimate_latency(router, ctx, largest);
    StageAnswer {
        stage,
        stages: if params.model.is_some() { cascade.len() } else { 0 },
        confidence: response.head.confidence,
        attempts_left: ctx.runs_left(),
        time_left: ctx.time_left(router),
        objective: ctx.route.objective,
        expected_first_event: largest.time_to_head,
        expected_idle_first_event: largest.unloaded_time_to_head,
        elapsed: router.now().saturating_sub(ctx.arrived_at),
        priority: ctx.priority(),
    }
}

/// Logs that an earlier stage's response is used because the larger model did not respond in time.
fn log_fallback(router: &Router, ctx: &RequestContext, earlier: &StageResponse) {
    let StageResponse { response, model } = earlier;
    let model = model.as_deref().unwrap_or("-");
    router.metrics.count_stage(model, "kept");
    event::EARLIER_ANSWER_KEPT.log(format_args!(
        "request={} route={} server={} model={model} confidence={:?} runs={} after_ms={}",
        ctx.req.head.id,
        ctx.route.name,
        response.member.server.id,
        response.head.confidence,
        ctx.runs,
        router.now().saturating_sub(ctx.arrived_at).as_millis()
    ));
}
