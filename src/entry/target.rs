//! What a caller's `model` names: the stages that may answer.

use std::time::Duration;

use crate::{
    entry::ApiError,
    ids::{ObjectId, model_of, partner_of, qualify},
    resources::Snapshot,
};

/// Stages in order, from a cascade or a single one.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Target {
    /// Full name of the cascade, or of the model or version when there is only that.
    pub(crate) name: ObjectId,
    /// Models or versions, cheapest first.
    pub(crate) stages: Vec<ObjectId>,
    /// Mean rating to reach; none when there is nothing to escalate to.
    pub(crate) quality_target: Option<f64>,
    /// Deadline the cascade declares.
    pub(crate) deadline: Option<Duration>,
}

/// Finds what `name` means to an organisation.
///
/// What belongs to another partner and is not shared looks the same as what does not exist.
pub(crate) fn resolve(
    snapshot: &Snapshot,
    organisation: &str,
    name: &str,
) -> Result<Target, ApiError> {
    let partner = partner_of(organisation);
    let full = qualify(partner, name);
    if let Some(cascade) = snapshot.cascades.get(&full).filter(|_| partner_of(&full) == partner) {
        let owner = partner_of(&full);
        let stages: Vec<ObjectId> = cascade.stages.iter().map(|s| qualify(owner, s)).collect();
        let allowed: Vec<ObjectId> =
            stages.into_iter().filter(|s| may_use(snapshot, organisation, s)).collect();
        if allowed.is_empty() {
            return Err(ApiError::not_allowed(name));
        }
        return Ok(Target {
            name: full,
            stages: allowed,
            quality_target: Some(cascade.quality_target),
            deadline: Some(Duration::from_millis(cascade.deadline_ms)),
        });
    }
    let is_version = full.contains('@');
    let exists = !is_version || snapshot.versions.contains_key(&full);
    if !exists || !snapshot.model_is_shared(model_of(&full), partner) {
        return Err(ApiError::not_found(name));
    }
    if !may_use(snapshot, organisation, &full) {
        return Err(ApiError::not_allowed(name));
    }
    if is_version && !snapshot.is_available(&full) {
        return Err(ApiError::withdrawn(name));
    }
    Ok(Target { name: full.clone(), stages: vec![full], quality_target: None, deadline: None })
}

/// Whether an organisation may use a stage: the version, or any version of the model.
pub(crate) fn may_use(snapshot: &Snapshot, organisation: &str, stage: &str) -> bool {
    if stage.contains('@') {
        return snapshot.is_allowed(organisation, stage);
    }
    snapshot
        .versions
        .keys()
        .any(|version| model_of(version) == stage && snapshot.is_allowed(organisation, version))
}

/// Names an organisation may put into `model`, sorted.
pub(crate) fn visible_names(snapshot: &Snapshot, organisation: &str) -> Vec<Box<str>> {
    let partner = partner_of(organisation);
    let short = |id: &ObjectId| match id.strip_prefix(&format!("{partner}/")) {
        Some(name) => name.into(),
        None => id.clone(),
    };
    let cascades = snapshot.cascades.keys().filter(|id| partner_of(id) == partner);
    let cascades = cascades.filter(|id| resolve(snapshot, organisation, id).is_ok());
    let models = snapshot.models.keys().filter(|id| may_use(snapshot, organisation, id));
    let versions = snapshot.versions.keys();
    let versions =
        versions.filter(|id| snapshot.is_allowed(organisation, id) && snapshot.is_available(id));
    let mut names: Vec<Box<str>> = cascades.chain(models).chain(versions).map(short).collect();
    names.sort();
    names
}
