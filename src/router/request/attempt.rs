//! One attempt: sends a request to one BackendServer and waits for the head of the response.

use std::{
    future::Future,
    pin::{Pin, pin},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::Request as HttpRequest;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout};

use crate::{
    platform::{
        request_headers::{AttemptHeaders, build_attempt_headers},
        response_headers::parse_response_head,
    },
    policy::{
        answer_timeout::AnswerTimeouts, availability::UnavailableCause,
        misdirected_by::MisdirectedBy, prefix_cache::PromptPrefix,
    },
    router::{
        Member, Router,
        peers::prefix_reports::ReportedPrefix,
        request::{
            outstanding::OutstandingGuard,
            request_context::RequestContext,
            response_head::{record_head, record_head_time},
            response_wait::{ResponseWait, wait_for_response},
            selection::usual_time_key,
        },
        servers::connection::{self, Checkout, ConnectError, Connection},
    },
    routing::{BodyFraming, FramingError, Request, ResponseHead, ResponseKind},
};

/// A response whose head has arrived and whose body is still being received.
///
/// Dropping it closes the connection, which makes the server stop its work.
#[derive(Debug)]
pub(crate) struct OpenResponse {
    pub(crate) head: ResponseHead,
    pub(crate) framing: BodyFraming,
    pub(crate) body: Incoming,
    pub(crate) member: Arc<Member>,
    /// When the request was sent.
    pub(crate) sent_at: Duration,
    /// Whether its head took several times longer than usual.
    pub(crate) is_slow: bool,
    /// Whether that was counted while the head was awaited.
    pub(crate) was_overdue: bool,
    connection: Connection,
    _outstanding: OutstandingGuard,
}

impl OpenResponse {
    /// Returns the connection to the pool after the body was read to the end.
    pub(crate) fn finish(self, now: Duration) {
        if !self.head.closes_connection && self.framing.allows_reuse() {
            connection::check_in(&self.member, self.connection, now);
        }
    }
}

/// Why an attempt produced no response of the server.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AttemptError {
    /// No connection could be opened, so nothing was sent.
    #[error("not sent: {0}")]
    NotSent(#[from] ConnectError),
    /// The server became unavailable while the connection was opened, so nothing was sent.
    #[error("not sent: the server is {0}")]
    Unavailable(UnavailableCause),
    /// A planned stop of this process leaves too little time, so nothing was sent.
    #[error("not sent: the process is about to end")]
    Leaving,
    /// The server declared that it did not run the request.
    #[error("the server refused it with status {0}")]
    Refused(http::StatusCode),
    /// A server rejected it with status 421: another one than expected, or this one because of the request.
    #[error("the request was rejected as misdirected, by {0}")]
    Misdirected(MisdirectedBy),
    /// The connection failed after the request was sent; it may have run.
    #[error("the connection ended: {0}")]
    Lost(#[from] hyper::Error),
    /// No response head arrived in time; the request may have run.
    #[error("no response in time")]
    Timeout,
    /// The planned stop of this process ended before a response head arrived; the request may have run.
    #[error("no response before the process ends")]
    CutShort,
    /// Servers crashed while running it, and it was quarantined while this attempt waited; it may have run.
    #[error("the request was quarantined because servers crashed while running it")]
    Quarantined,
    /// The response is not the server's response to this request; the request may have run.
    #[error("the response comes from another server or belongs to another request")]
    WrongResponse,
    /// The server answered a request that may run only once with a status that promises that it did not run, without
    /// proof of that; the request may have run.
    #[error("the server answered {0}, which promises without proof that the request did not run")]
    UnprovedPromise(http::StatusCode),
    /// The response has a status that HTTP doesn't define; the request may have run.
    #[error("the response has the status {0}, which is none of HTTP")]
    InvalidStatus(http::StatusCode),
    /// The response can't be read as the server meant it; the request may have run.
    #[error("the response can't be read: {0}")]
    Framing(#[from] FramingError),
}

impl AttemptError {
    /// Whether the error proves that the request did not run and will not run.
    pub(crate) fn proves_not_run(&self) -> bool {
        matches!(
            self,
            Self::NotSent(_)
                | Self::Unavailable(_)
                | Self::Leaving
                | Self::Refused(_)
                | Self::Misdirected(_)
        )
    }
}

/// Server, headers, timeouts and cached prompt parts of an attempt.
#[derive(Debug)]
pub(crate) struct AttemptPlan<'a> {
    pub(crate) member: &'a Arc<Member>,
    pub(crate) headers: AttemptHeaders<'a>,
    /// Whether the request must not run more than once.
    pub(crate) is_once_only: bool,
    /// Model that is asked, if any.
    pub(crate) model: Option<&'a str>,
    /// Key under which response times are learned: the model, or the service if there is none.
    pub(crate) latency_key: &'a str,
    /// Prefixes of the prompt that other requests may share.
    pub(crate) prefixes: &'a [PromptPrefix],
    /// How many of these the server presumably had cached before the attempt.
    pub(crate) cached_prefix_count: usize,
    /// Tokens of the prompt that the server has to process.
    pub(crate) uncached_tokens: u64,
    /// How long the server may be silent; `None` if no other server may be tried.
    pub(crate) timeouts: Option<AnswerTimeouts>,
    /// When the attempt is abandoned in any case.
    pub(crate) deadline: Duration,
}

impl AttemptPlan<'_> {
    /// Prefixes that the server presumably did not have cached before the attempt.
    fn new_prefixes(&self) -> &[PromptPrefix] {
        &self.prefixes[self.cached_prefix_count..]
    }
}

/// Sends the request and waits for the head of the response. `can_fail_over` is asked whether a slow server may be
/// abandoned for another one.
pub(crate) async fn send(
    router: &Router,
    ctx: &RequestContext,
    plan: &AttemptPlan<'_>,
    can_fail_over: impl FnMut() -> bool,
) -> Result<OpenResponse, AttemptError> {
    let prefill_time =
        router.speed_estimates.get(plan.latency_key).prefill_time(plan.uncached_tokens);
    let ahead = plan.member.backlog(router.now());
    let mut outstanding = OutstandingGuard::new(plan.member, prefill_time);
    let sent_at = router.now();
    record_prompt_sent(router, plan);
    router.count_unavailable_send(plan.member, ctx.send_kind());
    // The runtime's clock stops during a suspension of the Host, which says nothing about the server's speed.
    let started_at = Instant::now();
    let sending = pin!(send_request(router, ctx, plan, sent_at, can_fail_over));
    let (outcome, was_overdue) = record_if_overdue(router, ctx, plan, sent_at, sending).await;
    if let Err(e) = &outcome {
        record_error(router, plan.member, e);
        plan.member.state().prefixes.forget(plan.new_prefixes());
    }
    let (mut connection, res) = outcome?;
    outstanding.mark_begun();
    let (parts, body) = res.into_parts();
    let head = parse_response_head(parts.status, &parts.headers, &ctx.req.head.id);
    let framing = BodyFraming::of_response(&ctx.req.head.method, parts.status, &parts.headers);
    if head.kind != ResponseKind::Success || framing.is_err() {
        plan.member.state().prefixes.forget(plan.new_prefixes());
    }
    if head.kind == ResponseKind::Misdirected {
        let by = router.record_misdirected(plan.member, &connection, &head, &ctx.req.head.id);
        let allows_reuse = framing.is_ok_and(BodyFraming::allows_reuse) && !head.closes_connection;
        if by == MisdirectedBy::Itself && allows_reuse && body.is_end_stream() {
            connection::check_in(plan.member, connection, router.now());
        }
        return Err(AttemptError::Misdirected(by));
    }
    connection.is_signed |= head.kind.is_signed();
    record_head(router, ctx, plan.member, &head, framing, sent_at);
    let is_slow =
        record_head_time(router, ctx, plan, &head, ahead, started_at.elapsed()) || was_overdue;
    check_kind(&head, plan.is_once_only)?;
    Ok(OpenResponse {
        head,
        framing: framing?,
        body,
        member: plan.member.clone(),
        sent_at,
        is_slow,
        was_overdue,
        connection,
        _outstanding: outstanding,
    })
}

/// Waits for the outcome of an attempt, and counts it against the version as soon as it is several times later than
/// usual: in a short roll-out, many slow answers end too late to count. Returns whether it was counted.
async fn record_if_overdue<T>(
    router: &Router,
    ctx: &RequestContext,
    plan: &AttemptPlan<'_>,
    sent_at: Duration,
    mut attempt: Pin<&mut impl Future<Output = T>>,
) -> (T, bool) {
    let usual = router.usual_times.get(usual_time_key(ctx, plan.model));
    let Some(slow) = usual.slow_head_time(plan.uncached_tokens) else {
        return (attempt.await, false);
    };
    let speed = plan.member.state().speed.present(router.now());
    if let Ok(outcome) = timeout(slow.mul_f64(speed), attempt.as_mut()).await {
        return (outcome, false);
    }
    let was_counted = router.record_overdue(ctx, plan.member, sent_at);
    (attempt.await, was_counted)
}

/// Records which prefixes of the prompt the server will have cached, and reports them to the other entries.
fn record_prompt_sent(router: &Router, plan: &AttemptPlan<'_>) {
    let now = router.now();
    let mut state = plan.member.state();
    state.prefixes.record_sent(plan.prefixes, plan.uncached_tokens);
    let to_report = state.prefixes.take_report(plan.prefixes, now);
    drop(state);
    if let Some(prefix) = to_report {
        let tokens = u32::try_from(prefix.tokens).unwrap_or(u32::MAX);
        router
            .prefix_reports
            .record_own(ReportedPrefix(plan.member.short_hash(), prefix.hash, tokens), now);
    }
}

/// Turns responses that are not the server's result for this request into errors.
fn check_kind(head: &ResponseHead, is_once_only: bool) -> Result<(), AttemptError> {
    if is_once_only && head.is_unproved_promise() {
        return Err(AttemptError::UnprovedPromise(head.status));
    }
    match head.kind {
        ResponseKind::Success | ResponseKind::Failure => Ok(()),
        ResponseKind::NotRun | ResponseKind::Misdirected => Err(AttemptError::Refused(head.status)),
        ResponseKind::WrongRequest | ResponseKind::Unsigned => Err(AttemptError::WrongResponse),
        ResponseKind::InvalidStatus => Err(AttemptError::InvalidStatus(head.status)),
    }
}

/// Counts an error against the server, if it is the server's fault.
fn record_error(router: &Router, member: &Member, e: &AttemptError) {
    match e {
        AttemptError::Unavailable(_)
        | AttemptError::Refused(_)
        | AttemptError::Misdirected(_)
        | AttemptError::Quarantined => {}
        // Recorded by `server_ends`, once it is known whether the server crashed.
        AttemptError::Lost(_) => {}
        // The server had less time than it may take, or none.
        AttemptError::CutShort | AttemptError::Leaving => {}
        AttemptError::NotSent(ConnectError::Refused(_)) => member.record_unreachable(router.now()),
        _ => member.record_failure(router.now()),
    }
}

/// A response and the connection on which its body arrives.
type ConnectionAndHead = (Connection, http::Response<Incoming>);

/// Sends the request on a pooled connection, and on a new one if the server had closed the pooled one.
async fn send_request(
    router: &Router,
    ctx: &RequestContext,
    plan: &AttemptPlan<'_>,
    sent_at: Duration,
    mut can_fail_over: impl FnMut() -> bool,
) -> Result<ConnectionAndHead, AttemptError> {
    let mut message = build_request(&ctx.req, plan);
    let wait = ResponseWait {
        ctx,
        member: plan.member,
        sent_at,
        timeouts: plan.timeouts,
        deadline: plan.deadline,
        has_begun: false,
    };
    let opening = connection::check_out(plan.member, &router.clock, plan.is_once_only);
    let mut checkout = router.until_stop_ends(opening).await.ok_or(AttemptError::Leaving)??;
    loop {
        let Checkout { mut connection, is_reused } = checkout;
        // The server may have become unavailable, or a planned stop begun, while the connection was opened.
        if !router.may_send(ctx) {
            return Err(AttemptError::Leaving);
        }
        if let Some(cause) = router.stops_send(plan.member) {
            return Err(AttemptError::Unavailable(cause));
        }
        let send = pin!(connection.sender.try_send_request(message));
        let sent = wait_for_response(router, &wait, send, &mut can_fail_over).await;
        let given_up = || match (router.is_refused(ctx), router.has_stop_ended()) {
            (true, _) => AttemptError::Quarantined,
            (false, true) => AttemptError::CutShort,
            (false, false) => AttemptError::Timeout,
        };
        let sent = sent.ok_or_else(given_up)?;
        let mut e = match sent {
            Ok(res) => return Ok((connection, res)),
            Err(e) => e,
        };
        // If the server had closed the pooled connection, hyper returns the unsent request.
        let Some(unsent) = e.take_message().filter(|_| is_reused) else {
            return Err(AttemptError::Lost(e.into_error()));
        };
        message = unsent;
        let opening = connection::connect(plan.member, &router.clock);
        let connection = router.until_stop_ends(opening).await.ok_or(AttemptError::Leaving)??;
        checkout = Checkout { connection, is_reused: false };
    }
}

/// Builds the HTTP request with the headers for the server.
fn build_request(req: &Request, plan: &AttemptPlan<'_>) -> HttpRequest<Full<Bytes>> {
    let mut message = HttpRequest::new(Full::new(req.body.clone()));
    *message.method_mut() = req.head.method.clone();
    *message.uri_mut() = req.head.uri.clone();
    *message.headers_mut() = build_attempt_headers(&req.head, &plan.headers);
    message
}
