//! Configuration objects, their validation, the configuration log, and the immutable snapshot that
//! request handling reads.

mod backend_server;
mod cascade;
mod change;
mod check;
mod config_log;
mod model;
mod object;
mod organisation;
mod partner;
mod roll_out;
mod snapshot;
mod version;

pub use backend_server::{BackendKind, BackendServer};
pub use cascade::Cascade;
pub use change::Change;
pub use check::{FieldError, check_object};
pub use config_log::{ApplyError, ConfigLog};
pub use model::Model;
pub use object::{Kind, Object, Spec, UnknownKind};
pub use organisation::Organisation;
pub use partner::{Partner, hash_key};
pub use roll_out::{Guard, RollOut, RollOutState};
pub use snapshot::Snapshot;
pub use version::{Version, VersionState};
