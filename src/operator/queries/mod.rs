//! Queries: what operators may see of the configuration and its state.

mod view;
mod watch;

pub use view::{ObjectView, RollOutStatus, Status, view_object};
pub use watch::{WatchError, WatchLine, collect_after};
