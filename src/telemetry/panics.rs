//! Logs panics as events.

use std::{
    cell::Cell,
    io::Write,
    panic::{PanicHookInfo, take_hook},
    sync::{
        Once,
        atomic::{AtomicU64, Ordering},
    },
};

use crate::{
    clock::since_boot,
    telemetry::{event, log_rate::LogRate},
};

/// Maximum number of panics that are also written to standard error. Nothing may read there, and a full pipe would
/// block the thread.
const MAX_ON_STDERR: u64 = 8;
/// Maximum size of a message on standard error, in characters.
const MAX_MESSAGE: usize = 1_000;

static COUNT: AtomicU64 = AtomicU64::new(0);
static RATE: LogRate = LogRate::new();

thread_local! {
    /// Whether this thread is logging a panic.
    static IS_LOGGING: Cell<bool> = const { Cell::new(false) };
}

/// Number of panics so far.
pub fn count() -> u64 {
    COUNT.load(Ordering::Relaxed)
}

/// Logs all panics from now on, also those that something catches later.
pub fn install_hook() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        // Its lines have no limit and no number.
        drop(take_hook());
        std::panic::set_hook(Box::new(report));
    });
}

fn report(info: &PanicHookInfo<'_>) {
    let before = COUNT.fetch_add(1, Ordering::Relaxed);
    if before < MAX_ON_STDERR {
        write_to_stderr(info);
    }
    // A panic of the logger itself must not be logged.
    if IS_LOGGING.replace(true) {
        return;
    }
    if let Some(unlogged) = RATE.admit(since_boot()) {
        let (thread, place, message) = describe(info);
        event::PANICKED.log(format_args!(
            "thread={thread} place={place} unlogged={unlogged} message={message:?}"
        ));
    }
    IS_LOGGING.set(false);
}

/// Writes the panic to standard error, where it is seen also if the process is aborted before the log is written.
fn write_to_stderr(info: &PanicHookInfo<'_>) {
    let (thread, place, message) = describe(info);
    let message: String = message.chars().take(MAX_MESSAGE).collect();
    let line = format!("mintmoor: thread {thread} panicked at {place}: {message}\n");
    // Standard error may be closed or full, and there is nowhere else to tell.
    let _ = std::io::stderr().write_all(line.as_bytes());
}

fn describe<'a>(info: &'a PanicHookInfo<'_>) -> (String, String, &'a str) {
    let thread = std::thread::current().name().unwrap_or("unnamed").to_owned();
    let place = info.location().map_or_else(|| "unknown".into(), ToString::to_string);
    let text = info.payload().downcast_ref::<&str>().copied();
    let text = text.or_else(|| info.payload().downcast_ref::<String>().map(String::as_str));
    (thread, place, text.unwrap_or("a value that is not text"))
}
