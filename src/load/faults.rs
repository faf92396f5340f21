//! Causing a scenario's faults in a local system.

use std::collections::HashMap;

use crate::{
    load::{FaultSpec, scenario::FaultKind},
    local::LocalSystem,
    standin::{
        engine::{BadVersion, EngineFaults},
        faults::Faults,
    },
};

/// Faults in force, so that several can be in force at a time.
#[derive(Debug, Default)]
pub(super) struct FaultState {
    table: Faults,
    objects: Faults,
    ratings: Faults,
    engines: HashMap<Box<str>, EngineFaults>,
}

impl FaultState {
    /// Begins or ends a fault.
    pub(super) fn apply(&mut self, system: &LocalSystem, fault: &FaultSpec, begins: bool) {
        let value = if begins { fault.value } else { 0.0 };
        match fault.kind {
            FaultKind::KillAgent if begins => drop(system.kill_agent(&fault.target)),
            FaultKind::KillEntry if begins => {
                let index = fault.target.parse().unwrap_or(0);
                system.kill_entry(index);
            }
            FaultKind::ZoneGone if begins => kill_zone(system, &fault.target),
            FaultKind::HostLeaves if begins => {
                let host = format!("host-of-{}", fault.target.replace('/', "-"));
                system.platform.hosts.mark_leaving(&host);
            }
            FaultKind::StoreDown => self.table.down = begins,
            FaultKind::StoreSlow => self.table.slow_ms = value as u64,
            FaultKind::RepliesLost => self.table.lose_replies = value,
            FaultKind::ObjectsDown => self.objects.down = begins,
            FaultKind::RatingsDown => self.ratings.down = begins,
            FaultKind::RatingsSlow => self.ratings.slow_ms = value as u64,
            _ => self.apply_to_engines(system, fault, value),
        }
        system.platform.table.faults.set(self.table);
        system.platform.objects.faults.set(self.objects);
        system.platform.ratings.set(self.ratings);
    }

    fn apply_to_engines(&mut self, system: &LocalSystem, fault: &FaultSpec, value: f64) {
        let is_version = matches!(fault.kind, FaultKind::VersionFails | FaultKind::VersionPoor);
        for (name, engine) in &system.engines {
            if !is_version && !fault.target.is_empty() && fault.target != *name {
                continue;
            }
            let faults = self.engines.entry(name.clone()).or_default();
            change_engine(faults, fault, value);
            engine.set_faults(faults.clone());
        }
    }
}

fn change_engine(faults: &mut EngineFaults, fault: &FaultSpec, value: f64) {
    match fault.kind {
        FaultKind::AnswersCrossed => faults.cross = value,
        FaultKind::AnswersDoubled => faults.duplicate = value,
        FaultKind::StreamsCut => faults.cut = value,
        FaultKind::SlowEngine => faults.slow_factor = value,
        FaultKind::FailingEngine => faults.fail = value,
        FaultKind::VersionFails => {
            let bad = BadVersion { fail: value, ..BadVersion::default() };
            faults.bad.insert(fault.target.clone(), bad);
        }
        FaultKind::VersionPoor => {
            let bad = BadVersion { poor: value, ..BadVersion::default() };
            faults.bad.insert(fault.target.clone(), bad);
        }
        _ => {}
    }
}

fn kill_zone(system: &LocalSystem, zone: &str) {
    let gone: Vec<Box<str>> = system
        .agents
        .lock()
        .expect("no panics under the lock")
        .iter()
        .filter(|(_, running)| &*running.agent.settings.zone == zone)
        .map(|(name, _)| name.clone())
        .collect();
    for server in gone {
        system.kill_agent(&server);
    }
}
