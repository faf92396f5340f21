//! `entry` and `agent`: the two processes.

use std::{io::Write, path::PathBuf, time::Duration};

use eyre::{Result, WrapErr};
use mintmoor::{
    agent, entry,
    entry::RoutingPolicy,
    platform::host_settings::{self, HostSettings, SETTINGS_VARIABLE},
    policy::backoff::Backoff,
    router::{self, RouterSettings, RunningRouter},
    settings::{RouteSettings, load_agent, load_entry, load_route},
    telemetry::{
        event,
        log::{self, LogLevel},
    },
};
use serde_json::json;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{args::RouteArgs, ending::Ending, signals};

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

/// The signals that an entry on the users' platform handles.
pub(crate) struct RouteSignals {
    stop: StopSignals,
    reload: Signal,
}

impl RouteSignals {
    /// Installs the handlers. Needs the context of a runtime.
    pub(crate) fn listen() -> Result<Self> {
        Ok(Self { reload: signal(SignalKind::hangup())?, stop: StopSignals::listen()? })
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
    log::init_stderr(settings.log_level, settings.log_format)?;
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
    log::init_stderr(settings.log_level, settings.log_format)?;
    let mut signals = StopSignals::listen()?;
    let running = agent::start(settings).await?;
    let at = running.addresses;
    announce(&json!({ "link": at.link.to_string(), "admin": at.admin.to_string() }))?;
    signals.next().await;
    let cut = running.stop(signals.next()).await;
    Ok(Ending::of(cut == 0))
}

/// Time between looks at a settings file that may change without a signal.
const FILE_CHECK: Duration = Duration::from_secs(2);

/// Runs an entry on the users' platform until it is asked to stop. What a person has to change ends it with an error;
/// what may pass is waited for.
pub(crate) async fn run_route(args: &RouteArgs, signals: RouteSignals) -> Result<Ending> {
    let RouteSignals { mut stop, mut reload } = signals;
    signals::ignore_unmeant()?;
    let file: PathBuf = match &args.settings {
        Some(file) => file.into(),
        None => std::env::var(SETTINGS_VARIABLE)
            .wrap_err_with(|| format!("give --settings, or set {SETTINGS_VARIABLE}"))?
            .into(),
    };
    let name = file.display().to_string();
    let policy = match &args.policy {
        Some(file) => load_route(file, &read(file)?)?,
        None => RouteSettings::default(),
    };
    let started = tokio::select! {
        started = start_route(&name, policy) => started,
        () = stop.next() => {
            event::PROCESS_STOPPED.log(format_args!("cut=0"));
            return Ok(Ending::Good);
        }
    };
    let (running, mut text) = started;
    loop {
        tokio::select! {
            () = stop.next() => break,
            _ = reload.recv() => reload_changed(&running, &name, &mut text, true),
            () = tokio::time::sleep(FILE_CHECK) => {
                reload_changed(&running, &name, &mut text, false);
            }
        }
    }
    let cut = running.stop().await;
    Ok(Ending::of(cut == 0))
}

/// Starts an entry once its settings file is usable; returns it with the file's text.
async fn start_route(name: &str, policy: RouteSettings) -> (RunningRouter, String) {
    start_log(policy.log_level).await;
    let (host, text) = wait_for_settings(name).await;
    (router::start(RouterSettings { host, policy }).await, text)
}

/// Starts the log, as soon as the system allows its thread.
async fn start_log(level: LogLevel) {
    let mut backoff = Backoff::default();
    while let Err(e) = log::init_async_stdout(level) {
        if backoff.is_logged() {
            event::THREAD_WAITS.log(format_args!("thread=log cause=\"{e}\""));
        }
        tokio::time::sleep(backoff.record_failure(rand::random())).await;
    }
}

/// Reads the settings file until it is usable. At the start it may still be missing, or be in the middle of being
/// written.
async fn wait_for_settings(name: &str) -> (HostSettings, String) {
    let mut backoff = Backoff::default();
    loop {
        match read(name).and_then(|text| Ok((host_settings::parse(&text)?, text))) {
            Ok(settings) => return settings,
            Err(e) if backoff.is_logged() => {
                event::SETTINGS_UNREADABLE.log(format_args!("file={name} cause=\"{e:#}\""));
            }
            Err(_) => {}
        }
        tokio::time::sleep(backoff.record_failure(rand::random())).await;
    }
}

/// Reloads when asked, or when the file's text is another than before.
fn reload_changed(running: &RunningRouter, name: &str, text: &mut String, is_asked: bool) {
    // A file that can't be read counts as empty, and the reload tells that it can't be used.
    let now = read(name).unwrap_or_default();
    if is_asked || now != *text {
        running.reload(&now);
        *text = now;
    }
}
