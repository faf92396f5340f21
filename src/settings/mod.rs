//! Process settings in TOML. Loading a file reports all of its problems at once.
//! `docs/SETTINGS.md` lists the keys.

mod error;
mod process;
mod reader;
mod route;

pub use error::{SettingsError, SettingsProblem};
pub use process::{
    AgentSettings, EntrySettings, PlatformSettings, TlsSettings, load_agent, load_entry,
};
pub use route::{RouteSettings, load_route};
