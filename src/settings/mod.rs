//! Process settings in TOML, checked as a whole; the keys are in `docs/SETTINGS.md`.

mod error;
mod process;
mod reader;
mod route;

pub use error::{SettingsError, SettingsProblem};
pub use process::{
    AgentSettings, EntrySettings, PlatformSettings, TlsSettings, load_agent, load_entry,
};
pub use route::{RouteSettings, load_route};
