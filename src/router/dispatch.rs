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
        attempt::{AttemptError, OpenAnswer, Plan, send},
        availability::Taken,
        refusal::Refusal,
        request_context::{Ask, Job},
        roll_out::RunOutcome,
        selection::{marks, pick, reading_key, unavailable_for},
        server_ends::{Parting, note_break, note_unanswered},
    },
    routing::{AnswerKind, RouteKind},
    telemetry::event,
};

/// Sends of one request that reach a server at most, refused ones included: with more, a full
/// pool would be asked over and over.
const MOST_ARRIVALS: u32 = 5;
/// Servers that one request is tried at, those included that can't be reached: these cost a round
/// trip each, and half of a pool may be gone before the list says so.
const MOST_TRIES: usize = 12;
/// Least time left with which a server is still asked.
const LEAST_TIME: Duration = Duration::from_millis(20);

/// Tries servers until one answers; the answer may be the server's own failure.
pub(crate) async fn next_answer(
    router: &Router,
    job: &mut Job,
    ask: Ask<'_>,
) -> Result<OpenAnswer, Refusal> {
    let mut failed = None;
    loop {
        if router.notice_suspension() || !router.is_view_fresh() {
            router.wait_for_view().await;
        }
        let Some(member) = next_server(router, job, ask) else {
            return failed.ok_or_else(|| refusal(router, job, ask));
        };
        if job.arrivals > 0 && !job.take_repeat(router) {
            return failed.ok_or_else(|| refusal(router, job, ask));
        }
        match router.take_send(&member) {
            Taken::Unlimited => {}
            Taken::Limited => router.metrics.count_limited(job.kind_of_send()),
            // The choice is made anew.
            Taken::Denied => continue,
        }
        match try_at(router, job, &member, ask).await {
            Ok(answer) if answer.head.kind == AnswerKind::Success => return Ok(answer),
            Ok(answer) => failed = Some(answer),
            Err(e) => {
                let id = &job.req.head.id;
                let (route, server, number) = (&job.route.name, &member.server.id, job.runs);
                event::ATTEMPT_FAILED.log(format_args!(
                    "request={id} fingerprint={} route={route} server={server} runs={number} cause=\"{e}\"",
                    job.fingerprint()
                ));
            }
        }
    }
}

/// What the caller gets when nothing more is tried.
fn refusal(router: &Router, job: &Job, ask: Ask<'_>) -> Refusal {
    match judge(&job.attempts) {
        Verdict::NotRun if router.is_refused(job) => {
            Refusal::EndsServers { retry_after: router.refused_for(job) }
        }
        Verdict::NotRun => {
            let retry_after = router.note_refusal(&job.service, &job.req.head.id);
            let Some((cause, wait)) = unavailable_for(router, job, ask) else {
                return Refusal::NotRun { retry_after };
            };
            if cause == Cause::RateLimited {
                router.metrics.count_limited("refused");
                return Refusal::Limited { retry_after: retry_after.max(wait) };
            }
            // Spread, so that callers don't come back together when the first pause ends.
            Refusal::Unavailable { cause, retry_after: wait + retry_after }
        }
        _ if job.time_left(router) < LEAST_TIME => Refusal::TimedOut,
        _ => Refusal::Lost,
    }
}

/// The next server, if another attempt may be made.
fn next_server(router: &Router, job: &Job, ask: Ask<'_>) -> Option<Arc<Member>> {
    let may = may_send_again(&job.attempts, job.route.is_idempotent())
        && job.runs_left() > 0
        && job.arrivals < MOST_ARRIVALS
        && job.attempts.len() < MOST_TRIES
        && router.now() + LEAST_TIME < job.wait_ends()
        && !router.is_refused(job)
        && !(job.is_trial && job.runs > 0);
    if !may {
        return None;
    }
    let untried = pick(router, job, ask, |server| !job.has_tried(server));
    untried.or_else(|| pick(router, job, ask, |server| !job.is_unreachable(server)))
}

/// Whether the request could go on at another server than this one; takes the repeated send that
/// it needs from the budget.
pub(crate) fn may_go_on(router: &Router, job: &Job, ask: Ask<'_>, silent: &str) -> bool {
    pick(router, job, ask, |server| server != silent && !job.has_tried(server)).is_some()
        && router.try_repeat(&job.service)
}

async fn try_at(
    router: &Router,
    job: &mut Job,
    member: &Arc<Member>,
    ask: Ask<'_>,
) -> Result<OpenAnswer, AttemptError> {
    let may_go_elsewhere = job.route.is_idempotent() && job.runs_left() > 1;
    let key = reading_key(job, ask);
    let belief = router.readings.get(key);
    let marks = marks(job, ask);
    let prompt_tokens = job.req.head.prompt_tokens;
    let kept_marks = member.record().kept.kept_marks(&marks);
    let kept_tokens: u64 = marks[..kept_marks].iter().map(|mark| mark.tokens).sum();
    let unread_tokens = prompt_tokens.saturating_sub(kept_tokens);
    // What is believed to be kept may be gone: the time for the whole prompt is allowed.
    let reading = belief.reading_time(prompt_tokens);
    let (kind, objective) = (job.route.kind, job.route.objective);
    // This one is awaited there, too.
    let awaited = member.awaited() + 1;
    let patience = head_patience(kind, objective, belief.head_time(), reading, awaited);
    let plan = Plan {
        member,
        headers: AttemptHeaders {
            server: &member.server.id,
            organisation: job.organisation.as_deref(),
            time_left: job.time_left(router),
            model: ask.model,
            priority: job.priority(),
            last_event: ask.last_event,
        },
        is_once_only: !job.route.is_idempotent(),
        reading_key: key,
        marks: &marks,
        kept_marks,
        unread_tokens,
        patience: may_go_elsewhere.then_some(patience),
        deadline: job.wait_ends(),
    };
    let mut has_repeat = false;
    let may_leave = || {
        has_repeat = may_go_on(router, job, ask, &member.server.id);
        has_repeat
    };
    router.roll_outs.log_trial(&member.server, &job.req.head, router.now());
    let result = send(router, job, &plan, may_leave).await;
    let (state, outcome) = sum_up(&result);
    router.metrics.count_attempt(&member.server.version, outcome);
    job.attempts.push(state);
    job.tried.push(member.server.id.clone());
    match result {
        Err(AttemptError::NotSent(_)) => job.unreachable.push(member.server.id.clone()),
        Err(AttemptError::Unavailable(_)) => {}
        _ => {
            job.arrivals += 1;
            job.has_repeat = has_repeat;
        }
    }
    if !matches!(&result, Err(e) if e.proves_not_run()) {
        job.runs += 1;
        judge_run(router, job, member, &result).await;
    }
    result
}

/// State of an attempt after its result, and the word for it in metrics.
fn sum_up(result: &Result<OpenAnswer, AttemptError>) -> (AttemptState, &'static str) {
    let sent = attempt::advance(attempt::fresh(), AttemptEvent::Sent);
    match result {
        Ok(answer) if answer.head.kind == AnswerKind::Success => {
            (attempt::advance(sent, AttemptEvent::Started), "answered")
        }
        Ok(_) => (attempt::advance(sent, AttemptEvent::Failed), "failed"),
        Err(e) if e.proves_not_run() => (attempt::advance(sent, AttemptEvent::Refused), "refused"),
        Err(_) => (attempt::advance(sent, AttemptEvent::LinkLost), "lost"),
    }
}

/// Counts an attempt that may have run for or against its server, its version and the request itself.
async fn judge_run(
    router: &Router,
    job: &Job,
    member: &Arc<Member>,
    result: &Result<OpenAnswer, AttemptError>,
) {
    let outcome = match result {
        // It may have begun to run, and end the server all the same.
        Err(AttemptError::Quarantined) => {
            return note_unanswered(router, job, member, Parting::Broken);
        }
        Err(AttemptError::Lost(_)) => return note_break(router, job, member).await,
        Err(AttemptError::Timeout) => {
            note_unanswered(router, job, member, Parting::Left);
            return router.roll_outs.note_silence(&member.server, router.now());
        }
        Ok(answer) if answer.head.kind == AnswerKind::Success => {
            // Judged when its body has ended, but for a stream that is late already.
            if !answer.is_slow || job.route.kind != RouteKind::Stream {
                return;
            }
            RunOutcome::Slow
        }
        _ => RunOutcome::Failed,
    };
    router.roll_outs.note_outcome(&member.server, outcome);
}
