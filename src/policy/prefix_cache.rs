//! Estimate of which prompt parts a BackendServer has in its KV cache.
//!
//! A server caches the parts of the prompts that it prefilled until newer ones evict them. An entry can
//! therefore infer from the prompts it sent what is cached where, and cached parts need no prefill, on
//! which the largest models spend most of their time. A recorded part expires as in the server's own cache,
//! by the number of tokens prefilled since it was last used.

use std::{collections::HashMap, time::Duration};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::routing::PromptPart;

/// A part counts as evicted once the server has prefilled this fraction of its capacity since the last use.
/// Running requests take up space, too, and the prompts of other entries are only partly known. With 0.5,
/// 0.6 and 0.75 equally many answers were in time in tests/play; the parts prefilled again differ by a tenth.
const RETENTION_FRACTION: f64 = 0.6;
/// Cache capacity in tokens where the configuration gives none; the smallest of the first sites.
const DEFAULT_CAPACITY: u64 = 470_000;
/// Maximum number of prefixes recorded for one server, 25 KB. Prompts have one or two shared parts of 140 to
/// 13,000 tokens each, so the server's cache fills up before this record.
const MAX_PREFIXES: usize = 512;
/// Time after which a prefix that is still in use is reported to the other entries again. They consider it
/// used at the time of the report; within this interval a busy server prefills a tenth of its capacity.
const REPORT_INTERVAL: Duration = Duration::from_secs(4);
/// Minimum number of shared tokens in a prompt for a report to the other entries. A report takes 14 bytes to
/// each of them: with a hundred entries, two in five in another AvailabilityZone, this costs the users as much
/// as prefilling 220 tokens again. Seven in ten of their requests to models share fewer tokens than this;
/// when they were all reported, seed entries had no capacity for the other reports (docs/decisions/0013).
const MIN_REPORTED_TOKENS: u64 = 1_000;

/// A prompt up to the end of one of its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Hash of the model and of all parts up to this one: a cached part can be reused only after the
    /// same parts and by the same model.
    pub hash: u32,
    /// Tokens of this part; in a report to other entries, of all parts up to this one.
    pub tokens: u64,
}

/// The prefixes of a prompt that other requests may share: one for each part but the last, which is
/// specific to the request.
pub fn shared_prefixes(model: &str, parts: &[PromptPart]) -> Vec<PromptPrefix> {
    let shared = &parts[..parts.len().saturating_sub(1)];
    let mut hash = xxh3_64_with_seed(model.as_bytes(), 0);
    let to_prefix = |part: &PromptPart| {
        hash = xxh3_64_with_seed(&part.id.to_le_bytes(), hash);
        // Truncated to four bytes for the messages between entries. In the rare case of a collision a
        // server is assumed to have cached a part that it has not.
        PromptPrefix { hash: hash as u32, tokens: part.tokens }
    };
    shared.iter().map(to_prefix).collect()
}

/// A recorded prefix.
#[derive(Clone, Copy, Debug)]
struct CachedPrefix {
    tokens: u64,
    /// Number of tokens the server had prefilled when the prefix was last used.
    used_at: u64,
    /// When this entry last reported the prefix to the other entries.
    reported_at: Option<Duration>,
}

/// Prompt prefixes that a server is assumed to have cached since it was last started.
#[derive(Clone, Debug)]
pub struct CachedPrefixes {
    prefixes: HashMap<u32, CachedPrefix>,
    /// Number of tokens the server has prefilled.
    prefilled_tokens: u64,
    /// Cache capacity in tokens.
    capacity: u64,
}

impl Default for CachedPrefixes {
    fn default() -> Self {
        Self { prefixes: HashMap::new(), prefilled_tokens: 0, capacity: DEFAULT_CAPACITY }
    }
}

impl CachedPrefixes {
    /// Number of a prompt's prefixes that are cached. A cached prefix implies the shorter ones: they were
    /// prefilled before it and used whenever it was.
    pub fn cached_prefix_count(&self, prefixes: &[PromptPrefix]) -> usize {
        prefixes.iter().rposition(|prefix| self.is_cached(prefix.hash)).map_or(0, |last| last + 1)
    }

    /// Tokens of a prompt that need no prefill since they are cached.
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

    /// Sets the cache capacity in tokens.
    pub fn set_capacity(&mut self, tokens: u64) {
        self.capacity = tokens;
    }

    /// Records a prompt that was sent to the server, of which `uncached_tokens` need prefill.
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

    /// Returns what to report to the other entries about a prompt that was sent: its longest shared prefix,
    /// which implies the shorter ones, with the tokens of all parts. None if the prefix is short or was
    /// reported recently.
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

    /// Records a prefix that another entry reports to have sent.
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

    /// Removes the prefixes of a prompt that was sent but not prefilled.
    pub fn forget(&mut self, prefixes: &[PromptPrefix]) {
        for prefix in prefixes {
            self.prefixes.remove(&prefix.hash);
        }
    }

    /// Number of recorded prefixes, including expired ones.
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }

    /// Tokens of all prefixes that count as cached.
    pub fn total_tokens(&self) -> u64 {
        self.prefixes
            .values()
            .filter(|prefix| self.is_retained(prefix))
            .map(|prefix| prefix.tokens)
            .sum()
    }

    /// Drops expired prefixes and, if too many remain, the least recently used half.
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
