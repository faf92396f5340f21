//! Forwards responses to callers, streams event by event. A stream that breaks off is resumed at another
//! server if its route allows that.

use std::{pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout};

use crate::{
    policy::{
        answer_timeout::{AnswerTimeouts, event_timeouts},
        run_outcome::RunOutcome,
        timing::TimingEstimate,
    },
    router::{
        EventSplitter, Member, Router,
        callers::caller_connection::CutReason,
        request::{
            attempt::OpenResponse,
            body::{ResponseBody, StreamBody},
            buffered::{
                BEHIND_CHECK_INTERVAL, read_until_deadline, respond_buffered, response_with_head,
                yield_to_others,
            },
            dispatch::{lost_refusal, reserve_failover, send_with_failover},
            memory_budget::HeldBytes,
            refusal::Refusal,
            request_context::{AttemptParams, RequestContext},
            response_wait::{ResponseWait, wait_for_response},
            selection::usual_time_key,
            stages::{self, StageResponse},
            stream_queue::{CallerGone, EVENT_OVERHEAD, StreamQueue, stream_queue},
            stream_timing::{RunTiming, StreamTiming},
        },
        servers::{
            lost_requests::LossCause,
            server_ends::{may_be_cut_off, record_broken_connection, record_lost},
        },
    },
    routing::{BodyFraming, ResponseKind, RouteKind},
    telemetry::event,
};

/// Maximum size of one event of a stream, in bytes.
const MAX_EVENT: usize = 1 << 20;

/// Runs a request and returns the response for its caller.
pub(crate) async fn respond(
    router: &Arc<Router>,
    mut ctx: RequestContext,
) -> Result<Response<ResponseBody>, Refusal> {
    // The body may have ended late, and a trial that isn't made would be lost to other entries.
    if !router.may_send(&ctx) {
        return Err(router.leaving_refusal(ctx.in_flight.connected_at, &ctx.attempts));
    }
    ctx.quarantine_trial = router.claim_trial(&ctx).await;
    if ctx.route.kind != RouteKind::Stream {
        return respond_buffered(router, &mut ctx).await;
    }
    let StageResponse { response, model } = stages::run_cascade(router, &mut ctx).await?;
    if response.head.kind != ResponseKind::Success {
        let read = read_until_deadline(router, &ctx, response).await;
        return read.map_err(|()| lost_refusal(router, &ctx));
    }
    let mut res = response_with_head(&response);
    let (queue, rx) = stream_queue();
    let timing = StreamTiming::new(ctx.arrived_at);
    let relay = Relay { router: router.clone(), ctx, model, queue, last_event_id: None, timing };
    let relay_task = tokio::spawn(relay.run(response));
    *res.body_mut() = ResponseBody::Stream(StreamBody::new(rx, relay_task));
    Ok(res)
}

/// Why a server's stream was not read to its end.
#[derive(Debug, thiserror::Error)]
enum StreamError {
    #[error("the connection ended: {0}")]
    Lost(#[from] hyper::Error),
    #[error("the stream ended within an event")]
    TruncatedEvent,
    #[error("the connection ended, and with it the server or a stream without events")]
    CutOff,
    #[error("no event in time")]
    Silent,
    #[error("the process is about to end")]
    CutShort,
    #[error("an event is missing")]
    MissingEvent,
    #[error("an event is too large")]
    TooLarge,
    #[error("the caller is gone, or too slow")]
    CallerGone,
    #[error("the request was quarantined because servers crashed while running it")]
    Quarantined,
}

/// Task that relays a stream to its caller.
struct Relay {
    router: Arc<Router>,
    ctx: RequestContext,
    model: Option<Box<str>>,
    queue: StreamQueue,
    /// Id of the last event that was relayed.
    last_event_id: Option<u64>,
    timing: StreamTiming,
}

impl Relay {
    /// Relays the stream until it is complete, can't be resumed, or the caller is gone. A stream that ends without
    /// [`StreamPart::End`] is interrupted for the caller.
    async fn run(mut self, first: OpenResponse) {
        let mut response = first;
        loop {
            let (server, sent_at) = (response.member.clone(), response.sent_at);
            let Err(e) = self.relay_events(response).await else {
                self.queue.end();
                self.router.record_complete_answer(&self.ctx);
                self.router.record_answered_parts(&self.ctx);
                self.record_latency(&server);
                return;
            };
            if matches!(e, StreamError::CallerGone) {
                return;
            }
            self.record_stream_error(&server, sent_at, &e).await;
            let (id, events) = (&self.ctx.req.head.id, self.last_event_id);
            event::STREAM_BROKEN.log(format_args!(
                "request={id} fingerprint={} parts={} server={} last_event={events:?} cause=\"{e}\"",
                self.ctx.own_suspect(),
                self.ctx.log_shared_parts(),
                server.server.id
            ));
            self.ctx.mark_last_attempt_lost();
            let Some(next) = self.resume().await else {
                return;
            };
            response = next;
        }
    }

    /// Records a stream that broke off, as evidence about its server, its version and the request itself.
    async fn record_stream_error(&self, server: &Arc<Member>, sent_at: Duration, e: &StreamError) {
        let (router, ctx) = (&self.router, &self.ctx);
        match e {
            // The server may have begun to run the request and may still crash.
            StreamError::Quarantined => {
                record_lost(router, ctx, server, sent_at, LossCause::Disconnected);
            }
            // The server had less time than it may take.
            StreamError::CutShort => {
                record_lost(router, ctx, server, sent_at, LossCause::Abandoned);
            }
            StreamError::Silent => {
                server.record_failure(router.now());
                record_lost(router, ctx, server, sent_at, LossCause::Abandoned);
                router.record_server_failure(ctx, server);
            }
            _ => record_broken_connection(router, ctx, server, sent_at).await,
        }
    }

    /// Requests the rest of the stream from another server.
    async fn resume(&mut self) -> Option<OpenResponse> {
        if !self.ctx.route.is_resumable {
            return None;
        }
        let model = self.model.clone();
        let params = AttemptParams { model: model.as_deref(), ..self.attempt_params() };
        let response = send_with_failover(&self.router, &mut self.ctx, params).await.ok()?;
        (response.head.kind == ResponseKind::Success).then_some(response)
    }

    /// Parameters for resuming the stream at another server.
    fn attempt_params(&self) -> AttemptParams<'_> {
        let last_event_id = self.last_event_id.or(self.ctx.req.head.last_event_id);
        AttemptParams { model: self.model.as_deref(), last_event_id }
    }

    /// Relays the events of one server until its stream is complete.
    async fn relay_events(&mut self, mut response: OpenResponse) -> Result<(), StreamError> {
        let mut splitter = EventSplitter::default();
        let mut held = HeldBytes::default();
        let mut run = RunTiming { is_counted: response.is_slow, ..RunTiming::default() };
        loop {
            // A server that always has more to send must not outlast the stop.
            if self.router.has_stop_ended() {
                return Err(StreamError::CutShort);
            }
            let timeouts = self.timeouts(&response.member);
            let next = pin!(response.body.frame());
            let deadline = self.ctx.deadline;
            let (router, ctx, server) = (&self.router, &self.ctx, &response.member);
            let params = self.attempt_params();
            let mut has_retry = false;
            let can_fail_over = || {
                has_retry = reserve_failover(router, ctx, params, &server.server.id);
                has_retry
            };
            let has_begun = run.first.is_some();
            let sent_at = response.sent_at;
            let wait = ResponseWait { ctx, member: server, sent_at, timeouts, deadline, has_begun };
            let frame = wait_for_response(router, &wait, next, can_fail_over).await;
            if has_retry {
                self.ctx.mark_retry_taken();
            }
            let Some(frame) = frame.ok_or_else(|| self.reason_to_give_up(has_begun))? else {
                if splitter.is_inside_event() {
                    return Err(StreamError::TruncatedEvent);
                }
                let is_empty = response.framing == BodyFraming::CloseDelimited && !has_begun;
                if is_empty || may_be_cut_off(router, server, response.framing).await {
                    return Err(StreamError::CutOff);
                }
                self.record_complete_run(&response, &run);
                response.finish(self.router.now());
                return Ok(());
            };
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            response.member.record_signed(self.router.now());
            self.buffer(&data, &mut splitter, &mut held, &response.member).await?;
            while let Some(event) = splitter.next_event() {
                self.check_order(event.id)?;
                self.queue_event(event.bytes, &response.member).await?;
                self.last_event_id = event.id.or(self.last_event_id);
                self.timing.record_event(self.router.now());
                self.check_pace(&response, &mut run);
            }
            if splitter.free_if_empty() {
                held = HeldBytes::default();
            }
            if splitter.pending() > MAX_EVENT {
                return Err(StreamError::TooLarge);
            }
        }
    }

    /// Why a server's stream is not waited for any longer.
    fn reason_to_give_up(&self, has_begun: bool) -> StreamError {
        if !has_begun && self.router.is_refused(&self.ctx) {
            StreamError::Quarantined
        } else if self.router.has_stop_ended() {
            StreamError::CutShort
        } else {
            StreamError::Silent
        }
    }

    /// Holds bytes for the caller, waiting until the deadline of its request at the latest.
    async fn hold(&self, bytes: usize, server: &Member) -> Result<HeldBytes, StreamError> {
        let (router, connection) = (&self.router, &self.ctx.in_flight.connection);
        if let Some(held) = router.memory.try_hold(connection, bytes) {
            return Ok(held);
        }
        let held =
            yield_to_others(router, &self.ctx, server, router.memory.hold(connection, bytes));
        let held = router.timeout_at(self.ctx.deadline, held).await;
        held.ok_or_else(|| self.cut_caller(CutReason::Deadline))
    }

    /// Adds bytes to the event in progress, whose buffer counts as held for the caller.
    async fn buffer(
        &self,
        data: &[u8],
        splitter: &mut EventSplitter,
        held: &mut HeldBytes,
        server: &Member,
    ) -> Result<(), StreamError> {
        if let Some(capacity) = splitter.needed_capacity(data.len()) {
            let counted = if EventSplitter::is_small(capacity) { 0 } else { capacity };
            *held = self.hold(counted, server).await?;
            splitter.grow(capacity);
        }
        splitter.push(data);
        Ok(())
    }

    /// Queues an event for the caller. A caller that is behind is cut off at its deadline, or earlier if its stream holds
    /// up others.
    async fn queue_event(&mut self, bytes: Bytes, server: &Member) -> Result<(), StreamError> {
        let size = bytes.len() + EVENT_OVERHEAD;
        let held = self.hold(size, server).await?;
        let room = loop {
            if let Some(room) = self.queue.try_reserve(size) {
                break room;
            }
            if let Some(reason) = self.reason_to_cut(server) {
                return Err(self.cut_caller(reason));
            }
            if let Ok(room) = timeout(BEHIND_CHECK_INTERVAL, self.queue.reserve(size)).await {
                break room;
            }
        };
        self.queue.push(bytes, held, room).map_err(|CallerGone| StreamError::CallerGone)
    }

    /// Why a caller that is behind is not waited for any longer.
    fn reason_to_cut(&self, server: &Member) -> Option<CutReason> {
        if self.ctx.time_left(&self.router).is_zero() {
            return Some(CutReason::Deadline);
        }
        let behind_for = self.queue.behind_since()?.elapsed();
        let yields = self.router.policy.callers.yields(behind_for, server.is_awaited());
        yields.then_some(CutReason::Yield)
    }

    /// Closes the connection of a caller that is too slow, with everything that is held for it.
    fn cut_caller(&self, reason: CutReason) -> StreamError {
        self.ctx.in_flight.connection.cut(reason);
        StreamError::CallerGone
    }

    /// Counts a run as slow against its version as soon as its events arrive far too slowly.
    fn check_pace(&self, response: &OpenResponse, run: &mut RunTiming) {
        run.record_event(Instant::now());
        let elapsed = run.elapsed().div_f64(response.member.time_factor());
        if run.is_counted || !self.timing().is_overdue_stream(run.gaps, elapsed) {
            return;
        }
        run.is_counted = true;
        self.router.record_run(&self.ctx, &response.member, RunOutcome::Overdue);
    }

    /// Records a complete run as evidence for its version, and learns the time between its events.
    fn record_complete_run(&self, response: &OpenResponse, run: &RunTiming) {
        let elapsed = run.elapsed().div_f64(response.member.time_factor());
        let outcome = if run.is_counted {
            RunOutcome::CompleteAfterOverdue
        } else if self.timing().is_slow_stream(run.gaps, elapsed) {
            RunOutcome::Slow
        } else {
            RunOutcome::Good
        };
        // Slow runs are included in the mean: without them it would fall, and more runs would count as slow. A
        // version that is being rolled out must not influence the mean that it is measured by.
        if run.gaps > 0 && !self.router.roll_outs.is_on_trial(&response.member.server) {
            let interval = elapsed / run.gaps;
            self.router.usual_times.record_event_interval(self.usual_time_key(), interval);
        }
        self.router.record_run(&self.ctx, &response.member, outcome);
    }

    fn timing(&self) -> TimingEstimate {
        self.router.usual_times.get(self.usual_time_key())
    }

    fn usual_time_key(&self) -> &str {
        usual_time_key(&self.ctx, self.model.as_deref())
    }

    /// Records the latency of a complete stream in metrics, and logs it if it missed its route's objectives.
    fn record_latency(&self, server: &Member) {
        let (first, pause) = (self.timing.time_to_first, self.timing.longest_gap);
        self.router.metrics.first_token.observe(first.as_secs_f64());
        let total = self.router.now().saturating_sub(self.ctx.arrived_at);
        self.router.metrics.total_time.observe(total.as_secs_f64());
        let route = &self.ctx.route;
        let is_late = first > route.objective;
        if !is_late && route.max_event_gap.is_none_or(|allowed| pause <= allowed) {
            return;
        }
        event::STREAM_LATE.log(format_args!(
            "request={} route={} server={} model={} runs={} prompt_tokens={} first_ms={} pause_ms={}",
            self.ctx.req.head.id,
            route.name,
            server.server.id,
            self.model.as_deref().unwrap_or("-"),
            self.ctx.runs,
            self.ctx.req.head.prompt_tokens,
            first.as_millis(),
            pause.as_millis()
        ));
    }

    /// Checks that no event is missing between the last one and the one with this id.
    fn check_order(&self, id: Option<u64>) -> Result<(), StreamError> {
        match (id, self.last_event_id) {
            (Some(id), Some(last)) if id != last + 1 => Err(StreamError::MissingEvent),
            _ => Ok(()),
        }
    }

    /// How long the server may be silent; `None` if the stream can't be resumed at another server.
    fn timeouts(&self, server: &Member) -> Option<AnswerTimeouts> {
        let may_resume = self.ctx.route.is_resumable && self.ctx.runs_left() > 0;
        may_resume.then(|| event_timeouts(self.ctx.route.max_event_gap, server.outstanding()))
    }
}
