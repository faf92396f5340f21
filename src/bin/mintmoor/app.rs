//! From arguments to a running command.

use argh::FromArgs;
use eyre::{Result, eyre};

use crate::{
    apply,
    args::{Args, Command},
    check, completions,
    ending::Ending,
    load, local,
    process::{self, RouteSignals},
    remote, standin,
};

/// Runs the command the arguments name.
pub(crate) fn run() -> Result<Ending> {
    if std::env::args_os().nth(1).is_some_and(|command| command == "route") {
        return run_route();
    }
    let Parsed::Command(command) = parse_args()? else {
        return Ok(Ending::Good);
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let ending = runtime.block_on(dispatch(command));
    runtime.shutdown_background();
    ending
}

/// Runs an entry on the users' platform. A signal that comes before its handler ends the process, so the handlers are
/// installed before anything else.
fn run_route() -> Result<Ending> {
    // A host on the platform has a fifth of a core; more threads would only take turns on it.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let signals = {
        let _context = runtime.enter();
        RouteSignals::listen()?
    };
    let Parsed::Command(command) = parse_args()? else {
        return Ok(Ending::Good);
    };
    let ending = match command {
        Command::Route(args) => runtime.block_on(process::run_route(&args, signals)),
        command => runtime.block_on(dispatch(command)),
    };
    runtime.shutdown_background();
    ending
}

/// What became of the arguments.
enum Parsed {
    Command(Command),
    /// The help or the version was asked for and is printed.
    Printed,
}

/// Parses the arguments of the process.
fn parse_args() -> Result<Parsed> {
    let args = std::env::args_os().skip(1).map(|arg| {
        arg.into_string().map_err(|arg| eyre!("{}: not valid UTF-8", arg.to_string_lossy()))
    });
    let args: Vec<String> = args.collect::<Result<_>>()?;
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let args = match Args::from_args(&[env!("CARGO_PKG_NAME")], &args) {
        Ok(args) => args,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return Ok(Parsed::Printed);
        }
        Err(exit) => {
            return Err(eyre!("{}\n`mintmoor --help` tells more", exit.output.trim_end()));
        }
    };
    if args.version {
        println!("mintmoor {}", env!("CARGO_PKG_VERSION"));
        return Ok(Parsed::Printed);
    }
    let command =
        args.command.ok_or_else(|| eyre!("name a command; `mintmoor --help` lists them"))?;
    Ok(Parsed::Command(command))
}

async fn dispatch(command: Command) -> Result<Ending> {
    match command {
        Command::Entry(args) => process::run_entry(&args.settings).await,
        Command::Agent(args) => process::run_agent(&args.settings).await,
        Command::Route(args) => process::run_route(&args, RouteSignals::listen()?).await,
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
