//! One accepted change of configuration.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ObjectId, Revision},
    resources::{Kind, Object},
};

/// One step of the configuration log; revisions follow each other without gaps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Revision this change brings into force.
    pub revision: Revision,
    /// Kind of the object changed.
    pub kind: Kind,
    /// Full name of the object changed.
    pub id: ObjectId,
    /// Chosen by the writer, so that a lost reply is recognised on repeat.
    pub change_id: Box<str>,
    /// Who changed it: a partner's operator or a leased job.
    pub actor: Box<str>,
    /// The object after the change, or nothing when it was deleted.
    pub object: Option<Object>,
}
