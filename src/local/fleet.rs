//! What a local system is made of.

use std::time::Duration;

use crate::{
    entry::RoutingPolicy,
    ids::{ObjectId, VersionId},
    local::PresetObject,
    standin::engine::EngineModel,
};

/// One BackendServer of a local system.
#[derive(Clone, Debug)]
pub struct ServerSetup {
    /// Full name.
    pub id: ObjectId,
    /// Region.
    pub region: Box<str>,
    /// AvailabilityZone.
    pub zone: Box<str>,
    /// Versions loaded; none makes it a plain service.
    pub versions: Vec<VersionId>,
}

/// What a local system is made of.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Region and zone of each entry.
    pub entries: Vec<(Box<str>, Box<str>)>,
    /// BackendServers.
    pub servers: Vec<ServerSetup>,
    /// Policies of all entries.
    pub policy: RoutingPolicy,
    /// Speed of every engine.
    pub model: EngineModel,
    /// Prefix blocks each engine keeps.
    pub cache_blocks: usize,
    /// Seed of the stand-ins.
    pub seed: u64,
    /// Attempts an agent hands to its engine at a time at most.
    pub max_running: u32,
    /// Attempts an agent queues at most.
    pub max_queued: usize,
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Time after which agents give up an entry that went away.
    pub entry_lost_after: Duration,
    /// More objects, declared after the preset's.
    pub more_objects: Vec<PresetObject>,
}

impl Fleet {
    /// Two entries and eight BackendServers in two regions.
    pub fn standard(seed: u64) -> Self {
        let mut servers = Vec::new();
        let pools: [(&str, &str, [&[&str]; 3]); 2] = [
            (
                "ricarica",
                "sicily",
                [
                    &["ricarica/swift@1", "ricarica/swift@2"],
                    &["ricarica/swift@1", "ricarica/swift@2", "ricarica/deep@1"],
                    &["ricarica/deep@1"],
                ],
            ),
            (
                "majlis",
                "muscat",
                [
                    &["majlis/tagger@1", "majlis/tagger@2"],
                    &["majlis/tagger@1", "majlis/tagger@2", "majlis/counsel@1"],
                    &["majlis/counsel@1"],
                ],
            ),
        ];
        for (partner, region, engines) in pools {
            for (i, versions) in engines.into_iter().enumerate() {
                servers.push(ServerSetup {
                    id: format!("{partner}/engine-{}", i + 1).into(),
                    region: region.into(),
                    zone: format!("{region}-{}", i + 1).into(),
                    versions: versions.iter().map(|v| (*v).into()).collect(),
                });
            }
            servers.push(ServerSetup {
                id: format!("{partner}/confirm").into(),
                region: region.into(),
                zone: format!("{region}-1").into(),
                versions: Vec::new(),
            });
        }
        Self {
            entries: vec![
                ("sicily".into(), "sicily-1".into()),
                ("muscat".into(), "muscat-1".into()),
            ],
            servers,
            policy: RoutingPolicy::default(),
            model: EngineModel::default(),
            cache_blocks: 4_096,
            seed,
            max_running: 16,
            max_queued: 256,
            heartbeat: Duration::from_millis(250),
            entry_lost_after: Duration::from_secs(3),
            more_objects: Vec::new(),
        }
    }
}
