//! `local`: the whole system in one process.

use eyre::Result;
use mintmoor::{
    load,
    load::{Baseline, Scenario, Stream},
    local::{Fleet, LocalSystem},
};
use serde_json::json;

use crate::{
    args::LocalArgs,
    ending::Ending,
    logging::install_log,
    process::{announce, wait_for_stop},
};

/// Requests a second when a number of requests is asked for.
const RATE: f64 = 40.0;

/// Runs until a signal, or sends a number of requests and reports.
pub(crate) async fn run(args: LocalArgs) -> Result<Ending> {
    install_log(&args.log)?;
    match args.requests {
        Some(requests) => send(requests, args.seed).await,
        None => serve(args.seed).await,
    }
}

async fn serve(seed: u64) -> Result<Ending> {
    let system = LocalSystem::start(Fleet::standard(seed)).await?;
    let keys = system.keys();
    let (caller, operator) = &system.urls[0];
    let others: Vec<_> = system
        .urls
        .iter()
        .map(|(caller, operator)| json!({ "caller": caller, "operator": operator }))
        .collect();
    announce(&json!({
        "caller": caller,
        "operator": operator,
        "caller_key": keys["ricarica/tills"],
        "operator_key": keys["operator:ricarica"],
        "model": "topup",
        "keys": keys,
        "entries": others,
        "admin": system.admin_urls(),
        "faults": system.platform.fault_urls(),
    }))?;
    wait_for_stop().await?;
    let cut = system.stop().await;
    Ok(Ending::of(cut == 0))
}

async fn send(requests: usize, seed: u64) -> Result<Ending> {
    let scenario = mixed(requests, seed);
    eprintln!("mintmoor: sending about {requests} requests, then waiting for their settlement");
    let report = load::run(&scenario, Baseline::Mintmoor).await?;
    println!("{report}");
    // A once-only request that was sent twice at the same moment is told so, if it comes second.
    let expected = ["ok", "duplicate"];
    let settled: u64 = expected.iter().filter_map(|code| report.codes.get(*code)).sum();
    Ok(Ending::of(report.broken.total() == 0 && settled == report.requests))
}

/// Mixed traffic of both partners: cascades, models, sessions, services, once-only requests.
fn mixed(requests: usize, seed: u64) -> Scenario {
    let stream = |organisation: &str, model: &str, share: f64| Stream {
        organisation: organisation.into(),
        model: model.into(),
        rate: RATE * share,
        streamed: 0.5,
        once: 0.15,
        sessions: 10,
        shared_words: 48,
        shared_prompts: 2,
        words: 24,
        deadline_ms: None,
        from_s: 0.0,
    };
    let mut services = stream("ricarica/tills", "", 0.1);
    services.once = 1.0;
    Scenario {
        name: "local".into(),
        seed,
        duration_s: requests as f64 / RATE,
        warmup_s: 0.0,
        entries: 2,
        pools: Vec::new(),
        engine: Default::default(),
        streams: vec![
            stream("ricarica/tills", "topup", 0.35),
            stream("ricarica/kiosks", "swift", 0.15),
            stream("majlis/clerks", "listings", 0.3),
            stream("majlis/advocates", "ricarica/deep", 0.1),
            services,
        ],
        changes: Vec::new(),
        faults: Vec::new(),
        heartbeat_ms: 250,
        entry_lost_after_s: 2.0,
    }
}
