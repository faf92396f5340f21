//! What is done to the processes, to the ways between them and to the store, in series and at once.

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

/// One thing that can be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disruption {
    Stop,
    Reload,
    ChangeSettingsFile,
    ChangeConfiguration,
    Drain,
    /// Nothing may be sent to half of the servers for a while.
    Evacuate,
    Kill,
    KillDuringStop,
    Suspend,
    SuspendDuringStop,
    StoreFault(Fault),
    DropStoreHistory,
    /// The store comes back from a copy; operator and servers write again what they had written since.
    RestoreStore,
    DegradeStoreLink(LinkCondition),
    /// Another writer's row stands where a server's was.
    CorruptRow,
    DegradeServerLink(LinkCondition),
    RestartServer,
    /// A caller insists on a request that ends every server that runs it.
    RepeatCrashingRequest,
}

/// How much longer than other deeds a caller insists: the bound holds from 3 s after the third end on.
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
    Disruption::StoreFault(Fault::TooMany),
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
    /// What may happen under a seed: a third of the seeds have planned work only, a third store
    /// faults as well, and the rest everything, so that one kind does not hide another.
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

    /// Does it and undoes it; notes in the record when.
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
            Self::DropStoreHistory => system.store.forget(),
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

async fn degrade(proxy: &crate::proxy::Proxy, condition: LinkCondition, duration: Duration) {
    proxy.set_condition(condition);
    sleep(duration).await;
    proxy.set_condition(LinkCondition::Clear);
}

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

/// Puts a newer configuration in the store; the second one takes a key away.
fn change_configuration(system: &System) {
    let version = system.config_version.fetch_add(3, Ordering::SeqCst) + 3;
    if version >= KEY_WITHDRAWN_FROM {
        let mut withdrawn = system.record.key_withdrawn.lock().unwrap();
        withdrawn.get_or_insert_with(Instant::now);
    }
    system.store.put("op", "config", &configuration_of(version));
}

/// Version of the configuration from which on the second key is gone.
const KEY_WITHDRAWN_FROM: u64 = 5;

fn configuration_of(version: u64) -> Value {
    let mut changed = configuration(version);
    if version >= KEY_WITHDRAWN_FROM {
        changed["tenants"] = json!([{"name": "org", "api-keys": ["key-1"]}]);
    }
    changed
}

/// Lets the store come back from a copy. No server's row is in between two states meanwhile.
async fn restore_store(system: &System, duration: Duration) {
    let rows: Vec<_> = system.servers.iter().map(|server| server.row_lock.try_lock()).collect();
    if rows.iter().any(Result::is_err) {
        return;
    }
    let copy = system.store.copy();
    sleep(duration).await;
    system.store.restore(&copy);
    let version = system.config_version.load(Ordering::SeqCst);
    if version > 1 {
        system.store.put("op", "config", &configuration_of(version));
    }
    system.servers.iter().for_each(|server| server.list(&system.store, "ready"));
}

/// Orders a zone evacuated for a while.
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

/// Lists a server as leaving for a while.
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

/// Puts something that can't be read in place of a server's row for a while.
async fn corrupt_row(system: &System, server: usize, duration: Duration) {
    let corrupted = &system.servers[server];
    let Ok(_lock) = corrupted.row_lock.try_lock() else {
        return;
    };
    system.store.put_spoiled("servers", corrupted.id(), &json!("%%%"));
    sleep(duration).await;
    corrupted.list(&system.store, "ready");
}

/// Lets a caller insist on a request that ends every server that runs it; each time another one.
async fn repeat_crashing_request(system: &System, duration: Duration) {
    let number = system.crashing_requests.fetch_add(1, Ordering::SeqCst);
    let callers = system.callers.get().expect("callers come before deeds");
    callers
        .repeat_request(
            format!("{CRASHING_BODY_PREFIX} {number}"),
            number,
            duration * REPEAT_DURATION_FACTOR,
        )
        .await;
}

/// Resets a server's connections, and lists it as started again under its id a while later.
async fn restart_server(system: &System, server: usize, duration: Duration) {
    let restarted = &system.servers[server];
    let Ok(_lock) = restarted.row_lock.try_lock() else {
        return;
    };
    degrade(&restarted.link, LinkCondition::Reset, duration).await;
    restarted.restart(&system.store);
}

/// Draws what is done next, and to whom.
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
