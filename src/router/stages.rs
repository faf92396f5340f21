//! The stages of a cascade: whose answer is passed on.

use std::sync::Arc;

use crate::{
    policy::escalation::{StageAnswer, escalate, time_to_begin},
    router::{
        Router,
        attempt::OpenAnswer,
        dispatch::next_answer,
        refusal::Refusal,
        request_context::{Ask, Job},
        selection::estimate,
    },
    routing::AnswerKind,
    telemetry::event,
};

/// An answer, and the model of the cascade that gave it.
#[derive(Debug)]
pub(crate) struct StageEnd {
    pub(crate) answer: OpenAnswer,
    /// None where the caller named the model, or there is none.
    pub(crate) model: Option<Box<str>>,
}

/// The first answer of a cascade that is good enough. An earlier stage's answer is kept until the larger model has begun, and passed on where that does not come in time.
pub(crate) async fn answer(router: &Arc<Router>, job: &mut Job) -> Result<StageEnd, Refusal> {
    let cascade = job.route.cascade.clone();
    let mut stage = 0;
    let mut in_hand: Option<StageEnd> = None;
    loop {
        let model = cascade.get(stage).filter(|_| job.req.head.model.is_none()).cloned();
        let ask = Ask { model: model.as_deref(), last_event: job.req.head.last_event };
        let next = next_answer(router, job, ask).await;
        job.begin_by = None;
        let has_begun = matches!(&next, Ok(answer) if answer.head.kind == AnswerKind::Success);
        if let Some(earlier) = in_hand.take().filter(|_| !has_begun) {
            note_kept(router, job, &earlier);
            return Ok(earlier);
        }
        let answer = next?;
        let known = what_is_known(router, job, ask, stage, &answer);
        let next = escalate(&known, &router.policy.escalation);
        let Some(next) = next.filter(|_| router.may_repeat(&job.service)) else {
            router.metrics.count_stage(model.as_deref().unwrap_or("-"), "passed");
            return Ok(StageEnd { answer, model });
        };
        router.metrics.count_stage(model.as_deref().unwrap_or("-"), "escalated");
        job.begin_by = Some(router.now() + time_to_begin(&known));
        in_hand = Some(StageEnd { answer, model });
        stage = next;
    }
}

/// What decides whether the answer of a stage is passed on.
fn what_is_known(
    router: &Router,
    job: &Job,
    ask: Ask<'_>,
    stage: usize,
    answer: &OpenAnswer,
) -> StageAnswer {
    let cascade = &job.route.cascade;
    let largest = Ask { model: cascade.last().map(|model| &**model), ..ask };
    let largest = estimate(router, job, largest);
    StageAnswer {
        stage,
        stages: if ask.model.is_some() { cascade.len() } else { 0 },
        confidence: answer.head.confidence,
        runs_left: job.runs_left(),
        time_left: job.time_left(router),
        objective: job.route.objective,
        expected: largest.head,
        expected_alone: largest.head_alone,
        elapsed: router.now().saturating_sub(job.arrived),
        priority: job.priority(),
    }
}

/// Logs an answer that is passed on because the larger model gave none in time.
fn note_kept(router: &Router, job: &Job, earlier: &StageEnd) {
    let StageEnd { answer, model } = earlier;
    let model = model.as_deref().unwrap_or("-");
    router.metrics.count_stage(model, "kept");
    event::EARLIER_ANSWER_KEPT.log(format_args!(
        "request={} route={} server={} model={model} confidence={:?} runs={} after_ms={}",
        job.req.head.id,
        job.route.name,
        answer.member.server.id,
        answer.head.confidence,
        job.runs,
        router.now().saturating_sub(job.arrived).as_millis()
    ));
}
