//! State of servers whose rows have disappeared, kept for rows that return.
//!
//! A row expires while the store is unreachable, or while its server cannot reach the store, and
//! returns for the same incarnation of the server. What the server announced, its failures and the
//! prefixes sent to it are then still valid.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{policy::retry_after::MAX_PAUSE, router::Member};

/// Time for which a departed server is kept: its announcements may be valid for that long.
const RETENTION: Duration = MAX_PAUSE;
/// Maximum number of servers kept, each under half a kilobyte.
const MAX_SERVERS: usize = 256;

/// Servers that left the fleet, by id, and when each left.
#[derive(Debug, Default)]
pub(crate) struct DepartedServers {
    servers: HashMap<Box<str>, (Arc<Member>, Duration)>,
}

impl DepartedServers {
    /// The last known incarnation of the server with this id.
    pub(crate) fn get(&self, id: &str) -> Option<&Arc<Member>> {
        self.servers.get(id).map(|(member, _)| member)
    }

    /// Copies the servers that `other` keeps, without those that are in the fleet again.
    pub(crate) fn inherit(
        &mut self,
        other: &Self,
        is_in_view: impl Fn(&str) -> bool,
        now: Duration,
    ) {
        for (id, (member, at)) in &other.servers {
            if now < *at + RETENTION && !is_in_view(id) {
                self.servers.insert(id.clone(), (member.clone(), *at));
            }
        }
    }

    /// Keeps a server that left the fleet; drops the oldest one if there are too many.
    pub(crate) fn insert(&mut self, member: &Arc<Member>, now: Duration) {
        member.release_memory();
        self.servers.insert(member.server.id.clone(), (member.clone(), now));
        if self.servers.len() <= MAX_SERVERS {
            return;
        }
        let oldest = self.servers.iter().min_by_key(|(_, (_, at))| *at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.servers.remove(&id);
        }
    }
}
