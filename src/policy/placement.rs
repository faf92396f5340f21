//! Which BackendServer gets an attempt: the one with the least expected cost in time.
//!
//! The cost of a server is its expected wait, the time to read shared prompt parts that it does
//! not keep, and a charge for leaving the AvailabilityZone. What servers keep is known from what
//! entries sent there (docs/decisions/0011). Parts that none keeps go to the server that rendezvous
//! hashing gives, so that entries which send them at the same time agree.
//!
//! Only a few servers are weighed for a request: the first by rendezvous hashing in the zone and outside, and
//! those that keep its parts. What entries know of the load is half a second old; if all weighed all servers,
//! they would all choose the one that was free then. With few choices each, drawn by hash, they spread
//! (Mitzenmacher, How useful is old information?, 2000; docs/decisions/0014).

use std::{cmp::Reverse, time::Duration};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A server as the decision sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Hash of the server's id.
    pub id_hash: u64,
    /// Requests believed to be at the server.
    pub load: f64,
    /// Requests it runs at a time.
    pub slots: u32,
    /// Time the server needs for prompts that it was sent and has not answered yet.
    pub backlog: Duration,
    /// Shared tokens of the prompt that it need not read again.
    pub cached_tokens: u64,
    /// How often it failed of late, 0 to 1.
    pub failure_rate: f64,
    /// Whether it stands in the entry's own zone.
    pub is_same_zone: bool,
}

/// What is to be placed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementRequest {
    /// Hash of the shared parts, if there are any worth keeping together.
    pub affinity: Option<u64>,
    /// Tokens of those parts.
    pub shared_tokens: u64,
    /// Time the model takes to read one token.
    pub prefill_token_time: Duration,
    /// Size of the request's body.
    pub bytes: usize,
    /// What draws the servers that are weighed where there are no shared parts: a hash of the request.
    pub request_hash: u64,
}

/// What a server costs besides its backlog; settings under `placement`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementConfig {
    /// For each request that runs at the server.
    pub running: Duration,
    /// For each request beyond its slots.
    pub waiting: Duration,
    /// For a failure, as often as the server fails.
    pub failure: Duration,
    /// For leaving the AvailabilityZone.
    pub far: Duration,
    /// For each 1,024 bytes of a body that leaves the AvailabilityZone.
    pub far_kilobyte: Duration,
    /// For each shared token that is read again, beyond the time that takes.
    pub reread_token: Duration,
    /// Mean backlog of the servers from which on leaving the zone is charged less.
    pub spare_backlog: Duration,
    /// Servers that are weighed in the zone, and as many outgroup.
    pub choices: usize,
}

impl Default for PlacementConfig {
    fn default() -> Self {
        Self {
            // Steps of the engines grow by 1.5 % for each running request: 6 ms in half a second.
            running: Duration::from_millis(6),
            // Mean work of the application servers.
            waiting: Duration::from_millis(60),
            // A failed attempt costs the time until it shows and one of the few attempts.
            failure: Duration::from_millis(400),
            // The way itself is a millisecond; the rest is for the headers and the answer, a kilobyte.
            far: Duration::from_millis(15),
            // On a par with reading 830 tokens again, as the users price them (310 to 980). Against a
            // charge whatever the size, a third less goes between zones (tests/play/placing.rs). With 9 ms
            // quiet days earned 0.03 less where prompts are longest; with 40 ms no more, and days with load
            // 0.008 less where they are shorter (docs/decisions/0011).
            far_kilobyte: Duration::from_millis(25),
            // Puts 830 tokens on a par with a kilobyte that leaves the zone.
            reread_token: Duration::from_micros(30),
            // A tenth of the shortest objective of a stream met so far: up to it nothing is late. Unlike
            // servers earn 1 % more by it in tests/play; charged less from no backlog on, quiet days
            // earned 0.02 less where prompts are longest (docs/decisions/0011).
            spare_backlog: Duration::from_millis(200),
            // With 103 entries before 107 engines and 2.5 times the load, 130 of 57,000 requests were never
            // taken instead of 1,118 with all servers weighed, and chats were in time in 0.70 instead of 0.64
            // of all; on quiet days there is no difference.
            choices: 4,
        }
    }
}

/// Hash of a server's id.
pub fn hash_id(id: &str) -> u64 {
    xxh3_64_with_seed(id.as_bytes(), 0)
}

/// Chooses among candidates.
pub fn place(
    candidates: &[Candidate],
    request: &PlacementRequest,
    config: &PlacementConfig,
) -> Option<usize> {
    let excess_backlog = excess_backlog(candidates, config.spare_backlog);
    let token_cost = (config.reread_token + request.prefill_token_time).as_secs_f64();
    let kilobytes = request.bytes as f64 / 1024.0;
    let cross_zone_cost = config.far.as_secs_f64() + kilobytes * config.far_kilobyte.as_secs_f64();
    let cross_zone_cost = cross_zone_cost / (1.0 + excess_backlog);
    let prefill_cost = request.shared_tokens as f64 * request.prefill_token_time.as_secs_f64();
    let key = request.affinity.unwrap_or(request.request_hash);
    // Rendezvous hashing: the highest rank is the key's home.
    let rank = |c: &Candidate| xxh3_64_with_seed(&key.to_le_bytes(), c.id_hash);
    let ranks: Vec<u64> = candidates.iter().map(rank).collect();
    let is_cached_anywhere = candidates.iter().any(|c| c.cached_tokens > 0);
    let needs_owner = request.affinity.is_some() && !is_cached_anywhere;
    let owner = if needs_owner {
        rendezvous_owner(candidates, &ranks, prefill_cost < cross_zone_cost)
    } else {
        None
    };
    let cost = |i: usize| {
        let candidate = &candidates[i];
        let cached = if owner == Some(i) { request.shared_tokens } else { candidate.cached_tokens };
        let prefill = request.shared_tokens.saturating_sub(cached) as f64 * token_cost;
        let cross_zone_cost = if candidate.is_same_zone { 0.0 } else { cross_zone_cost };
        expected_wait(candidate, config) + prefill + cross_zone_cost
    };
    // Servers as free as each other differ by rank; by their ids, one of them would get everything.
    let order =
        |a: &usize, b: &usize| cost(*a).total_cmp(&cost(*b)).then(ranks[*b].cmp(&ranks[*a]));
    shortlist(candidates, &ranks, config.choices).into_iter().min_by(order)
}

/// The servers that are weighed: the first by rank in the zone and outside, and those that keep some of
/// the shared parts.
fn shortlist(candidates: &[Candidate], ranks: &[u64], max_per_group: usize) -> Vec<usize> {
    let (mut same_zone, mut other_zones): (Vec<usize>, Vec<usize>) =
        (0..candidates.len()).partition(|i| candidates[*i].is_same_zone);
    let holders =
        same_zone.iter().chain(&other_zones).filter(|i| candidates[**i].cached_tokens > 0);
    let mut shortlist: Vec<usize> = holders.copied().collect();
    for group in [&mut same_zone, &mut other_zones] {
        if group.len() > max_per_group {
            group.select_nth_unstable_by_key(max_per_group, |i| Reverse(ranks[*i]));
            group.truncate(max_per_group);
        }
        shortlist.append(group);
    }
    shortlist
}

/// How far the servers' mean backlog lies beyond what they read with time to spare, in multiples of
/// that: a shorter wait is then worth more bytes between zones.
fn excess_backlog(candidates: &[Candidate], spare: Duration) -> f64 {
    let backlogs = candidates.iter().map(|candidate| candidate.backlog);
    let mean = backlogs.clone().sum::<Duration>().as_secs_f64() / backlogs.count().max(1) as f64;
    let spare = spare.as_secs_f64().max(1e-3);
    (mean - spare).max(0.0) / spare
}

/// The server that keeps the shared parts: one for all zones where reading them takes longer than
/// leaving the zone costs, one in each zone otherwise.
fn rendezvous_owner(
    candidates: &[Candidate],
    ranks: &[u64],
    is_prefill_cheaper: bool,
) -> Option<usize> {
    let is_per_zone = is_prefill_cheaper && candidates.iter().any(|c| c.is_same_zone);
    (0..candidates.len())
        .filter(|i| !is_per_zone || candidates[*i].is_same_zone)
        .max_by_key(|i| ranks[*i])
}

fn expected_wait(candidate: &Candidate, config: &PlacementConfig) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let waiting = (candidate.load + 1.0 - slots).max(0.0);
    let running = candidate.load.min(slots);
    candidate.backlog.as_secs_f64()
        + candidate.failure_rate * config.failure.as_secs_f64()
        + running * config.running.as_secs_f64()
        + waiting * config.waiting.as_secs_f64()
}
