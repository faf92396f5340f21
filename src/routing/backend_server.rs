//! BackendServer as listed by the platform.

use std::{net::SocketAddr, time::Duration};

use crate::ids::StoreVersion;

/// Start time of a server process, in milliseconds since the Unix epoch by the server's clock.
pub type StartTime = u64;

/// Version of the software or model weights that a server runs.
pub type ServerVersion = Box<str>;

/// One process of a BackendServer. A restart is a new process with a new id or a later start time.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendServer {
    /// Id. Requests carry it, so that no other server at the same address runs them.
    pub id: Box<str>,
    /// Start time of the process; `None` if the platform doesn't report it.
    pub started_at: Option<StartTime>,
    /// Service that the server belongs to.
    pub service: Box<str>,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// AvailabilityZone of the server.
    pub zone: Box<str>,
    /// Version that it runs.
    pub version: ServerVersion,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether its row marks it as draining.
    pub is_draining: bool,
    /// Remaining cold time when the row was written.
    pub remaining_cold_time: Duration,
    /// Counter that the server increases with what it writes or accepts; orders the rows of one process.
    pub sequence: u64,
    /// Store version of its row, which distinguishes rows with equal content.
    pub written_at: StoreVersion,
    /// Loaded models; empty if the server is not a model engine.
    pub models: Vec<Box<str>>,
}
