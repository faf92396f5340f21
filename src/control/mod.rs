//! Control plane of a process: active configuration, membership, leases and the thread that maintains them.

pub mod config;
pub mod lease;
pub mod membership;
pub mod pull;
pub mod store_health;
pub mod supervisor;
pub mod thread;
