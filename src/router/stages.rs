//! The stages of a cascade: whose answer is passed on.

use std::sync::Arc;

use crate::{
    policy::escalation::{StageAnswer, escalate, time_to_begin},
    router::{
        Router,
        attempt::OpenResponse,
        dispatch::send_until_answered,
        refusal::Refusal,
        request_context::{AttemptParams, RequestContext},
        selection::estimate,
    },
    routing::AnswerKind,
    telemetry::event,
};

/// An answer, and the model of the cascade that gave it.
#[derive(Debug)]
pub(crate) struct StageEnd {
    pub(crate) answer: OpenResponse,
    /// None where the caller named the model, or there is none.
    pub(crate) model: Option<Box<str>>,
}

/// The first answer of a cascade that is good enough. An earlier stage's answer is kept until the larger model has begun, and passed on where that does not come in time.
pub(crate) async fn run_cascade(
    router: &Arc<Router>,
    ctx: &mut RequestContext,
) -> Result<StageEnd, Refusal> {
    let cascade = ctx.route.cascade.clone();
    let mut stage = 0;
    let mut in_hand: Option<StageEnd> = None;
    loop {
        let model = cascade.get(stage).filter(|_| ctx.req.head.model.is_none()).cloned();
        let params = AttemptParams { model: model.as_deref(), last_event: ctx.req.head.last_event };
        let next = send_until_answered(router, ctx, params).await;
        ctx.head_deadline = None;
        let has_begun = matches!(&next, Ok(answer) if answer.head.kind == AnswerKind::Success);
        if let Some(earlier) = in_hand.take().filter(|_| !has_begun) {
            note_kept(router, ctx, &earlier);
            return Ok(earlier);
        }
        let answer = next?;
        let known = what_is_known(router, ctx, params, stage, &answer);
        let next = escalate(&known, &router.policy.escalation);
        let Some(next) = next.filter(|_| router.may_repeat(&ctx.service)) else {
            router.metrics.count_stage(model.as_deref().unwrap_or("-"), "passed");
            return Ok(StageEnd { answer, model });
        };
        router.metrics.count_stage(model.as_deref().unwrap_or("-"), "escalated");
        ctx.head_deadline = Some(router.now() + time_to_begin(&known));
        in_hand = Some(StageEnd { answer, model });
        stage = next;
    }
}

/// What decides whether the answer of a stage is passed on.
fn what_is_known(
    router: &Router,
    ctx: &RequestContext,
    params: AttemptParams<'_>,
    stage: usize,
    answer: &OpenResponse,
) -> StageAnswer {
    let cascade = &ctx.route.cascade;
    let largest = AttemptParams { model: cascade.last().map(|model| &**model), ..params };
    let largest = estimate(router, ctx, largest);
    StageAnswer {
        stage,
        stages: if params.model.is_some() { cascade.len() } else { 0 },
        confidence: answer.head.confidence,
        runs_left: ctx.runs_left(),
        time_left: ctx.time_left(router),
        objective: ctx.route.objective,
        expected: largest.head,
        expected_alone: largest.head_alone,
        elapsed: router.now().saturating_sub(ctx.arrived_at),
        priority: ctx.priority(),
    }
}

/// Logs an answer that is passed on because the larger model gave none in time.
fn note_kept(router: &Router, ctx: &RequestContext, earlier: &StageEnd) {
    let StageEnd { answer, model } = earlier;
    let model = model.as_deref().unwrap_or("-");
    router.metrics.count_stage(model, "kept");
    event::EARLIER_ANSWER_KEPT.log(format_args!(
        "request={} route={} server={} model={model} confidence={:?} runs={} after_ms={}",
        ctx.req.head.id,
        ctx.route.name,
        answer.member.server.id,
        answer.head.confidence,
        ctx.runs,
        router.now().saturating_sub(ctx.arrived_at).as_millis()
    ));
}
