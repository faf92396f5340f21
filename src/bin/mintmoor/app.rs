//! From arguments to a running command.

use argh::FromArgs;
use eyre::{Result, eyre};

use crate::{
    apply,
    args::{Args, Command},
    check, completions,
    ending::Ending,
    load, local, process, remote, standin,
};

/// Runs the command the arguments name.
pub(crate) fn run() -> Result<Ending> {
    let args = match parse_args()? {
        Parsed::Args(args) => args,
        Parsed::Help(text) => {
            println!("{text}");
            return Ok(Ending::Good);
        }
    };
    if args.version {
        println!("mintmoor {}", env!("CARGO_PKG_VERSION"));
        return Ok(Ending::Good);
    }
    let Some(command) = args.command else {
        return Err(eyre!("name a command; `mintmoor --help` lists them"));
    };
    // A host on the platform has a fifth of a core; more threads would only take turns on it.
    let mut builder = if matches!(command, Command::Route(_)) {
        tokio::runtime::Builder::new_current_thread()
    } else {
        tokio::runtime::Builder::new_multi_thread()
    };
    let runtime = builder.enable_all().build()?;
    let ending = runtime.block_on(dispatch(command));
    runtime.shutdown_background();
    ending
}

/// What the arguments ask for.
enum Parsed {
    Args(Args),
    /// Text of the help that was asked for.
    Help(String),
}

/// Parses the arguments of the process.
fn parse_args() -> Result<Parsed> {
    let args = std::env::args_os().skip(1).map(|arg| {
        arg.into_string().map_err(|arg| eyre!("{}: not valid UTF-8", arg.to_string_lossy()))
    });
    let args: Vec<String> = args.collect::<Result<_>>()?;
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match Args::from_args(&[env!("CARGO_PKG_NAME")], &args) {
        Ok(args) => Ok(Parsed::Args(args)),
        Err(exit) if exit.status.is_ok() => Ok(Parsed::Help(exit.output)),
        Err(exit) => Err(eyre!("{}\n`mintmoor --help` tells more", exit.output.trim_end())),
    }
}

async fn dispatch(command: Command) -> Result<Ending> {
    match command {
        Command::Entry(args) => process::run_entry(&args.settings).await,
        Command::Agent(args) => process::run_agent(&args.settings).await,
        Command::Route(args) => process::run_route(&args).await,
        Command::Local(args) => local::run(args).await,
        Command::Check(args) => check::run(&args),
        Command::Get(args) => remote::get(&args).await,
        Command::Apply(args) => apply::run(&args).await,
        Command::Delete(args) => remote::delete(&args).await,
        Command::Watch(args) => remote::watch(&args).await,
        Command::Dump(args) => remote::dump(&args).await,
        Command::Release(args) => remote::release(&args).await,
        Command::Explain(args) => remote::explain(&args).await,
        Command::Load(args) => load::run(args).await,
        Command::Standin(args) => standin::run(&args).await,
        Command::Completions(_) => completions::run(),
    }
}
