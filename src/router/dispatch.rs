//! Which server a request is tried at next, until one answers or nothing more may be tried.

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

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
        breaks::{Parting, note_break, note_unanswered},
        choice::{marks, pick, reading_key, unavailable_for},
        refusal::Refusal,
        roll_out::RunOutcome,
        serve::InFlight,
    },
    routing::{AnswerKind, Fingerprint, Organisation, Request, Route, RouteKind},
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

/// A request on its way through this entry.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) req: Request,
    pub(crate) route: Arc<Route>,
    /// Service that runs it.
    pub(crate) service: Box<str>,
    pub(crate) organisation: Option<Arc<Organisation>>,
    /// When the caller or the route gives up, on the entry's clock as all times here.
    pub(crate) deadline: Duration,
    /// When the next answer has to begin, while an earlier stage's answer is in hand.
    pub(crate) begin_by: Option<Duration>,
    /// When it arrived.
    pub(crate) arrived: Duration,
    /// Counts it as in flight, also while its stream is passed on.
    _in_flight: InFlight,
    pub(crate) attempts: Vec<AttemptState>,
    /// Attempts that may have run.
    pub(crate) runs: u32,
    /// Attempts that reached a server.
    arrivals: u32,
    /// Whether a repeated send was taken from the budget and not used yet.
    has_repeat: bool,
    tried: Vec<Box<str>>,
    /// Servers that could not be reached.
    unreachable: Vec<Box<str>>,
    /// Whether it is sent once to see whether it still ends servers.
    pub(crate) is_trial: bool,
    /// Computed when it is first asked for: most requests never need it.
    fingerprint: OnceLock<Fingerprint>,
}

impl Job {
    pub(crate) fn new(
        req: Request,
        route: Arc<Route>,
        service: Box<str>,
        organisation: Option<Arc<Organisation>>,
        wait: Duration,
        in_flight: InFlight,
    ) -> Self {
        let (attempts, tried) = (Vec::new(), Vec::new());
        Self {
            req,
            route,
            service,
            organisation,
            deadline: in_flight.arrived + wait,
            begin_by: None,
            arrived: in_flight.arrived,
            _in_flight: in_flight,
            attempts,
            runs: 0,
            arrivals: 0,
            has_repeat: false,
            tried,
            unreachable: Vec::new(),
            is_trial: false,
            fingerprint: OnceLock::new(),
        }
    }

    /// What it is known by when it comes again.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| Fingerprint::of(&self.req, self.organisation.as_deref()))
    }

    /// Runs that it may still cause.
    pub(crate) fn runs_left(&self) -> u32 {
        self.route.max_attempts.saturating_sub(self.runs)
    }

    pub(crate) fn time_left(&self, router: &Router) -> Duration {
        self.deadline.saturating_sub(router.now())
    }

    /// When servers are waited for no longer.
    fn wait_ends(&self) -> Duration {
        self.begin_by.unwrap_or(self.deadline)
    }

    /// Takes a repeated send from the budget, unless one is in hand; false when there is none.
    fn take_repeat(&mut self, router: &Router) -> bool {
        self.has_repeat = self.has_repeat || router.try_repeat(&self.service);
        self.has_repeat
    }

    /// What the caller gets when nothing more is tried.
    fn refusal(&self, router: &Router, ask: Ask<'_>) -> Refusal {
        match judge(&self.attempts) {
            Verdict::NotRun if router.is_refused(self) => {
                Refusal::EndsServers { retry_after: router.refused_for(self) }
            }
            Verdict::NotRun => {
                let retry_after = router.note_refusal(&self.service, &self.req.head.id);
                let Some((cause, wait)) = unavailable_for(router, self, ask) else {
                    return Refusal::NotRun { retry_after };
                };
                if cause == Cause::RateLimited {
                    router.metrics.count_limited("refused");
                    return Refusal::Limited { retry_after: retry_after.max(wait) };
                }
                // Spread, so that callers don't come back together when the first pause ends.
                Refusal::Unavailable { cause, retry_after: wait + retry_after }
            }
            _ if self.time_left(router) < LEAST_TIME => Refusal::TimedOut,
            _ => Refusal::Lost,
        }
    }

    /// Whether a server could not be reached for this request. With the last one of a service gone, each request
    /// asked it 10 to 12 times within 40 ms, and logged each time, before it was refused.
    fn is_unreachable(&self, server: &str) -> bool {
        self.unreachable.iter().any(|unreachable| **unreachable == *server)
    }

    /// The next send in metrics.
    pub(crate) fn kind_of_send(&self) -> &'static str {
        if self.attempts.is_empty() { "first" } else { "further" }
    }

    fn has_tried(&self, server: &str) -> bool {
        self.tried.iter().any(|tried| **tried == *server)
    }

    /// Notes that a repeated send was taken from the budget for what comes next.
    pub(crate) fn note_repeat(&mut self) {
        self.has_repeat = true;
    }

    /// Notes that an attempt which had been sent came to nothing.
    pub(crate) fn note_lost(&mut self) {
        if let Some(last) = self.attempts.last_mut() {
            *last = attempt::advance(*last, AttemptEvent::LinkLost);
        }
    }

    pub(crate) fn priority(&self) -> u8 {
        let of_organisation = self.organisation.as_ref().and_then(|o| o.priority);
        of_organisation.unwrap_or(self.route.priority)
    }
}

/// What an attempt is to ask for.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ask<'a> {
    /// Model that we chose.
    pub(crate) model: Option<&'a str>,
    /// Last event the caller has.
    pub(crate) last_event: Option<u64>,
}

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
            return failed.ok_or_else(|| job.refusal(router, ask));
        };
        if job.arrivals > 0 && !job.take_repeat(router) {
            return failed.ok_or_else(|| job.refusal(router, ask));
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
