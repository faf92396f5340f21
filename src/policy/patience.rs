//! How long an attempt's answer is waited for before the next server is tried.

use std::time::Duration;

use crate::routing::RouteKind;

/// Wait for the first event of a stream on a sound engine, apart from reading the prompt. First
/// tokens came within 0.3 s on quiet days; the objectives are 1.5 s and more.
const FIRST_EVENT: Duration = Duration::from_millis(800);
/// Wait for each prompt token: four times what the largest model takes on a loaded engine.
const PER_PROMPT_TOKEN: Duration = Duration::from_micros(40);
/// Waits for an answer in one piece, as a multiple of the objective.
const OBJECTIVES: f64 = 1.5;
/// Part of the longest allowed pause after which a silent stream is resumed elsewhere, so that
/// the resumed one still keeps it.
const PAUSE_PART: f64 = 0.6;
/// Pause assumed where the route declares none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(1_200);

/// Wait for an answer's head where another server may be tried after.
pub fn head_patience(kind: RouteKind, objective: Duration, prompt_tokens: u64) -> Duration {
    if kind != RouteKind::Stream {
        return objective.mul_f64(OBJECTIVES);
    }
    let tokens = u32::try_from(prompt_tokens).unwrap_or(u32::MAX);
    FIRST_EVENT + PER_PROMPT_TOKEN.saturating_mul(tokens)
}

/// Wait for a stream's next event where the stream may go on at another server.
pub fn event_patience(allowed_pause: Option<Duration>) -> Duration {
    allowed_pause.unwrap_or(DEFAULT_PAUSE).mul_f64(PAUSE_PART)
}
