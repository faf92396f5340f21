//! Dedicated thread for control work, so that traffic never waits for it.

use std::{
    future::Future,
    panic::{AssertUnwindSafe, catch_unwind},
    thread::JoinHandle,
};

use tokio::runtime::{Builder, Runtime};

use crate::{control::supervisor::RestartDelays, telemetry::event};

/// Starts a thread with its own runtime and runs control work on it until the work completes.
///
/// # Errors
/// When the thread or its runtime can't be created.
pub fn spawn<F, Fut>(name: &str, work: F) -> std::io::Result<JoinHandle<()>>
where
    F: FnOnce() -> Fut + Send + 'static,
    Fut: Future<Output = ()>,
{
    let runtime = build_runtime()?;
    std::thread::Builder::new().name(name.into()).spawn(move || runtime.block_on(work()))
}

/// Like [`spawn`], but work that panics is started again after a delay, on a new runtime. `on_restart` is called before
/// each restart.
///
/// # Errors
/// When the thread or its first runtime can't be created.
pub fn spawn_supervised<F, Fut>(
    name: &str,
    on_restart: impl Fn() + Send + 'static,
    mut work: F,
) -> std::io::Result<JoinHandle<()>>
where
    F: FnMut() -> Fut + Send + 'static,
    Fut: Future<Output = ()>,
{
    let mut runtime = build_runtime()?;
    std::thread::Builder::new().name(name.into()).spawn(move || {
        let mut delays = RestartDelays::new();
        loop {
            let ended = catch_unwind(AssertUnwindSafe(|| runtime.block_on(work())));
            if ended.is_ok() {
                return;
            }
            runtime = rebuild_runtime(&mut delays);
            on_restart();
        }
    })
}

/// Waits, and creates a runtime in place of one whose tasks are of unknown state.
fn rebuild_runtime(delays: &mut RestartDelays) -> Runtime {
    loop {
        let delay = delays.advance();
        event::CONTROL_ENDED.log(format_args!("delay_ms={}", delay.as_millis()));
        std::thread::sleep(delay);
        match build_runtime() {
            Ok(runtime) => return runtime,
            // Descriptors may be short for a moment.
            Err(e) => event::CONTROL_ENDED.log(format_args!("cause=\"{e}\"")),
        }
    }
}

fn build_runtime() -> std::io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}
