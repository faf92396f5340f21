//! Control state: configuration in force, membership, leases and the thread that owns them.

pub mod config;
pub mod lease;
pub mod membership;
pub mod pull;
pub mod store_health;
pub mod thread;
