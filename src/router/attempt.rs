//! One attempt: a request sent to one BackendServer, up to the head of its answer.

use std::{pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use http::Request as HttpRequest;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::{
    platform::{
        answers::read_answer,
        headers::{AttemptHeaders, write_attempt},
    },
    policy::{availability::Cause, kept::PromptMark, patience::Patience},
    router::{
        Member, Router,
        connection::{self, Checkout, ConnectError, Connection},
        job::Job,
        prefix_reports::ReportedPrefix,
        silence::{Wait, wait_for_answer},
    },
    routing::{AnswerHead, AnswerKind, Request},
};

/// Counts a request as being at a server until it is dropped.
#[derive(Debug)]
pub(crate) struct AtServer {
    member: Arc<Member>,
    /// Time for its prompt.
    reading: Duration,
    /// Whether its answer has begun.
    is_answered: bool,
}

impl AtServer {
    fn enter(member: &Arc<Member>, reading: Duration) -> Self {
        let mut record = member.record();
        record.load.own += 1;
        record.unanswered += 1;
        record.backlog += reading;
        drop(record);
        Self { member: member.clone(), reading, is_answered: false }
    }

    /// Notes that an answer has begun, or that none is waited for any more.
    fn note_begun(&mut self) {
        if std::mem::replace(&mut self.is_answered, true) {
            return;
        }
        let mut record = self.member.record();
        record.unanswered -= 1;
        record.backlog = record.backlog.saturating_sub(self.reading);
    }
}

impl Drop for AtServer {
    fn drop(&mut self) {
        self.note_begun();
        self.member.record().load.own -= 1;
    }
}

/// An answer whose head is here and whose body is still coming.
///
/// Dropping it closes the connection, which stops the server's work.
#[derive(Debug)]
pub(crate) struct OpenAnswer {
    pub(crate) head: AnswerHead,
    pub(crate) body: Incoming,
    pub(crate) member: Arc<Member>,
    /// Whether its head took several times longer than such heads do.
    pub(crate) is_slow: bool,
    connection: Connection,
    _at_server: AtServer,
}

impl OpenAnswer {
    /// Gives the connection back once the body was read to its end.
    pub(crate) fn finish(self, now: Duration) {
        if !self.head.closes {
            connection::check_in(&self.member, self.connection, now);
        }
    }
}

/// Why an attempt brought no answer of the server.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AttemptError {
    /// Nothing was sent.
    #[error("not sent: {0}")]
    NotSent(#[from] ConnectError),
    /// Nothing was sent: the server became unavailable while it was connected to.
    #[error("not sent: the server is {0}")]
    Unavailable(Cause),
    /// The server says that it did not run it.
    #[error("the server refused it with status {0}")]
    Refused(http::StatusCode),
    /// Another server has the address.
    #[error("another server has the address")]
    OtherServer,
    /// It was sent and may have run.
    #[error("the connection ended: {0}")]
    Lost(#[from] hyper::Error),
    /// No head of an answer in time; it may have run.
    #[error("no answer in time")]
    Timeout,
    /// Servers ended under it, at which it was at work as well; it may have run.
    #[error("it is found to end servers")]
    Quarantined,
    /// What came is not the server's answer to this request; it may have run.
    #[error("the answer is not its server's or belongs to another request")]
    Foreign,
}

impl AttemptError {
    /// Whether this proves that the request did not run and never will.
    pub(crate) fn proves_not_run(&self) -> bool {
        matches!(
            self,
            Self::NotSent(_) | Self::Unavailable(_) | Self::Refused(_) | Self::OtherServer
        )
    }
}

/// How an attempt is to be made.
#[derive(Debug)]
pub(crate) struct Plan<'a> {
    pub(crate) member: &'a Arc<Member>,
    pub(crate) headers: AttemptHeaders<'a>,
    pub(crate) is_once_only: bool,
    /// What head times are learned by: the model, or the service where there is none.
    pub(crate) reading_key: &'a str,
    /// Parts of the prompt that other requests may share.
    pub(crate) marks: &'a [PromptMark],
    /// How many of these the server kept before.
    pub(crate) kept_marks: usize,
    /// Tokens of the prompt that the server has to read.
    pub(crate) unread_tokens: u64,
    /// How long its silence is tolerated; none where no other server may be tried after.
    pub(crate) patience: Option<Patience>,
    /// When the request is given up in any case.
    pub(crate) deadline: Duration,
}

impl Plan<'_> {
    /// Parts that the server did not keep before this attempt.
    fn new_marks(&self) -> &[PromptMark] {
        &self.marks[self.kept_marks..]
    }
}

/// Makes the attempt.
pub(crate) async fn send(
    router: &Router,
    job: &Job,
    plan: &Plan<'_>,
    may_leave: impl FnMut() -> bool,
) -> Result<OpenAnswer, AttemptError> {
    let reading = router.readings.get(plan.reading_key).reading_time(plan.unread_tokens);
    let ahead = plan.member.backlog(router.now());
    let mut at_server = AtServer::enter(plan.member, reading);
    let sent_at = router.now();
    note_sent(router, plan);
    router.count_unavailable_send(plan.member, job.kind_of_send());
    // By the runtime's clock: a suspension says nothing about the server's pace.
    let began = Instant::now();
    let outcome = exchange(router, job, plan, may_leave).await;
    if let Err(e) = &outcome {
        note_error(router, plan.member, e);
        plan.member.record().kept.forget(plan.new_marks());
    }
    let (connection, res) = outcome?;
    at_server.note_begun();
    plan.member.note_received(router.now());
    let (parts, body) = res.into_parts();
    let head = read_answer(parts.status, &parts.headers, &job.req.head.id);
    note_head(router, plan.member, &head, &job.req.head.id, sent_at);
    let (tokens, took) = (plan.unread_tokens, began.elapsed());
    let is_slow = router.readings.get(plan.reading_key).is_slow(tokens, took);
    if head.kind == AnswerKind::Success {
        router.readings.record_head_time(plan.reading_key, tokens, ahead, took);
    }
    if let Some(load) = head.load {
        plan.member.record().load.note_report(load, router.now());
    }
    let member = plan.member.clone();
    if !matches!(head.kind, AnswerKind::Success) {
        member.record().kept.forget(plan.new_marks());
    }
    let answer = OpenAnswer { head, body, member, is_slow, connection, _at_server: at_server };
    sort(answer)
}

/// Notes which parts of the prompt the server will keep, and lets the other entries know.
fn note_sent(router: &Router, plan: &Plan<'_>) {
    let now = router.now();
    let mut record = plan.member.record();
    record.kept.note_sent(plan.marks, plan.unread_tokens);
    let to_report = record.kept.to_report(plan.marks, now);
    drop(record);
    if let Some(mark) = to_report {
        let tokens = u32::try_from(mark.tokens).unwrap_or(u32::MAX);
        router.kept.record_own(ReportedPrefix(plan.member.short_hash(), mark.hash, tokens), now);
    }
}

/// Turns answers that are no answer to this request into errors.
fn sort(answer: OpenAnswer) -> Result<OpenAnswer, AttemptError> {
    match answer.head.kind {
        AnswerKind::Success | AnswerKind::Failure => Ok(answer),
        AnswerKind::NotRun => {
            let status = answer.head.status;
            Err(AttemptError::Refused(status))
        }
        AnswerKind::OtherServer => {
            answer.member.record().is_replaced = true;
            Err(AttemptError::OtherServer)
        }
        AnswerKind::Misplaced | AnswerKind::Unsigned => Err(AttemptError::Foreign),
    }
}

fn note_head(
    router: &Router,
    member: &Member,
    head: &AnswerHead,
    request_id: &str,
    sent_at: Duration,
) {
    let is_foreign = matches!(head.kind, AnswerKind::Misplaced | AnswerKind::Unsigned);
    if is_foreign || (head.status.is_server_error() && !head.announces_rejection()) {
        member.note_failure(router.now());
    } else if !head.announces_rejection() {
        router.note_answer(member);
    }
    if head.kind.is_authentic() {
        router.note_advertised_limit(member, head, sent_at);
        router.note_announced(member, head, request_id);
        router.note_unread_headers(member, head);
    }
}

fn note_error(router: &Router, member: &Member, e: &AttemptError) {
    match e {
        AttemptError::Unavailable(_)
        | AttemptError::Refused(_)
        | AttemptError::OtherServer
        | AttemptError::Quarantined => {}
        // Judged once it is known whether the server ended.
        AttemptError::Lost(_) => {}
        AttemptError::NotSent(ConnectError::Refused(_)) => member.note_unreachable(router.now()),
        _ => member.note_failure(router.now()),
    }
}

type Exchanged = (Connection, http::Response<Incoming>);

async fn exchange(
    router: &Router,
    job: &Job,
    plan: &Plan<'_>,
    mut may_leave: impl FnMut() -> bool,
) -> Result<Exchanged, AttemptError> {
    let mut message = build(&job.req, plan);
    let wait = Wait {
        job,
        member: plan.member,
        patience: plan.patience,
        deadline: plan.deadline,
        has_begun: false,
    };
    let mut checkout = connection::check_out(plan.member, router.now(), plan.is_once_only).await?;
    loop {
        let Checkout { mut connection, is_used } = checkout;
        // Connecting takes time.
        if let Some(cause) = router.stops_send(plan.member) {
            return Err(AttemptError::Unavailable(cause));
        }
        let send = pin!(connection.try_send_request(message));
        let sent = wait_for_answer(router, &wait, send, &mut may_leave).await;
        let given_up = || {
            if router.is_refused(job) { AttemptError::Quarantined } else { AttemptError::Timeout }
        };
        let sent = sent.ok_or_else(given_up)?;
        let mut e = match sent {
            Ok(res) => return Ok((connection, res)),
            Err(e) => e,
        };
        // A kept connection that the server had closed gives the request back unsent.
        let Some(unsent) = e.take_message().filter(|_| is_used) else {
            return Err(AttemptError::Lost(e.into_error()));
        };
        message = unsent;
        let connection = connection::connect(plan.member).await?;
        checkout = Checkout { connection, is_used: false };
    }
}

fn build(req: &Request, plan: &Plan<'_>) -> HttpRequest<Full<Bytes>> {
    let mut message = HttpRequest::new(Full::new(req.body.clone()));
    *message.method_mut() = req.head.method.clone();
    *message.uri_mut() = req.head.uri.clone();
    *message.headers_mut() = write_attempt(&req.head, &plan.headers);
    message
}
