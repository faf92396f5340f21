//! How long a model takes to read prompt tokens and to begin its answer, learned from answers.

use std::time::Duration;

/// Time a token takes until answers have shown it: the largest model on the first engines.
const INITIAL_PREFILL_TOKEN_TIME: f64 = 27e-6;
/// Prompts shorter than this say more about the rest of the way than about reading.
const MIN_PROMPT_TOKENS: u64 = 1_000;
/// Part of the time to the first event that does not depend on the prompt, seconds.
const FIXED_HEAD_TIME: f64 = 0.050;
/// Step towards a faster reading: waiting only makes readings slower, so fast ones are truer.
const DECREASE_STEP: f64 = 0.2;
/// Step towards a slower reading.
const INCREASE_STEP: f64 = 0.005;
/// Stretch until answers have shown it.
const INITIAL_LOAD_FACTOR: f64 = 1.2;
/// Stretches are taken from this range: a lost server or a part that was kept after all shows nothing
/// about how busy servers are.
const LOAD_FACTOR_RANGE: (f64, f64) = (0.3, 5.0);
/// Step of the mean time to an answer's head.
const MEAN_STEP: f64 = 0.05;

/// An answer that takes so many times longer than expected counts against its version; bad ones
/// take several times as long, and waits behind others seldom double the time.
const SLOW_HEAD_FACTOR: f64 = 4.0;
/// A stream whose events take so many times longer than the mean counts against its version. Sound
/// ones do so, too, beside long prompts; the old version's rate of them is what is compared with.
const SLOW_STREAM_FACTOR: f64 = 2.0;
/// No stream is judged before this, seconds.
const MIN_SLOW_STREAM_TIME: f64 = 0.3;
/// No answer sooner than this is slow, whatever was expected, seconds.
const MIN_SLOW_HEAD_TIME: f64 = 0.1;

/// What was learned about one model, or about a service without models.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimingEstimate {
    prefill_token_time: f64,
    /// How many times longer heads take than the prompts before them and their own need for
    /// reading: running streams take their part of each step.
    load_factor: f64,
    mean_head_time: Option<f64>,
    /// Mean time between two events of a stream.
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
    /// Notes the time from a request to its answer's head. The server had to read so many tokens of
    /// its prompt, after other prompts that took so long.
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

    /// Whether an answer's head took several times longer than such heads do.
    pub fn is_slow_head(&self, prompt_tokens: u64, took: Duration) -> bool {
        let Some(mean) = self.mean_head_time else {
            return false;
        };
        let has_prompt = prompt_tokens > 0;
        let prefill_time = self.prefill_token_time * prompt_tokens as f64;
        let prefill_time = if has_prompt { FIXED_HEAD_TIME + prefill_time } else { 0.0 };
        took.as_secs_f64() > (mean.max(prefill_time) * SLOW_HEAD_FACTOR).max(MIN_SLOW_HEAD_TIME)
    }

    /// Notes a stream's mean time between two events.
    pub fn record_event_interval(&mut self, event_interval: Duration) {
        let event_interval = event_interval.as_secs_f64();
        let mean = self.mean_event_interval.get_or_insert(event_interval);
        *mean += (event_interval - *mean) * MEAN_STEP;
    }

    /// Whether so many pauses between events took several times longer than they do.
    pub fn is_slow_stream(&self, intervals: u32, took: Duration) -> bool {
        let Some(mean) = self.mean_event_interval else {
            return false;
        };
        let expected = mean * f64::from(intervals) * SLOW_STREAM_FACTOR;
        took.as_secs_f64() > expected.max(MIN_SLOW_STREAM_TIME)
    }

    /// Time for one prompt token on an engine with nothing else to read.
    pub fn prefill_token_time(&self) -> Duration {
        Duration::from_secs_f64(self.prefill_token_time)
    }

    /// Time to read a prompt on an engine with nothing else to read.
    pub fn prefill_time(&self, prompt_tokens: u64) -> Duration {
        Duration::from_secs_f64(self.prefill_token_time * prompt_tokens as f64)
    }

    /// Time until the head of an answer that is asked for now, after prompts that take so long.
    pub fn expected_head_time(&self, prompt_tokens: u64, ahead: Duration) -> Duration {
        let needed = ahead.as_secs_f64() + self.prefill_token_time * prompt_tokens as f64;
        Duration::from_secs_f64(FIXED_HEAD_TIME + needed * self.load_factor)
    }

    /// Mean time to an answer's head; none before the first answer.
    pub fn mean_head_time(&self) -> Option<Duration> {
        self.mean_head_time.map(Duration::from_secs_f64)
    }
}
