//! mintmoor: a model-aware router for versions and cascades of language models.
//!
//! Modules are declared in layers, lowest first; a module depends only on the layers below it.
//! `docs/decisions/0001-shape-of-the-system.md` describes the design.

#![deny(unsafe_code)]

pub mod clock;
pub mod ids;
pub mod policy;
pub mod resources;
pub mod routing;
pub mod sync;

pub mod agent;
pub mod control;
pub mod entry;
pub mod ledger;
pub mod load;
pub mod local;
pub mod operator;
pub mod platform;
pub mod protocol;
pub mod router;
pub mod settings;
pub mod telemetry;

pub mod standin;
