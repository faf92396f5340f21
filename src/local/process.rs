//! Entries and agents as processes in one process.

use eyre::Result;
use tokio::runtime::{Builder, Runtime};

/// An entry or agent on a runtime of its own, so that killing it cuts everything it was doing,
/// as the end of a process would.
#[derive(Debug)]
pub struct Process<T> {
    running: Option<T>,
    runtime: Option<Runtime>,
}

impl<T: Send + 'static> Process<T> {
    pub(super) async fn start(
        threads: usize,
        start: impl Future<Output = std::io::Result<T>> + Send + 'static,
    ) -> Result<Self> {
        let runtime = Builder::new_multi_thread().worker_threads(threads).enable_all().build()?;
        let running = runtime.spawn(start).await??;
        Ok(Self { running: Some(running), runtime: Some(runtime) })
    }

    /// Takes the running process out to stop it; its runtime ends with the guard returned.
    pub(super) fn into_running(mut self) -> (T, Self) {
        let running = self.running.take().expect("taken out once");
        (running, self)
    }
}

impl<T> std::ops::Deref for Process<T> {
    type Target = T;

    fn deref(&self) -> &T {
        self.running.as_ref().expect("present until it is stopped")
    }
}

impl<T> Drop for Process<T> {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
