//! Running one stage of a request: choosing a server, sending attempts, reading their frames.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::{
    entry::{
        Entry,
        collector::{Collector, Progress},
        failure::StageError,
        link::{AttemptFrame, Link},
        pick::pick,
        request::RequestHead,
    },
    ids::{ObjectId, VersionId, format_id},
    policy::{
        attempt::{
            AttemptEvent, AttemptKey, AttemptState, RequestOutcome, advance, initial_state,
            may_retry, request_outcome,
        },
        choice::RING_CANDIDATES,
        gate::RefuseReason,
    },
    protocol::{BackendCall, StartAttempt, ToAgent, Usage},
    routing::describes_request,
    telemetry::event,
};

/// Attempts of one stage at most, refusals included.
const MAX_ATTEMPTS: usize = 6;
const TOO_MANY_REQUESTS: u16 = 429;
/// Time a cancelled attempt has to say that it was refused.
const CANCEL_WAIT: Duration = Duration::from_millis(250);

/// What a stage runs.
#[derive(Clone, Debug)]
pub(crate) enum JobCall {
    Chat { version: VersionId },
    Service { name: ObjectId, method: Box<str>, path: Box<str>, content_type: Option<Box<str>> },
}

impl JobCall {
    /// Version that a chat request runs on.
    fn version(&self) -> Option<&VersionId> {
        match self {
            Self::Chat { version } => Some(version),
            Self::Service { .. } => None,
        }
    }
}

/// One stage of a request.
#[derive(Clone, Debug)]
pub(crate) struct Job<'a> {
    pub(crate) head: &'a RequestHead,
    pub(crate) call: JobCall,
    pub(crate) body: &'a Bytes,
    pub(crate) prompt_tokens: u64,
    pub(crate) answer_tokens: u64,
    pub(crate) ring_keys: [u64; RING_CANDIDATES],
    pub(crate) chain: &'a [u64],
}

/// All attempts of a request, over its stages.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attempts {
    pub(crate) states: Vec<AttemptState>,
    pub(crate) steps: Vec<Box<str>>,
}

impl Attempts {
    fn begin(&mut self, request: u128) -> AttemptKey {
        let number = self.states.len() as u32;
        self.states.push(initial_state());
        AttemptKey { request, number }
    }

    fn note(&mut self, key: AttemptKey, event: AttemptEvent) {
        let state = &mut self.states[key.number as usize];
        *state = advance(*state, event);
    }

    /// What is true of the request so far.
    pub(crate) fn verdict(&self) -> RequestOutcome {
        request_outcome(&self.states)
    }

    /// Adds a line to the request's explanation.
    pub(crate) fn explain(&mut self, step: String) {
        self.steps.push(step.into());
    }
}

/// A stage that ended whole.
#[derive(Debug)]
pub(crate) struct Finished {
    pub(crate) link: Arc<Link>,
    pub(crate) status: u16,
    pub(crate) usage: Usage,
}

/// How one attempt came out.
enum AttemptEnd {
    Ended { status: u16, usage: Usage },
    Refused(RefuseReason),
    Broken(Box<str>, u16),
    Deadline,
    CallerGone,
}

/// Runs a stage to its end.
pub(crate) async fn run_job(
    entry: &Entry,
    job: &Job<'_>,
    attempts: &mut Attempts,
    collector: &mut Collector,
) -> Result<Finished, StageError> {
    let mut tried = Tried::default();
    earn_budget(entry, job);
    for _ in 0..MAX_ATTEMPTS {
        let Some(link) = pick(entry, job, &tried.hosts, attempts) else {
            break;
        };
        if job.head.time_left().is_zero() {
            return Err(StageError::Deadline);
        }
        if !tried.hosts.is_empty() && !spend_budget(entry, job) {
            attempts.explain("retry budget is used up".into());
            break;
        }
        let key = attempts.begin(job.head.id);
        let end = one_attempt(entry, job, &link, key, attempts, collector).await;
        note_end(entry, job, &link, key, &end, attempts);
        match end {
            AttemptEnd::Ended { status, usage } => {
                return Ok(Finished { link, status, usage });
            }
            AttemptEnd::Refused(reason) => tried.note_refusal(&link, reason)?,
            AttemptEnd::Deadline => return Err(StageError::Deadline),
            AttemptEnd::CallerGone => return Err(StageError::CallerGone(Some(link))),
            AttemptEnd::Broken(_, status) => {
                if (400..500).contains(&status) && status != TOO_MANY_REQUESTS {
                    return Err(StageError::Rejected(status));
                }
                let again = may_retry(&attempts.states, job.head.repeatable);
                if !again || !collector.can_go_on() {
                    return Err(StageError::Failed(Some(link)));
                }
                tried.broken = Some(link.clone());
            }
        }
        tried.hosts.push(link.host.name.clone());
    }
    Err(tried.into_error())
}

/// What the attempts of one stage have met so far.
#[derive(Default)]
struct Tried {
    hosts: Vec<Box<str>>,
    broken: Option<Arc<Link>>,
    retry_after: Option<Duration>,
}

impl Tried {
    /// Notes a refusal; some refusals end the stage.
    fn note_refusal(&mut self, link: &Link, reason: RefuseReason) -> Result<(), StageError> {
        match reason {
            RefuseReason::Withdrawn => return Err(StageError::Withdrawn),
            RefuseReason::NotAllowed => return Err(StageError::NotAllowed),
            RefuseReason::DeadlinePassed => return Err(StageError::Deadline),
            RefuseReason::Full => {
                self.retry_after = self.retry_after.max(Some(wait_estimate(link)));
            }
            _ => {}
        }
        Ok(())
    }

    fn into_error(self) -> StageError {
        if let Some(link) = self.broken {
            return StageError::Failed(Some(link));
        }
        match self.retry_after {
            Some(after) => StageError::Full(after),
            None => StageError::NoServer,
        }
    }
}

fn wait_estimate(link: &Link) -> Duration {
    let load = link.load(&[]);
    load.service_time.mul_f64(f64::from(load.queued + 1) / f64::from(load.limit.max(1)))
}

fn earn_budget(entry: &Entry, job: &Job<'_>) {
    let mut budgets = entry.budgets.lock().expect("no panics under the lock");
    budgets.entry(job.head.organisation.clone()).or_default().deposit();
}

fn spend_budget(entry: &Entry, job: &Job<'_>) -> bool {
    let mut budgets = entry.budgets.lock().expect("no panics under the lock");
    budgets.entry(job.head.organisation.clone()).or_default().try_withdraw()
}

fn note_end(
    entry: &Entry,
    job: &Job<'_>,
    link: &Arc<Link>,
    key: AttemptKey,
    end: &AttemptEnd,
    attempts: &mut Attempts,
) {
    link.forget(key);
    let (outcome, answered) = match end {
        AttemptEnd::Ended { .. } => ("done", Some(true)),
        AttemptEnd::Refused(RefuseReason::Unreachable) => ("refused", Some(false)),
        AttemptEnd::Refused(_) => ("refused", None),
        // The caller's request is at fault, which says nothing about the server.
        AttemptEnd::Broken(_, status) if describes_request(*status) => ("lost", None),
        AttemptEnd::Broken(..) => ("lost", Some(false)),
        AttemptEnd::Deadline | AttemptEnd::CallerGone => ("cancelled", None),
    };
    if let (Some(answered), Some(rules)) = (answered, &entry.policy.outlier) {
        link.note_outcome(answered, rules, entry.now());
    }
    let version = match &job.call {
        JobCall::Chat { version } => version.to_string(),
        JobCall::Service { name, .. } => name.to_string(),
    };
    entry.metrics.count_attempt(&version, outcome);
    let detail = match end {
        AttemptEnd::Refused(reason) => format!("{reason:?}"),
        AttemptEnd::Broken(problem, _) => problem.to_string(),
        _ => String::new(),
    };
    attempts.explain(format!("attempt {} on {}: {outcome} {detail}", key.number, link.server));
    if outcome == "lost" || outcome == "refused" {
        event::ATTEMPT_RETRIED.log(format_args!(
            "request={} attempt={} server={} outcome={outcome} {detail}",
            format_id(key.request),
            key.number,
            link.server
        ));
    }
}

async fn one_attempt(
    entry: &Entry,
    job: &Job<'_>,
    link: &Arc<Link>,
    key: AttemptKey,
    attempts: &mut Attempts,
    collector: &mut Collector,
) -> AttemptEnd {
    collector.restart();
    let start = make_start(entry, job, key, collector.resume_text());
    let Some(mut rx) = link.start(start).await else {
        return AttemptEnd::Refused(RefuseReason::Unreachable);
    };
    attempts.note(key, AttemptEvent::Sent);
    link.believe(job.chain);
    let deadline = tokio::time::Instant::now() + job.head.time_left();
    let mut progress = Progress::default();
    loop {
        let frame = match tokio::time::timeout_at(deadline, rx.recv()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => AttemptFrame::Lost,
            Err(_) => return give_up(link, key, attempts, &mut rx).await,
        };
        if let AttemptFrame::Chunk { sequence, payload } = frame {
            take_chunk(entry, job, &mut progress, collector, (key, sequence, payload)).await;
        } else if let Some(end) = note_frame(key, frame, &progress, attempts) {
            return end;
        }
        if collector.caller_is_gone() {
            link.send(&ToAgent::Cancel(key)).await;
            attempts.note(key, AttemptEvent::LinkLost);
            return AttemptEnd::CallerGone;
        }
    }
}

/// Takes the next part of the answer; a part of something else is dropped.
async fn take_chunk(
    entry: &Entry,
    job: &Job<'_>,
    progress: &mut Progress,
    collector: &mut Collector,
    (key, sequence, payload): (AttemptKey, u64, Vec<u8>),
) {
    if !progress.accepts(sequence, &payload) {
        let request = format_id(key.request);
        event::ANSWER_DROPPED.log(format_args!("request={request} sequence={sequence}"));
        return;
    }
    if progress.count == 1 {
        entry.metrics.first_token.observe(job.head.arrived.elapsed().as_secs_f64());
    }
    collector.take(payload, job.head.id, job.call.version()).await;
}

/// Notes a frame other than a part of the answer; some when it ends the attempt.
fn note_frame(
    key: AttemptKey,
    frame: AttemptFrame,
    progress: &Progress,
    attempts: &mut Attempts,
) -> Option<AttemptEnd> {
    let (event, end) = match frame {
        AttemptFrame::Chunk { .. } => return None,
        AttemptFrame::Started => (AttemptEvent::Started, None),
        AttemptFrame::Refused(reason) => (AttemptEvent::Refused, Some(AttemptEnd::Refused(reason))),
        AttemptFrame::End { count, digest, status, usage } if progress.is_whole(count, digest) => {
            (AttemptEvent::Ended, Some(AttemptEnd::Ended { status, usage }))
        }
        AttemptFrame::End { .. } => {
            event::ANSWER_INCOMPLETE.log(format_args!("request={}", format_id(key.request)));
            (AttemptEvent::LinkLost, Some(AttemptEnd::Broken("answer incomplete".into(), 0)))
        }
        AttemptFrame::Failed { problem, status } => {
            (AttemptEvent::Failed, Some(AttemptEnd::Broken(problem, status)))
        }
        AttemptFrame::Lost => {
            (AttemptEvent::LinkLost, Some(AttemptEnd::Broken("link lost".into(), 0)))
        }
    };
    attempts.note(key, event);
    end
}

/// Cancels an attempt whose deadline passed; a refusal in time makes "not run" true.
async fn give_up(
    link: &Link,
    key: AttemptKey,
    attempts: &mut Attempts,
    rx: &mut mpsc::UnboundedReceiver<AttemptFrame>,
) -> AttemptEnd {
    link.send(&ToAgent::Cancel(key)).await;
    let until = tokio::time::Instant::now() + CANCEL_WAIT;
    while let Ok(Some(frame)) = tokio::time::timeout_at(until, rx.recv()).await {
        match frame {
            AttemptFrame::Refused(_) => {
                attempts.note(key, AttemptEvent::Refused);
                return AttemptEnd::Deadline;
            }
            AttemptFrame::Started => attempts.note(key, AttemptEvent::Started),
            AttemptFrame::Chunk { .. } => {}
            _ => break,
        }
    }
    attempts.note(key, AttemptEvent::LinkLost);
    AttemptEnd::Deadline
}

fn make_start(
    entry: &Entry,
    job: &Job<'_>,
    key: AttemptKey,
    resume: Option<Box<str>>,
) -> Box<StartAttempt> {
    let call = match &job.call {
        JobCall::Chat { version } => BackendCall::Chat { version: version.clone(), resume },
        JobCall::Service { method, path, content_type, .. } => BackendCall::Service {
            method: method.clone(),
            path: path.clone(),
            content_type: content_type.clone(),
        },
    };
    Box::new(StartAttempt {
        key,
        organisation: job.head.organisation.clone(),
        revision: entry.config.revision(),
        deadline: job.head.time_left(),
        priority: job.head.priority,
        work: job.prompt_tokens / 8 + job.answer_tokens,
        repeatable: job.head.repeatable,
        call,
        body: job.body.to_vec(),
    })
}

/// When a stage began, for learning how long it takes.
pub(crate) fn learn_stage_time(entry: &Entry, version: &VersionId, began: Instant) {
    let took = began.elapsed();
    let mut times = entry.stage_times.lock().expect("no panics under the lock");
    let mean = times.entry(version.clone()).or_insert(took);
    *mean = mean.mul_f64(0.9) + took.mul_f64(0.1);
}
