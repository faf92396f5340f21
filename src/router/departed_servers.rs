//! Lives of servers whose rows are gone, for rows that return.
//!
//! A row lapses while the store is away, or while its server can't reach the store, and returns for the same life. What
//! the server announced, its failures and what was sent to it are as true as before.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{policy::retry_after::LONGEST_PAUSE, router::Member};

/// Time for which a life is remembered: what it announced may hold for as long.
const RETENTION: Duration = LONGEST_PAUSE;
/// Lives remembered at most, under half a kilobyte each.
const MAX_SERVERS: usize = 256;

/// Lives out of view, by id, and when each went.
#[derive(Debug, Default)]
pub(super) struct DepartedServers {
    servers: HashMap<Box<str>, (Arc<Member>, Duration)>,
}

impl DepartedServers {
    /// The last life that was in view under an id.
    pub(super) fn get(&self, id: &str) -> Option<&Arc<Member>> {
        self.servers.get(id).map(|(member, _)| member)
    }

    /// Takes over what another one remembers, but for ids that are in view again.
    pub(super) fn inherit(
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

    /// Remembers a life that went out of view; the longest gone makes room for it.
    pub(super) fn insert(&mut self, member: &Arc<Member>, now: Duration) {
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
