//! Disruptions of the entries' processes, of their links, of the servers and of the store.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use rand::{Rng, RngExt};
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::{
    proxy::LinkCondition,
    record::{
        CHANGE_PROPAGATION, CRASHING_BODY_PREFIX, DisruptionKind, DisruptionSpan, ExclusionSpan,
    },
    site::configuration,
    store::Fault,
    system::{OTHER_ZONE, System},
};

/// An operation or fault that the soak can apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disruption {
    Stop,
    Reload,
    ChangeSettingsFile,
    ChangeConfiguration,
    Drain,
    /// Evacuates the zone of half of the servers for a while: no request may be sent to them.
    Evacuate,
    Kill,
    KillDuringStop,
    Suspend,
    SuspendDuringStop,
    StoreFault(Fault),
    DropStoreHistory,
    /// Restores the store from a copy; the operator and the servers write again what they had written since.
    RestoreStore,
    DegradeStoreLink(LinkCondition),
    /// Replaces a server's row by an unreadable one.
    CorruptRow,
    DegradeServerLink(LinkCondition),
    RestartServer,
    /// Repeats a request that crashes every server that runs it.
    RepeatCrashingRequest,
}

/// Factor by which crashing requests are repeated for longer than other disruptions last: the bound on their sends
/// applies only from 3 s after the third crash.
const REPEAT_DURATION_FACTOR: u32 = 6;

const PLANNED_DISRUPTIONS: [Disruption; 6] = [
    Disruption::Stop,
    Disruption::Reload,
    Disruption::ChangeSettingsFile,
    Disruption::ChangeConfiguration,
    Disruption::Drain,
    Disruption::Evacuate,
];
const STORE_DISRUPTIONS: [Disruption; 10] = [
    Disruption::RestoreStore,
    Disruption::StoreFault(Fault::Down),
    Disruption::StoreFault(Fault::RateLimited),
    Disruption::StoreFault(Fault::RepliesLost),
    Disruption::DropStoreHistory,
    Disruption::DegradeStoreLink(LinkCondition::Slow),
    Disruption::DegradeStoreLink(LinkCondition::Stalled),
    Disruption::DegradeStoreLink(LinkCondition::RequestsOnly),
    Disruption::DegradeStoreLink(LinkCondition::Reset),
    Disruption::CorruptRow,
];
const FAULT_DISRUPTIONS: [Disruption; 10] = [
    Disruption::Kill,
    Disruption::KillDuringStop,
    Disruption::Suspend,
    Disruption::SuspendDuringStop,
    Disruption::DegradeServerLink(LinkCondition::Slow),
    Disruption::DegradeServerLink(LinkCondition::Stalled),
    Disruption::DegradeServerLink(LinkCondition::RequestsOnly),
    Disruption::DegradeServerLink(LinkCondition::Reset),
    Disruption::RestartServer,
    Disruption::RepeatCrashingRequest,
];

impl Disruption {
    /// Returns the disruptions that may occur under a seed. A third of the seeds have planned work only, a third
    /// have store faults as well, and the rest have everything, so that one kind does not hide another.
    pub fn for_seed(seed: u64) -> Vec<Self> {
        let mut disruptions = PLANNED_DISRUPTIONS.to_vec();
        let third = seed % 3;
        if third > 0 {
            disruptions.extend(STORE_DISRUPTIONS);
        }
        if third > 1 {
            disruptions.extend(FAULT_DISRUPTIONS);
        }
        disruptions
    }

    fn kind(self) -> DisruptionKind {
        match self {
            _ if PLANNED_DISRUPTIONS.contains(&self) => DisruptionKind::Planned,
            _ if STORE_DISRUPTIONS.contains(&self) => DisruptionKind::Store,
            _ => DisruptionKind::Fault,
        }
    }

    /// Applies and reverts the disruption, and records when it began and ended.
    pub async fn run(self, system: Arc<System>, entry: usize, server: usize, duration: Duration) {
        let interrupts_process = matches!(
            self,
            Self::Stop
                | Self::Kill
                | Self::KillDuringStop
                | Self::Suspend
                | Self::SuspendDuringStop
        );
        let affected_entry = match self {
            _ if interrupts_process => Some(entry),
            Self::Reload | Self::ChangeSettingsFile | Self::DegradeStoreLink(_) => Some(entry),
            _ => None,
        };
        let span = DisruptionSpan {
            entry: affected_entry,
            kind: self.kind(),
            interrupts_process,
            from: Instant::now(),
            to: Instant::now() + Duration::from_secs(3_600),
        };
        let number = system.record.begin_disruption(span);
        self.apply(&system, entry, server, duration).await;
        system.record.end_disruption(number);
    }

    /// Applies the disruption for the given duration and reverts it.
    async fn apply(self, system: &System, entry: usize, server: usize, duration: Duration) {
        match self {
            Self::ChangeConfiguration => change_configuration(system),
            Self::Drain => drain(system, server, duration).await,
            Self::Evacuate => evacuate(system, duration).await,
            Self::RestoreStore => restore_store(system, duration).await,
            Self::StoreFault(fault) => {
                system.store.set_fault(fault);
                sleep(duration).await;
                system.store.set_fault(Fault::None);
            }
            Self::DropStoreHistory => system.store.drop_history(),
            Self::CorruptRow => corrupt_row(system, server, duration).await,
            Self::RestartServer => restart_server(system, server, duration).await,
            Self::RepeatCrashingRequest => repeat_crashing_request(system, duration).await,
            Self::DegradeServerLink(condition) => {
                degrade_server_link(system, server, condition, duration).await
            }
            Self::DegradeStoreLink(condition) => {
                let proxy = system.entries[entry].lock().await.store_proxy.clone();
                degrade(&proxy, condition, duration).await;
            }
            _ => self.apply_to_process(system, entry, duration).await,
        }
    }

    /// Applies a disruption of an entry's process and starts the process again if it has exited.
    async fn apply_to_process(self, system: &System, entry: usize, duration: Duration) {
        let mut process = system.entries[entry].lock().await;
        match self {
            Self::Reload => return process.signal(Signal::HUP),
            Self::ChangeSettingsFile => return process.write_settings(),
            Self::Suspend => {
                process.signal(Signal::STOP);
                sleep(duration).await;
                return process.signal(Signal::CONT);
            }
            Self::Stop => process.signal(Signal::TERM),
            Self::Kill => process.signal(Signal::KILL),
            Self::KillDuringStop => {
                process.signal(Signal::TERM);
                sleep(duration).await;
                process.signal(Signal::KILL);
            }
            _ => {
                process.signal(Signal::TERM);
                process.signal(Signal::STOP);
                sleep(duration).await;
                process.signal(Signal::CONT);
            }
        }
        process.wait().await;
        process.respawn().await;
    }
}

/// Puts a link into the given condition for a while.
async fn degrade(proxy: &crate::proxy::Proxy, condition: LinkCondition, duration: Duration) {
    proxy.set_condition(condition);
    sleep(duration).await;
    proxy.set_condition(LinkCondition::Clear);
}

/// Degrades the link to a server and records the span.
async fn degrade_server_link(
    system: &System,
    server: usize,
    condition: LinkCondition,
    duration: Duration,
) {
    let (server, from) = (&system.servers[server], Instant::now());
    degrade(&server.link, condition, duration).await;
    let span = (server.id().into(), from, Instant::now());
    system.record.degraded_links.lock().unwrap().push(span);
}

/// Puts a newer configuration into the store. The second one withdraws a caller's key.
fn change_configuration(system: &System) {
    let version = system.config_version.fetch_add(3, Ordering::SeqCst) + 3;
    if version >= KEY_WITHDRAWN_FROM {
        let mut withdrawn = system.record.key_withdrawn.lock().unwrap();
        withdrawn.get_or_insert_with(Instant::now);
    }
    system.store.put("op", "config", &configuration_of(version));
}

/// First version of the configuration without the second key.
const KEY_WITHDRAWN_FROM: u64 = 5;

fn configuration_of(version: u64) -> Value {
    let mut changed = configuration(version);
    if version >= KEY_WITHDRAWN_FROM {
        changed["tenants"] = json!([{"name": "org", "api-keys": ["key-1"]}]);
    }
    changed
}

/// Restores the store from a copy, with the servers' rows locked. Skipped if another disruption holds one of them.
async fn restore_store(system: &System, duration: Duration) {
    let rows: Vec<_> = system.servers.iter().map(|server| server.row_lock.try_lock()).collect();
    if rows.iter().any(Result::is_err) {
        return;
    }
    let snapshot = system.store.snapshot();
    sleep(duration).await;
    system.store.restore(&snapshot);
    let version = system.config_version.load(Ordering::SeqCst);
    if version > 1 {
        system.store.put("op", "config", &configuration_of(version));
    }
    system.servers.iter().for_each(|server| server.list(&system.store, "ready"));
}

/// Evacuates a zone for a while.
async fn evacuate(system: &System, duration: Duration) {
    let key = format!("evacuate/{OTHER_ZONE}");
    if system.store.read("op", &key).is_some() {
        return;
    }
    system.store.put("op", &key, &json!({}));
    let acknowledged_at = Instant::now();
    sleep(CHANGE_PROPAGATION + duration).await;
    let to = Instant::now();
    let in_zone = system.servers.iter().filter(|server| server.zone() == OTHER_ZONE);
    let exclusions =
        in_zone.map(|server| ExclusionSpan { server: server.id().into(), acknowledged_at, to });
    system.record.exclusions.lock().unwrap().extend(exclusions);
    system.store.remove("op", &key);
}

/// Lists a server as draining for a while.
async fn drain(system: &System, server: usize, duration: Duration) {
    let drained = &system.servers[server];
    let Ok(_lock) = drained.row_lock.try_lock() else {
        return;
    };
    drained.list(&system.store, "draining");
    let from = Instant::now();
    sleep(CHANGE_PROPAGATION + duration).await;
    let exclusion =
        ExclusionSpan { server: drained.id().into(), acknowledged_at: from, to: Instant::now() };
    system.record.exclusions.lock().unwrap().push(exclusion);
    drained.list(&system.store, "ready");
}

/// Replaces a server's row by an unreadable one for a while.
async fn corrupt_row(system: &System, server: usize, duration: Duration) {
    let corrupted = &system.servers[server];
    let Ok(_lock) = corrupted.row_lock.try_lock() else {
        return;
    };
    system.store.put_malformed("servers", corrupted.id(), &json!("%%%"));
    sleep(duration).await;
    corrupted.list(&system.store, "ready");
}

/// Repeats a request that crashes every server that runs it; each call uses a new request.
async fn repeat_crashing_request(system: &System, duration: Duration) {
    let number = system.crashing_requests.fetch_add(1, Ordering::SeqCst);
    let callers = system.callers.get().expect("the callers are set before the disruptions start");
    callers
        .repeat_request(
            format!("{CRASHING_BODY_PREFIX} {number}"),
            number,
            duration * REPEAT_DURATION_FACTOR,
        )
        .await;
}

/// Resets a server's connections for a while, then lists it as restarted under the same id.
async fn restart_server(system: &System, server: usize, duration: Duration) {
    let restarted = &system.servers[server];
    let Ok(_lock) = restarted.row_lock.try_lock() else {
        return;
    };
    degrade(&restarted.link, LinkCondition::Reset, duration).await;
    restarted.restart(&system.store);
}

/// Draws the next disruption, the entry and the server that it may affect, and its duration.
pub fn draw_disruption(
    rng: &mut impl Rng,
    disruptions: &[Disruption],
    system: &System,
) -> (Disruption, usize, usize, Duration) {
    let disruption = disruptions[rng.random_range(0..disruptions.len())];
    let entry = rng.random_range(0..system.entries.len());
    let server = rng.random_range(0..system.servers.len());
    (disruption, entry, server, Duration::from_millis(rng.random_range(200..1_800)))
}
