//! A BackendServer as the platform lists it.

use std::{net::SocketAddr, time::Duration};

use crate::ids::StoreVersion;

/// Start of a server's life, milliseconds since the Unix epoch by the server's own clock.
pub type StartTime = u64;

/// Version of the software or weights a server runs.
pub type ServerVersion = Box<str>;

/// One life of a BackendServer; a restart is a new one, with a new id or a later start.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendServer {
    /// Id, which requests name so that no other server runs them.
    pub id: Box<str>,
    /// When this life began; none where the platform does not report it.
    pub started_at: Option<StartTime>,
    /// Service it belongs to.
    pub service: Box<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// AvailabilityZone it stands in.
    pub zone: Box<str>,
    /// Version it runs.
    pub version: ServerVersion,
    /// Requests it runs at a time.
    pub slots: u32,
    /// Whether its row says that it is draining.
    pub is_draining: bool,
    /// How much longer it was cold when it wrote its row.
    pub cold_for: Duration,
    /// Counts what it wrote or accepted in this life.
    pub sequence: u64,
    /// When its row was written, so that two rows that say the same are distinguished.
    pub written_at: StoreVersion,
    /// Models it has loaded; empty where it is no model engine.
    pub models: Vec<Box<str>>,
}
