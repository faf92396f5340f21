//! The list of servers built from the store's rows.
//!
//! It bridges two faults of the store. After an outage, rows may have expired although their servers run; such
//! servers are kept until they can have written their rows again. A store restored from an older copy may show
//! rows of servers that have left; such rows are not used until the store would have dropped them.

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
    router::store::restore::Extent,
    routing::BackendServer,
    telemetry::{event, log_rate::LogRate},
};

/// Time for which it is remembered that a server left. A store is restored from a copy that is some seconds old.
const DEPARTED_RETENTION: Duration = Duration::from_secs(60);
/// Time after which the store has dropped the row of a server that is gone: three heartbeats of 1.2 s, plus the
/// 0.8 s by which the list may be read late.
const RESTORED_ROW_HOLD: Duration = Duration::from_millis(4_400);

/// The listed servers, and what is needed to judge rows that are missing or reappear.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    servers: HashMap<Box<str>, BackendServer>,
    /// Servers whose rows are missing, and until when the rows may reappear; the servers are used until then.
    missing: HashMap<Box<str>, Duration>,
    /// Servers that left, and when; a store restored from an older copy may still list them.
    departed: HashMap<Box<str>, Duration>,
    /// Departed servers that a restored store lists, and the time by which it would have dropped them if they are
    /// gone.
    unconfirmed: HashMap<Box<str>, (BackendServer, Duration)>,
    /// Rows that can't be parsed, by key, with their revision, so that each revision is logged at most once.
    unreadable: HashMap<Box<str>, Revision>,
    /// Limits the log lines about them: another writer may write any number of rows.
    log: LogRate,
}

impl Listing {
    /// Applies rows read from the store. Servers whose rows are removed are kept until
    /// `removals_uncertain_until`, if that is set: the rows may have expired only because the store was
    /// unreachable.
    pub(crate) fn apply(
        &mut self,
        rows: &Rows,
        extent: Extent,
        removals_uncertain_until: Option<Duration>,
        now: Duration,
    ) {
        self.departed.retain(|_, at| now < *at + DEPARTED_RETENTION);
        if extent.is_whole() {
            let listed: HashSet<&str> = rows.rows.iter().map(|row| &*row.key).collect();
            let known = self.servers.keys().chain(self.unreadable.keys());
            let removed: Vec<Box<str>> =
                known.filter(|id| !listed.contains(&***id)).cloned().collect();
            for id in removed {
                self.remove(&id, removals_uncertain_until, now);
            }
        }
        for row in &rows.rows {
            if row.is_removed {
                self.remove(&row.key, removals_uncertain_until, now);
            } else {
                self.apply_row(row, extent, now);
            }
        }
    }

    /// Whether a row of a restored store is older than what is known: the server has written since, or has left.
    /// A row of a server that left is held back for [`RESTORED_ROW_HOLD`].
    fn hold_if_outdated(&mut self, server: &BackendServer, now: Duration) -> bool {
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

    /// Applies one row that was not removed.
    fn apply_row(&mut self, row: &Row, extent: Extent, now: Duration) {
        let known = self.servers.get(&row.key).and_then(|server| server.started_at);
        match parse_server_row(row) {
            Ok(server) if known.is_some() && server.started_at.is_none() => {
                self.reject_row(
                    row,
                    "the row has no start time, unlike the server's earlier rows",
                    now,
                );
            }
            // A write of an earlier incarnation that reached the store after the first one of the current
            // incarnation.
            Ok(server) if server.started_at < known => {
                event::FORMER_LIFE_SHOWN.log(format_args!(
                    "server={} shown={:?} known={known:?}",
                    row.key, server.started_at
                ));
            }
            Ok(server) if extent == Extent::Restored && self.hold_if_outdated(&server, now) => {}
            Ok(server) => {
                self.missing.remove(&server.id);
                self.unconfirmed.remove(&server.id);
                self.departed.remove(&server.id);
                self.unreadable.remove(&server.id);
                self.servers.insert(server.id.clone(), server);
            }
            Err(e) => self.reject_row(row, &e.to_string(), now),
        }
    }

    /// Treats a row as written by something other than its server. The server is not used until its row can be read
    /// again.
    fn reject_row(&mut self, row: &Row, cause: &str, now: Duration) {
        self.missing.remove(&row.key);
        self.servers.remove(&row.key);
        let is_new = self.unreadable.insert(row.key.clone(), row.version) != Some(row.version);
        if is_new && let Some(unlogged) = self.log.admit(now) {
            event::DOCUMENT_UNREADABLE.log(format_args!("cause=\"{cause}\" unlogged={unlogged}"));
        }
    }

    /// Servers that may be used. If most rows have a start time, all servers of the site report it, and a row without
    /// one was written by something other than its server.
    pub(crate) fn usable(&self) -> impl Iterator<Item = &BackendServer> {
        let reporting = self.servers.values().filter(|server| server.started_at.is_some()).count();
        let is_reported = reporting * 2 > self.servers.len();
        self.servers.values().filter(move |server| !is_reported || server.started_at.is_some())
    }

    /// Number of rows that can't be parsed.
    pub(crate) fn unreadable(&self) -> usize {
        self.unreadable.len()
    }

    /// Whether a server's row can't be parsed.
    pub(crate) fn is_unreadable(&self, id: &str) -> bool {
        self.unreadable.contains_key(id)
    }

    /// Removes a server whose row is gone, or marks it as missing if the row may reappear. A draining server is
    /// always removed, since it announced that it would leave.
    fn remove(&mut self, id: &str, removals_uncertain_until: Option<Duration>, now: Duration) {
        self.unreadable.remove(id);
        self.unconfirmed.remove(id);
        let is_draining = self.servers.get(id).is_none_or(|server| server.is_draining);
        match removals_uncertain_until {
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

    /// Drops missing servers whose rows did not reappear in time, and adds departed servers that a restored store
    /// still lists after the hold time. Returns whether anything changed.
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
