//! Logging of the commands that a person runs.

use eyre::{Result, WrapErr};
use mintmoor::telemetry::log::{self, LogFormat, LogLevel};

/// Sends log lines of at least `level` to standard error.
pub(crate) fn install_log(level: &str) -> Result<()> {
    let level: LogLevel = level.parse().wrap_err("--log")?;
    log::init_stderr(level, LogFormat::Text).wrap_err("log")
}
