//! Log output: format, level and destination.

use std::{
    num::NonZeroUsize,
    str::FromStr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use spdlog::{
    ErrorHandler, Level, LevelFilter, Logger, ThreadPool,
    formatter::{FullFormatter, JsonFormatter},
    sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink},
};

use crate::telemetry::panics;

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text for humans.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// A text that is not a known log format or level.
#[derive(Debug, thiserror::Error)]
#[error("expected one of {0}")]
pub struct UnknownValue(&'static str);

impl FromStr for LogFormat {
    type Err = UnknownValue;

    fn from_str(text: &str) -> Result<Self, UnknownValue> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(UnknownValue("text, json")),
        }
    }
}

/// Minimum level that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogLevel(pub Level);

impl Default for LogLevel {
    fn default() -> Self {
        Self(Level::Info)
    }
}

impl FromStr for LogLevel {
    type Err = UnknownValue;

    fn from_str(text: &str) -> Result<Self, UnknownValue> {
        match text {
            "error" => Ok(Self(Level::Error)),
            "warn" => Ok(Self(Level::Warn)),
            "info" => Ok(Self(Level::Info)),
            "debug" => Ok(Self(Level::Debug)),
            _ => Err(UnknownValue("error, warn, info, debug")),
        }
    }
}

/// Why the log can't be started.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The system allows no more threads.
    #[error("no thread: {0}")]
    Thread(#[from] std::io::Error),
    /// The sink or the logger can't be created.
    #[error("{0}")]
    Logger(#[from] spdlog::Error),
}

/// Logs to standard error.
///
/// # Errors
/// If the sink or the logger can't be created.
pub fn init_stderr(level: LogLevel, format: LogFormat) -> Result<(), spdlog::Error> {
    let builder = StdStreamSink::builder().std_stream(StdStream::Stderr);
    let sink = match format {
        LogFormat::Text => builder.formatter(FullFormatter::new()).build_arc()?,
        LogFormat::Json => builder.formatter(JsonFormatter::new()).build_arc()?,
    };
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level.0))
        .flush_level_filter(LevelFilter::All)
        .build_arc()?;
    spdlog::set_default_logger(Arc::clone(&logger));
    panics::install_hook();
    Ok(())
}

/// Maximum number of log lines waiting to be written; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 2_048;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Number of log lines dropped so far because too many were waiting.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Logs to standard output as JSON. A separate thread writes the lines, so that a slow reader of the
/// log never blocks a request.
///
/// # Errors
/// If the thread, the sink or the logger can't be created.
pub fn init_async_stdout(level: LogLevel) -> Result<(), LogError> {
    // The pool panics if it can't start its thread, so first find out whether the system allows one more.
    let probe = std::thread::Builder::new().spawn(|| {})?;
    probe.join().map_err(|_| std::io::Error::other("the thread did not end properly"))?;
    let out = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let capacity = NonZeroUsize::new(MAX_QUEUED_LINES).expect("the constant is above 0");
    let pool = ThreadPool::builder().capacity(capacity).build_arc()?;
    let count: ErrorHandler = ErrorHandler::from(|_| {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
    });
    let sink = AsyncPoolSink::builder()
        .sink(out)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(count)
        .build_arc()?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level.0))
        .build_arc()?;
    spdlog::set_default_logger(logger);
    panics::install_hook();
    Ok(())
}
