//! The whole system in one process on loopback, for a first look, experiments and tests.

mod preset;
mod system;

pub use preset::{Keys, VERSIONS, caller_key, operator_key, standard_objects};
pub use system::{Fleet, LocalSystem, Platform, Process, ServerSetup};
