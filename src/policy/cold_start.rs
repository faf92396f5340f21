//! Servers that have just started: they are slow, and end under too many requests.

use std::time::Duration;

/// What a cold server of a service takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStartLimit {
    /// Sends a second, over all entries.
    pub sends_per_second: f64,
    /// How long a server is cold after its start.
    pub duration: Duration,
}
