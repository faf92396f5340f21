//! Choice of a BackendServer by estimated time to first token.
//!
//! The candidates are the servers that a consistent-hash ring assigns to the session and to the prompt's
//! prefix, and two random ones, so the cost of a choice does not grow with the pool.

use std::time::Duration;

use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of points of each server on the ring.
const VIRTUAL_NODES: u64 = 16;
/// Number of candidates taken from the ring: one for the session, one for the prefix.
pub const RING_CANDIDATES: usize = 2;
/// Number of candidates drawn at random.
const RANDOM_CANDIDATES: usize = 2;
/// Maximum number of candidates.
pub const MAX_CANDIDATES: usize = RING_CANDIDATES + RANDOM_CANDIDATES;

/// Servers that can run one version, on a consistent-hash ring. Servers are identified by their index.
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

    /// Number of servers in the pool.
    pub fn len(&self) -> usize {
        self.len as usize
    }

    /// Whether the pool is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Distinct candidates for the keys of a session and a prefix: first those from the ring, in the order of
    /// the keys, then random ones.
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

/// Load of one server, as known when a choice is made.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLoad {
    /// Number of running attempts, as reported by the agent.
    pub running: u32,
    /// Number of attempts in the agent's queue, as reported by the agent.
    pub queued: u32,
    /// Number of attempts that this entry has sent since that report.
    pub sent_since_report: u32,
    /// Number of attempts that the agent runs at the same time.
    pub limit: u32,
    /// Mean time for which an attempt occupies a slot.
    pub service_time: Duration,
    /// Mean time between two tokens of a running attempt.
    pub token_time: Duration,
    /// Prompt tokens prefilled per second.
    pub prefill_rate: f64,
    /// One-way network latency.
    pub one_way_latency: Duration,
    /// Prompt tokens assumed to be in the engine's prefix cache.
    pub cached_tokens: u64,
}

/// Estimated time until the first token of the answer to a prompt.
pub fn time_to_first_token(load: &ServerLoad, prompt_tokens: u64) -> Duration {
    let ahead = load.running + load.queued + load.sent_since_report;
    let limit = load.limit.max(1);
    let wait = if ahead < limit {
        // The new attempt shares each engine step with those already running.
        load.token_time.mul_f64(f64::from(ahead) / f64::from(limit))
    } else {
        load.service_time.mul_f64(f64::from(ahead - limit + 1) / f64::from(limit))
    };
    let uncached = prompt_tokens.saturating_sub(load.cached_tokens);
    let prefill = Duration::from_secs_f64(uncached as f64 / load.prefill_rate.max(1.0));
    wait + prefill + load.one_way_latency * 2
}

/// The candidate with the lowest estimate; on a tie the first one, since those from the ring come first.
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
