//! Which BackendServer gets an attempt: where its prompt's shared parts are, unless that server is
//! loaded well beyond the others; servers of the own AvailabilityZone first.
//!
//! Rendezvous hashing, so that all entries send the same shared parts to the same servers without
//! talking, with a bound on load (docs/decisions/0008).

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
    /// Whether it stands in the entry's own zone.
    pub is_near: bool,
    /// Whether it failed lately and should be passed over while others can serve.
    pub is_suspect: bool,
}

/// Load above the mean of the pool that a server may have and still be preferred for its cache.
const LOAD_FACTOR: f64 = 1.25;
/// Requests a server may always have at once and still be preferred for its cache.
const LOAD_FLOOR: f64 = 4.0;
/// Share of its slots that a near server may have in use before far ones are considered.
const NEAR_FILL: f64 = 0.7;

/// Hash of a server's id.
pub fn hash_id(id: &str) -> u64 {
    xxh3_64_with_seed(id.as_bytes(), 0)
}

/// Chooses among candidates; `affinity` is the hash of what should be kept together, if anything.
pub fn place(candidates: &[Candidate], affinity: Option<u64>) -> Option<usize> {
    let sound: Vec<usize> = (0..candidates.len()).filter(|i| !candidates[*i].is_suspect).collect();
    let all: Vec<usize> = (0..candidates.len()).collect();
    let pool = if sound.is_empty() { &all } else { &sound };
    let near: Vec<usize> = pool.iter().copied().filter(|i| candidates[*i].is_near).collect();
    let near_pick = pick(candidates, &near, affinity);
    match near_pick {
        Some(i) if fill(&candidates[i]) < NEAR_FILL => Some(i),
        _ => pick(candidates, pool, affinity),
    }
}

fn fill(candidate: &Candidate) -> f64 {
    candidate.load / f64::from(candidate.slots.max(1))
}

fn pick(candidates: &[Candidate], pool: &[usize], affinity: Option<u64>) -> Option<usize> {
    let Some(key) = affinity else {
        return least_loaded(candidates, pool);
    };
    let mean = pool.iter().map(|i| candidates[*i].load).sum::<f64>() / pool.len().max(1) as f64;
    let bound = (mean * LOAD_FACTOR).max(LOAD_FLOOR);
    let preferred = pool
        .iter()
        .copied()
        .filter(|i| candidates[*i].load <= bound)
        .max_by_key(|i| xxh3_64_with_seed(&key.to_le_bytes(), candidates[*i].id_hash));
    preferred.or_else(|| least_loaded(candidates, pool))
}

fn least_loaded(candidates: &[Candidate], pool: &[usize]) -> Option<usize> {
    pool.iter().copied().min_by(|a, b| {
        let (a, b) = (&candidates[*a], &candidates[*b]);
        fill(a).total_cmp(&fill(b)).then(a.id_hash.cmp(&b.id_hash))
    })
}
