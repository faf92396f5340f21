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
mod standin;

use std::process::ExitCode;

use ending::Ending;

/// The command ran and found something wrong.
const FAILED: u8 = 1;
/// The command could not run: wrong arguments or settings.
const WRONG_USE: u8 = 2;

fn main() -> ExitCode {
    match app::run() {
        Ok(Ending::Good) => ExitCode::SUCCESS,
        Ok(Ending::Bad) => ExitCode::from(FAILED),
        Err(e) => {
            eprintln!("mintmoor: {e:#}");
            ExitCode::from(WRONG_USE)
        }
    }
}
