//! Choice of a BackendServer by estimated time to first token.
//!
//! The servers a consistent-hash ring prefers for the session and for the prompt's prefix, and
//! two drawn at random, are compared; so the cost of a choice does not grow with the pool.

use std::time::Duration;

use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Points of each server on the ring.
const VIRTUAL_NODES: u64 = 16;
/// Servers the ring prefers: one for the session, one for the prefix.
pub const RING_CANDIDATES: usize = 2;
const RANDOM_CANDIDATES: usize = 2;
/// Servers compared at most.
pub const MAX_CANDIDATES: usize = RING_CANDIDATES + RANDOM_CANDIDATES;

/// Servers that can run one version, as a ring; servers are known by their index.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    ring: Vec<(u64, u32)>,
    len: u32,
}

impl Pool {
    /// Builds the ring from the servers' names.
    pub fn new<'a>(names: impl Iterator<Item = &'a str>) -> Self {
        let mut ring = Vec::new();
        let mut len = 0;
        for name in names {
            ring.extend((0..VIRTUAL_NODES).map(|p| (xxh3_64_with_seed(name.as_bytes(), p), len)));
            len += 1;
        }
        ring.sort_unstable();
        Self { ring, len }
    }

    /// Servers in the pool.
    pub fn len(&self) -> usize {
        self.len as usize
    }

    /// Whether the pool is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Candidates for a session and a prefix, in this order and without repeats.
    pub fn candidates(&self, keys: &[u64; RING_CANDIDATES], rng: &mut impl Rng) -> Vec<u32> {
        let mut found = Vec::with_capacity(MAX_CANDIDATES);
        if self.len == 0 {
            return found;
        }
        for key in keys {
            let start = self.ring.partition_point(|(point, _)| point < key);
            let (_, server) = self.ring.get(start).unwrap_or(&self.ring[0]);
            if !found.contains(server) {
                found.push(*server);
            }
        }
        for _ in 0..RANDOM_CANDIDATES {
            let server = rng.random_range(0..self.len);
            if !found.contains(&server) {
                found.push(server);
            }
        }
        found
    }
}

/// What is known about one server when a choice is made.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLoad {
    /// Attempts running, by the agent's own count.
    pub running: u32,
    /// Attempts in the agent's queue.
    pub queued: u32,
    /// Attempts this entry has sent since that count.
    pub sent_since_report: u32,
    /// Attempts the agent lets run at a time.
    pub limit: u32,
    /// Mean time an attempt occupies a place.
    pub service_time: Duration,
    /// Time of one token for each running attempt.
    pub token_time: Duration,
    /// Prompt tokens prefilled a second.
    pub prefill_rate: f64,
    /// One-way distance.
    pub one_way_latency: Duration,
    /// Prompt tokens believed to be in the engine's prefix cache.
    pub cached_tokens: u64,
}

/// Expected time until the first token of a prompt.
pub fn time_to_first_token(load: &ServerLoad, prompt_tokens: u64) -> Duration {
    let ahead = load.running + load.queued + load.sent_since_report;
    let limit = load.limit.max(1);
    let wait = if ahead < limit {
        // A joining attempt shares each step with those already running.
        load.token_time.mul_f64(f64::from(ahead) / f64::from(limit))
    } else {
        load.service_time.mul_f64(f64::from(ahead - limit + 1) / f64::from(limit))
    };
    let uncached = prompt_tokens.saturating_sub(load.cached_tokens);
    let prefill = Duration::from_secs_f64(uncached as f64 / load.prefill_rate.max(1.0));
    wait + prefill + load.one_way_latency * 2
}

/// The candidate with the smallest estimate; ties go to the first, which the ring prefers.
pub fn choose_server(
    candidates: &[u32],
    prompt_tokens: u64,
    load_of: impl Fn(u32) -> Option<ServerLoad>,
) -> Option<u32> {
    candidates
        .iter()
        .filter_map(|server| {
            let load = load_of(*server)?;
            Some((time_to_first_token(&load, prompt_tokens), *server))
        })
        .min_by_key(|(time, _)| *time)
        .map(|(_, server)| server)
}
