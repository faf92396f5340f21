//! Limits for servers that have just started: while cold they are slow, and too many requests
//! crash them.

use std::time::Duration;

/// The rate limit of a service's cold servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStartLimit {
    /// Requests per second to one server from all entries together.
    pub sends_per_second: f64,
    /// How long a server stays cold after its start.
    pub duration: Duration,
}
