//! Slopes of what needs no running system: bytes on links, and work and memory in one process.

use std::{
    hint::black_box,
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use flate2::{Compression, write::GzEncoder};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    control::membership::select_links,
    load::slopes::Slope,
    platform::{Host, HostState, Role},
    policy::{
        charge::{ChargeRecord, ChargedAttempt, Delivery},
        choice::{Pool, ServerLoad, choose_server},
        roll_out::Evidence,
    },
    protocol::{
        AgentHeartbeat, ConfigUpdate, EntryHeartbeat, ToAgent, ToEntry, VersionEvidence, encode,
    },
    resources::{BackendServer, Change, ConfigLog, Kind, Object, Organisation, Spec, Version},
};

/// Rounds of a timed step; the fastest counts, since others were disturbed.
const ROUNDS: usize = 9;
/// Bytes of WebSocket, TCP and IP headers on a small frame.
const FRAME_OVERHEAD: f64 = 6.0 + 52.0;

/// Measures all of them.
pub(super) fn measure() -> Vec<Slope> {
    vec![
        beat_bytes(),
        entry_beat_bytes(),
        change_bytes(),
        charge_bytes(),
        snapshot_time(),
        snapshot_memory(),
        link_selection_time(),
        host_list_bytes(),
        decision_time(),
        encode_beat_time(),
    ]
}

fn fastest(mut step: impl FnMut()) -> Duration {
    let time = |step: &mut dyn FnMut()| {
        let began = Instant::now();
        step();
        began.elapsed()
    };
    (0..ROUNDS).map(|_| time(&mut step)).min().unwrap_or_default()
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

fn agent_beat(versions: usize) -> AgentHeartbeat {
    let evidence = (0..versions).map(|i| VersionEvidence {
        version: format!("ricarica/swift@{i}").into(),
        epoch: 123_456,
        sums: Evidence { answers: 90_000, failures: 900, rated: 80_000, poor: 9_000 },
    });
    AgentHeartbeat {
        revision: 123_456,
        running: 12,
        queued: 30,
        limit: 16,
        service_time_us: 812_000,
        token_interval_us: 12_000,
        prefill_rate: 8_000,
        starts_seen: 1_000_000,
        evidence: evidence.collect(),
        ..AgentHeartbeat::default()
    }
}

fn beat_bytes() -> Slope {
    let bytes = |n: usize| encode(&ToEntry::Beat(agent_beat(n))).len() as f64 + FRAME_OVERHEAD;
    let points = [0, 1, 2, 4, 8].map(|n| (n as f64, bytes(n))).to_vec();
    Slope::fit("version under roll-out in it", "bytes of an agent's heartbeat", "B", points)
}

fn entry_beat_bytes() -> Slope {
    let held = |n: usize| {
        let versions = (0..n).map(|i| format!("ricarica/swift@{i}").into());
        versions
            .map(|version| crate::protocol::HeldVersion { version, revision: 123_456 })
            .collect()
    };
    let bytes = |n: usize| {
        let beat = EntryHeartbeat { revision: 123_456, held: held(n) };
        encode(&ToAgent::Beat(beat)).len() as f64 + FRAME_OVERHEAD
    };
    let points = [0, 1, 2, 4].map(|n| (n as f64, bytes(n))).to_vec();
    Slope::fit("held version in it", "bytes of an entry's heartbeat", "B", points)
}

fn change(revision: u64) -> Change {
    let spec = Spec::Version(Version {
        cost_in: 100,
        cost_out: 400,
        quality: 0.8,
        state: Default::default(),
    });
    let id: Box<str> = "ricarica/swift@2".into();
    Change {
        revision,
        kind: Kind::Version,
        id: id.clone(),
        change_id: "0123456789abcdef0123456789abcdef".into(),
        actor: "operator:ricarica".into(),
        object: Some(Object { id, revision, spec }),
    }
}

fn change_bytes() -> Slope {
    let bytes = |n: u64| {
        let changes = (1..=n).map(change).collect();
        encode(&ToAgent::Config(ConfigUpdate::Delta(changes))).len() as f64 + FRAME_OVERHEAD
    };
    let points = [1, 2, 4, 8, 16].map(|n| (n as f64, bytes(n))).to_vec();
    Slope::fit("configuration change", "bytes sent to one peer", "B", points)
}

fn charge_bytes() -> Slope {
    let record = |i: usize| ChargeRecord {
        request: (1_796_222_337_000u128 << 80) | i as u128,
        organisation: "ricarica/tills".into(),
        attempts: vec![ChargedAttempt {
            version: "ricarica/swift@1".into(),
            server: "ricarica/engine-1".into(),
            tokens_in: 90,
            tokens_out: 340,
            cost: 145,
        }],
        delivery: Delivery::Whole,
    };
    let bytes = |n: usize| encode(&(0..n).map(record).collect::<Vec<_>>()).len() as f64;
    let points = [100, 500, 1_000, 2_000].map(|n| (n as f64, bytes(n))).to_vec();
    Slope::fit("charged request", "bytes of a batch object", "B", points)
}

/// A configuration with `servers` BackendServers, ten organisations and 17 versions.
fn log_of(servers: usize) -> ConfigLog {
    let server = |i: usize| {
        let spec = BackendServer {
            versions: vec!["ricarica/swift@1".into(), "ricarica/deep@1".into()],
            shared_with: vec!["*".into()],
            ..BackendServer::default()
        };
        (format!("ricarica/engine-{i}"), Spec::BackendServer(spec))
    };
    let organisation = |i: usize| {
        let spec = Organisation {
            key_hashes: vec![format!("{i:064x}").into()],
            allowed: vec!["swift".into(), "deep".into()],
            weight: 1,
            max_in_flight: None,
        };
        (format!("ricarica/organisation-{i}"), Spec::Organisation(spec))
    };
    let versions = (0..17).map(|i| {
        let spec = Version { cost_in: 1, cost_out: 4, quality: 0.8, state: Default::default() };
        (format!("ricarica/model-{i}@1"), Spec::Version(spec))
    });
    let all = (0..servers).map(server).chain((0..10).map(organisation)).chain(versions);
    let objects = all.map(|(id, spec)| Object { id: id.into(), revision: 1, spec }).collect();
    let mut log = ConfigLog::default();
    log.replace(1, objects);
    log
}

fn snapshot_time() -> Slope {
    let time = |n: usize| {
        let log = log_of(n);
        micros(fastest(|| drop(black_box(log.snapshot()))))
    };
    let points = [250, 500, 1_000, 2_100].map(|n| (n as f64, time(n))).to_vec();
    Slope::fit("BackendServer declared", "time to take one change into force", "µs", points)
}

/// Resident memory of this process, KB.
pub(super) fn resident_kb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap_or(0.0)
}

/// Each point holds ten copies, to be seen above the allocator's grain.
fn snapshot_memory() -> Slope {
    const COPIES: usize = 10;
    let memory = |n: usize| {
        let before = resident_kb();
        let held: Vec<_> = (0..COPIES).map(|_| (log_of(n), log_of(n).snapshot())).collect();
        let grown = resident_kb() - before;
        drop(black_box(held));
        grown / COPIES as f64
    };
    // The largest first, so that memory the allocator keeps is not counted as free.
    let mut points: Vec<_> = Vec::new();
    for n in [1_000, 2_100, 4_200, 8_400] {
        points.push((n as f64, memory(n)));
    }
    Slope::fit("BackendServer declared", "memory of the configuration", "KB", points)
}

fn hosts(n: usize) -> Vec<Host> {
    let host = |i: usize| Host {
        name: format!("host-{i}").into(),
        region: format!("region-{}", i % 5).into(),
        zone: format!("zone-{}", i % 16).into(),
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1),
        role: Role::Agent(format!("ricarica/engine-{i}").into()),
        state: HostState::Live,
    };
    (0..n).map(host).collect()
}

fn host_list_bytes() -> Slope {
    let bytes = |n: usize| {
        let body = serde_json::to_vec(&hosts(n)).unwrap_or_default();
        let mut packer = GzEncoder::new(Vec::new(), Compression::default());
        packer.write_all(&body).expect("writing to memory can't fail");
        packer.finish().map_or(0, |packed| packed.len()) as f64
    };
    let points = [250, 500, 1_000, 2_460].map(|n| (n as f64, bytes(n))).to_vec();
    Slope::fit("host in the list", "bytes of one packed host list", "B", points)
}

fn link_selection_time() -> Slope {
    let time = |n: usize| {
        let hosts = hosts(n);
        let snapshot = log_of(n).snapshot();
        micros(fastest(|| drop(black_box(select_links(&hosts[0], &hosts, &snapshot, 32)))))
    };
    let points = [250, 500, 1_000, 2_460].map(|n| (n as f64, time(n))).to_vec();
    Slope::fit("host in the list", "time to choose an entry's links", "µs", points)
}

/// One routing decision, mean of many, with every server equally loaded.
pub fn decide_once(pool: &Pool, rng: &mut ChaCha8Rng, key: u64) -> Option<u32> {
    let candidates = pool.candidates(&[key, key.rotate_left(32)], rng);
    choose_server(&candidates, 200, |server| {
        Some(ServerLoad {
            running: server % 16,
            limit: 16,
            service_time: Duration::from_millis(300),
            token_time: Duration::from_millis(10),
            prefill_rate: 8_000.0,
            ..ServerLoad::default()
        })
    })
}

fn decision_time() -> Slope {
    const DECISIONS: u64 = 10_000;
    let time = |n: usize| {
        let names: Vec<String> = (0..n).map(|i| format!("host-{i}")).collect();
        let pool = Pool::new(names.iter().map(String::as_str));
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let all = fastest(|| {
            for i in 0..DECISIONS {
                let key = i.wrapping_mul(0x9e37_79b9_7f4a_7c15);
                black_box(decide_once(&pool, &mut rng, key));
            }
        });
        micros(all) / DECISIONS as f64
    };
    let points = [20, 200, 1_000, 2_100].map(|n| (n as f64, time(n))).to_vec();
    Slope::fit("engine in the pool", "time of one routing decision", "µs", points)
}

fn encode_beat_time() -> Slope {
    const BEATS: usize = 1_000;
    let time = |n: usize| {
        let beat = ToEntry::Beat(agent_beat(n));
        let all = fastest(|| {
            for _ in 0..BEATS {
                let buf = encode(&beat);
                let back: ToEntry = crate::protocol::decode(&buf).expect("just encoded");
                drop(black_box(back));
            }
        });
        micros(all) / BEATS as f64
    };
    let points = [0, 1, 2, 4, 8].map(|n| (n as f64, time(n))).to_vec();
    Slope::fit("version under roll-out in it", "time to write and read a heartbeat", "µs", points)
}
