//! `standin`: stand-ins to try entries and agents against as separate processes.

use std::time::Duration;

use eyre::Result;
use mintmoor::{
    local::Platform,
    standin::{
        engine::{EngineModel, EngineSettings, EngineStandin},
        serve,
        weights::WeightStore,
    },
};
use serde_json::json;

use crate::{
    args::StandinArgs,
    ending::Ending,
    process::{announce, wait_for_stop},
};

/// Runs until a signal; the first line tells where everything is.
pub(crate) async fn run(args: &StandinArgs) -> Result<Ending> {
    let platform = Platform::start(args.seed).await?;
    let mut served = Vec::new();
    for i in 0..args.engines {
        let engine = EngineStandin::new(settings(args, i));
        let stepping = engine.start();
        served.push((serve(engine.router()).await?, stepping));
    }
    let at = platform.settings();
    let engines: Vec<String> = served.iter().map(|(served, _)| served.url()).collect();
    announce(&json!({
        "table": at.table,
        "objects": at.objects,
        "hosts": at.hosts,
        "ratings": at.ratings,
        "engines": engines,
    }))?;
    wait_for_stop().await?;
    Ok(Ending::Good)
}

fn settings(args: &StandinArgs, i: usize) -> EngineSettings {
    EngineSettings {
        model: EngineModel::default(),
        cache_blocks: 4_096,
        lag: Duration::from_millis(500),
        event_gaps: 0.05,
        checks_fencing: true,
        versions: vec![args.version.as_str().into()],
        quality: [(args.version.as_str().into(), 0.9)].into(),
        weights: WeightStore::new(2, Duration::from_secs(1)),
        seed: args.seed.wrapping_add(i as u64),
    }
}
