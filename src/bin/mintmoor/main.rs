//! The `mintmoor` command.

#![deny(unsafe_code)]

mod app;
mod apply;
mod args;
mod check;
mod completions;
mod load;
mod local;
mod process;
mod remote;
mod standin;

use std::process::ExitCode;

/// The command ran and found something wrong.
const FAILED: u8 = 1;
/// The command could not run: wrong arguments or settings.
const WRONG_USE: u8 = 2;

fn main() -> ExitCode {
    match app::run() {
        Ok(app::Ending::Good) => ExitCode::SUCCESS,
        Ok(app::Ending::Bad) => ExitCode::from(FAILED),
        Err(e) => {
            eprintln!("mintmoor: {e:#}");
            ExitCode::from(WRONG_USE)
        }
    }
}
