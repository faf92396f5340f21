//! The one thread that runs control work, so that traffic never waits behind it.

use std::{future::Future, thread::JoinHandle};

/// Runs control work on a thread and runtime of its own until it ends.
///
/// # Errors
/// When the thread or its runtime can't be made.
pub fn spawn<F, Fut>(name: &str, work: F) -> std::io::Result<JoinHandle<()>>
where
    F: FnOnce() -> Fut + Send + 'static,
    Fut: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name(name.into()).spawn(move || runtime.block_on(work()))
}
