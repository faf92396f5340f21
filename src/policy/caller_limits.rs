//! What callers may use, and when one takes its response too slowly.
//!
//! A limit on silence alone is met by a byte from time to time, so callers have to take a minimum of bytes in each
//! period, as with the minimum data rates of Kestrel and of Apache's mod_reqtimeout.

use std::time::Duration;

/// What callers may use, and how fast they have to be (docs/decisions/0023). `docs/SETTINGS.md` has the keys and defaults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes per second that a caller has to take of a response that is ready.
    pub min_bytes_per_s: u64,
    /// Period over which that rate is measured.
    pub period: Duration,
    /// Time for which a response may wait for its caller, or for memory, while other requests wait for its server.
    pub yield_after: Duration,
    /// Time for which a connection may hold memory that other connections need.
    pub evict_after: Duration,
    /// Memory that a connection is taken to use besides the bytes that are counted one by one.
    pub connection_bytes: usize,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            min_bytes_per_s: 1_024,
            period: Duration::from_secs(10),
            yield_after: Duration::from_millis(250),
            evict_after: Duration::from_secs(1),
            connection_bytes: 40 << 10,
        }
    }
}

impl CallerLimits {
    /// Whether a caller that took this many bytes in a whole period is too slow.
    pub fn is_too_slow(&self, taken: u64) -> bool {
        let required = self.min_bytes_per_s.saturating_mul(self.period.as_secs());
        taken < required.max(1)
    }

    /// Whether a stream has to give way to the requests that wait for its server.
    pub fn yields(&self, behind_for: Duration, is_server_awaited: bool) -> bool {
        is_server_awaited && behind_for >= self.yield_after
    }
}
