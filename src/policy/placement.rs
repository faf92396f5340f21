//! Placement: chooses the BackendServer with the lowest expected cost, in time, for an attempt.
//!
//! The cost of a server is its expected wait, the prefill time of the shared prompt parts that it has not
//! cached, and a charge for leaving the AvailabilityZone. What a server has cached is inferred from the
//! prompts that entries sent to it (docs/decisions/0011). Parts that no server has cached go to the server
//! that rendezvous hashing selects, so that entries which send them at the same time agree.
//!
//! Where servers report the speed of their machines, work counts in the time that it takes there
//! ([`server_speed`](crate::policy::server_speed), docs/design/0003).
//!
//! Only a shortlist of servers is compared for each request: those that rank highest by rendezvous hashing in
//! the zone and in other zones, and those that have its parts cached. Load information is half a second old;
//! if every entry compared all servers, all would choose the one that was idle then. With a few candidates
//! each, selected by hash, their requests spread (Mitzenmacher, How useful is old information?, 2000;
//! docs/decisions/0014).

use std::{cmp::Reverse, time::Duration};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::policy::server_speed::TimeFactor;

/// A server that may be chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Hash of the server's id.
    pub id_hash: u64,
    /// Estimated number of requests at the server.
    pub load: f64,
    /// Number of requests that it runs at the same time.
    pub slots: u32,
    /// Prefill time of the prompts that were sent to it and are not answered yet.
    pub backlog: Duration,
    /// Tokens of the request's shared prompt parts that it has cached.
    pub cached_tokens: u64,
    /// Recent failure rate, 0 to 1.
    pub failure_rate: f64,
    /// Whether it is in the entry's own AvailabilityZone.
    pub is_same_zone: bool,
    /// How long work takes there, as a multiple of the usual time.
    pub time_factor: TimeFactor,
}

/// The attempt to be placed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementRequest {
    /// Hash of the shared prompt parts; none if there are none or the route does not group requests by them.
    pub affinity: Option<u64>,
    /// Tokens of those parts.
    pub shared_tokens: u64,
    /// Tokens of the prompt that no other request shares, which any server has to prefill.
    pub unshared_tokens: u64,
    /// Prefill time of one token on a machine of the usual speed.
    pub prefill_token_time: Duration,
    /// Size of the request body.
    pub bytes: usize,
    /// Hash of the request; selects the shortlisted servers where there are no shared parts.
    pub request_hash: u64,
}

/// Cost terms other than the backlog, and the length of the shortlist; settings under `placement`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementConfig {
    /// Cost of each request that runs at the server.
    pub running: Duration,
    /// Cost of each request beyond the server's slots.
    pub waiting: Duration,
    /// Cost of a failed attempt; multiplied by the server's failure rate.
    pub failure: Duration,
    /// Cost of leaving the AvailabilityZone.
    pub far: Duration,
    /// Cost of each 1,024 bytes of a body that leaves the AvailabilityZone.
    pub far_kilobyte: Duration,
    /// Cost of each shared token that is prefilled again, in addition to its prefill time.
    pub reread_token: Duration,
    /// Mean backlog of the servers above which the cost of leaving the zone is reduced.
    pub spare_backlog: Duration,
    /// Number of servers shortlisted by rank in the zone, and as many in other zones.
    pub choices: usize,
}

impl Default for PlacementConfig {
    fn default() -> Self {
        Self {
            // Engine steps take 1.5 % longer for each running request: 6 ms in half a second.
            running: Duration::from_millis(6),
            // Mean processing time of a request at the application servers.
            waiting: Duration::from_millis(60),
            // A failed attempt costs the time until the failure is detected, and one of the few attempts.
            failure: Duration::from_millis(400),
            // The network latency is 1 ms; the rest stands for the headers and the answer, a kilobyte.
            far: Duration::from_millis(15),
            // Equal to prefilling 830 tokens again; the users' prices equate a kilobyte to 310 to 980 tokens.
            // A third less traffic goes between zones than with a cost independent of the size
            // (tests/play/placement.rs). With 9 ms the score of quiet days was 0.03 lower where prompts are
            // longest; with 40 ms it was no higher, and that of days with load was 0.008 lower where prompts
            // are shorter (docs/decisions/0011).
            far_kilobyte: Duration::from_millis(25),
            // Makes 830 tokens cost as much as a kilobyte that leaves the zone.
            reread_token: Duration::from_micros(30),
            // A tenth of the shortest stream objective seen so far: with less backlog nothing is late. It
            // raises the score of unequal servers by 1 % in tests/play. Reducing the cost from zero backlog
            // on lowered the score of quiet days by 0.02 where prompts are longest (docs/decisions/0011).
            spare_backlog: Duration::from_millis(200),
            // With 103 entries, 107 engines and 2.5 times the load, 130 of 57,000 requests were never accepted,
            // instead of 1,118 when all servers were compared, and 0.70 instead of 0.64 of the chats were in
            // time. On quiet days there is no difference.
            choices: 4,
        }
    }
}

/// Hash of the id of a server or a request.
pub fn hash_id(id: &str) -> u64 {
    xxh3_64_with_seed(id.as_bytes(), 0)
}

/// Index of the candidate with the lowest expected cost; none if there are no candidates.
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
    // Rendezvous hashing: the server with the highest rank owns the key.
    let rank = |c: &Candidate| {
        weighted_rank(xxh3_64_with_seed(&key.to_le_bytes(), c.id_hash), c.time_factor)
    };
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
        let missing_tokens = request.shared_tokens.saturating_sub(cached);
        let prefill = missing_tokens as f64 * token_cost;
        let cross_zone_cost = if candidate.is_same_zone { 0.0 } else { cross_zone_cost };
        // On a machine of another speed, all tokens to be prefilled take longer or shorter.
        let tokens = (missing_tokens + request.unshared_tokens) as f64;
        let extra_prefill =
            (candidate.time_factor - 1.0) * tokens * request.prefill_token_time.as_secs_f64();
        expected_wait(candidate, config) + prefill + extra_prefill + cross_zone_cost
    };
    // Ties are broken by rank, which differs between requests; a fixed order would overload one server.
    let order =
        |a: &usize, b: &usize| cost(*a).total_cmp(&cost(*b)).then(ranks[*b].cmp(&ranks[*a]));
    shortlist(candidates, &ranks, config.choices).into_iter().min_by(order)
}

/// Indices of the candidates to compare: the highest-ranked ones in the zone and in other zones, and all that
/// have some of the shared parts cached.
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

/// How far the mean backlog exceeds `spare`, in multiples of it. The cost of leaving the zone falls with this
/// value, since under load a shorter wait is worth more traffic between zones.
fn excess_backlog(candidates: &[Candidate], spare: Duration) -> f64 {
    let backlogs = candidates.iter().map(|candidate| candidate.backlog);
    let mean = backlogs.clone().sum::<Duration>().as_secs_f64() / backlogs.count().max(1) as f64;
    let spare = spare.as_secs_f64().max(1e-3);
    (mean - spare).max(0.0) / spare
}

/// The server chosen by rendezvous hashing to cache the shared parts: one for all zones where their prefill
/// costs more than leaving the zone, one in each zone otherwise.
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

/// Expected time in seconds until the server starts a new request, including the cost of a possible failure.
fn expected_wait(candidate: &Candidate, config: &PlacementConfig) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let waiting = (candidate.load + 1.0 - slots).max(0.0);
    let running = candidate.load.min(slots);
    let work = candidate.backlog.as_secs_f64()
        + running * config.running.as_secs_f64()
        + waiting * config.waiting.as_secs_f64();
    work * candidate.time_factor + candidate.failure_rate * config.failure.as_secs_f64()
}

/// Rank of a server in weighted rendezvous hashing: servers rank first in proportion to their speed
/// (Schindelhauer and Schomaker, Weighted distributed hash tables, 2005).
fn weighted_rank(hash: u64, time_factor: TimeFactor) -> u64 {
    const HASHES: f64 = 18_446_744_073_709_551_616.0;
    if time_factor == 1.0 {
        return hash;
    }
    ((hash as f64 / HASHES).powf(time_factor) * HASHES) as u64
}
