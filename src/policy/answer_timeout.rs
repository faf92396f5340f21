//! How long an attempt waits for its server before another one is tried.
//!
//! A server that still sends answers to other requests is only slow, and moving on to another server adds
//! work. A server that is silent on all its connections is presumed unresponsive, after a shorter timeout.

use std::time::Duration;

use crate::routing::RouteKind;

/// Silence of a server on all its connections after which it counts as unresponsive, where many answers are
/// pending there. The prefill of a long prompt delays the events of a healthy engine by up to 0.8 s.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Additional timeout, divided by the number of pending answers. The silence of a single answer says little:
/// an engine that prefills a prompt of 60,000 tokens takes 1.8 s for fifteen tokens, which make one event.
/// With 103 entries and 160 engines an entry has one or two answers pending at each engine; without the
/// additional timeout, 1,469 of 46,000 attempts were abandoned at healthy engines and their prompts
/// prefilled again.
const SHARED_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Timeout for a response head, as a multiple of the mean time to such heads.
const MEAN_HEAD_TIMES: u32 = 4;
/// Minimum timeout for a head from a server that answers other requests, as a fraction of the objective: a
/// request that hangs may then still be answered in time by another server.
const MIN_OBJECTIVE_FRACTION: f64 = 0.7;
/// Timeout for a stream's next event from a server that answers other requests, as a multiple of the longest
/// gap that is in time. By then the stream is late on any server, and another one would have to prefill its
/// prompt again; callers disconnect after eight such gaps.
const GAP_FACTOR: f64 = 3.0;
/// Longest gap between events that is in time, where the route declares none.
const DEFAULT_EVENT_GAP: Duration = Duration::from_millis(1_200);

/// Timeouts of a pending answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTimeouts {
    /// For a server that is silent on all its connections.
    pub silent: Duration,
    /// For a server that answers other requests.
    pub slow: Duration,
}

/// Silence after which a server with this number of pending answers counts as unresponsive.
fn silence_timeout(pending_answers: u32) -> Duration {
    MIN_SILENCE_TIMEOUT + SHARED_SILENCE_TIMEOUT / pending_answers.max(1)
}

/// Timeouts for a response head where another server may be tried afterwards. `pending_answers` counts all
/// answers that this entry expects from the server.
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

/// Timeouts for a stream's next event where another server may continue the stream.
pub fn event_timeouts(allowed_gap: Option<Duration>, pending_answers: u32) -> AnswerTimeouts {
    let slow = allowed_gap.unwrap_or(DEFAULT_EVENT_GAP).mul_f64(GAP_FACTOR);
    AnswerTimeouts { silent: silence_timeout(pending_answers), slow }
}
