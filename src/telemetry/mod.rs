//! Observability of a process: numbered log events, metrics, health checks and the state dump.

pub mod admin;
pub mod event;
pub mod log;
pub mod log_rate;
pub mod metrics;
pub mod panics;

pub use event::EventKind;
pub use metrics::Metrics;
