//! Slopes of running systems on loopback: links, store calls, spread of changes, requests.

use std::time::{Duration, Instant};

use eyre::Result;
use serde_json::json;

use crate::{
    load::{ChatCall, Client, slopes::Slope},
    local::{Fleet, LocalSystem, ServerSetup, caller_key},
    resources::Kind,
    standin::engine::EngineModel,
};

const SETTLE: Duration = Duration::from_secs(2);
const WATCH: Duration = Duration::from_secs(6);
const SPREADS: usize = 5;

/// Measures all of them.
pub(super) async fn measure() -> Result<Vec<Slope>> {
    let mut slopes = links().await?;
    slopes.extend(entries().await?);
    slopes.push(requests().await?);
    Ok(slopes)
}

/// Processor time all threads of this process have used.
fn processor_time() -> Duration {
    let mut nanos = 0;
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    for task in tasks.flatten() {
        let stat = std::fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        let used: u64 = stat.split(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0);
        nanos += used;
    }
    Duration::from_nanos(nanos)
}

/// A fleet of one region with the production heartbeat.
fn fleet(entries: usize, agents: usize) -> Fleet {
    let mut fleet = Fleet::standard(1);
    fleet.entries =
        (0..entries).map(|i| ("sicily".into(), format!("sicily-{}", i % 3 + 1).into())).collect();
    fleet.servers = (0..agents)
        .map(|i| ServerSetup {
            id: format!("ricarica/engine-{}", i + 1).into(),
            region: "sicily".into(),
            zone: format!("sicily-{}", i % 3 + 1).into(),
            versions: vec!["ricarica/swift@1".into()],
        })
        .collect();
    fleet.heartbeat = Duration::from_secs(1);
    fleet
}

/// Links of one entry: processor time, memory and control bytes of both ends, and spread.
async fn links() -> Result<Vec<Slope>> {
    let (mut cpu, mut bytes, mut spread) = (Vec::new(), Vec::new(), Vec::new());
    for agents in [8, 16, 32, 60] {
        let system = LocalSystem::start(fleet(1, agents)).await?;
        tokio::time::sleep(SETTLE).await;
        let (used, sent) = (processor_time(), control_bytes(&system));
        tokio::time::sleep(WATCH).await;
        let seconds = WATCH.as_secs_f64();
        let used = (processor_time() - used).as_secs_f64() / seconds * 100.0;
        let sent = (control_bytes(&system) - sent) as f64 / seconds;
        let n = agents as f64;
        cpu.push((n, used));
        bytes.push((n, sent));
        spread.push((n, spread_time(&system).await?));
        system.stop().await;
    }
    Ok(vec![
        Slope::fit("link", "processor time of an idle system, both ends", "% of a core", cpu),
        Slope::fit("link", "control payload, both directions", "B/s", bytes),
        Slope::fit("agent", "time until a change is in force everywhere", "ms", spread),
    ])
}

/// Payload bytes of control frames sent by all processes.
fn control_bytes(system: &LocalSystem) -> u64 {
    let entries = system.entries.lock().expect("no panics under the lock");
    let agents = system.agents.lock().expect("no panics under the lock");
    let of_entries = entries.iter().flatten().map(|e| e.entry.metrics.control_bytes.get());
    let of_agents = agents.values().map(|a| a.agent.metrics.control_bytes.get());
    of_entries.sum::<u64>() + of_agents.sum::<u64>()
}

/// Milliseconds from a change's acceptance to the last process that has it; mean of several.
async fn spread_time(system: &LocalSystem) -> Result<f64> {
    let mut total = Duration::ZERO;
    for i in 0..SPREADS {
        let spec = json!({ "cost_in": 100 + i, "cost_out": 400, "quality": 0.75 });
        let began = Instant::now();
        let reply = system.put(Kind::Version, "ricarica/swift@1", &spec).await?;
        let revision = reply["revision"].as_u64().unwrap_or(0);
        while lowest_revision(system) < revision {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        total += began.elapsed();
    }
    Ok(total.as_secs_f64() * 1e3 / SPREADS as f64)
}

fn lowest_revision(system: &LocalSystem) -> u64 {
    let entries = system.entries.lock().expect("no panics under the lock");
    let agents = system.agents.lock().expect("no panics under the lock");
    let of_entries = entries.iter().flatten().map(|e| e.entry.config.revision());
    let of_agents = agents.values().map(|a| a.agent.config.revision());
    of_entries.chain(of_agents).min().unwrap_or(0)
}

/// Entries of one idle system: calls to the table service a second, and spread.
async fn entries() -> Result<Vec<Slope>> {
    let (mut reads, mut writes, mut spread) = (Vec::new(), Vec::new(), Vec::new());
    for entries in [2, 4, 8, 16] {
        let system = LocalSystem::start(fleet(entries, 6)).await?;
        tokio::time::sleep(SETTLE).await;
        let before = system.platform.table.counts();
        tokio::time::sleep(WATCH).await;
        let after = system.platform.table.counts();
        let (n, seconds) = (entries as f64, WATCH.as_secs_f64());
        writes.push((n, (after.0 - before.0) as f64 / seconds));
        reads.push((n, (after.1 - before.1) as f64 / seconds));
        spread.push((n, spread_time(&system).await?));
        system.stop().await;
    }
    Ok(vec![
        Slope::fit("entry", "reads of the table service, idle", "/s", reads),
        Slope::fit("entry", "writes to the table service, idle", "/s", writes),
        Slope::fit("entry", "time until a change is in force everywhere", "ms", spread),
    ])
}

/// Requests a second: processor time of caller, entry, agent and engine stand-in together.
async fn requests() -> Result<Slope> {
    let mut fleet = fleet(1, 8);
    fleet.model = EngineModel {
        max_batch: 64,
        step_base: Duration::from_millis(2),
        ..EngineModel::default()
    };
    fleet.max_running = 64;
    let system = LocalSystem::start(fleet).await?;
    let client = Client::new(&system.urls[0].0);
    let mut points = Vec::new();
    for rate in [50, 100, 200, 400] {
        let used = processor_time();
        let began = Instant::now();
        send_at(&client, rate, WATCH).await;
        let seconds = began.elapsed().as_secs_f64();
        let used = (processor_time() - used).as_secs_f64() / seconds * 100.0;
        points.push((f64::from(rate), used));
    }
    system.stop().await;
    Ok(Slope::fit(
        "request a second",
        "processor time, all parts and the caller",
        "% of a core",
        points,
    ))
}

async fn send_at(client: &Client, rate: u32, time: Duration) {
    let mut tasks = tokio::task::JoinSet::new();
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate);
    let count = f64::from(rate) * time.as_secs_f64();
    for i in 0..count as u64 {
        ticks.tick().await;
        let client = client.clone();
        let call = ChatCall {
            key: caller_key("ricarica/kiosks"),
            model: "swift".into(),
            system: "you help tobacconists".into(),
            user: format!("question {rate} {i}").into(),
            max_tokens: 40,
            stream: true,
            ..ChatCall::default()
        };
        tasks.spawn(async move { client.chat(&call).await });
    }
    while tasks.join_next().await.is_some() {}
}
