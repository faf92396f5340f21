//! Active configuration of a process, kept up to date from the store and from peers.

use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::sync::watch;

use crate::{
    control::store_health::StoreHealth,
    ids::Revision,
    platform::{Result, TableClient},
    protocol::ConfigUpdate,
    resources::{Change, ConfigLog, Object, Snapshot},
    sync::Mutex,
    telemetry::{Metrics, event},
};

/// Key of the row that holds the newest revision.
pub const HEAD_KEY: &str = "head/config";
const PAGE_SIZE: usize = 500;

/// Key of a change's row. The revision is zero-padded, so that keys sort by revision.
pub fn change_key(revision: Revision) -> Box<str> {
    format!("changes/{revision:020}").into()
}

/// Key of an object's row.
pub fn object_key(kind: crate::resources::Kind, id: &str) -> Box<str> {
    format!("objects/{}/{id}", kind.as_str()).into()
}

/// Active configuration of one process; clones share their state.
#[derive(Clone, Debug)]
pub struct Config {
    log: Arc<Mutex<ConfigLog>>,
    snapshot: Arc<ArcSwap<Snapshot>>,
    revision: Arc<watch::Sender<Revision>>,
    metrics: Metrics,
}

impl Config {
    /// Creates an empty configuration at revision 0.
    pub fn new(metrics: Metrics) -> Self {
        Self {
            log: Arc::default(),
            snapshot: Arc::default(),
            revision: Arc::new(watch::Sender::new(0)),
            metrics,
        }
    }

    /// Active snapshot.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Active revision.
    pub fn revision(&self) -> Revision {
        *self.revision.borrow()
    }

    /// Subscribes to changes of the active revision.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Changes after a revision; `None` if some of them are no longer kept.
    pub fn changes_after(&self, revision: Revision) -> Option<Vec<Change>> {
        self.log.lock().changes_after(revision)
    }

    /// All active objects.
    pub fn objects(&self) -> Vec<Object> {
        self.log.lock().objects().cloned().collect()
    }

    /// Update that brings a peer from `revision` to the active revision; `None` if it is not behind.
    pub fn update_for(&self, revision: Revision) -> Option<ConfigUpdate> {
        let log = self.log.lock();
        if revision >= log.revision() {
            return None;
        }
        Some(match log.changes_after(revision) {
            Some(changes) => ConfigUpdate::Delta(changes),
            None => ConfigUpdate::Full {
                revision: log.revision(),
                objects: log.objects().cloned().collect(),
            },
        })
    }

    /// Applies the parts of an update that are newer than the active revision; returns whether there were any.
    pub fn apply(&self, update: ConfigUpdate) -> bool {
        let mut log = self.log.lock();
        let before = log.revision();
        match update {
            ConfigUpdate::Delta(changes) => {
                for change in changes {
                    let _ = log.apply(change);
                }
            }
            ConfigUpdate::Full { revision, objects } => drop(log.replace(revision, objects)),
        }
        let revision = log.revision();
        if revision == before {
            return false;
        }
        self.snapshot.store(log.snapshot());
        drop(log);
        self.metrics.config_revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
        self.revision.send_replace(revision);
        event::CONFIG_ADVANCED.log(format_args!("revision={revision}"));
        true
    }

    /// Reads the newest revision from the store and, if the active one is older, the missing changes.
    ///
    /// # Errors
    /// When a call to the store fails; the active configuration stays as it is.
    pub async fn poll(&self, table: &TableClient, health: &StoreHealth) -> Result<()> {
        let head = health.track("config_head", table.get(HEAD_KEY)).await?;
        let head: Revision = match head {
            Some(row) => row.parse()?,
            None => 0,
        };
        let held = self.revision();
        if head < held {
            event::CONFIG_OLDER_SHOWN.log(format_args!("shown={head} held={held}"));
            return Ok(());
        }
        if head > held {
            self.catch_up(table, health, held).await?;
        }
        Ok(())
    }

    /// Applies the changes after revision `held`; reads all objects if some of these changes are no longer
    /// stored.
    async fn catch_up(
        &self,
        table: &TableClient,
        health: &StoreHealth,
        mut held: Revision,
    ) -> Result<()> {
        loop {
            let after = change_key(held);
            let rows =
                health.track("config_changes", table.list("changes/", &after, PAGE_SIZE)).await?;
            let changes = rows.iter().map(|row| row.parse()).collect::<Result<Vec<Change>>>()?;
            let Some(first) = changes.first() else {
                return Ok(());
            };
            if first.revision != held + 1 {
                return self.read_all_objects(table, health).await;
            }
            let full_page = changes.len() == PAGE_SIZE;
            self.apply(ConfigUpdate::Delta(changes));
            held = self.revision();
            if !full_page {
                return Ok(());
            }
        }
    }

    /// Reads all objects and applies them if the newest revision did not change meanwhile, since otherwise
    /// they may be inconsistent.
    async fn read_all_objects(&self, table: &TableClient, health: &StoreHealth) -> Result<()> {
        let Some(before) = health.track("config_head", table.get(HEAD_KEY)).await? else {
            return Ok(());
        };
        let mut objects = Vec::new();
        let mut after: Box<str> = Box::default();
        loop {
            let page = table.list("objects/", &after, PAGE_SIZE);
            let rows = health.track("config_objects", page).await?;
            for row in &rows {
                objects.push(row.parse()?);
            }
            match rows.last() {
                Some(row) if rows.len() == PAGE_SIZE => after = row.key.clone(),
                _ => break,
            }
        }
        let current = health.track("config_head", table.get(HEAD_KEY)).await?;
        if current.is_some_and(|row| row.version == before.version) {
            self.apply(ConfigUpdate::Full { revision: before.parse()?, objects });
        }
        Ok(())
    }
}
