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
    proxy::Way,
    record::{Barred, CRASHING, Disturbance, IN_FORCE, What},
    site::configuration,
    store::Fault,
    system::{OTHER_ZONE, System},
};

/// One thing that can be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deed {
    Stop,
    Reload,
    ChangeSettingsFile,
    ChangeConfiguration,
    Drain,
    /// Nothing may be sent to half of the servers for a while.
    Evacuate,
    Kill,
    KillInStop,
    Pause,
    PauseInStop,
    StoreFault(Fault),
    ForgetHistory,
    /// The store comes back from a copy; operator and servers write again what they had written since.
    Restore,
    CutFromStore(Way),
    /// Another writer's row stands where a server's was.
    MangleRow,
    SpoilServer(Way),
    StartServerAgain,
    /// A caller insists on a request that ends every server that runs it.
    Insist,
}

/// How much longer than other deeds a caller insists: the bound holds from 3 s after the third end on.
const INSISTS: u32 = 6;

const PLANNED: [Deed; 6] = [
    Deed::Stop,
    Deed::Reload,
    Deed::ChangeSettingsFile,
    Deed::ChangeConfiguration,
    Deed::Drain,
    Deed::Evacuate,
];
const STORE: [Deed; 10] = [
    Deed::Restore,
    Deed::StoreFault(Fault::Down),
    Deed::StoreFault(Fault::RateLimited),
    Deed::StoreFault(Fault::RepliesLost),
    Deed::ForgetHistory,
    Deed::CutFromStore(Way::Slow),
    Deed::CutFromStore(Way::Silent),
    Deed::CutFromStore(Way::AskOnly),
    Deed::CutFromStore(Way::Reset),
    Deed::MangleRow,
];
const FAULTS: [Deed; 10] = [
    Deed::Kill,
    Deed::KillInStop,
    Deed::Pause,
    Deed::PauseInStop,
    Deed::SpoilServer(Way::Slow),
    Deed::SpoilServer(Way::Silent),
    Deed::SpoilServer(Way::AskOnly),
    Deed::SpoilServer(Way::Reset),
    Deed::StartServerAgain,
    Deed::Insist,
];

impl Deed {
    /// What may happen under a seed: a third of the seeds have planned work only, a third store
    /// faults as well, and the rest everything, so that one kind does not hide another.
    pub fn all_of(seed: u64) -> Vec<Self> {
        let mut all = PLANNED.to_vec();
        let third = seed % 3;
        if third > 0 {
            all.extend(STORE);
        }
        if third > 1 {
            all.extend(FAULTS);
        }
        all
    }

    fn what(self) -> What {
        match self {
            _ if PLANNED.contains(&self) => What::Planned,
            _ if STORE.contains(&self) => What::Store,
            _ => What::Fault,
        }
    }

    /// Does it and undoes it; notes in the record when.
    pub async fn done(self, system: Arc<System>, entry: usize, server: usize, lasts: Duration) {
        let interrupts = matches!(
            self,
            Self::Stop | Self::Kill | Self::KillInStop | Self::Pause | Self::PauseInStop
        );
        let concerns = match self {
            _ if interrupts => Some(entry),
            Self::Reload | Self::ChangeSettingsFile | Self::CutFromStore(_) => Some(entry),
            _ => None,
        };
        let disturbance = Disturbance {
            entry: concerns,
            what: self.what(),
            interrupts,
            from: Instant::now(),
            to: Instant::now() + Duration::from_secs(3_600),
        };
        let number = system.record.begin(disturbance);
        self.act(&system, entry, server, lasts).await;
        system.record.end(number);
    }

    async fn act(self, system: &System, entry: usize, server: usize, lasts: Duration) {
        match self {
            Self::ChangeConfiguration => change_configuration(system),
            Self::Drain => drain(system, server, lasts).await,
            Self::Evacuate => evacuate(system, lasts).await,
            Self::Restore => restore(system, lasts).await,
            Self::StoreFault(fault) => {
                system.store.set_fault(fault);
                sleep(lasts).await;
                system.store.set_fault(Fault::None);
            }
            Self::ForgetHistory => system.store.drop_history(),
            Self::MangleRow => mangle(system, server, lasts).await,
            Self::StartServerAgain => start_again(system, server, lasts).await,
            Self::Insist => insist(system, lasts).await,
            Self::SpoilServer(way) => spoil_server(system, server, way, lasts).await,
            Self::CutFromStore(way) => {
                let proxy = system.entries[entry].lock().await.store.clone();
                spoil(&proxy, way, lasts).await;
            }
            _ => self.act_on_process(system, entry, lasts).await,
        }
    }

    async fn act_on_process(self, system: &System, entry: usize, lasts: Duration) {
        let mut process = system.entries[entry].lock().await;
        match self {
            Self::Reload => return process.signal(Signal::HUP),
            Self::ChangeSettingsFile => return process.write_settings(),
            Self::Pause => {
                process.signal(Signal::STOP);
                sleep(lasts).await;
                return process.signal(Signal::CONT);
            }
            Self::Stop => process.signal(Signal::TERM),
            Self::Kill => process.signal(Signal::KILL),
            Self::KillInStop => {
                process.signal(Signal::TERM);
                sleep(lasts).await;
                process.signal(Signal::KILL);
            }
            _ => {
                process.signal(Signal::TERM);
                process.signal(Signal::STOP);
                sleep(lasts).await;
                process.signal(Signal::CONT);
            }
        }
        process.wait().await;
        process.run_again().await;
    }
}

async fn spoil(proxy: &crate::proxy::Proxy, way: Way, lasts: Duration) {
    proxy.set(way);
    sleep(lasts).await;
    proxy.set(Way::Clear);
}

async fn spoil_server(system: &System, server: usize, way: Way, lasts: Duration) {
    let (server, from) = (&system.servers[server], Instant::now());
    spoil(&server.way, way, lasts).await;
    let span = (server.id().into(), from, Instant::now());
    system.record.spoiled.lock().unwrap().push(span);
}

/// Puts a newer configuration in the store; the second one takes a key away.
fn change_configuration(system: &System) {
    let version = system.version.fetch_add(3, Ordering::SeqCst) + 3;
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
async fn restore(system: &System, lasts: Duration) {
    let rows: Vec<_> = system.servers.iter().map(|server| server.row.try_lock()).collect();
    if rows.iter().any(Result::is_err) {
        return;
    }
    let snapshot = system.store.snapshot();
    sleep(lasts).await;
    system.store.restore(&snapshot);
    let version = system.version.load(Ordering::SeqCst);
    if version > 1 {
        system.store.put("op", "config", &configuration_of(version));
    }
    system.servers.iter().for_each(|server| server.list(&system.store, "ready"));
}

/// Orders a zone evacuated for a while.
async fn evacuate(system: &System, lasts: Duration) {
    let key = format!("evacuate/{OTHER_ZONE}");
    if system.store.read("op", &key).is_some() {
        return;
    }
    system.store.put("op", &key, &json!({}));
    let acknowledged = Instant::now();
    sleep(IN_FORCE + lasts).await;
    let to = Instant::now();
    let in_zone = system.servers.iter().filter(|server| server.zone() == OTHER_ZONE);
    let barred = in_zone.map(|server| Barred { server: server.id().into(), acknowledged, to });
    system.record.barred.lock().unwrap().extend(barred);
    system.store.remove("op", &key);
}

/// Lists a server as leaving for a while.
async fn drain(system: &System, server: usize, lasts: Duration) {
    let drained = &system.servers[server];
    let Ok(_alone) = drained.row.try_lock() else {
        return;
    };
    drained.list(&system.store, "draining");
    let from = Instant::now();
    sleep(IN_FORCE + lasts).await;
    let barred = Barred { server: drained.id().into(), acknowledged: from, to: Instant::now() };
    system.record.barred.lock().unwrap().push(barred);
    drained.list(&system.store, "ready");
}

/// Puts something that can't be read in place of a server's row for a while.
async fn mangle(system: &System, server: usize, lasts: Duration) {
    let mangled = &system.servers[server];
    let Ok(_alone) = mangled.row.try_lock() else {
        return;
    };
    system.store.put_malformed("servers", mangled.id(), &json!("%%%"));
    sleep(lasts).await;
    mangled.list(&system.store, "ready");
}

/// Lets a caller insist on a request that ends every server that runs it; each time another one.
async fn insist(system: &System, lasts: Duration) {
    let number = system.insisted.fetch_add(1, Ordering::SeqCst);
    let callers = system.callers.get().expect("callers come before deeds");
    callers.insist(format!("{CRASHING} {number}"), number, lasts * INSISTS).await;
}

/// Resets a server's connections, and lists it as started again under its id a while later.
async fn start_again(system: &System, server: usize, lasts: Duration) {
    let reborn = &system.servers[server];
    let Ok(_alone) = reborn.row.try_lock() else {
        return;
    };
    spoil(&reborn.way, Way::Reset, lasts).await;
    reborn.start_again(&system.store);
}

/// Draws what is done next, and to whom.
pub fn draw(rng: &mut impl Rng, deeds: &[Deed], system: &System) -> (Deed, usize, usize, Duration) {
    let deed = deeds[rng.random_range(0..deeds.len())];
    let entry = rng.random_range(0..system.entries.len());
    let server = rng.random_range(0..system.servers.len());
    (deed, entry, server, Duration::from_millis(rng.random_range(200..1_800)))
}
