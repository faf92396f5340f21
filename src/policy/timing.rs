//! How long a model takes to read prompt tokens and to begin its answer, learned from answers.

use std::time::Duration;

/// Time a token takes until answers have shown it: the largest model on the first engines.
const FIRST_GUESS: f64 = 27e-6;
/// Prompts shorter than this say more about the rest of the way than about reading.
const LEAST_TOKENS: u64 = 1_000;
/// Part of the time to the first event that does not depend on the prompt, seconds.
const FIXED: f64 = 0.050;
/// Step towards a faster reading: waiting only makes readings slower, so fast ones are truer.
const FASTER: f64 = 0.2;
/// Step towards a slower reading.
const SLOWER: f64 = 0.005;
/// Stretch until answers have shown it.
const FIRST_STRETCH: f64 = 1.2;
/// Stretches are taken from this range: a lost server or a part that was kept after all shows nothing
/// about how busy servers are.
const STRETCH_RANGE: (f64, f64) = (0.3, 5.0);
/// Step of the mean time to an answer's head.
const MEAN_STEP: f64 = 0.05;

/// An answer that takes so many times longer than expected counts against its version; bad ones
/// take several times as long, and waits behind others seldom double the time.
const SLOW_FACTOR: f64 = 4.0;
/// A stream whose events take so many times longer than the mean counts against its version. Sound
/// ones do so, too, beside long prompts; the old version's rate of them is what is compared with.
const TRICKLE_FACTOR: f64 = 2.0;
/// No stream is judged before this, seconds.
const TRICKLE_LEAST: f64 = 0.3;
/// No answer sooner than this is slow, whatever was expected, seconds.
const SLOW_LEAST: f64 = 0.1;

/// What was learned about one model, or about a service without models.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimingEstimate {
    prefill_token_time: f64,
    /// How many times longer heads take than the prompts before them and their own need for
    /// reading: running streams take their part of each step.
    stretch: f64,
    head_time: Option<f64>,
    /// Mean time between two events of a stream.
    pace: Option<f64>,
}

impl Default for TimingEstimate {
    fn default() -> Self {
        Self {
            prefill_token_time: FIRST_GUESS,
            stretch: FIRST_STRETCH,
            head_time: None,
            pace: None,
        }
    }
}

impl TimingEstimate {
    /// Notes the time from a request to its answer's head. The server had to read so many tokens of
    /// its prompt, after other prompts that took so long.
    pub fn record_head(&mut self, prompt_tokens: u64, ahead: Duration, took: Duration) {
        let needed = ahead.as_secs_f64() + self.prefill_token_time * prompt_tokens as f64;
        if needed > FIXED {
            let stretch = (took.as_secs_f64() - FIXED).max(0.0) / needed;
            let (least, most) = STRETCH_RANGE;
            self.stretch += (stretch.clamp(least, most) - self.stretch) * MEAN_STEP;
        }
        let took = took.as_secs_f64();
        let mean = self.head_time.get_or_insert(took);
        *mean += (took - *mean) * MEAN_STEP;
        if prompt_tokens < LEAST_TOKENS {
            return;
        }
        let reading = (took - FIXED).max(0.0) / prompt_tokens as f64;
        let step = if reading < self.prefill_token_time { FASTER } else { SLOWER };
        self.prefill_token_time += (reading - self.prefill_token_time) * step;
    }

    /// Whether an answer's head took several times longer than such heads do.
    pub fn is_slow_head(&self, prompt_tokens: u64, took: Duration) -> bool {
        let Some(mean) = self.head_time else {
            return false;
        };
        let has_prompt = prompt_tokens > 0;
        let reading = self.prefill_token_time * prompt_tokens as f64;
        let reading = if has_prompt { FIXED + reading } else { 0.0 };
        took.as_secs_f64() > (mean.max(reading) * SLOW_FACTOR).max(SLOW_LEAST)
    }

    /// Notes a stream's mean time between two events.
    pub fn record_event_interval(&mut self, pace: Duration) {
        let pace = pace.as_secs_f64();
        let mean = self.pace.get_or_insert(pace);
        *mean += (pace - *mean) * MEAN_STEP;
    }

    /// Whether so many pauses between events took several times longer than they do.
    pub fn is_slow_stream(&self, pauses: u32, took: Duration) -> bool {
        let Some(pace) = self.pace else {
            return false;
        };
        let expected = pace * f64::from(pauses) * TRICKLE_FACTOR;
        took.as_secs_f64() > expected.max(TRICKLE_LEAST)
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
        Duration::from_secs_f64(FIXED + needed * self.stretch)
    }

    /// Mean time to an answer's head; none before the first answer.
    pub fn mean_head_time(&self) -> Option<Duration> {
        self.head_time.map(Duration::from_secs_f64)
    }
}
