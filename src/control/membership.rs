//! Selection of the agents that an entry links to, and assignment of shared tasks to entries.
//!
//! Each entry links to a bounded subset of each version's pool. All decisions are deterministic functions
//! of the list of Hosts, so that entries need no coordination.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    ids::{VersionId, qualify},
    platform::{Host, HostState, Role},
    resources::Snapshot,
};

/// Minimum number of links to each version's pool, as far as `max_links` allows.
const MIN_LINKS_PER_POOL: usize = 8;

/// Selects the agents that the entry on `me` links to.
///
/// Agents in the same zone come first, then those in the same region, then all others. Within each class,
/// rendezvous hashing gives the order, so that few links move when a host joins or leaves.
pub fn select_links(me: &Host, hosts: &[Host], snapshot: &Snapshot, max_links: usize) -> Vec<Host> {
    let mut agents: Vec<&Host> = hosts.iter().filter(|host| is_live_agent(host)).collect();
    agents.sort_by_key(|host| (distance_class(me, host), rank(me, host)));
    let pools: Vec<Vec<VersionId>> =
        agents.iter().map(|host| declared_versions(host, snapshot)).collect();
    let mut chosen: BTreeSet<&str> = BTreeSet::new();
    chosen.extend(relay_agent(me, hosts).map(|host| &*host.name));
    let mut links: BTreeMap<&VersionId, usize> = BTreeMap::new();
    // Each round adds up to one link per pool, so that versions on few engines are not crowded out.
    for wanted in 1..=MIN_LINKS_PER_POOL {
        for (host, versions) in agents.iter().zip(&pools) {
            let needs_link = versions.iter().any(|v| links.get(v).copied().unwrap_or(0) < wanted);
            let is_service = versions.is_empty();
            if chosen.len() < max_links && (needs_link || is_service) && chosen.insert(&host.name) {
                for version in versions {
                    *links.entry(version).or_default() += 1;
                }
            }
        }
    }
    for host in &agents {
        if chosen.len() >= max_links {
            break;
        }
        chosen.insert(&host.name);
    }
    agents.into_iter().filter(|host| chosen.contains(&*host.name)).cloned().collect()
}

/// Whether `me` is one of the `sharers` entries that perform a task, chosen by rendezvous hashing over the
/// live entries.
///
/// An entry that is missing from the list can't coordinate with the others and performs the task itself.
pub fn is_assigned(me: &Host, hosts: &[Host], task: &str, sharers: usize, scope: Scope) -> bool {
    let rank = |host: &Host| xxh3_64(format!("{task}|{}", host.name).as_bytes());
    let is_candidate = |host: &&Host| {
        host.role == Role::Entry
            && host.state == HostState::Live
            && (scope == Scope::Global || (host.region == me.region && host.zone == me.zone))
    };
    let live: Vec<&Host> = hosts.iter().filter(is_candidate).collect();
    if !live.iter().any(|host| host.name == me.name) {
        return true;
    }
    let my_rank = rank(me);
    live.iter().filter(|host| rank(host) > my_rank).count() < sharers
}

/// Agent that writes rows on behalf of the entries in `me`'s region.
///
/// Entries with different views of the list may use different agents, which only costs transactions.
pub fn relay_agent<'a>(me: &Host, hosts: &'a [Host]) -> Option<&'a Host> {
    hosts
        .iter()
        .filter(|host| is_live_agent(host) && host.region == me.region)
        .max_by_key(|host| xxh3_64(format!("relay|{}", host.name).as_bytes()))
}

/// Set of entries that a task is shared among.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Entries in the same AvailabilityZone.
    Zone,
    /// All entries.
    Global,
}

fn is_live_agent(host: &Host) -> bool {
    matches!(host.role, Role::Agent(_)) && host.state == HostState::Live
}

/// Network distance between two Hosts: 0 in the same zone, 1 in the same region, 2 across regions.
pub fn distance_class(me: &Host, other: &Host) -> u8 {
    if me.region != other.region {
        return 2;
    }
    u8::from(me.zone != other.zone)
}

fn rank(me: &Host, host: &Host) -> u64 {
    xxh3_64(format!("{}|{}", me.name, host.name).as_bytes())
}

fn declared_versions(host: &Host, snapshot: &Snapshot) -> Vec<VersionId> {
    let Role::Agent(server) = &host.role else {
        return Vec::new();
    };
    let Some(spec) = snapshot.servers.get(server) else {
        return Vec::new();
    };
    let owner = crate::ids::partner_of(server);
    spec.versions.iter().map(|version| qualify(owner, version)).collect()
}
