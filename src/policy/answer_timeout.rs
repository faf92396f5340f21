//! How long a server's silence is tolerated before another one is tried.
//!
//! A server that still answers others is slow, and leaving it only makes more work; one from
//! which nothing at all has come is taken as dark, and sooner.

use std::time::Duration;

use crate::routing::RouteKind;

/// Silence of a server on all its connections after which it is taken as dark, where many answers are
/// awaited there. Reading a long prompt holds the events of a healthy engine back by up to 0.8 s.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_100);
/// What is tolerated beyond that, shared by the answers that are awaited there: the silence of one says
/// little, as an engine that reads a prompt of 60,000 tokens makes fifteen tokens, an event, in 1.8 s. With
/// 103 entries before 160 engines an entry awaits one or two at each, and of 46,000 attempts 1,469 were left
/// at healthy engines, their prompts read anew.
const SHARED_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Wait for a head as a multiple of the mean wait for such heads.
const MEAN_HEAD_TIMES: u32 = 4;
/// Least wait for a head from a server that answers others, as a part of the objective: a
/// request that hangs may then still be in time elsewhere.
const MIN_OBJECTIVE_FRACTION: f64 = 0.7;
/// Wait for a stream's next event from a server that answers others, as a multiple of the longest pause
/// that is on time. The stream is late by then, here or elsewhere, and elsewhere its prompt is read anew; a
/// caller leaves after eight such pauses.
const GAP_FACTOR: f64 = 3.0;
/// Pause assumed where the route declares none.
const DEFAULT_EVENT_GAP: Duration = Duration::from_millis(1_200);

/// The two waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTimeouts {
    /// With a server that is silent on all its connections.
    pub silent: Duration,
    /// With a server that answers others.
    pub slow: Duration,
}

/// Silence after which a server is dark where so many answers are awaited.
fn silence_timeout(pending_answers: u32) -> Duration {
    MIN_SILENCE_TIMEOUT + SHARED_SILENCE_TIMEOUT / pending_answers.max(1)
}

/// Wait for an answer's head where another server may be tried after; `awaited` counts the answers that
/// are awaited at the server.
pub fn head_timeouts(
    kind: RouteKind,
    objective: Duration,
    mean_head_time: Option<Duration>,
    prefill_time: Duration,
    pending_answers: u32,
) -> AnswerTimeouts {
    let by_mean = mean_head_time.unwrap_or(objective) * MEAN_HEAD_TIMES;
    let min_wait = objective.mul_f64(MIN_OBJECTIVE_FRACTION);
    let slow = by_mean.max(min_wait) + prefill_time;
    if kind != RouteKind::Stream {
        return AnswerTimeouts { silent: slow, slow };
    }
    let silent = silence_timeout(pending_answers);
    AnswerTimeouts { silent: silent + prefill_time, slow: slow.max(silent) }
}

/// Wait for a stream's next event where the stream may go on at another server.
pub fn event_timeouts(allowed_gap: Option<Duration>, pending_answers: u32) -> AnswerTimeouts {
    let slow = allowed_gap.unwrap_or(DEFAULT_EVENT_GAP).mul_f64(GAP_FACTOR);
    AnswerTimeouts { silent: silence_timeout(pending_answers), slow }
}
