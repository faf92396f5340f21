//! Signals that must not end a process.

use tokio::signal::unix::{SignalKind, signal};

/// A write beyond the limit of a file's size, such as the log's; Linux's number on all but a few architectures. The
/// write fails as well, and the line counts as dropped.
const FILE_SIZE_LIMIT: SignalKind = SignalKind::from_raw(25);

/// Replaces the default action, an end, of signals that nobody sends to end a process.
///
/// # Errors
/// If a handler can't be registered.
pub(crate) fn ignore_unmeant() -> std::io::Result<()> {
    let user = [SignalKind::user_defined1(), SignalKind::user_defined2()];
    for kind in user.into_iter().chain([SignalKind::alarm(), FILE_SIZE_LIMIT]) {
        // The handler stays in place when the receiver is dropped.
        drop(signal(kind)?);
    }
    Ok(())
}
