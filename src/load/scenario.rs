//! Scenario files.

use std::{str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    entry::{CascadePolicy, RoutingPolicy, ServerPolicy},
    ids::{ObjectId, VersionId},
    local::{Fleet, ServerSetup},
    policy::outlier::OutlierConfig,
    resources::Kind,
    standin::engine::EngineModel,
};

/// An experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name shown in reports.
    pub name: Box<str>,
    /// Seed of arrivals, prompts, sessions and stand-ins.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Seconds of traffic, the warm-up included.
    pub duration_s: f64,
    /// Seconds at the start that are left out of the figures.
    #[serde(default)]
    pub warmup_s: f64,
    /// Entries.
    #[serde(default = "default_entries")]
    pub entries: usize,
    /// Engines; none means the standard fleet.
    #[serde(default)]
    pub pools: Vec<Pool>,
    /// Speed of the engines.
    #[serde(default)]
    pub engine: EngineSpec,
    /// Traffic.
    pub streams: Vec<Stream>,
    /// Changes operators make while traffic flows.
    #[serde(default)]
    pub changes: Vec<ChangeSpec>,
    /// Faults.
    #[serde(default)]
    pub faults: Vec<FaultSpec>,
    /// Milliseconds between heartbeats.
    #[serde(default = "default_heartbeat")]
    pub heartbeat_ms: u64,
    /// Seconds agents wait before they give up an entry that went away.
    #[serde(default = "default_lost_after")]
    pub entry_lost_after_s: f64,
}

fn default_seed() -> u64 {
    1
}

fn default_entries() -> usize {
    2
}

fn default_heartbeat() -> u64 {
    250
}

fn default_lost_after() -> f64 {
    2.0
}

/// Engines that are alike.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Partner that owns them.
    pub partner: Box<str>,
    /// How many.
    pub engines: usize,
    /// Versions loaded; none makes plain services.
    #[serde(default)]
    pub versions: Vec<VersionId>,
    /// Region.
    pub region: Box<str>,
    /// Zones they are spread over.
    #[serde(default = "default_zones")]
    pub zones: usize,
}

fn default_zones() -> usize {
    3
}

/// Speed of the engines.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineSpec {
    /// Sequences decoded together at most.
    pub max_batch: usize,
    /// Prompt tokens prefilled a second.
    pub prefill_rate: f64,
    /// Milliseconds of a step with an empty batch.
    pub step_ms: f64,
    /// Milliseconds each sequence adds to a step.
    pub step_per_sequence_ms: f64,
    /// Prefix blocks kept.
    pub cache_blocks: usize,
    /// Attempts queued at an agent at most.
    pub max_queued: usize,
}

impl Default for EngineSpec {
    fn default() -> Self {
        Self {
            max_batch: 16,
            prefill_rate: 8_000.0,
            step_ms: 8.0,
            step_per_sequence_ms: 0.25,
            cache_blocks: 4_096,
            max_queued: 256,
        }
    }
}

/// One kind of traffic.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Organisation of the preset.
    pub organisation: Box<str>,
    /// What `model` names; empty for calls of the partner's plain service.
    #[serde(default)]
    pub model: Box<str>,
    /// Requests a second.
    pub rate: f64,
    /// Share that is streamed.
    #[serde(default = "half")]
    pub streamed: f64,
    /// Share that may run only once.
    #[serde(default)]
    pub once: f64,
    /// Sessions the requests belong to; 0 means none.
    #[serde(default)]
    pub sessions: usize,
    /// Words of the system prompt that all requests of the stream share.
    #[serde(default = "default_words")]
    pub shared_words: usize,
    /// System prompts the stream uses.
    #[serde(default = "one")]
    pub shared_prompts: usize,
    /// Words of the question.
    #[serde(default = "default_words")]
    pub words: usize,
    /// Milliseconds to the deadline.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Seconds after which it begins.
    #[serde(default)]
    pub from_s: f64,
}

fn half() -> f64 {
    0.5
}

fn one() -> usize {
    1
}

fn default_words() -> usize {
    24
}

/// A change an operator makes.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeSpec {
    /// When, in seconds from the start.
    pub at_s: f64,
    /// Kind of the object.
    pub kind: Kind,
    /// Full name of the object.
    pub id: ObjectId,
    /// New spec.
    pub spec: toml::Table,
    /// Whether two operators make it at the same moment.
    #[serde(default)]
    pub raced: bool,
}

/// A fault.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// When, in seconds from the start.
    pub at_s: f64,
    /// For how long; none means to the end.
    #[serde(default)]
    pub for_s: Option<f64>,
    /// What happens.
    pub kind: FaultKind,
    /// Whom it happens to: a BackendServer, a version, a zone or the number of an entry.
    #[serde(default)]
    pub target: Box<str>,
    /// How much: a share, a factor or milliseconds.
    #[serde(default)]
    pub value: f64,
}

/// Kinds of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum FaultKind {
    KillAgent,
    KillEntry,
    ZoneGone,
    StoreDown,
    StoreSlow,
    RepliesLost,
    ObjectsDown,
    RatingsDown,
    RatingsSlow,
    AnswersCrossed,
    AnswersDoubled,
    StreamsCut,
    SlowEngine,
    FailingEngine,
    VersionFails,
    VersionPoor,
    HostLeaves,
}

/// What a run is compared with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Baseline {
    #[default]
    Mintmoor,
    Cheapest,
    Costliest,
    Fixed,
    Random,
    LeastLoaded,
    NoGuard,
    NoOutlier,
    FlatOutlier,
    NoClaims,
    NoCopies,
    NoRelay,
}

impl Baseline {
    const NAMES: [(&'static str, Baseline); 12] = [
        ("mintmoor", Baseline::Mintmoor),
        ("cheapest", Baseline::Cheapest),
        ("costliest", Baseline::Costliest),
        ("fixed", Baseline::Fixed),
        ("random", Baseline::Random),
        ("least-loaded", Baseline::LeastLoaded),
        ("no-guard", Baseline::NoGuard),
        ("no-outlier", Baseline::NoOutlier),
        ("flat-outlier", Baseline::FlatOutlier),
        ("no-claims", Baseline::NoClaims),
        ("no-copies", Baseline::NoCopies),
        ("no-relay", Baseline::NoRelay),
    ];

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        Self::NAMES.iter().find(|(_, b)| *b == self).map_or("mintmoor", |(name, _)| name)
    }

    /// The entry's policies under this baseline.
    pub fn policy(self) -> RoutingPolicy {
        let mut policy = RoutingPolicy::default();
        match self {
            Baseline::Mintmoor => {}
            Baseline::Cheapest => policy.cascade = CascadePolicy::Cheapest,
            Baseline::Costliest => policy.cascade = CascadePolicy::Costliest,
            Baseline::Fixed => policy.cascade = CascadePolicy::Fixed,
            Baseline::Random => policy.server = ServerPolicy::Random,
            Baseline::LeastLoaded => policy.server = ServerPolicy::LeastReported,
            Baseline::NoGuard => policy.guard = false,
            Baseline::NoOutlier => policy.outlier = None,
            Baseline::FlatOutlier => policy.outlier = Some(OutlierConfig::flat()),
            Baseline::NoClaims => policy.claims = false,
            Baseline::NoCopies => policy.charge_copies = false,
            Baseline::NoRelay => policy.relay = false,
        }
        policy
    }
}

/// A word that names no policy.
#[derive(Debug, thiserror::Error)]
#[error("policies are {}", Baseline::NAMES.map(|(name, _)| name).join(", "))]
pub struct UnknownBaseline;

impl FromStr for Baseline {
    type Err = UnknownBaseline;

    fn from_str(text: &str) -> Result<Self, UnknownBaseline> {
        let found = Self::NAMES.iter().find(|(name, _)| *name == text);
        found.map(|(_, baseline)| *baseline).ok_or(UnknownBaseline)
    }
}

impl Scenario {
    /// The system the scenario runs on.
    pub fn fleet(&self, baseline: Baseline) -> Fleet {
        let mut fleet = Fleet::standard(self.seed);
        fleet.policy = baseline.policy();
        if !self.pools.is_empty() {
            fleet.servers = self.pools.iter().enumerate().flat_map(servers_of).collect();
        }
        let regions: Vec<Box<str>> =
            fleet.entries.iter().map(|(region, _)| region.clone()).collect();
        let served: Vec<&Box<str>> =
            regions.iter().filter(|r| fleet.servers.iter().any(|s| s.region == **r)).collect();
        fleet.entries = (0..self.entries)
            .map(|i| {
                let region = served[i % served.len().max(1)].clone();
                let zone = format!("{region}-{}", i / served.len().max(1) + 1).into();
                (region, zone)
            })
            .collect();
        fleet.model = EngineModel {
            max_batch: self.engine.max_batch,
            prefill_rate: self.engine.prefill_rate,
            prefill_chunk: 512,
            step_base: Duration::from_secs_f64(self.engine.step_ms / 1e3),
            step_per_sequence: Duration::from_secs_f64(self.engine.step_per_sequence_ms / 1e3),
        };
        fleet.max_running = self.engine.max_batch as u32;
        fleet.max_queued = self.engine.max_queued;
        fleet.cache_blocks = self.engine.cache_blocks;
        fleet.heartbeat = Duration::from_millis(self.heartbeat_ms);
        fleet.entry_lost_after = Duration::from_secs_f64(self.entry_lost_after_s);
        fleet
    }
}

fn servers_of((number, pool): (usize, &Pool)) -> Vec<ServerSetup> {
    (0..pool.engines)
        .map(|i| {
            let name = if pool.versions.is_empty() {
                "confirm".into()
            } else {
                format!("engine-{}-{}", number + 1, i + 1)
            };
            ServerSetup {
                id: format!("{}/{name}", pool.partner).into(),
                region: pool.region.clone(),
                zone: format!("{}-{}", pool.region, i % pool.zones.max(1) + 1).into(),
                versions: pool.versions.clone(),
            }
        })
        .collect()
}
