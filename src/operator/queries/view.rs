//! One object as an operator sees it: spec and status apart.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ObjectId, Revision, VersionId},
    policy::roll_out::Evidence,
    resources::{Object, RollOutState},
};

/// Progress of a roll-out as this entry sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RollOutStatus {
    /// Where it stands.
    pub state: RollOutState,
    /// Share of new sessions on the new version.
    pub share: f64,
    /// Whether this entry holds the new version by itself.
    pub held_here: bool,
    /// Why it was held, if it was.
    pub reason: Option<Box<str>>,
    /// Evidence about the old version since the last change.
    pub old: Evidence,
    /// Evidence about the new version since the last change.
    pub new: Evidence,
}

/// State of an object, as far as the entry that answers knows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Revision in force at the entry that answers.
    pub revision_in_force: Revision,
    /// Processes linked to it.
    pub processes: usize,
    /// Those of them that do not have the object's revision yet.
    pub processes_behind: usize,
    /// Servers that have the version loaded, for a version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub servers_loaded: Option<usize>,
    /// Progress, for a roll-out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub roll_out: Option<RollOutStatus>,
    /// Versions loaded, for a BackendServer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub loaded: Option<Vec<VersionId>>,
}

/// An object in the API's form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectView {
    /// Kind.
    pub kind: Box<str>,
    /// Name within the owner.
    pub name: Box<str>,
    /// Full name.
    pub id: ObjectId,
    /// Revision of the last change; give it back as `If-Match`.
    pub revision: Revision,
    /// What the owner declares.
    pub spec: serde_json::Value,
    /// State.
    #[serde(default)]
    pub status: Status,
}

/// Puts an object and its status together.
pub fn view_object(object: &Object, status: Status) -> ObjectView {
    ObjectView {
        kind: object.spec.kind().as_str().into(),
        name: object.name().into(),
        id: object.id.clone(),
        revision: object.revision,
        spec: object.spec.to_json(),
        status,
    }
}
