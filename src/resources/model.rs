//! A model: a family of versions with one of them established.

use serde::{Deserialize, Serialize};

use crate::ids::PartnerId;

/// Declared state of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Version that serves when no roll-out says otherwise: the part behind the `@`.
    pub stable: Box<str>,
    /// Other partners whose organisations may be allowed this model; `*` means all.
    #[serde(default)]
    pub shared_with: Vec<PartnerId>,
}
