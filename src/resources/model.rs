//! Declared configuration of a model: a group of versions, one of which is the stable one.

use serde::{Deserialize, Serialize};

use crate::ids::PartnerId;

/// Spec of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Version that serves requests unless a roll-out selects another one. This is only the part of
    /// the version's name after the `@`.
    pub stable: Box<str>,
    /// Other partners that may use this model and allow it to their organisations; `*` means all.
    #[serde(default)]
    pub shared_with: Vec<PartnerId>,
}
