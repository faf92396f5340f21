//! Commands: accepted changes of configuration.

mod write;

pub use write::{Expected, WriteError, WriteRequest, Writer};
