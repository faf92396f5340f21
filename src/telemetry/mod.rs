//! What a process reports about itself: numbered events, metrics and its state dump.

pub mod admin;
pub mod event;
pub mod log;
pub mod metrics;

pub use event::EventKind;
pub use metrics::Metrics;
