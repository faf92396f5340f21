//! The servers the store lists, and those that may have lapsed while it was away.

use std::{collections::HashMap, time::Duration};

use crate::{
    platform::{
        documents::read_server,
        store::{Row, Rows},
    },
    routing::BackendServer,
    telemetry::event,
};

/// The servers listed, and those missing since the store came back.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    pub(crate) servers: HashMap<Box<str>, BackendServer>,
    /// Servers that may come back until this time.
    missing: HashMap<Box<str>, Duration>,
}

impl Listing {
    /// Takes in all rows or those that changed; what is removed may come back until then.
    pub(crate) fn apply(&mut self, rows: &Rows, is_whole: bool, doubtful_until: Option<Duration>) {
        if is_whole {
            let listed: Vec<&str> = rows.rows.iter().map(|row| &*row.key).collect();
            let gone: Vec<Box<str>> =
                self.servers.keys().filter(|id| !listed.contains(&&***id)).cloned().collect();
            for id in gone {
                self.remove(&id, doubtful_until);
            }
        }
        for row in &rows.rows {
            if row.is_removed {
                self.remove(&row.key, doubtful_until);
            } else {
                self.put(row);
            }
        }
    }

    fn put(&mut self, row: &Row) {
        match read_server(row) {
            Ok(server) => {
                self.missing.remove(&server.id);
                self.servers.insert(server.id.clone(), server);
            }
            Err(e) => event::DOCUMENT_UNREADABLE.log(format_args!("cause=\"{e}\"")),
        }
    }

    fn remove(&mut self, id: &str, doubtful_until: Option<Duration>) {
        let is_leaving = self.servers.get(id).is_none_or(|server| server.is_leaving);
        match doubtful_until {
            Some(until) if !is_leaving => {
                self.missing.entry(id.into()).or_insert(until);
            }
            _ => {
                self.missing.remove(id);
                self.servers.remove(id);
            }
        }
    }

    /// Drops servers that did not come back in time; whether there were any.
    pub(crate) fn expire(&mut self, now: Duration) -> bool {
        let before = self.servers.len();
        self.servers.retain(|id, _| self.missing.get(id).is_none_or(|until| now < *until));
        self.missing.retain(|_, until| now < *until);
        self.servers.len() != before
    }
}
