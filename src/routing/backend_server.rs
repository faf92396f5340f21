//! A BackendServer as the platform lists it.

use std::net::SocketAddr;

/// Version of the software or weights a server runs.
pub type ServerVersion = Box<str>;

/// One life of a BackendServer; a restart is a new one with a new id.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendServer {
    /// Id of this life, which requests name so that no other server runs them.
    pub id: Box<str>,
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
    /// Whether it is about to leave and must get no more requests.
    pub is_leaving: bool,
    /// Models it has loaded; empty where it is no model engine.
    pub models: Vec<Box<str>>,
}
