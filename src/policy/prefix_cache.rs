//! Which prompt parts a BackendServer still holds in its KV cache, as far as they were sent there.
//!
//! A server keeps the parts of the prompts that it read until newer ones push them out. Whoever sends
//! a prompt therefore knows what is kept where, and a request whose parts are kept need not be read
//! again: reading is what the largest models spend most of their time on. The record ages as the
//! server's memory does, by the tokens read since a part was last used.

use std::{collections::HashMap, time::Duration};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::routing::PromptPart;

/// Part of a server's memory that it reads before a part that was not used meanwhile counts as gone.
/// Running requests take their room, too, and what other entries read there is known in part. With 0.5,
/// 0.6 and 0.75 as many answers were in time in tests/play; the parts read again differ by a tenth.
const RETENTION_FRACTION: f64 = 0.6;
/// Memory of a server in tokens where the configuration has none; the least of the first sites.
const DEFAULT_CAPACITY: u64 = 470_000;
/// Parts remembered for one server; 25 KB. Prompts here bring one or two shared parts of 140 to 13,000
/// tokens each, so a server's memory is full before the record is.
const MAX_PREFIXES: usize = 512;
/// Time after which other entries are informed again of a part that is still in use. They take a part as
/// used when they are informed of it; in this time a busy server reads a tenth of what it keeps.
const REPORT_INTERVAL: Duration = Duration::from_secs(4);
/// Tokens of a prompt's shared parts from which on other entries are informed. A note takes 14 bytes to each of
/// them: with a hundred entries, two in five in another AvailabilityZone, the users pay for that as much as
/// for reading 220 tokens again. Seven in ten of their requests to models share less than this, and reported
/// all of them seeds had no room for the rest (docs/decisions/0013).
const MIN_REPORTED_TOKENS: u64 = 1_000;

/// A prompt up to the end of one of its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Hash of the model and of all parts up to this one: a part can be used again only behind the
    /// same parts and by the same model.
    pub hash: u32,
    /// Tokens of this part.
    pub tokens: u64,
}

/// The marks of a prompt that other requests may share: all parts but the last, which is the
/// request's own.
pub fn shared_prefixes(model: &str, parts: &[PromptPart]) -> Vec<PromptPrefix> {
    let shared = &parts[..parts.len().saturating_sub(1)];
    let mut hash = xxh3_64_with_seed(model.as_bytes(), 0);
    let to_prefix = |part: &PromptPart| {
        hash = xxh3_64_with_seed(&part.id.to_le_bytes(), hash);
        // Cut to four bytes for the messages between entries; rarely two prompts share one, and then
        // a server is believed to keep what it doesn't.
        PromptPrefix { hash: hash as u32, tokens: part.tokens }
    };
    shared.iter().map(to_prefix).collect()
}

#[derive(Clone, Copy, Debug)]
struct CachedPrefix {
    tokens: u64,
    /// Tokens the server had read when the part was last used.
    used_at: u64,
    /// When other entries were last informed of it by this one.
    reported_at: Option<Duration>,
}

/// What one life of a server is believed to keep.
#[derive(Clone, Debug)]
pub struct CachedPrefixes {
    prefixes: HashMap<u32, CachedPrefix>,
    /// Tokens the server has read.
    prefilled_tokens: u64,
    /// Tokens that it has memory for.
    capacity: u64,
}

impl Default for CachedPrefixes {
    fn default() -> Self {
        Self { prefixes: HashMap::new(), prefilled_tokens: 0, capacity: DEFAULT_CAPACITY }
    }
}

impl CachedPrefixes {
    /// How many of a prompt's parts the server keeps. One that is kept stands for all before it: it was
    /// read behind them, and they were used whenever it was.
    pub fn cached_prefix_count(&self, prefixes: &[PromptPrefix]) -> usize {
        prefixes.iter().rposition(|prefix| self.is_cached(prefix.hash)).map_or(0, |last| last + 1)
    }

    /// Tokens of a prompt that the server need not read: those of the parts it keeps.
    pub fn cached_tokens(&self, prefixes: &[PromptPrefix]) -> u64 {
        prefixes[..self.cached_prefix_count(prefixes)].iter().map(|prefix| prefix.tokens).sum()
    }

    fn is_cached(&self, hash: u32) -> bool {
        self.prefixes.get(&hash).is_some_and(|prefix| self.is_retained(prefix))
    }

    fn is_retained(&self, prefix: &CachedPrefix) -> bool {
        ((self.prefilled_tokens - prefix.used_at) as f64)
            < self.capacity as f64 * RETENTION_FRACTION
    }

    /// Takes in how many tokens the server has memory for.
    pub fn set_capacity(&mut self, tokens: u64) {
        self.capacity = tokens;
    }

    /// Notes that a prompt was sent of which the server has to read so many tokens.
    pub fn record_sent(&mut self, prefixes: &[PromptPrefix], uncached_tokens: u64) {
        self.prefilled_tokens += uncached_tokens;
        for prefix in prefixes {
            let reported_at = self.prefixes.get(&prefix.hash).and_then(|prefix| prefix.reported_at);
            self.insert(
                prefix.hash,
                CachedPrefix { tokens: prefix.tokens, used_at: self.prefilled_tokens, reported_at },
            );
        }
    }

    /// What other entries should be informed of a prompt that was sent: its last shared part, which stands for
    /// those before it, with the tokens of all; nothing where they were informed lately or it is short.
    pub fn take_report(
        &mut self,
        prefixes: &[PromptPrefix],
        now: Duration,
    ) -> Option<PromptPrefix> {
        let tokens: u64 = prefixes.iter().map(|prefix| prefix.tokens).sum();
        let last = prefixes.last().filter(|_| tokens >= MIN_REPORTED_TOKENS)?;
        let prefix = self.prefixes.get_mut(&last.hash)?;
        if prefix.reported_at.is_some_and(|at| now < at + REPORT_INTERVAL) {
            return None;
        }
        prefix.reported_at = Some(now);
        Some(PromptPrefix { hash: last.hash, tokens })
    }

    /// Takes in that another entry sent a part.
    pub fn record_peer_report(&mut self, hash: u32, tokens: u64) {
        if !self.is_cached(hash) {
            self.prefilled_tokens += tokens;
        }
        let reported_at = self.prefixes.get(&hash).and_then(|prefix| prefix.reported_at);
        self.insert(hash, CachedPrefix { tokens, used_at: self.prefilled_tokens, reported_at });
    }

    fn insert(&mut self, hash: u32, prefix: CachedPrefix) {
        self.prefixes.insert(hash, prefix);
        if self.prefixes.len() > MAX_PREFIXES {
            self.evict_oldest();
        }
    }

    /// Forgets the parts of a prompt that was sent but not read after all.
    pub fn forget(&mut self, prefixes: &[PromptPrefix]) {
        for prefix in prefixes {
            self.prefixes.remove(&prefix.hash);
        }
    }

    /// Parts in the record, those included that count as gone.
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }

    /// Tokens of all parts that count as kept.
    pub fn total_tokens(&self) -> u64 {
        self.prefixes
            .values()
            .filter(|prefix| self.is_retained(prefix))
            .map(|prefix| prefix.tokens)
            .sum()
    }

    /// Drops what counts as gone, and the half used longest ago if that is not enough.
    fn evict_oldest(&mut self) {
        let mut prefixes = std::mem::take(&mut self.prefixes);
        prefixes.retain(|_, prefix| self.is_retained(prefix));
        self.prefixes = prefixes;
        if self.prefixes.len() <= MAX_PREFIXES {
            return;
        }
        let mut used: Vec<u64> = self.prefixes.values().map(|prefix| prefix.used_at).collect();
        used.sort_unstable();
        let middle = used[used.len() / 2];
        self.prefixes.retain(|_, prefix| prefix.used_at > middle);
    }
}
