//! Responses that are read to their end before the caller gets anything of them.

use std::{pin::pin, sync::Arc, time::Duration};

use http::{Response, header::CONTENT_LENGTH};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use crate::{
    policy::run_outcome::RunOutcome,
    router::{
        Member, Router,
        callers::caller_connection::CutReason,
        request::{
            attempt::OpenResponse,
            body::ResponseBody,
            dispatch::send_with_failover,
            held_body::{HeldBody, HeldBodyWriter},
            refusal::Refusal,
            request_context::{AttemptParams, RequestContext},
            response_wait::{ResponseWait, wait_for_response},
        },
        servers::{
            lost_requests::LossCause,
            server_ends::{may_be_cut_off, record_broken_connection, record_lost},
        },
    },
    routing::{BodyFraming, ResponseKind},
};

/// Maximum size of a buffered response, in bytes.
pub(crate) const MAX_BUFFERED_BODY: usize = 4 << 20;
/// Interval at which it is checked whether a caller that is behind is still served.
pub(super) const BEHIND_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Runs a request whose response is buffered. A response that is lost before it is complete is requested again.
pub(super) async fn respond_buffered(
    router: &Arc<Router>,
    ctx: &mut RequestContext,
) -> Result<Response<ResponseBody>, Refusal> {
    loop {
        let response = send_with_failover(router, ctx, AttemptParams::default()).await?;
        if let Ok(res) = read_until_deadline(router, ctx, response).await {
            return Ok(res);
        }
        // Another server may be tried if there is time left.
        ctx.mark_last_attempt_lost();
    }
}

/// Reads a response to its end, until the request's deadline or the end of a planned stop at the latest. All bodies that
/// are read as a whole are read here: a server may hang within any of them (docs/incidents/0024).
pub(super) async fn read_until_deadline(
    router: &Router,
    ctx: &RequestContext,
    response: OpenResponse,
) -> Result<Response<ResponseBody>, ()> {
    let (server, sent_at) = (response.member.clone(), response.sent_at);
    let wait = ResponseWait {
        ctx,
        member: &server,
        sent_at,
        timeouts: None,
        deadline: ctx.deadline,
        has_begun: true,
    };
    let read = pin!(read_to_end(router, ctx, response));
    let Some(read) = wait_for_response(router, &wait, read, || false).await else {
        // The deadline has passed, the planned stop has ended, or the server has restarted.
        record_lost(router, ctx, &server, sent_at, LossCause::Abandoned);
        if !router.has_stop_ended() {
            router.record_server_failure(ctx, &server);
        }
        return Err(());
    };
    read
}

/// A response with the status and headers of a server's response and an empty body. The body that replaces it
/// determines the framing: its length if that is known, else chunks.
pub(super) fn response_with_head(response: &OpenResponse) -> Response<ResponseBody> {
    let mut res = Response::new(ResponseBody::short(""));
    *res.status_mut() = response.head.status;
    *res.headers_mut() = response.head.headers.clone();
    if let BodyFraming::NoBody { described_length: Some(length) } = response.framing {
        res.headers_mut().insert(CONTENT_LENGTH, length.into());
    }
    res
}

/// Reads a response to its end, so that the caller gets all of it or nothing.
async fn read_to_end(
    router: &Router,
    ctx: &RequestContext,
    mut response: OpenResponse,
) -> Result<Response<ResponseBody>, ()> {
    let mut res = response_with_head(&response);
    let storing = store_body(router, ctx, &mut response.body);
    let body = yield_to_others(router, ctx, &response.member, storing).await;
    let is_cut_off = || may_be_cut_off(router, &response.member, response.framing);
    let body = match body {
        Some(body) if !is_cut_off().await => body,
        _ => {
            record_broken_connection(router, ctx, &response.member, response.sent_at).await;
            return Err(());
        }
    };
    if response.head.kind == ResponseKind::Success {
        let outcome = match (response.was_overdue, response.is_slow) {
            (true, _) => RunOutcome::CompleteAfterOverdue,
            (false, true) => RunOutcome::Slow,
            (false, false) => RunOutcome::Good,
        };
        router.record_run(ctx, &response.member, outcome);
        router.record_answered_parts(ctx);
    }
    router.record_complete_answer(ctx);
    *res.body_mut() = ResponseBody::Held(body);
    response.finish(router.now());
    Ok(res)
}

/// Performs work that stores a response, unless it waits for memory while other requests wait for its server: then its
/// caller's connection is closed, and this never returns.
pub(super) async fn yield_to_others<T>(
    router: &Router,
    ctx: &RequestContext,
    server: &Member,
    storing: impl Future<Output = T>,
) -> T {
    let mut storing = pin!(storing);
    let (limits, connection) = (&router.policy.callers, &ctx.in_flight.connection);
    loop {
        if let Ok(stored) = timeout(BEHIND_CHECK_INTERVAL, storing.as_mut()).await {
            return stored;
        }
        let waits_for = connection.waits_for_memory_since().map(|since| since.elapsed());
        if waits_for.is_some_and(|waited| limits.yields(waited, server.is_awaited())) {
            connection.cut(CutReason::Yield);
            std::future::pending::<()>().await;
        }
    }
}

/// Stores the body of a response; `None` if it is interrupted or too large.
async fn store_body(
    router: &Router,
    ctx: &RequestContext,
    body: &mut Incoming,
) -> Option<HeldBody> {
    let len = body.size_hint().exact().and_then(|len| usize::try_from(len).ok());
    if len.is_some_and(|len| len > MAX_BUFFERED_BODY) {
        return None;
    }
    let connection = &ctx.in_flight.connection;
    let mut stored = HeldBodyWriter::new(&router.memory, connection, len).await;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if stored.len() + data.len() > MAX_BUFFERED_BODY {
            return None;
        }
        stored.push(&data).await;
    }
    Some(stored.finish())
}
