//! An entry of the configuration log.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ObjectId, Revision},
    resources::{Kind, Object},
};

/// A committed change to one object. Consecutive changes have consecutive revisions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Configuration revision that this change creates.
    pub revision: Revision,
    /// Kind of the changed object.
    pub kind: Kind,
    /// Full name of the changed object.
    pub id: ObjectId,
    /// Idempotency key chosen by the writer. A retry after a lost reply is recognised by it.
    pub change_id: Box<str>,
    /// Who made the change: a partner's operator or a job that runs under a lease.
    pub actor: Box<str>,
    /// The object after the change; `None` if it was deleted.
    pub object: Option<Object>,
}
