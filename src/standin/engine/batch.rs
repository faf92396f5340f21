//! The batching model: one step prefills a chunk and decodes one token of each sequence.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use tokio::sync::mpsc::UnboundedSender;

use crate::ids::VersionId;

/// Speed and size of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineModel {
    /// Sequences decoded together at most.
    pub max_batch: usize,
    /// Prompt tokens prefilled a second.
    pub prefill_rate: f64,
    /// Prompt tokens prefilled in one step at most.
    pub prefill_chunk: u64,
    /// Time of a step with an empty batch.
    pub step_base: Duration,
    /// Time each sequence adds to a step.
    pub step_per_sequence: Duration,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            max_batch: 16,
            prefill_rate: 8_000.0,
            prefill_chunk: 512,
            step_base: Duration::from_millis(8),
            step_per_sequence: Duration::from_micros(250),
        }
    }
}

/// Load an engine reports, late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Sequences being decoded or prefilled.
    pub running: u64,
    /// Sequences waiting for a place.
    pub waiting: u64,
}

/// One request inside the engine.
#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) id: Box<str>,
    pub(super) version: VersionId,
    pub(super) priority: i32,
    pub(super) prefill_left: u64,
    pub(super) next_token: u64,
    pub(super) end_token: u64,
    /// Takes the index of each token as it is generated.
    pub(super) tx: UnboundedSender<u64>,
}

/// Sequences in and before the batch.
#[derive(Debug, Default)]
pub(super) struct Batch {
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    reports: VecDeque<(Instant, EngineLoad)>,
}

impl Batch {
    /// Queues a sequence behind those of the same or a higher priority.
    pub(super) fn add(&mut self, sequence: Sequence) {
        let behind = |other: &Sequence| other.priority < sequence.priority;
        let at = self.waiting.iter().position(behind).unwrap_or(self.waiting.len());
        self.waiting.insert(at, sequence);
    }

    /// Takes a sequence out wherever it is.
    pub(super) fn cancel(&mut self, id: &str) -> bool {
        let before = self.waiting.len() + self.running.len();
        self.waiting.retain(|sequence| &*sequence.id != id);
        self.running.retain(|sequence| &*sequence.id != id);
        before != self.waiting.len() + self.running.len()
    }

    /// Whether any sequence of a version is inside.
    pub(super) fn uses(&self, version: &str) -> bool {
        self.running.iter().chain(&self.waiting).any(|sequence| &*sequence.version == version)
    }

    /// Load as it is now.
    pub(super) fn load(&self) -> EngineLoad {
        EngineLoad { running: self.running.len() as u64, waiting: self.waiting.len() as u64 }
    }

    /// Load as it was `lag` ago.
    pub(super) fn lagged_load(&self, lag: Duration) -> EngineLoad {
        let old = self.reports.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        old.map(|(_, load)| *load).unwrap_or_default()
    }

    /// Fills the batch and says how long the next step takes; nothing when there is no work.
    pub(super) fn plan_step(&mut self, model: &EngineModel) -> Option<Duration> {
        while self.running.len() < model.max_batch {
            let Some(sequence) = self.waiting.pop_front() else {
                break;
            };
            self.running.push(sequence);
        }
        if self.running.is_empty() {
            return None;
        }
        let mut chunk = model.prefill_chunk;
        let mut prefilled = 0;
        for sequence in &mut self.running {
            let part = sequence.prefill_left.min(chunk);
            sequence.prefill_left -= part;
            chunk -= part;
            prefilled += part;
        }
        let prefill = Duration::from_secs_f64(prefilled as f64 / model.prefill_rate);
        let decode = model.step_base + model.step_per_sequence * self.running.len() as u32;
        Some(prefill + decode)
    }

    /// Emits one token of each prefilled sequence and drops those that have ended.
    pub(super) fn finish_step(&mut self, lag: Duration) {
        for sequence in self.running.iter_mut().filter(|sequence| sequence.prefill_left == 0) {
            let gone = sequence.tx.send(sequence.next_token).is_err();
            sequence.next_token += 1;
            if gone {
                sequence.end_token = sequence.next_token;
            }
        }
        self.running.retain(|sequence| sequence.next_token < sequence.end_token);
        self.reports.push_back((Instant::now(), self.load()));
        while self.reports.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
            self.reports.pop_front();
        }
    }
}
