//! A batching engine in simulated time: a step reads a chunk of prompts and makes a token of each
//! answer, and its memory keeps the prompt parts used last.

use std::collections::HashMap;

use mintmoor::policy::prefix_cache::PromptPrefix;

/// Speed and size of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineProfile {
    /// Prompt tokens that a model of pace 1 reads in a second.
    pub prefill_rate: f64,
    /// Time of a step of a model of pace 1, seconds.
    pub step_time: f64,
    /// Time that each running request adds to it, seconds.
    pub step_time_per_request: f64,
    /// Prompt tokens read in one step at most.
    pub prefill_chunk: f64,
    /// Tokens of parts kept.
    pub cache_tokens: u64,
}

impl EngineProfile {
    /// Engines that read 38 tokens a millisecond.
    pub fn slow() -> Self {
        Self {
            prefill_rate: 38_000.0,
            step_time: 4.6e-3,
            step_time_per_request: 1.5e-4,
            prefill_chunk: 1024.0,
            cache_tokens: 400_000,
        }
    }

    /// Engines that read 112 tokens a millisecond.
    pub fn fast() -> Self {
        Self {
            prefill_rate: 112_000.0,
            step_time: 3.23e-3,
            step_time_per_request: 4.83e-5,
            prefill_chunk: 4_096.0,
            cache_tokens: 585_993,
        }
    }

    /// The same with all its work done so many times faster.
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            prefill_rate: self.prefill_rate * factor,
            step_time: self.step_time / factor,
            step_time_per_request: self.step_time_per_request / factor,
            ..self
        }
    }
}

/// A request at an engine.
#[derive(Clone, Debug)]
struct RunningRequest {
    id: usize,
    time_factor: f64,
    unread_tokens: f64,
    tokens_left: u64,
    first_token_at: Option<f64>,
}

/// What an engine tells of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineEvent {
    FirstToken(usize, f64),
    Ended(usize, f64),
}

#[derive(Clone, Debug)]
pub struct Engine {
    profile: EngineProfile,
    running: Vec<RunningRequest>,
    cached: HashMap<u32, (u64, u64)>,
    use_counter: u64,
    step_ends_at: f64,
    /// Shared tokens read.
    pub shared_tokens_read: u64,
}

impl Engine {
    pub fn new(profile: EngineProfile) -> Self {
        let (running, cached) = (Vec::new(), HashMap::new());
        Self { profile, running, cached, use_counter: 0, step_ends_at: 0.0, shared_tokens_read: 0 }
    }

    /// Begins a request; its own tokens are always read, the parts it keeps are not.
    pub fn start(
        &mut self,
        id: usize,
        time_factor: f64,
        prefixes: &[PromptPrefix],
        unique_tokens: u64,
        answer_tokens: u64,
    ) {
        let cached_prefixes =
            prefixes.iter().take_while(|prefix| self.cached.contains_key(&prefix.hash)).count();
        let shared_tokens: u64 =
            prefixes[cached_prefixes..].iter().map(|prefix| prefix.tokens).sum();
        self.shared_tokens_read += shared_tokens;
        for prefix in prefixes {
            self.use_counter += 1;
            self.cached.insert(prefix.hash, (prefix.tokens, self.use_counter));
        }
        // The own part takes memory, too, though nobody asks for it again.
        self.use_counter += 1;
        self.cached.insert(u32::MAX - self.use_counter as u32, (unique_tokens, self.use_counter));
        while self.cached.values().map(|(tokens, _)| tokens).sum::<u64>()
            > self.profile.cache_tokens
        {
            let oldest = *self.cached.iter().min_by_key(|(_, (_, last_use))| *last_use).unwrap().0;
            self.cached.remove(&oldest);
        }
        let unread_tokens = (shared_tokens + unique_tokens) as f64;
        self.running.push(RunningRequest {
            id,
            time_factor,
            unread_tokens,
            tokens_left: answer_tokens,
            first_token_at: None,
        });
    }

    /// Leaves a request whose answer nobody wants any more.
    pub fn cancel(&mut self, id: usize) {
        if let Some(request) = self.running.iter_mut().find(|request| request.id == id) {
            request.tokens_left = 1;
        }
    }

    /// Runs until a moment and gives what happened.
    pub fn advance_to(&mut self, now: f64, events: &mut Vec<EngineEvent>) {
        while !self.running.is_empty() && self.step_ends_at < now {
            self.run_step(events);
        }
        if self.running.is_empty() {
            self.step_ends_at = self.step_ends_at.max(now);
        }
    }

    fn run_step(&mut self, events: &mut Vec<EngineEvent>) {
        let mut tokens_left_in_step = self.profile.prefill_chunk;
        let mut prefill_time = 0.0;
        for request in &mut self.running {
            let tokens = request.unread_tokens.min(tokens_left_in_step);
            request.unread_tokens -= tokens;
            tokens_left_in_step -= tokens;
            prefill_time += tokens * request.time_factor / self.profile.prefill_rate;
        }
        let running_count = self.running.len() as f64;
        let time_factor =
            self.running.iter().map(|request| request.time_factor).sum::<f64>() / running_count;
        self.step_ends_at += prefill_time
            + time_factor
                * (self.profile.step_time + self.profile.step_time_per_request * running_count);
        for request in self.running.iter_mut().filter(|request| request.unread_tokens <= 0.0) {
            if request.first_token_at.is_none() {
                request.first_token_at = Some(self.step_ends_at);
                events.push(EngineEvent::FirstToken(request.id, self.step_ends_at));
            }
            request.tokens_left = request.tokens_left.saturating_sub(1);
            if request.tokens_left == 0 {
                events.push(EngineEvent::Ended(request.id, self.step_ends_at));
            }
        }
        self.running.retain(|request| request.tokens_left > 0);
    }
}
