//! Declared configuration of a BackendServer.

use serde::{Deserialize, Serialize};

use crate::ids::PartnerId;

/// Kind of backend that an agent forwards requests to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// A model engine that speaks the OpenAI-compatible API.
    #[default]
    Engine,
    /// An HTTP service that is not a model engine.
    Service,
}

/// Spec of a BackendServer. Placement changes `versions`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Whether the backend is a model engine or a plain service.
    #[serde(default)]
    pub kind: BackendKind,
    /// Plain service that this server is a replica of; if empty, the server's own name is used.
    #[serde(default)]
    pub service: Box<str>,
    /// Versions that the engine should have loaded, as full names or as names within the owner.
    #[serde(default)]
    pub versions: Vec<Box<str>>,
    /// Whether the engine rejects orders that carry an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether calls to a plain service may be retried; a caller can override this per request.
    #[serde(default)]
    pub repeatable: bool,
    /// Partners besides the owner that may send requests to this server; `*` means all.
    #[serde(default)]
    pub shared_with: Vec<PartnerId>,
}
