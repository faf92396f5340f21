//! The servers the store lists, and those that may have lapsed while it was away.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use crate::{
    ids::Revision,
    platform::{
        documents::parse_server_row,
        store::{Row, Rows},
    },
    router::restore::Extent,
    routing::BackendServer,
    telemetry::event,
};

/// Time for which it is remembered that a server left: a store comes back from a copy some seconds old.
const DEPARTED_RETENTION: Duration = Duration::from_secs(60);
/// Time after which the store has dropped the row of a server that is gone: three heartbeats of 1.2 s, and the
/// 0.8 s by which the list is read late.
const RESTORED_ROW_HOLD: Duration = Duration::from_millis(4_400);

/// The servers listed, and those missing since the store came back.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    servers: HashMap<Box<str>, BackendServer>,
    /// Servers that may come back until this time.
    missing: HashMap<Box<str>, Duration>,
    /// Servers that left, and when: a store that comes back from an older copy may still have them.
    departed: HashMap<Box<str>, Duration>,
    /// Such servers, until when the store would have dropped them if they are gone.
    unconfirmed: HashMap<Box<str>, (BackendServer, Duration)>,
    /// Rows that could not be read, by key, at this revision: each is logged once.
    unreadable: HashMap<Box<str>, Revision>,
}

impl Listing {
    /// Takes in all rows or those that changed; what is removed may come back until then.
    pub(crate) fn apply(
        &mut self,
        rows: &Rows,
        extent: Extent,
        doubtful_until: Option<Duration>,
        now: Duration,
    ) {
        self.departed.retain(|_, at| now < *at + DEPARTED_RETENTION);
        if extent.is_whole() {
            let listed: HashSet<&str> = rows.rows.iter().map(|row| &*row.key).collect();
            let known = self.servers.keys().chain(self.unreadable.keys());
            let gone: Vec<Box<str>> =
                known.filter(|id| !listed.contains(&***id)).cloned().collect();
            for id in gone {
                self.remove(&id, doubtful_until, now);
            }
        }
        for row in &rows.rows {
            if row.is_removed {
                self.remove(&row.key, doubtful_until, now);
            } else {
                self.put(row, extent, now);
            }
        }
    }

    /// Whether a row that the store came back with shows less than is known: the server wrote on since, or left.
    fn is_outdated(&mut self, server: &BackendServer, now: Duration) -> bool {
        if let Some(known) = self.servers.get(&server.id) {
            return known.started_at == server.started_at && server.sequence < known.sequence;
        }
        let has_left = self.departed.contains_key(&server.id);
        if has_left {
            let unconfirmed = (server.clone(), now + RESTORED_ROW_HOLD);
            self.unconfirmed.insert(server.id.clone(), unconfirmed);
        }
        has_left
    }

    fn put(&mut self, row: &Row, extent: Extent, now: Duration) {
        let known = self.servers.get(&row.key).and_then(|server| server.started_at);
        match parse_server_row(row) {
            Ok(server) if known.is_some() && server.started_at.is_none() => {
                self.reject_row(row, "it does not have its start, as it did before");
            }
            // What a former life said, and what reached the store after the present one's first report.
            Ok(server) if server.started_at < known => {
                event::FORMER_LIFE_SHOWN.log(format_args!(
                    "server={} shown={:?} known={known:?}",
                    row.key, server.started_at
                ));
            }
            Ok(server) if extent == Extent::Restored && self.is_outdated(&server, now) => {}
            Ok(server) => {
                self.missing.remove(&server.id);
                self.unconfirmed.remove(&server.id);
                self.departed.remove(&server.id);
                self.unreadable.remove(&server.id);
                self.servers.insert(server.id.clone(), server);
            }
            Err(e) => self.reject_row(row, &e.to_string()),
        }
    }

    /// Takes a row as one of another writer: its server is not used until it can be read again.
    fn reject_row(&mut self, row: &Row, cause: &str) {
        self.missing.remove(&row.key);
        self.servers.remove(&row.key);
        if self.unreadable.insert(row.key.clone(), row.version) != Some(row.version) {
            event::DOCUMENT_UNREADABLE.log(format_args!("cause=\"{cause}\""));
        }
    }

    /// Servers that may be used. Where most report their start, all do: a row without it has another writer.
    pub(crate) fn usable(&self) -> impl Iterator<Item = &BackendServer> {
        let reporting = self.servers.values().filter(|server| server.started_at.is_some()).count();
        let is_reported = reporting * 2 > self.servers.len();
        self.servers.values().filter(move |server| !is_reported || server.started_at.is_some())
    }

    /// Rows that can't be read.
    pub(crate) fn unreadable(&self) -> usize {
        self.unreadable.len()
    }

    /// Whether a server's row is one that can't be read.
    pub(crate) fn is_unreadable(&self, id: &str) -> bool {
        self.unreadable.contains_key(id)
    }

    fn remove(&mut self, id: &str, doubtful_until: Option<Duration>, now: Duration) {
        self.unreadable.remove(id);
        self.unconfirmed.remove(id);
        let is_draining = self.servers.get(id).is_none_or(|server| server.is_draining);
        match doubtful_until {
            Some(until) if !is_draining => {
                self.missing.entry(id.into()).or_insert(until);
            }
            _ => {
                self.missing.remove(id);
                if self.servers.remove(id).is_some() {
                    self.departed.insert(id.into(), now);
                }
            }
        }
    }

    /// Drops servers that did not come back in time, and takes in those that the store still lists though they
    /// were seen to leave before it came back from a copy; whether there were any.
    pub(crate) fn expire(&mut self, now: Duration) -> bool {
        let before = self.servers.len();
        self.servers.retain(|id, _| self.missing.get(id).is_none_or(|until| now < *until));
        self.missing.retain(|_, until| now < *until);
        let is_any_gone = self.servers.len() != before;
        let confirmed = self.unconfirmed.extract_if(|_, (_, until)| *until <= now);
        let confirmed: Vec<BackendServer> = confirmed.map(|(_, (server, _))| server).collect();
        let is_any_back = !confirmed.is_empty();
        for server in confirmed {
            self.departed.remove(&server.id);
            self.servers.insert(server.id.clone(), server);
        }
        is_any_gone || is_any_back
    }
}
