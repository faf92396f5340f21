//! Simulates a batching engine: each step reads a chunk of the waiting prompts and generates one token for each
//! running answer, and a cache keeps the most recently used prompt prefixes.

use std::collections::HashMap;

use mintmoor::policy::prefix_cache::PromptPrefix;

/// Speed and cache size of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineProfile {
    /// Prompt tokens read per second by a model with time factor 1.
    pub prefill_rate: f64,
    /// Seconds per step for a model with time factor 1.
    pub step_time: f64,
    /// Seconds that each running request adds to a step.
    pub step_time_per_request: f64,
    /// Maximum number of prompt tokens read in one step.
    pub prefill_chunk: f64,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: u64,
}

impl EngineProfile {
    /// Profile of an engine that reads 38 tokens per millisecond.
    pub fn slow() -> Self {
        Self {
            prefill_rate: 38_000.0,
            step_time: 4.6e-3,
            step_time_per_request: 1.5e-4,
            prefill_chunk: 1024.0,
            cache_tokens: 400_000,
        }
    }

    /// Profile of an engine that reads 112 tokens per millisecond.
    pub fn fast() -> Self {
        Self {
            prefill_rate: 112_000.0,
            step_time: 3.23e-3,
            step_time_per_request: 4.83e-5,
            prefill_chunk: 4_096.0,
            cache_tokens: 585_993,
        }
    }

    /// Returns the profile of an engine that is `factor` times as fast.
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            prefill_rate: self.prefill_rate * factor,
            step_time: self.step_time / factor,
            step_time_per_request: self.step_time_per_request / factor,
            ..self
        }
    }
}

/// A request that an engine is running.
#[derive(Clone, Debug)]
struct RunningRequest {
    id: usize,
    time_factor: f64,
    unread_tokens: f64,
    tokens_left: u64,
    first_token_at: Option<f64>,
}

/// An event of a request, given by its id, and the time of the event in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineEvent {
    FirstToken(usize, f64),
    Ended(usize, f64),
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    profile: EngineProfile,
    running: Vec<RunningRequest>,
    /// Tokens and last use of each cached prefix, by its hash.
    cached: HashMap<u32, (u64, u64)>,
    /// Incremented at each use of a prefix; orders the evictions.
    use_counter: u64,
    step_ends_at: f64,
    /// Number of shared tokens read so far.
    pub shared_tokens_read: u64,
    /// Time that its requests have added to its steps so far.
    pub work_seconds: f64,
}

impl Engine {
    pub fn new(profile: EngineProfile) -> Self {
        let (running, cached) = (Vec::new(), HashMap::new());
        Self {
            profile,
            running,
            cached,
            use_counter: 0,
            step_ends_at: 0.0,
            shared_tokens_read: 0,
            work_seconds: 0.0,
        }
    }

    /// Starts a request; cached prefixes are not read again, unique tokens always are.
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
        // The unique part occupies the cache too, although it is never requested again.
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

    /// Ends a request with its next token because its answer is no longer needed.
    pub fn cancel(&mut self, id: usize) {
        if let Some(request) = self.running.iter_mut().find(|request| request.id == id) {
            request.tokens_left = 1;
        }
    }

    /// Runs steps until the given time and appends what happened to `events`.
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
        let request_time =
            prefill_time + time_factor * self.profile.step_time_per_request * running_count;
        self.step_ends_at += request_time + time_factor * self.profile.step_time;
        self.work_seconds += request_time;
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
