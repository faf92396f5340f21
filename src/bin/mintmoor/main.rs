//! The `mintmoor` command.

#![deny(unsafe_code)]

mod app;
mod apply;
mod args;
mod check;
mod completions;
mod ending;
mod load;
mod local;
mod logging;
mod process;
mod remote;
mod signals;
mod standin;

use std::{io::Write, panic::catch_unwind, process::ExitCode};

use ending::Ending;
use mintmoor::telemetry::event;

/// The command ran and found something wrong.
const FAILED: u8 = 1;
/// The command could not run: wrong arguments or settings.
const WRONG_USE: u8 = 2;
/// The main task panicked; the code that Rust's runtime uses too.
const PANICKED: u8 = 101;

fn main() -> ExitCode {
    match catch_unwind(app::run) {
        Ok(Ok(Ending::Good)) => ExitCode::SUCCESS,
        Ok(Ok(Ending::Bad)) => ExitCode::from(FAILED),
        Ok(Err(e)) => {
            // Standard error may be closed or full, and there is nowhere else to tell.
            let _ = writeln!(std::io::stderr(), "mintmoor: {e:#}");
            ExitCode::from(WRONG_USE)
        }
        Err(_) => {
            event::PROCESS_PANICKED.log(format_args!("code={PANICKED}"));
            ExitCode::from(PANICKED)
        }
    }
}
