//! Process settings in TOML, checked as a whole; the keys are in `docs/SETTINGS.md`.

mod error;
mod process;
mod reader;

pub use error::{SettingsError, SettingsProblem};
pub use process::{
    AgentSettings, EntrySettings, PlatformSettings, TlsSettings, load_agent, load_entry,
};
