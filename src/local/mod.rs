//! The whole system in one process on loopback, for a first look, experiments and tests.

mod fleet;
mod platform;
mod preset;
mod process;
mod system;

pub use fleet::{Fleet, ServerSetup};
pub use platform::Platform;
pub use preset::{Keys, PresetObject, VERSIONS, caller_key, operator_key, standard_objects};
pub use process::Process;
pub use system::LocalSystem;
