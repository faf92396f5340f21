//! The set of known BackendServers.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde_json::Value;

use crate::{
    policy::quarantine::IncarnationHash,
    router::{Member, servers::departed_servers::DepartedServers},
    routing::{BackendServer, ServerVersion},
    telemetry::event,
};

/// Time for which servers of a version that is new to its service are not used while others can serve. The order of
/// the version's roll-out is read up to 250 ms after the list of servers. Without the delay, two sessions ran on a
/// new version within 30 ms (32 entries, a configuration changed 5 ms before the order).
const ROLL_OUT_ORDER_LAG: Duration = Duration::from_millis(500);

/// All known servers. A fleet is immutable and is replaced as a whole when the list changes.
#[derive(Debug, Default)]
pub struct Fleet {
    members: HashMap<Box<str>, Arc<Member>>,
    by_service: HashMap<Box<str>, Vec<Arc<Member>>>,
    by_short_hash: HashMap<u32, Arc<Member>>,
    departed: DepartedServers,
    /// Versions that appeared next to others of their service, by service and version, and until when their
    /// servers are held back.
    held_versions: HashMap<(Box<str>, ServerVersion), Duration>,
}

impl Fleet {
    /// A fleet of these servers that keeps the state of those already known.
    #[must_use]
    pub fn with_servers(
        &self,
        servers: impl Iterator<Item = BackendServer>,
        now: Duration,
    ) -> Self {
        let held_versions = self.held_versions.iter().filter(|(_, until)| now < **until);
        let held_versions =
            held_versions.map(|(version, until)| (version.clone(), *until)).collect();
        let mut next = Self { held_versions, ..Self::default() };
        for server in servers {
            let known = self.members.get(&server.id).or_else(|| self.departed.get(&server.id));
            let member = match known {
                Some(known) if known.server == server => known.clone(),
                Some(known) if known.server.started_at == server.started_at => {
                    Arc::new(known.with_listing(server, now))
                }
                known => {
                    if let Some(known) = known {
                        known.mark_ended();
                        event::SERVER_REBORN
                            .log(format_args!("server={} born={:?}", server.id, server.started_at));
                    }
                    let held_until = next.hold_new_version(self, &server, now);
                    Arc::new(Member::new(server, held_until, now))
                }
            };
            let service = member.server.service.clone();
            next.by_short_hash.insert(member.short_hash(), member.clone());
            next.by_service.entry(service).or_default().push(member.clone());
            next.members.insert(member.server.id.clone(), member);
        }
        next.remember_departed(self, now);
        next
    }

    /// Remembers the servers of the previous fleet that are no longer listed, in case their rows reappear.
    fn remember_departed(&mut self, before: &Self, now: Duration) {
        self.departed.inherit(&before.departed, |id| self.members.contains_key(id), now);
        for (id, member) in &before.members {
            if !self.members.contains_key(id) {
                self.departed.insert(member, now);
            }
        }
    }

    /// The time until which a new server is held back, given the fleet `before` this one. Zero unless its version
    /// is new to a service that has other servers.
    fn hold_new_version(
        &mut self,
        before: &Self,
        server: &BackendServer,
        now: Duration,
    ) -> Duration {
        let version = (server.service.clone(), server.version.clone());
        if let Some(until) = self.held_versions.get(&version) {
            return *until;
        }
        let others = before.of_service(&server.service);
        if others.is_empty() || others.iter().any(|m| m.server.version == server.version) {
            return Duration::ZERO;
        }
        self.held_versions.insert(version, now + ROLL_OUT_ORDER_LAG);
        now + ROLL_OUT_ORDER_LAG
    }

    /// Whether this incarnation of a server is listed.
    pub(crate) fn has_incarnation(&self, member: &Member) -> bool {
        let listed = self.members.get(&member.server.id);
        listed.is_some_and(|listed| listed.is_same_incarnation(member))
    }

    /// The server whose incarnation has this hash.
    pub(crate) fn by_incarnation(&self, hash: IncarnationHash) -> Option<&Arc<Member>> {
        self.by_short_hash(hash as u32).filter(|member| member.incarnation_hash() == hash)
    }

    /// The server with this id, if it is listed.
    pub(crate) fn member(&self, id: &str) -> Option<&Arc<Member>> {
        self.members.get(id)
    }

    /// Servers whose incarnation is not listed in a later fleet.
    pub(crate) fn missing_from<'a>(
        &'a self,
        later: &'a Self,
    ) -> impl Iterator<Item = &'a Arc<Member>> {
        self.members.values().filter(|member| !later.has_incarnation(member))
    }

    /// The servers of a service.
    pub fn of_service(&self, service: &str) -> &[Arc<Member>] {
        self.by_service.get(service).map(Vec::as_slice).unwrap_or_default()
    }

    /// Sets the size of the servers' prompt caches, in tokens by service.
    pub(crate) fn set_cache_capacities(&self, memories: &HashMap<Box<str>, u64>) {
        for member in self.members.values() {
            if let Some(tokens) = memories.get(&member.server.service) {
                member.state().prefixes.set_capacity(*tokens);
            }
        }
    }

    /// The server with this [`Member::short_hash`].
    pub(crate) fn by_short_hash(&self, hash: u32) -> Option<&Arc<Member>> {
        self.by_short_hash.get(&hash)
    }

    /// All servers.
    pub(crate) fn members(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.members.values()
    }

    /// Number of servers.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are no servers.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Part of the state dump.
    pub fn dump(&self, now: Duration) -> Value {
        Value::Array(self.members.values().map(|member| member.dump(now)).collect())
    }
}
