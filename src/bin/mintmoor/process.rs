//! `entry` and `agent`: the two processes.

use std::io::Write;

use eyre::{Result, WrapErr};
use mintmoor::{
    agent, entry,
    entry::RoutingPolicy,
    settings::{load_agent, load_entry},
    telemetry::log,
};
use serde_json::json;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::app::Ending;

/// The signals that ask for a planned stop; a second one ends the grace.
struct StopSignals {
    term: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn listen() -> Result<Self> {
        Ok(Self {
            term: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits for a signal that asks for a planned stop.
pub(crate) async fn wait_for_stop() -> Result<()> {
    StopSignals::listen()?.next().await;
    Ok(())
}

fn read(file: &str) -> Result<String> {
    std::fs::read_to_string(file).wrap_err_with(|| format!("{file} can't be read"))
}

/// Prints one line of JSON that tells a supervisor where the process listens.
pub(crate) fn announce(line: &serde_json::Value) -> Result<()> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "{line}")?;
    out.flush()?;
    Ok(())
}

/// Runs an entry until it is asked to stop.
pub(crate) async fn run_entry(file: &str) -> Result<Ending> {
    let settings = load_entry(file, &read(file)?)?;
    log::install(settings.log_level, settings.log_format)?;
    let mut signals = StopSignals::listen()?;
    let running = entry::start(settings, RoutingPolicy::default()).await?;
    let at = running.addresses;
    announce(&json!({
        "caller": at.caller.to_string(),
        "operator": at.operator.to_string(),
        "admin": at.admin.to_string(),
    }))?;
    signals.next().await;
    let cut = running.stop(signals.next()).await;
    Ok(Ending::of(cut == 0))
}

/// Runs an agent until it is asked to stop.
pub(crate) async fn run_agent(file: &str) -> Result<Ending> {
    let settings = load_agent(file, &read(file)?)?;
    log::install(settings.log_level, settings.log_format)?;
    let mut signals = StopSignals::listen()?;
    let running = agent::start(settings).await?;
    let at = running.addresses;
    announce(&json!({ "link": at.link.to_string(), "admin": at.admin.to_string() }))?;
    signals.next().await;
    let cut = running.stop(signals.next()).await;
    Ok(Ending::of(cut == 0))
}
