//! Estimate of a model's prefill time and of the time until its answers begin, learned from answers.

use std::time::Duration;

/// Initial prefill time per token, in seconds: that of the largest model on the first engines.
const INITIAL_PREFILL_TOKEN_TIME: f64 = 27e-6;
/// Minimum number of prompt tokens for an update of the prefill time; for shorter prompts, other delays
/// dominate.
const MIN_PROMPT_TOKENS: u64 = 1_000;
/// Part of the time to the first event that does not depend on the prompt, in seconds.
const FIXED_HEAD_TIME: f64 = 0.050;
/// Smoothing factor towards a shorter prefill time. Queueing can only lengthen a measurement, so short ones
/// are more accurate.
const DECREASE_STEP: f64 = 0.2;
/// Smoothing factor towards a longer prefill time.
const INCREASE_STEP: f64 = 0.005;
/// Initial load factor.
const INITIAL_LOAD_FACTOR: f64 = 1.2;
/// Measured load factors are clamped to this range: a lost server, or a part that was cached contrary to the
/// estimate, shows nothing about the servers' load.
const LOAD_FACTOR_RANGE: (f64, f64) = (0.3, 5.0);
/// Smoothing factor of the load factor and of the means.
const MEAN_STEP: f64 = 0.05;

/// An answer whose head takes this many times longer than expected counts against its version. Bad versions
/// take several times as long, while queueing seldom doubles the time.
const SLOW_HEAD_FACTOR: f64 = 4.0;
/// The same for answers to prompts, which wait behind other prompts more often.
const SLOW_PROMPT_FACTOR: f64 = 6.0;
/// A stream whose events take this many times longer than the mean counts against its version. Streams of a
/// good version do so, too, beside long prompts; the rate is therefore compared with that of the old version.
const SLOW_STREAM_FACTOR: f64 = 2.0;
/// Time before which no stream counts as slow, in seconds.
const MIN_SLOW_STREAM_TIME: f64 = 0.3;
/// A stream that is not complete yet counts against its version if its events take this many times longer: many wait
/// for a long prompt and then catch up.
const OVERDUE_STREAM_FACTOR: f64 = 3.0;
/// Time before which no such stream counts, in seconds.
const MIN_OVERDUE_STREAM_TIME: f64 = 2.0;
/// Time before which no head counts as slow, whatever was expected, in seconds.
const MIN_SLOW_HEAD_TIME: f64 = 0.05;

/// Timing of one model, or of a service without models; all times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimingEstimate {
    prefill_token_time: f64,
    /// Ratio of the time to a head to the prefill time of its prompt and of those before it. Running streams
    /// raise it, since they take up part of each engine step.
    load_factor: f64,
    mean_head_time: Option<f64>,
    /// Mean time between two events of a stream; none before the first stream.
    mean_event_interval: Option<f64>,
}

impl Default for TimingEstimate {
    fn default() -> Self {
        Self {
            prefill_token_time: INITIAL_PREFILL_TOKEN_TIME,
            load_factor: INITIAL_LOAD_FACTOR,
            mean_head_time: None,
            mean_event_interval: None,
        }
    }
}

impl TimingEstimate {
    /// Records the time from a request to its response head. The server had to prefill `prompt_tokens` of its
    /// prompt, after other prompts that took `ahead`.
    pub fn record_head(&mut self, prompt_tokens: u64, ahead: Duration, took: Duration) {
        let needed = ahead.as_secs_f64() + self.prefill_token_time * prompt_tokens as f64;
        if needed > FIXED_HEAD_TIME {
            let load_factor = (took.as_secs_f64() - FIXED_HEAD_TIME).max(0.0) / needed;
            let (min, max) = LOAD_FACTOR_RANGE;
            self.load_factor += (load_factor.clamp(min, max) - self.load_factor) * MEAN_STEP;
        }
        let took = took.as_secs_f64();
        let mean = self.mean_head_time.get_or_insert(took);
        *mean += (took - *mean) * MEAN_STEP;
        if prompt_tokens < MIN_PROMPT_TOKENS {
            return;
        }
        let token_time = (took - FIXED_HEAD_TIME).max(0.0) / prompt_tokens as f64;
        let step = if token_time < self.prefill_token_time { DECREASE_STEP } else { INCREASE_STEP };
        self.prefill_token_time += (token_time - self.prefill_token_time) * step;
    }

    /// Whether a response head took several times longer than expected.
    pub fn is_slow_head(&self, prompt_tokens: u64, took: Duration) -> bool {
        self.slow_head_time(prompt_tokens).is_some_and(|slow| took > slow)
    }

    /// Time after which a response head is several times later than expected; none before the first answer.
    pub fn slow_head_time(&self, prompt_tokens: u64) -> Option<Duration> {
        let mean = self.mean_head_time?;
        let has_prompt = prompt_tokens > 0;
        let prefill_time = self.prefill_token_time * prompt_tokens as f64;
        let prefill_time = if has_prompt { FIXED_HEAD_TIME + prefill_time } else { 0.0 };
        let factor = if has_prompt { SLOW_PROMPT_FACTOR } else { SLOW_HEAD_FACTOR };
        let seconds = (mean.max(prefill_time) * factor).max(MIN_SLOW_HEAD_TIME);
        Some(Duration::from_secs_f64(seconds))
    }

    /// Records a stream's mean time between two events.
    pub fn record_event_interval(&mut self, event_interval: Duration) {
        let event_interval = event_interval.as_secs_f64();
        let mean = self.mean_event_interval.get_or_insert(event_interval);
        *mean += (event_interval - *mean) * MEAN_STEP;
    }

    /// Whether a complete stream with this number of intervals between events took several times longer than usual.
    pub fn is_slow_stream(&self, intervals: u32, took: Duration) -> bool {
        let slow = self.usual_stream_time(intervals).map(|usual| usual * SLOW_STREAM_FACTOR);
        slow.is_some_and(|slow| took.as_secs_f64() > slow.max(MIN_SLOW_STREAM_TIME))
    }

    /// Whether a stream that goes on has taken several times longer than usual for this number of intervals.
    pub fn is_overdue_stream(&self, intervals: u32, took: Duration) -> bool {
        let slow = self.usual_stream_time(intervals).map(|usual| usual * OVERDUE_STREAM_FACTOR);
        slow.is_some_and(|slow| took.as_secs_f64() > slow.max(MIN_OVERDUE_STREAM_TIME))
    }

    /// Mean time of this number of intervals between events, in seconds; none before the first stream.
    fn usual_stream_time(&self, intervals: u32) -> Option<f64> {
        self.mean_event_interval.map(|mean| mean * f64::from(intervals))
    }

    /// Prefill time of one token on an engine with no other prompts.
    pub fn prefill_token_time(&self) -> Duration {
        Duration::from_secs_f64(self.prefill_token_time)
    }

    /// Prefill time of a prompt on an engine with no other prompts.
    pub fn prefill_time(&self, prompt_tokens: u64) -> Duration {
        Duration::from_secs_f64(self.prefill_token_time * prompt_tokens as f64)
    }

    /// Expected time to the response head of a request sent now, after prompts that take `ahead`.
    pub fn expected_head_time(&self, prompt_tokens: u64, ahead: Duration) -> Duration {
        let needed = ahead.as_secs_f64() + self.prefill_token_time * prompt_tokens as f64;
        Duration::from_secs_f64(FIXED_HEAD_TIME + needed * self.load_factor)
    }

    /// Mean time to a response head; none before the first answer.
    pub fn mean_head_time(&self) -> Option<Duration> {
        self.mean_head_time.map(Duration::from_secs_f64)
    }
}
