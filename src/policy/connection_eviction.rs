//! Decides which connection of a caller is closed when callers together use up the memory or the descriptors of a
//! process.
//!
//! Callers that take or send nothing can't be told from those that are about to, so nothing is closed before others
//! need the room. Then the connection that has used most for longest is closed, as in Envoy's overload manager, which
//! resets the streams that hold most memory first.

use std::time::Duration;

/// What the connection of one caller uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionUse {
    /// Bytes of its requests that are incomplete, and of its responses that it has not taken.
    pub held_bytes: usize,
    /// How long there have been such bytes.
    pub held_for: Duration,
    /// How long none of its requests has been served; `None` while one is.
    pub unused_for: Option<Duration>,
}

/// The connection with the largest product of bytes and time, among those that have held bytes for at least `grace`.
pub fn largest_holder<T>(
    connections: impl Iterator<Item = (T, ConnectionUse)>,
    grace: Duration,
) -> Option<T> {
    connections
        .filter(|(_, usage)| usage.held_bytes > 0 && usage.held_for >= grace)
        .max_by(|(_, a), (_, b)| byte_seconds(a).total_cmp(&byte_seconds(b)))
        .map(|(connection, _)| connection)
}

/// The connection that has gone longest without a request that is served: an idle one, or one whose request is
/// incomplete.
pub fn longest_unused<T>(connections: impl Iterator<Item = (T, ConnectionUse)>) -> Option<T> {
    connections
        .filter_map(|(connection, usage)| Some((connection, usage.unused_for?)))
        .max_by_key(|(_, unused_for)| *unused_for)
        .map(|(connection, _)| connection)
}

fn byte_seconds(usage: &ConnectionUse) -> f64 {
    usage.held_bytes as f64 * usage.held_for.as_secs_f64()
}
