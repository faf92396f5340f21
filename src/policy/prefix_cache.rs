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
const LASTS_FOR: f64 = 0.6;
/// Memory of a server in tokens where the configuration has none; the least of the first sites.
const MEMORY_ASSUMED: u64 = 470_000;
/// Parts remembered for one server; 25 KB. Prompts here bring one or two shared parts of 140 to 13,000
/// tokens each, so a server's memory is full before the record is.
const MOST_PARTS: usize = 512;
/// Time after which other entries are informed again of a part that is still in use. They take a part as
/// used when they are informed of it; in this time a busy server reads a tenth of what it keeps.
const TELL_AGAIN: Duration = Duration::from_secs(4);
/// Tokens of a prompt's shared parts from which on other entries are informed. A note takes 14 bytes to each of
/// them: with a hundred entries, two in five in another AvailabilityZone, the users pay for that as much as
/// for reading 220 tokens again. Seven in ten of their requests to models share less than this, and reported
/// all of them seeds had no room for the rest (docs/decisions/0013).
const LEAST_TOLD: u64 = 1_000;

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
    let mark = |part: &PromptPart| {
        hash = xxh3_64_with_seed(&part.id.to_le_bytes(), hash);
        // Cut to four bytes for the messages between entries; rarely two prompts share one, and then
        // a server is believed to keep what it doesn't.
        PromptPrefix { hash: hash as u32, tokens: part.tokens }
    };
    shared.iter().map(mark).collect()
}

#[derive(Clone, Copy, Debug)]
struct KeptPart {
    tokens: u64,
    /// Tokens the server had read when the part was last used.
    used_at: u64,
    /// When other entries were last informed of it by this one.
    reported_at: Option<Duration>,
}

/// What one life of a server is believed to keep.
#[derive(Clone, Debug)]
pub struct CachedPrefixes {
    parts: HashMap<u32, KeptPart>,
    /// Tokens the server has read.
    read: u64,
    /// Tokens that it has memory for.
    memory: u64,
}

impl Default for CachedPrefixes {
    fn default() -> Self {
        Self { parts: HashMap::new(), read: 0, memory: MEMORY_ASSUMED }
    }
}

impl CachedPrefixes {
    /// How many of a prompt's parts the server keeps. One that is kept stands for all before it: it was
    /// read behind them, and they were used whenever it was.
    pub fn cached_prefix_count(&self, marks: &[PromptPrefix]) -> usize {
        marks.iter().rposition(|mark| self.is_kept(mark.hash)).map_or(0, |last| last + 1)
    }

    /// Tokens of a prompt that the server need not read: those of the parts it keeps.
    pub fn cached_tokens(&self, marks: &[PromptPrefix]) -> u64 {
        marks[..self.cached_prefix_count(marks)].iter().map(|mark| mark.tokens).sum()
    }

    fn is_kept(&self, hash: u32) -> bool {
        self.parts.get(&hash).is_some_and(|part| self.lasts(part))
    }

    fn lasts(&self, part: &KeptPart) -> bool {
        ((self.read - part.used_at) as f64) < self.memory as f64 * LASTS_FOR
    }

    /// Takes in how many tokens the server has memory for.
    pub fn set_capacity(&mut self, tokens: u64) {
        self.memory = tokens;
    }

    /// Notes that a prompt was sent of which the server has to read so many tokens.
    pub fn record_sent(&mut self, marks: &[PromptPrefix], unread_tokens: u64) {
        self.read += unread_tokens;
        for mark in marks {
            let reported_at = self.parts.get(&mark.hash).and_then(|part| part.reported_at);
            self.put(mark.hash, KeptPart { tokens: mark.tokens, used_at: self.read, reported_at });
        }
    }

    /// What other entries should be informed of a prompt that was sent: its last shared part, which stands for
    /// those before it, with the tokens of all; nothing where they were informed lately or it is short.
    pub fn take_report(&mut self, marks: &[PromptPrefix], now: Duration) -> Option<PromptPrefix> {
        let tokens: u64 = marks.iter().map(|mark| mark.tokens).sum();
        let last = marks.last().filter(|_| tokens >= LEAST_TOLD)?;
        let part = self.parts.get_mut(&last.hash)?;
        if part.reported_at.is_some_and(|at| now < at + TELL_AGAIN) {
            return None;
        }
        part.reported_at = Some(now);
        Some(PromptPrefix { hash: last.hash, tokens })
    }

    /// Takes in that another entry sent a part.
    pub fn record_peer_report(&mut self, hash: u32, tokens: u64) {
        if !self.is_kept(hash) {
            self.read += tokens;
        }
        let reported_at = self.parts.get(&hash).and_then(|part| part.reported_at);
        self.put(hash, KeptPart { tokens, used_at: self.read, reported_at });
    }

    fn put(&mut self, hash: u32, part: KeptPart) {
        self.parts.insert(hash, part);
        if self.parts.len() > MOST_PARTS {
            self.forget_oldest();
        }
    }

    /// Forgets the parts of a prompt that was sent but not read after all.
    pub fn forget(&mut self, marks: &[PromptPrefix]) {
        for mark in marks {
            self.parts.remove(&mark.hash);
        }
    }

    /// Parts in the record, those included that count as gone.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Tokens of all parts that count as kept.
    pub fn total_tokens(&self) -> u64 {
        self.parts.values().filter(|part| self.lasts(part)).map(|part| part.tokens).sum()
    }

    /// Drops what counts as gone, and the half used longest ago if that is not enough.
    fn forget_oldest(&mut self) {
        let mut parts = std::mem::take(&mut self.parts);
        parts.retain(|_, part| self.lasts(part));
        self.parts = parts;
        if self.parts.len() <= MOST_PARTS {
            return;
        }
        let mut used: Vec<u64> = self.parts.values().map(|part| part.used_at).collect();
        used.sort_unstable();
        let middle = used[used.len() / 2];
        self.parts.retain(|_, part| part.used_at > middle);
    }
}
