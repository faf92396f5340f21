//! The prefix cache: chained blocks of a prompt, bounded, least recently used out first.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens in one cached block.
pub const BLOCK_TOKENS: usize = 16;
const KEPT_EVENTS: usize = 4096;

/// What happened to a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The block is now cached.
    Stored,
    /// The block was dropped.
    Evicted,
}

/// A published cache event; a jump in `sequence` is a gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event, from 1.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Chained hash of the block.
    pub block: u64,
}

/// Chained hashes of the whole blocks of a prompt: equal hashes mean equal prefixes.
pub fn block_hashes(version: &str, words: &[&str]) -> Vec<u64> {
    let mut chain = xxh3_64_with_seed(version.as_bytes(), 0);
    words
        .chunks_exact(BLOCK_TOKENS)
        .map(|block| {
            for word in block {
                chain = xxh3_64_with_seed(word.as_bytes(), chain);
            }
            chain
        })
        .collect()
}

/// Blocks in memory and the events about them.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    lag: Duration,
    gaps: f64,
    clock: u64,
    used: HashMap<u64, u64>,
    events: VecDeque<(Instant, CacheEvent)>,
    sequence: u64,
    pub(super) hit_tokens: u64,
    pub(super) prompt_tokens: u64,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize, lag: Duration, gaps: f64) -> Self {
        Self {
            capacity,
            lag,
            gaps,
            clock: 0,
            used: HashMap::new(),
            events: VecDeque::new(),
            sequence: 0,
            hit_tokens: 0,
            prompt_tokens: 0,
        }
    }

    /// Counts the prompt tokens that need no prefill, and caches the whole prompt.
    pub(super) fn admit(
        &mut self,
        blocks: &[u64],
        tokens: u64,
        drop_event: impl Fn(f64) -> bool,
    ) -> u64 {
        let hits = blocks.iter().take_while(|block| self.used.contains_key(block)).count();
        for block in blocks {
            self.clock += 1;
            if self.used.insert(*block, self.clock).is_none() {
                self.publish(CacheEventKind::Stored, *block, drop_event(self.gaps));
            }
        }
        while self.used.len() > self.capacity {
            let Some((block, _)) = self.used.iter().min_by_key(|(_, at)| **at) else {
                break;
            };
            let block = *block;
            self.used.remove(&block);
            self.publish(CacheEventKind::Evicted, block, drop_event(self.gaps));
        }
        let hit_tokens = (hits * BLOCK_TOKENS) as u64;
        self.hit_tokens += hit_tokens;
        self.prompt_tokens += tokens;
        hit_tokens
    }

    /// Blocks held, for export.
    pub(super) fn export(&self, blocks: &[u64]) -> Vec<u64> {
        blocks.iter().copied().take_while(|block| self.used.contains_key(block)).collect()
    }

    /// Events after a sequence number that are old enough to be published.
    pub(super) fn events_after(&self, sequence: u64) -> Vec<CacheEvent> {
        let published = self.events.iter().filter(|(at, _)| at.elapsed() >= self.lag);
        published.map(|(_, event)| *event).filter(|event| event.sequence > sequence).collect()
    }

    fn publish(&mut self, kind: CacheEventKind, block: u64, dropped: bool) {
        self.sequence += 1;
        if dropped {
            return;
        }
        let event = CacheEvent { sequence: self.sequence, kind, block };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
