//! Arguments of the command line.

use argh::FromArgs;

/// Model-aware router for versions and cascades of language models.
#[derive(Debug, FromArgs)]
pub(crate) struct Args {
    /// print the version and exit
    #[argh(switch)]
    pub(crate) version: bool,
    #[argh(subcommand)]
    pub(crate) command: Option<Command>,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Entry(EntryArgs),
    Agent(AgentArgs),
    Route(RouteArgs),
    Local(LocalArgs),
    Check(CheckArgs),
    Get(GetArgs),
    Apply(ApplyArgs),
    Delete(DeleteArgs),
    Watch(WatchArgs),
    Dump(DumpArgs),
    Release(ReleaseArgs),
    Explain(ExplainArgs),
    Load(LoadArgs),
    Standin(StandinArgs),
    Completions(CompletionsArgs),
}

/// Run an entry.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entry")]
pub(crate) struct EntryArgs {
    /// settings file
    #[argh(option)]
    pub(crate) settings: String,
}

/// Run an agent.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "agent")]
pub(crate) struct AgentArgs {
    /// settings file
    #[argh(option)]
    pub(crate) settings: String,
}

/// Run an entry on the users' platform.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "route")]
pub(crate) struct RouteArgs {
    /// the platform's settings file; by default the one its environment variable names
    #[argh(option)]
    pub(crate) settings: Option<String>,
    /// our own settings, in TOML; defaults without
    #[argh(option)]
    pub(crate) policy: Option<String>,
}

/// Run entries, agents and stand-ins for everything else in one process on loopback.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "local")]
pub(crate) struct LocalArgs {
    /// send this many mixed requests, print a summary and stop
    #[argh(option)]
    pub(crate) requests: Option<usize>,
    /// seed of the stand-ins and of the requests
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// log level: error, warn, info or debug
    #[argh(option, default = "String::from(\"error\")")]
    pub(crate) log: String,
}

/// Check a settings file or a file of objects without running anything.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct CheckArgs {
    /// what the file is for: entry, agent, route, host, objects or scenario
    #[argh(option, default = "String::from(\"entry\")")]
    pub(crate) kind: String,
    /// the file
    #[argh(positional)]
    pub(crate) file: String,
}

/// Show objects: a kind, or one object of it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct GetArgs {
    /// operator URL of an entry (or MINTMOOR_OPERATOR)
    #[argh(option)]
    pub(crate) operator: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
    /// kind, such as `version` or `roll_out`, or `totals`
    #[argh(positional)]
    pub(crate) kind: String,
    /// name of one object
    #[argh(positional)]
    pub(crate) name: Option<String>,
}

/// Create or replace the objects in a TOML file; goes on after an error and reports each.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct ApplyArgs {
    /// operator URL of an entry (or MINTMOOR_OPERATOR)
    #[argh(option)]
    pub(crate) operator: Option<String>,
    /// the file
    #[argh(option, short = 'f')]
    pub(crate) file: String,
    /// only check whether the objects would be accepted
    #[argh(switch)]
    pub(crate) dry_run: bool,
}

/// Delete an object.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "delete")]
pub(crate) struct DeleteArgs {
    /// operator URL of an entry (or MINTMOOR_OPERATOR)
    #[argh(option)]
    pub(crate) operator: Option<String>,
    /// revision the object must have
    #[argh(option)]
    pub(crate) revision: Option<u64>,
    /// kind
    #[argh(positional)]
    pub(crate) kind: String,
    /// name
    #[argh(positional)]
    pub(crate) name: String,
}

/// Show changes of a kind as they are made.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "watch")]
pub(crate) struct WatchArgs {
    /// operator URL of an entry (or MINTMOOR_OPERATOR)
    #[argh(option)]
    pub(crate) operator: Option<String>,
    /// revision to start after
    #[argh(option, default = "0")]
    pub(crate) since: u64,
    /// stop after this many changes
    #[argh(option)]
    pub(crate) count: Option<usize>,
    /// kind
    #[argh(positional)]
    pub(crate) kind: String,
}

/// Print the state of a process.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dump")]
pub(crate) struct DumpArgs {
    /// admin URL of the process
    #[argh(positional)]
    pub(crate) admin: String,
}

/// Let a request go that is refused because servers ended under it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "release")]
pub(crate) struct ReleaseArgs {
    /// admin URL of any entry
    #[argh(positional)]
    pub(crate) admin: String,
    /// fingerprint of the request, from the state dump or a log line
    #[argh(positional)]
    pub(crate) fingerprint: String,
}

/// Tell why a recent request went where it went.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainArgs {
    /// operator URL of the entry that served it (or MINTMOOR_OPERATOR)
    #[argh(option)]
    pub(crate) operator: Option<String>,
    /// request id from the `Mintmoor-Request` header
    #[argh(positional)]
    pub(crate) request: String,
}

/// Run experiments and measurements.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub(crate) struct LoadArgs {
    /// scenario file
    #[argh(option)]
    pub(crate) scenario: Option<String>,
    /// policy to run; may be given more than once
    #[argh(option)]
    pub(crate) policy: Vec<String>,
    /// seed instead of the scenario's; may be given more than once
    #[argh(option)]
    pub(crate) seed: Vec<u64>,
    /// write the reports as JSON
    #[argh(option)]
    pub(crate) json: Option<String>,
    /// write a plot of the reports as SVG
    #[argh(option)]
    pub(crate) plot: Option<String>,
    /// measure the slopes behind docs/CAPACITY.md instead of a scenario
    #[argh(switch)]
    pub(crate) slopes: bool,
    /// print the guard's trade-off between false holds and exposure instead of a scenario
    #[argh(switch)]
    pub(crate) guard_curve: bool,
    /// simulate this number of roll-outs of each kind instead of a scenario and print their outcomes
    #[argh(option)]
    pub(crate) roll_out_curve: Option<u64>,
    /// measure what the path through entry and agent adds instead of a scenario
    #[argh(switch)]
    pub(crate) overhead: bool,
    /// log level: error, warn, info or debug
    #[argh(option, default = "String::from(\"error\")")]
    pub(crate) log: String,
}

/// Run stand-ins of the platform and some engines, to try entries and agents against.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "standin")]
pub(crate) struct StandinArgs {
    /// engines to run
    #[argh(option, default = "1")]
    pub(crate) engines: usize,
    /// version the engines have loaded
    #[argh(option, default = "String::from(\"ricarica/swift@1\")")]
    pub(crate) version: String,
    /// seed
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
}

/// Print a completion script for bash.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "completions")]
pub(crate) struct CompletionsArgs {}
