//! How many connections callers may have open at a time.

/// Part of the process's memory that connections of callers may use.
const MEMORY_PART: u64 = 6;
/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: usize = 200;
/// Part of the sockets that connections of callers may use. The rest is for servers, other entries, the store and the
/// readiness check: without these, the connections of callers are of no use.
const SOCKET_PART: usize = 2;

/// Smallest limit: with fewer connections than a balancer and some callers have, an entry is of no use.
const MIN_CONNECTIONS: usize = 64;

/// Limit of the connections of callers, for a process with this memory and this number of descriptors.
pub fn max_connections(
    memory_limit: u64,
    descriptor_limit: usize,
    connection_bytes: usize,
) -> usize {
    let by_memory = memory_limit / MEMORY_PART / (connection_bytes.max(1) as u64);
    let by_descriptors = descriptor_limit.saturating_sub(FILE_DESCRIPTORS) / SOCKET_PART;
    usize::try_from(by_memory).unwrap_or(usize::MAX).min(by_descriptors).max(MIN_CONNECTIONS)
}
