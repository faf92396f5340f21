//! From arguments to a running command.

use eyre::Result;

use crate::{
    apply,
    args::{Args, Command},
    check, completions,
    ending::Ending,
    load, local, process, remote, standin,
};

/// Runs the command the arguments name.
pub(crate) fn run() -> Result<Ending> {
    let args: Args = argh::from_env();
    if args.version {
        println!("mintmoor {}", env!("CARGO_PKG_VERSION"));
        return Ok(Ending::Good);
    }
    let Some(command) = args.command else {
        eprintln!("mintmoor: name a command; `mintmoor --help` lists them");
        return Ok(Ending::Bad);
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
