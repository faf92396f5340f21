//! A batching engine in simulated time: a step reads a chunk of prompts and makes a token of each
//! answer, and its memory keeps the prompt parts used last.

use std::collections::HashMap;

use mintmoor::policy::prefix_cache::PromptPrefix;

/// Speed and size of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Prompt tokens that a model of pace 1 reads in a second.
    pub read_rate: f64,
    /// Time of a step of a model of pace 1, seconds.
    pub step: f64,
    /// Time that each running request adds to it, seconds.
    pub step_per_run: f64,
    /// Prompt tokens read in one step at most.
    pub chunk: f64,
    /// Tokens of parts kept.
    pub memory: u64,
}

impl Speed {
    /// Engines that read 38 tokens a millisecond.
    pub fn slow() -> Self {
        Self {
            read_rate: 38_000.0,
            step: 4.6e-3,
            step_per_run: 1.5e-4,
            chunk: 1024.0,
            memory: 400_000,
        }
    }

    /// Engines that read 112 tokens a millisecond.
    pub fn fast() -> Self {
        Self {
            read_rate: 112_000.0,
            step: 3.23e-3,
            step_per_run: 4.83e-5,
            chunk: 4_096.0,
            memory: 585_993,
        }
    }

    /// The same with all its work done so many times faster.
    pub fn times(self, factor: f64) -> Self {
        Self {
            read_rate: self.read_rate * factor,
            step: self.step / factor,
            step_per_run: self.step_per_run / factor,
            ..self
        }
    }
}

/// A request at an engine.
#[derive(Clone, Debug)]
struct Run {
    id: usize,
    pace: f64,
    unread: f64,
    tokens_left: u64,
    first_at: Option<f64>,
}

/// What an engine tells of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Told {
    First(usize, f64),
    Ended(usize, f64),
}

#[derive(Clone, Debug)]
pub struct Engine {
    speed: Speed,
    runs: Vec<Run>,
    kept: HashMap<u32, (u64, u64)>,
    used: u64,
    step_ends: f64,
    /// Shared tokens read.
    pub shared_read: u64,
}

impl Engine {
    pub fn new(speed: Speed) -> Self {
        let (runs, kept) = (Vec::new(), HashMap::new());
        Self { speed, runs, kept, used: 0, step_ends: 0.0, shared_read: 0 }
    }

    /// Begins a request; its own tokens are always read, the parts it keeps are not.
    pub fn begin(&mut self, id: usize, pace: f64, marks: &[PromptPrefix], own: u64, answer: u64) {
        let kept = marks.iter().take_while(|m| self.kept.contains_key(&m.hash)).count();
        let shared: u64 = marks[kept..].iter().map(|m| m.tokens).sum();
        self.shared_read += shared;
        for mark in marks {
            self.used += 1;
            self.kept.insert(mark.hash, (mark.tokens, self.used));
        }
        // The own part takes memory, too, though nobody asks for it again.
        self.used += 1;
        self.kept.insert(u32::MAX - self.used as u32, (own, self.used));
        while self.kept.values().map(|(tokens, _)| tokens).sum::<u64>() > self.speed.memory {
            let oldest = *self.kept.iter().min_by_key(|(_, (_, used))| *used).unwrap().0;
            self.kept.remove(&oldest);
        }
        let unread = (shared + own) as f64;
        self.runs.push(Run { id, pace, unread, tokens_left: answer, first_at: None });
    }

    /// Leaves a request whose answer nobody wants any more.
    pub fn leave(&mut self, id: usize) {
        if let Some(run) = self.runs.iter_mut().find(|run| run.id == id) {
            run.tokens_left = 1;
        }
    }

    /// Runs until a moment and gives what happened.
    pub fn run_until(&mut self, now: f64, told: &mut Vec<Told>) {
        while !self.runs.is_empty() && self.step_ends < now {
            self.step(told);
        }
        if self.runs.is_empty() {
            self.step_ends = self.step_ends.max(now);
        }
    }

    fn step(&mut self, told: &mut Vec<Told>) {
        let mut chunk = self.speed.chunk;
        let mut reading = 0.0;
        for run in &mut self.runs {
            let part = run.unread.min(chunk);
            run.unread -= part;
            chunk -= part;
            reading += part * run.pace / self.speed.read_rate;
        }
        let runs = self.runs.len() as f64;
        let pace = self.runs.iter().map(|run| run.pace).sum::<f64>() / runs;
        self.step_ends += reading + pace * (self.speed.step + self.speed.step_per_run * runs);
        for run in self.runs.iter_mut().filter(|run| run.unread <= 0.0) {
            if run.first_at.is_none() {
                run.first_at = Some(self.step_ends);
                told.push(Told::First(run.id, self.step_ends));
            }
            run.tokens_left = run.tokens_left.saturating_sub(1);
            if run.tokens_left == 0 {
                told.push(Told::Ended(run.id, self.step_ends));
            }
        }
        self.runs.retain(|run| run.tokens_left > 0);
    }
}
