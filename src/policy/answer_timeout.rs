//! How long a server's silence is tolerated before another one is tried.
//!
//! A server that still answers others is slow, and leaving it only makes more work; one from
//! which nothing at all has come is taken as dark, and sooner.

use std::time::Duration;

use crate::routing::RouteKind;

/// Silence of a server on all its connections after which it is taken as dark, where many answers are
/// awaited there. Reading a long prompt holds the events of a healthy engine back by up to 0.8 s.
const DARK_AFTER: Duration = Duration::from_millis(1_100);
/// What is tolerated beyond that, shared by the answers that are awaited there: the silence of one says
/// little, as an engine that reads a prompt of 60,000 tokens makes fifteen tokens, an event, in 1.8 s. With
/// 103 entries before 160 engines an entry awaits one or two at each, and of 46,000 attempts 1,469 were left
/// at healthy engines, their prompts read anew.
const DARK_ALONE: Duration = Duration::from_millis(1_300);
/// Wait for a head as a multiple of the mean wait for such heads.
const MEAN_WAITS: u32 = 4;
/// Least wait for a head from a server that answers others, as a part of the objective: a
/// request that hangs may then still be in time elsewhere.
const OBJECTIVE_PART: f64 = 0.7;
/// Wait for a stream's next event from a server that answers others, as a multiple of the longest pause
/// that is on time. The stream is late by then, here or elsewhere, and elsewhere its prompt is read anew; a
/// caller leaves after eight such pauses.
const PAUSES: f64 = 3.0;
/// Pause assumed where the route declares none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(1_200);

/// The two waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTimeouts {
    /// With a server that is silent on all its connections.
    pub silent: Duration,
    /// With a server that answers others.
    pub slow: Duration,
}

/// Silence after which a server is dark where so many answers are awaited.
fn dark_after(awaited: u32) -> Duration {
    DARK_AFTER + DARK_ALONE / awaited.max(1)
}

/// Wait for an answer's head where another server may be tried after; `awaited` counts the answers that
/// are awaited at the server.
pub fn head_timeouts(
    kind: RouteKind,
    objective: Duration,
    mean: Option<Duration>,
    reading: Duration,
    awaited: u32,
) -> AnswerTimeouts {
    let by_mean = mean.unwrap_or(objective) * MEAN_WAITS;
    let least = objective.mul_f64(OBJECTIVE_PART);
    let slow = by_mean.max(least) + reading;
    if kind != RouteKind::Stream {
        return AnswerTimeouts { silent: slow, slow };
    }
    let dark = dark_after(awaited);
    AnswerTimeouts { silent: dark + reading, slow: slow.max(dark) }
}

/// Wait for a stream's next event where the stream may go on at another server.
pub fn event_timeouts(allowed_pause: Option<Duration>, awaited: u32) -> AnswerTimeouts {
    let slow = allowed_pause.unwrap_or(DEFAULT_PAUSE).mul_f64(PAUSES);
    AnswerTimeouts { silent: dark_after(awaited), slow }
}
