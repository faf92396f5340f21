//! Sessions: which version each stage of a session runs on, and how it stays there.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    entry::{Entry, guard, request::RequestHead},
    ids::{ObjectId, Revision, VersionId, format_id},
    platform::InsertOutcome,
    policy::{
        roll_out::takes_new_version,
        session::{self, Session},
    },
    protocol::ToAgent,
    resources::{Kind, RollOutState, Snapshot},
};

const MAX_CACHED: usize = 100_000;
const MAX_TRIES: usize = 4;

/// Row of a pin.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct PinRow {
    version: VersionId,
}

/// Pins read or written lately.
#[derive(Debug, Default)]
pub(crate) struct PinCache {
    pins: HashMap<Box<str>, CachedPin>,
}

/// A pin as it was read.
#[derive(Clone, Debug)]
struct CachedPin {
    version: VersionId,
    /// Revision at which the version was last changed when the pin was read: after a later
    /// change, such as a withdrawal, another entry may have moved the session.
    version_changed: Revision,
}

impl PinCache {
    pub(crate) fn len(&self) -> usize {
        self.pins.len()
    }

    /// The version cached, unless it has been changed since.
    fn get(&self, key: &str, snapshot: &Snapshot) -> Option<VersionId> {
        let pin = self.pins.get(key)?;
        (changed_at(snapshot, &pin.version) == pin.version_changed).then(|| pin.version.clone())
    }

    fn put(&mut self, key: Box<str>, version: VersionId, snapshot: &Snapshot) {
        if self.pins.len() >= MAX_CACHED {
            self.pins.clear();
        }
        let version_changed = changed_at(snapshot, &version);
        self.pins.insert(key, CachedPin { version, version_changed });
    }
}

fn changed_at(snapshot: &Snapshot, version: &VersionId) -> Revision {
    snapshot.object_revisions.get(&(Kind::Version, version.clone())).copied().unwrap_or_default()
}

/// The session of one request.
#[derive(Clone, Debug)]
pub(crate) struct RequestSession {
    pub(crate) session: Session,
    /// Whether the caller sent its own id, which is pinned by a row, rather than a token.
    by_row: bool,
}

impl RequestSession {
    /// Reads the session header; a token of another organisation starts a new session.
    pub(crate) fn read(head: &RequestHead, key: &[u8]) -> Self {
        let fresh = |id: Box<str>| Session {
            organisation: head.organisation.clone(),
            id,
            ..Session::default()
        };
        let Some(value) = head.session.as_deref().filter(|value| !value.is_empty()) else {
            return Self { session: fresh(format_id(head.id)), by_row: false };
        };
        if !session::is_token(value) {
            return Self { session: fresh(value.into()), by_row: true };
        }
        let held = session::verify(value, key).filter(|s| s.organisation == head.organisation);
        Self { session: held.unwrap_or_else(|| fresh(format_id(head.id))), by_row: false }
    }

    /// Number that prefers the same servers for the same session.
    pub(crate) fn ring_key(&self) -> u64 {
        xxh3_64(self.session.id.as_bytes())
    }

    /// Token to give back.
    pub(crate) fn token(&self, key: &[u8]) -> Box<str> {
        session::sign(&self.session, key)
    }
}

/// Version a stage runs on for a session; none when the organisation has none to run on.
pub(crate) async fn version_for(
    entry: &Entry,
    session: &mut RequestSession,
    stage: &str,
) -> Option<VersionId> {
    let snapshot = entry.config.snapshot();
    let organisation = session.session.organisation.clone();
    let usable = |version: &str| {
        snapshot.is_available(version) && snapshot.is_allowed(&organisation, version)
    };
    if stage.contains('@') {
        return usable(stage).then(|| stage.into());
    }
    let held = session.session.versions.get(stage).filter(|version| usable(version)).cloned();
    let version = match held {
        Some(version) => version,
        None if session.by_row => pinned_by_row(entry, &session.session, stage, &usable).await?,
        None => assign(entry, &snapshot, &session.session.id, stage, &usable)?,
    };
    session.session.versions.insert(stage.into(), version.clone());
    Some(version)
}

/// Picks the version of a new session, or of one whose version was withdrawn.
///
/// While the store is down this entry can't tell whether its configuration is current, so
/// versions under roll-out take no new sessions.
fn assign(
    entry: &Entry,
    snapshot: &Snapshot,
    session: &str,
    model: &str,
    usable: &impl Fn(&str) -> bool,
) -> Option<VersionId> {
    let full = |name: &str| -> VersionId { format!("{model}@{name}").into() };
    let mut order: Vec<VersionId> = Vec::new();
    if let Some((_, roll_out)) = snapshot.roll_out_of(model) {
        let (from, to) = (full(&roll_out.from), full(&roll_out.to));
        let finished = roll_out.state == RollOutState::Finished;
        let shy = guard::is_held(entry, &to) || (entry.health.last_call_failed() && !finished);
        let new_first = takes_new_version(roll_out, session, shy);
        order.extend(if new_first { [to, from] } else { [from, to] });
    }
    order.extend(snapshot.stable_version(model));
    order.into_iter().find(|version| usable(version))
}

/// Finds or makes the pin of a caller's own session id.
async fn pinned_by_row(
    entry: &Entry,
    session: &Session,
    model: &str,
    usable: &impl Fn(&str) -> bool,
) -> Option<VersionId> {
    let key: Box<str> = format!("pins/{}/{model}/{}", session.organisation, session.id).into();
    let snapshot = entry.config.snapshot();
    let cached = entry.pins.lock().expect("no panics under the lock").get(&key, &snapshot);
    if let Some(version) = cached.filter(|version| usable(version)) {
        return Some(version);
    }
    for _ in 0..MAX_TRIES {
        let Ok(read) = entry.health.track("pin_read", entry.table.get(&key)).await else {
            return pinned_by_agent(entry, session, model, usable).await;
        };
        let read = read.and_then(|row| Some((row.parse::<PinRow>().ok()?.version, row.version)));
        if let Some((version, _)) = read.as_ref().filter(|(version, _)| usable(version)) {
            remember(entry, &key, session, model, version).await;
            return Some(version.clone());
        }
        let snapshot = entry.config.snapshot();
        let version = assign(entry, &snapshot, &session.id, model, usable)?;
        let value = serde_json::to_value(PinRow { version: version.clone() }).ok()?;
        let expected = read.as_ref().map(|(_, at)| *at);
        match entry.write_row(key.clone(), expected, value).await {
            InsertOutcome::Inserted(_) => {
                remember(entry, &key, session, model, &version).await;
                return Some(version);
            }
            // Another entry was faster, or may have been us: the row tells.
            InsertOutcome::Conflict | InsertOutcome::Lost => {}
            InsertOutcome::Refused => {
                return pinned_by_agent(entry, session, model, usable).await;
            }
        }
    }
    pinned_by_agent(entry, session, model, usable).await
}

/// While the store is down, an agent's memory keeps sessions where they are.
async fn pinned_by_agent(
    entry: &Entry,
    session: &Session,
    model: &str,
    usable: &impl Fn(&str) -> bool,
) -> Option<VersionId> {
    let name = memory_name(session);
    let keeper = keeper_of(entry, &name);
    if let Some(link) = &keeper {
        let version = link.ask_pin(&name, model).await;
        if let Some(version) = version.filter(|version| usable(version)) {
            return Some(version);
        }
    }
    let snapshot = entry.config.snapshot();
    let version = assign(entry, &snapshot, &session.id, model, usable)?;
    if let Some(link) = keeper {
        tell_keeper(&link, name, model.into(), version.clone()).await;
    }
    Some(version)
}

async fn remember(entry: &Entry, key: &str, session: &Session, model: &str, version: &VersionId) {
    let snapshot = entry.config.snapshot();
    entry.pins.lock().expect("no panics under the lock").put(
        key.into(),
        version.clone(),
        &snapshot,
    );
    let name = memory_name(session);
    if let Some(link) = keeper_of(entry, &name) {
        tell_keeper(&link, name, model.into(), version.clone()).await;
    }
}

async fn tell_keeper(
    link: &crate::entry::link::Link,
    session: Box<str>,
    model: ObjectId,
    version: VersionId,
) {
    link.send(&ToAgent::Pin { session, model, version }).await;
}

fn memory_name(session: &Session) -> Box<str> {
    format!("{}/{}", session.organisation, session.id).into()
}

/// The linked agent that rendezvous hashing prefers for a session.
fn keeper_of(entry: &Entry, name: &str) -> Option<std::sync::Arc<crate::entry::link::Link>> {
    let links = entry.all_links();
    let rank = |host: &str| xxh3_64(format!("{name}|{host}").as_bytes());
    links.into_iter().filter(|link| link.takes_work()).max_by_key(|link| rank(&link.host.name))
}
