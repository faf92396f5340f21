//! The BackendServers in view.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde_json::Value;

use crate::{
    policy::quarantine::LifeHash,
    router::{Member, departed_servers::DepartedServers},
    routing::{BackendServer, ServerVersion},
    telemetry::event,
};

/// Time for which the servers of a version that is new to its service get nothing while others can
/// serve: the order of its roll-out is read up to 250 ms later than the list of servers. Without it two
/// sessions ran on a new version within 30 ms (32 entries, a configuration changed 5 ms before the
/// order).
const ORDERS_LAG: Duration = Duration::from_millis(500);

/// All servers in view; replaced as a whole when the list changes.
#[derive(Debug, Default)]
pub struct Fleet {
    members: HashMap<Box<str>, Arc<Member>>,
    by_service: HashMap<Box<str>, Vec<Arc<Member>>>,
    by_short_hash: HashMap<u32, Arc<Member>>,
    departed: DepartedServers,
    /// Until when versions wait that came into view beside others, by service and version.
    waiting: HashMap<(Box<str>, ServerVersion), Duration>,
}

impl Fleet {
    /// The fleet of these servers, which keeps what is known about those already in view.
    #[must_use]
    pub fn with(&self, servers: impl Iterator<Item = BackendServer>, now: Duration) -> Self {
        let waiting = self.waiting.iter().filter(|(_, until)| now < **until);
        let waiting = waiting.map(|(version, until)| (version.clone(), *until)).collect();
        let mut next = Self { waiting, ..Self::default() };
        for server in servers {
            let known = self.members.get(&server.id).or_else(|| self.departed.get(&server.id));
            let member = match known {
                Some(known) if known.server == server => known.clone(),
                Some(known) if known.server.born == server.born => {
                    Arc::new(known.renewed(server, now))
                }
                known => {
                    if let Some(known) = known {
                        known.end();
                        event::SERVER_REBORN
                            .log(format_args!("server={} born={:?}", server.id, server.born));
                    }
                    let waits_until = next.note_version(self, &server, now);
                    Arc::new(Member::new(server, waits_until, now))
                }
            };
            let service = member.server.service.clone();
            next.by_short_hash.insert(member.short_hash(), member.clone());
            next.by_service.entry(service).or_default().push(member.clone());
            next.members.insert(member.server.id.clone(), member);
        }
        next.note_departed(self, now);
        next
    }

    /// Remembers the lives of a fleet `before` this one that are out of view.
    fn note_departed(&mut self, before: &Self, now: Duration) {
        self.departed.inherit(&before.departed, |id| self.members.contains_key(id), now);
        for (id, member) in &before.members {
            if !self.members.contains_key(id) {
                self.departed.insert(member, now);
            }
        }
    }

    /// Until when a server waits that has come into view after this fleet's `before`.
    fn note_version(&mut self, before: &Self, server: &BackendServer, now: Duration) -> Duration {
        let version = (server.service.clone(), server.version.clone());
        if let Some(until) = self.waiting.get(&version) {
            return *until;
        }
        let others = before.of_service(&server.service);
        if others.is_empty() || others.iter().any(|m| m.server.version == server.version) {
            return Duration::ZERO;
        }
        self.waiting.insert(version, now + ORDERS_LAG);
        now + ORDERS_LAG
    }

    /// Whether a server's life is in view.
    pub(crate) fn has_life(&self, member: &Member) -> bool {
        let listed = self.members.get(&member.server.id);
        listed.is_some_and(|listed| listed.is_same_life(member))
    }

    /// The server whose life has this hash.
    pub(crate) fn by_life(&self, life: LifeHash) -> Option<&Arc<Member>> {
        self.by_short_hash(life as u32).filter(|member| member.life_hash() == life)
    }

    /// Whether a server of this id is in view.
    pub(crate) fn has_id(&self, id: &str) -> bool {
        self.members.contains_key(id)
    }

    /// Servers whose life is not in view in a later fleet.
    pub(crate) fn gone_in<'a>(&'a self, later: &'a Self) -> impl Iterator<Item = &'a Arc<Member>> {
        self.members.values().filter(|member| !later.has_life(member))
    }

    /// Servers of a service.
    pub fn of_service(&self, service: &str) -> &[Arc<Member>] {
        self.by_service.get(service).map(Vec::as_slice).unwrap_or_default()
    }

    /// Takes in how many tokens the servers of each service have memory for.
    pub(crate) fn set_memories(&self, memories: &HashMap<Box<str>, u64>) {
        for member in self.members.values() {
            if let Some(tokens) = memories.get(&member.server.service) {
                member.record().kept.set_memory(*tokens);
            }
        }
    }

    /// The server whose id has this short hash.
    pub(crate) fn by_short_hash(&self, hash: u32) -> Option<&Arc<Member>> {
        self.by_short_hash.get(&hash)
    }

    /// All servers in view.
    pub(crate) fn members(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.members.values()
    }

    /// Servers in view.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Part of the state dump.
    pub fn dump(&self, now: Duration) -> Value {
        Value::Array(self.members.values().map(|member| member.dump(now)).collect())
    }
}
