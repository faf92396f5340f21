//! Dedicated thread for control work, so that traffic never waits for it.

use std::{future::Future, thread::JoinHandle};

/// Starts a thread with its own runtime and runs control work on it until the work completes.
///
/// # Errors
/// When the thread or its runtime can't be created.
pub fn spawn<F, Fut>(name: &str, work: F) -> std::io::Result<JoinHandle<()>>
where
    F: FnOnce() -> Fut + Send + 'static,
    Fut: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name(name.into()).spawn(move || runtime.block_on(work()))
}
