//! What the path through entry and agent adds, against the engine stand-in called directly.

use std::{
    fmt,
    time::{Duration, Instant},
};

use eyre::Result;
use serde::Serialize;

use crate::{
    load::{ChatCall, ChatOutcome, Client, Percentiles},
    local::{Fleet, LocalSystem, ServerSetup, caller_key},
    standin::{
        engine::{EngineModel, EngineSettings, EngineStandin},
        serve,
        weights::WeightStore,
    },
};

const VERSION: &str = "ricarica/swift@1";
const TIME: Duration = Duration::from_secs(6);

/// Times of both ways at one rate.
#[derive(Clone, Debug, Serialize)]
pub struct Overhead {
    /// Requests a second.
    pub rate: u32,
    /// First token, the engine called directly, milliseconds.
    pub direct: Percentiles,
    /// First token through entry and agent, milliseconds.
    pub through: Percentiles,
    /// Requests that gave no whole answer, both ways.
    pub failed: usize,
}

impl fmt::Display for Overhead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "first token at {}/s: direct p50 {:.2} p99 {:.2} ms, through p50 {:.2} p99 {:.2} ms, \
             added p50 {:.2} p99 {:.2} ms, failed {}",
            self.rate,
            self.direct.p50,
            self.direct.p99,
            self.through.p50,
            self.through.p99,
            self.through.p50 - self.direct.p50,
            self.through.p99 - self.direct.p99,
            self.failed
        )
    }
}

fn model() -> EngineModel {
    EngineModel {
        max_batch: 512,
        prefill_rate: 1e9,
        prefill_chunk: 1 << 20,
        step_base: Duration::from_millis(2),
        step_per_sequence: Duration::ZERO,
    }
}

/// Measures both ways, one after the other, at growing rates.
///
/// # Errors
/// When a system can't be started.
pub async fn measure_overhead() -> Result<Vec<Overhead>> {
    let mut results = Vec::new();
    for rate in [100, 500, 1_000, 2_000] {
        let (direct, lost) = run_direct(rate).await?;
        let (through, lost_too) = run_through(rate).await?;
        results.push(Overhead { rate, direct, through, failed: lost + lost_too });
    }
    Ok(results)
}

async fn run_direct(rate: u32) -> Result<(Percentiles, usize)> {
    let engine = EngineStandin::new(EngineSettings {
        model: model(),
        cache_blocks: 1_024,
        lag: Duration::from_millis(500),
        event_gaps: 0.0,
        checks_fencing: true,
        versions: vec![VERSION.into()],
        quality: Default::default(),
        weights: WeightStore::new(1, Duration::from_millis(1)),
        seed: 1,
    });
    let _stepping = engine.start();
    let served = serve(engine.router()).await?;
    Ok(measure(&Client::new(&served.url()), VERSION, rate).await)
}

async fn run_through(rate: u32) -> Result<(Percentiles, usize)> {
    let mut fleet = Fleet::standard(1);
    fleet.entries.truncate(1);
    fleet.servers = vec![ServerSetup {
        id: "ricarica/engine-1".into(),
        region: "sicily".into(),
        zone: "sicily-1".into(),
        versions: vec![VERSION.into()],
    }];
    fleet.model = model();
    fleet.max_running = 512;
    fleet.max_queued = 4_096;
    let system = LocalSystem::start(fleet).await?;
    let measured = measure(&Client::new(&system.urls[0].0), "swift", rate).await;
    system.stop().await;
    Ok(measured)
}

/// Sends at a steady rate; percentiles of the first token and the requests that failed.
async fn measure(client: &Client, model: &str, rate: u32) -> (Percentiles, usize) {
    let mut tasks = tokio::task::JoinSet::new();
    let began = Instant::now();
    let count = (f64::from(rate) * TIME.as_secs_f64()) as u32;
    for i in 0..count {
        let due = began + TIME.mul_f64(f64::from(i) / f64::from(count));
        tokio::time::sleep_until(due.into()).await;
        let client = client.clone();
        let call = ChatCall {
            key: caller_key("ricarica/kiosks"),
            model: model.into(),
            system: "you help tobacconists".into(),
            user: format!("question {rate} {i}").into(),
            max_tokens: 4,
            stream: true,
            ..ChatCall::default()
        };
        tasks.spawn(async move { client.chat(&call).await });
    }
    let outcomes: Vec<ChatOutcome> = tasks.join_all().await;
    let failed = outcomes.iter().filter(|outcome| &*outcome.code != "ok").count();
    (Percentiles::of(outcomes.iter().filter_map(|outcome| outcome.first_token)), failed)
}
