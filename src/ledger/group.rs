//! Group commit of row writes. The platform handles only several hundred writes per second, so rows
//! that arrive at about the same time share a transaction.

use std::time::Duration;

use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use crate::{
    control::store_health::StoreHealth,
    platform::{Error, InsertOutcome, TableClient, Transaction},
};

/// Maximum number of rows in one transaction.
const MAX_GROUP_ROWS: usize = 128;
/// Maximum number of queued row writes. When the queue is full, further ones are refused at once.
const MAX_QUEUED_INSERTS: usize = 4_096;

/// A queued write of one row.
struct Insert {
    key: Box<str>,
    expected: Option<u64>,
    value: Value,
    reply: oneshot::Sender<InsertOutcome>,
}

/// Handle to the task that commits row writes in groups.
#[derive(Clone, Debug)]
pub struct GroupCommit {
    tx: mpsc::Sender<Insert>,
}

impl std::fmt::Debug for Insert {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Insert").field("key", &self.key).finish_non_exhaustive()
    }
}

impl GroupCommit {
    /// Starts the task. The first row of a group waits for `linger` so that others can join it.
    pub fn start(table: TableClient, health: StoreHealth, linger: Duration) -> Self {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_INSERTS);
        tokio::spawn(commit_queued(table, health, linger, rx));
        Self { tx }
    }

    /// Writes a row if it still has the `expected` version; `None` expects that it does not exist.
    pub async fn write(&self, key: Box<str>, expected: Option<u64>, value: Value) -> InsertOutcome {
        let (reply, outcome) = oneshot::channel();
        if self.tx.try_send(Insert { key, expected, value, reply }).is_err() {
            return InsertOutcome::Refused;
        }
        outcome.await.unwrap_or(InsertOutcome::Lost)
    }
}

async fn commit_queued(
    table: TableClient,
    health: StoreHealth,
    linger: Duration,
    mut rx: mpsc::Receiver<Insert>,
) {
    while let Some(first) = rx.recv().await {
        if !linger.is_zero() {
            tokio::time::sleep(linger).await;
        }
        let mut group = vec![first];
        let mut deferred = Vec::new();
        while group.len() < MAX_GROUP_ROWS {
            let Ok(next) = rx.try_recv() else { break };
            // A transaction can't write the same row twice.
            let is_same_row = group.iter().any(|insert| insert.key == next.key);
            if is_same_row { deferred.push(next) } else { group.push(next) }
        }
        tokio::spawn(commit(table.clone(), health.clone(), group));
        for insert in deferred {
            tokio::spawn(commit(table.clone(), health.clone(), vec![insert]));
        }
    }
}

/// Commits a group in one transaction. On a conflict, reports it for the rows concerned and tries
/// again with the rest.
async fn commit(table: TableClient, health: StoreHealth, mut group: Vec<Insert>) {
    while !group.is_empty() {
        let mut tx = Transaction::default();
        for insert in &group {
            tx = tx
                .check(insert.key.clone(), insert.expected)
                .put(insert.key.clone(), &insert.value);
        }
        let outcome = match health.track("group_write", table.transact(tx)).await {
            Ok(Ok(version)) => InsertOutcome::Inserted(version),
            Ok(Err(conflicts)) => {
                let (conflicting, rest): (Vec<_>, Vec<_>) =
                    group.into_iter().partition(|insert| conflicts.contains(&insert.key));
                send_outcome(conflicting, &InsertOutcome::Conflict);
                group = rest;
                continue;
            }
            Err(Error::Refused(_)) => InsertOutcome::Refused,
            Err(_) => InsertOutcome::Lost,
        };
        send_outcome(std::mem::take(&mut group), &outcome);
    }
}

fn send_outcome(group: Vec<Insert>, outcome: &InsertOutcome) {
    for insert in group {
        let _ = insert.reply.send(outcome.clone());
    }
}
