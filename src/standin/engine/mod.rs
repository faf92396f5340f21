//! Stand-in for a model engine that batches continuously.
//!
//! What it leaves out is listed in `docs/PLATFORM.md`: a token is a word, all sequences of a
//! step take the same time, and KV memory is counted for prefixes only.

mod batch;
mod cache;
mod face;
pub(crate) mod text;

pub use batch::{EngineLoad, EngineModel};
pub use cache::{BLOCK_TOKENS, CacheEvent, CacheEventKind, block_hashes};

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use axum::Router;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use tokio::{sync::Notify, task::JoinHandle};

use crate::{
    ids::VersionId,
    standin::{
        engine::{batch::Batch, cache::PrefixCache},
        weights::WeightStore,
    },
};

/// How a version behaves after it has turned bad.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct BadVersion {
    /// Share of answers that fail with 500.
    pub fail: f64,
    /// Share of answers that are poor on top of what the version's quality gives.
    pub poor: f64,
}

/// Faults in force at one engine; all off by default.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Every step takes this many times as long; 0 and 1 mean no change.
    pub slow_factor: f64,
    /// Share of requests failed at once with 500.
    pub fail: f64,
    /// Share of streams cut without an end.
    pub cut: f64,
    /// Share of chunks sent under another request's id.
    pub cross: f64,
    /// Share of chunks sent twice.
    pub duplicate: f64,
    /// Versions that have turned bad.
    pub bad: HashMap<VersionId, BadVersion>,
}

/// Fixed traits of one engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Batching model.
    pub model: EngineModel,
    /// Prefix blocks kept.
    pub cache_blocks: usize,
    /// How late load reports and cache events are.
    pub lag: Duration,
    /// Share of cache events that are never published.
    pub event_gaps: f64,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// Versions loaded at the start.
    pub versions: Vec<VersionId>,
    /// Quality of each version: share of prompts it answers well.
    pub quality: HashMap<VersionId, f64>,
    /// Where versions are fetched from.
    pub weights: WeightStore,
    /// Seed of the engine's faults and text.
    pub seed: u64,
}

struct Inner {
    batch: Batch,
    cache: PrefixCache,
    faults: EngineFaults,
    loaded: HashSet<VersionId>,
    loading: HashSet<VersionId>,
    fencing: u64,
    rng: ChaCha8Rng,
    started: HashMap<VersionId, u64>,
}

/// One stand-in engine; clones share it.
#[derive(Clone)]
pub struct EngineStandin {
    settings: Arc<EngineSettings>,
    inner: Arc<Mutex<Inner>>,
    wake: Arc<Notify>,
}

impl std::fmt::Debug for EngineStandin {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EngineStandin").finish_non_exhaustive()
    }
}

/// Keeps an engine stepping until it is dropped.
#[derive(Debug)]
pub struct Stepping(JoinHandle<()>);

impl Drop for Stepping {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl EngineStandin {
    /// An idle engine.
    pub fn new(settings: EngineSettings) -> Self {
        let inner = Inner {
            batch: Batch::default(),
            cache: PrefixCache::new(settings.cache_blocks, settings.lag, settings.event_gaps),
            faults: EngineFaults::default(),
            loaded: settings.versions.iter().cloned().collect(),
            loading: HashSet::new(),
            fencing: 0,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            started: HashMap::new(),
        };
        Self {
            settings: Arc::new(settings),
            inner: Arc::new(Mutex::new(inner)),
            wake: Arc::default(),
        }
    }

    /// Starts the batching loop.
    pub fn start(&self) -> Stepping {
        let engine = self.clone();
        Stepping(tokio::spawn(async move { engine.run().await }))
    }

    /// The HTTP face.
    pub fn router(&self) -> Router {
        face::router(self.clone())
    }

    /// Sets the faults in force.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.lock().faults = faults;
    }

    /// Requests started so far, by version.
    pub fn started(&self) -> HashMap<VersionId, u64> {
        self.lock().started.clone()
    }

    /// Prompt tokens found in the prefix cache and prompt tokens in all.
    pub fn cache_hits(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.cache.hit_tokens, inner.cache.prompt_tokens)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panics under the lock")
    }

    fn draw(&self, share: f64) -> bool {
        share > 0.0 && self.lock().rng.random_bool(share.min(1.0))
    }

    async fn run(&self) {
        loop {
            let step = {
                let mut inner = self.lock();
                let slow = inner.faults.slow_factor.max(1.0);
                inner.batch.plan_step(&self.settings.model).map(|time| time.mul_f64(slow))
            };
            let Some(time) = step else {
                self.wake.notified().await;
                continue;
            };
            tokio::time::sleep(time).await;
            let mut inner = self.lock();
            inner.batch.finish_step(self.settings.lag);
        }
    }
}
