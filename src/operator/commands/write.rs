//! Accepting one change: object, change row, change id and head move in one transaction.

use crate::{
    control::{
        config::{Config, HEAD_KEY, change_key, object_key},
        store_health::StoreHealth,
    },
    ids::{ObjectId, Revision},
    platform::{Error, TableClient, Transaction},
    resources::{Change, FieldError, Kind, Object, Snapshot, Spec, check_object},
    telemetry::event,
};

/// Tries when other changes move the head at the same time.
const TRIES: usize = 16;

/// What the object must be for the change to be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// As it is when the command arrives.
    Current,
    /// Absent.
    Absent,
    /// At this revision.
    Revision(Revision),
}

/// One change asked for.
#[derive(Clone, Debug)]
pub struct WriteRequest {
    /// Kind of the object.
    pub kind: Kind,
    /// Full name of the object.
    pub id: ObjectId,
    /// New spec; none deletes.
    pub spec: Option<Spec>,
    /// What the object must be.
    pub expected: Expected,
    /// Who asks.
    pub actor: Box<str>,
    /// Names the change, so that a repeat after a lost reply is recognised.
    pub change_id: Box<str>,
    /// Only check whether it would be accepted.
    pub dry_run: bool,
}

/// Why a change was not accepted.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// The spec is wrong.
    #[error("{} fields are wrong", .0.len())]
    Invalid(Vec<FieldError>),
    /// The object is not what was expected.
    #[error("the object has changed")]
    Conflict(Option<Box<Object>>),
    /// Other objects need it.
    #[error("still used by {}", .0.join(", "))]
    InUse(Vec<Box<str>>),
    /// There is no such object to delete.
    #[error("no such object")]
    Missing,
    /// The store refused; nothing was changed.
    #[error("the store gives no answer; nothing was changed")]
    NotRun,
    /// The store's answer was lost and could not be read back.
    #[error("the store's answer was lost; repeat with the same change id")]
    Unknown,
}

/// Accepts changes.
#[derive(Clone, Debug)]
pub struct Writer {
    /// Table service.
    pub table: TableClient,
    /// Health of the store.
    pub health: StoreHealth,
    /// Configuration of this process, which follows each accepted change.
    pub config: Config,
}

/// Rows as read before a try.
struct Rows {
    head: Option<(Revision, u64)>,
    object: Option<(Object, u64)>,
}

impl Writer {
    /// Accepts a change and returns the revision that brings it into force.
    ///
    /// # Errors
    /// [`WriteError`]; after [`WriteError::Unknown`] the same request may be repeated.
    pub async fn write(&self, req: &WriteRequest) -> Result<Revision, WriteError> {
        let mut expected = req.expected;
        let mut is_lost = false;
        for _ in 0..TRIES {
            let Ok(rows) = self.read(req).await else {
                return Err(if is_lost { WriteError::Unknown } else { WriteError::NotRun });
            };
            let current = rows.object.as_ref().map(|(object, _)| object);
            if let Some(revision) = self.find_accepted(req, is_lost).await? {
                return Ok(revision);
            }
            expected = settle_expected(expected, current)?;
            let (tx, revision) = self.prepare(req, &rows)?;
            if req.dry_run {
                return Ok(revision);
            }
            match self.health.track("config_write", self.table.transact(tx)).await {
                Ok(Ok(_)) => return Ok(self.accepted(req, revision).await),
                // The head, the object or the change id has moved: look again.
                Ok(Err(_)) => {}
                Err(Error::Refused(_)) => return Err(WriteError::NotRun),
                Err(_) => is_lost = true,
            }
        }
        Err(if is_lost { WriteError::Unknown } else { WriteError::NotRun })
    }

    async fn read(&self, req: &WriteRequest) -> Result<Rows, Error> {
        let head = self.health.track("config_head", self.table.get(HEAD_KEY)).await?;
        let head = head.map(|row| Ok::<_, Error>((row.parse()?, row.version))).transpose()?;
        let key = object_key(req.kind, &req.id);
        let object = self.health.track("config_object", self.table.get(&key)).await?;
        let object = object.map(|row| Ok::<_, Error>((row.parse()?, row.version))).transpose()?;
        self.config.poll(&self.table, &self.health).await?;
        Ok(Rows { head, object })
    }

    /// Revision under which a change with this id has been accepted before.
    async fn find_accepted(
        &self,
        req: &WriteRequest,
        is_lost: bool,
    ) -> Result<Option<Revision>, WriteError> {
        let key = change_id_key(&req.change_id);
        let row = self.health.track("config_change_id", self.table.get(&key)).await;
        let row =
            row.map_err(|_| if is_lost { WriteError::Unknown } else { WriteError::NotRun })?;
        Ok(row.and_then(|row| row.parse().ok()))
    }

    fn prepare(
        &self,
        req: &WriteRequest,
        rows: &Rows,
    ) -> Result<(Transaction, Revision), WriteError> {
        let snapshot = self.config.snapshot();
        let revision = rows.head.map_or(0, |(revision, _)| revision) + 1;
        let object = req.spec.clone().map(|spec| Object { id: req.id.clone(), revision, spec });
        match &object {
            Some(object) => {
                let errors = check_object(object, &snapshot);
                if !errors.is_empty() {
                    return Err(WriteError::Invalid(errors));
                }
            }
            None if rows.object.is_none() => return Err(WriteError::Missing),
            None => check_unused(req, &snapshot)?,
        }
        let key = object_key(req.kind, &req.id);
        let change = Change {
            revision,
            kind: req.kind,
            id: req.id.clone(),
            change_id: req.change_id.clone(),
            actor: req.actor.clone(),
            object: object.clone(),
        };
        let change_id = change_id_key(&req.change_id);
        let mut tx = Transaction::default()
            .check(HEAD_KEY, rows.head.map(|(_, version)| version))
            .check(key.clone(), rows.object.as_ref().map(|(_, version)| *version))
            .check(change_id.clone(), None)
            .put(HEAD_KEY, &revision)
            .put(change_key(revision), &change)
            .put(change_id, &revision);
        tx = match &object {
            Some(object) => tx.put(key, object),
            None => tx.delete(key),
        };
        Ok((tx, revision))
    }

    async fn accepted(&self, req: &WriteRequest, revision: Revision) -> Revision {
        event::CONFIG_CHANGED.log(format_args!(
            "revision={revision} kind={} id={} actor={}",
            req.kind.as_str(),
            req.id,
            req.actor
        ));
        let _ = self.config.poll(&self.table, &self.health).await;
        revision
    }
}

/// Compares what was expected with what is there; `Current` is fixed by the first look.
fn settle_expected(expected: Expected, current: Option<&Object>) -> Result<Expected, WriteError> {
    let conflict = || Err(WriteError::Conflict(current.cloned().map(Box::new)));
    match (expected, current) {
        (Expected::Current, Some(object)) => Ok(Expected::Revision(object.revision)),
        (Expected::Current | Expected::Absent, None) => Ok(Expected::Absent),
        (Expected::Revision(revision), Some(object)) if object.revision == revision => Ok(expected),
        _ => conflict(),
    }
}

fn check_unused(req: &WriteRequest, snapshot: &Snapshot) -> Result<(), WriteError> {
    let users = snapshot.dependents_of(req.kind, &req.id);
    if users.is_empty() { Ok(()) } else { Err(WriteError::InUse(users)) }
}

fn change_id_key(change_id: &str) -> Box<str> {
    format!("change_ids/{change_id}").into()
}
