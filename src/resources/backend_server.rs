//! What operators declare about a BackendServer.

use serde::{Deserialize, Serialize};

use crate::ids::PartnerId;

/// What stands behind an agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// A model engine that speaks the OpenAI-compatible API.
    #[default]
    Engine,
    /// A plain HTTP service.
    Service,
}

/// Declared state of one BackendServer; placement changes `versions`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Engine or plain service.
    #[serde(default)]
    pub kind: BackendKind,
    /// Name of the plain service it is a replica of; empty means the server's own name.
    #[serde(default)]
    pub service: Box<str>,
    /// Versions the engine should have loaded, full names or the owner's own.
    #[serde(default)]
    pub versions: Vec<Box<str>>,
    /// Whether the engine refuses an order that carries an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether calls of a plain service may be repeated unless the caller says otherwise.
    #[serde(default)]
    pub repeatable: bool,
    /// Partners that may send work here besides the owner; `*` means all.
    #[serde(default)]
    pub shared_with: Vec<PartnerId>,
}
