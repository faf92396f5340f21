//! `check`: reads a file and reports everything that is wrong with it.

use eyre::{Result, WrapErr, eyre};
use mintmoor::{
    load::Scenario,
    platform::host_settings,
    settings::{load_agent, load_entry, load_route},
};

use crate::{apply::read_objects, args::CheckArgs, ending::Ending};

/// Checks a file.
pub(crate) fn run(args: &CheckArgs) -> Result<Ending> {
    let file = &args.file;
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("{file} can't be read"))?;
    match &*args.kind {
        "entry" => drop(load_entry(file, &text)?),
        "agent" => drop(load_agent(file, &text)?),
        "route" => drop(load_route(file, &text)?),
        "host" => drop(host_settings::parse(&text).wrap_err_with(|| file.clone())?),
        "objects" => drop(read_objects(file, &text)?),
        "scenario" => {
            let _: Scenario = toml::from_str(&text).wrap_err_with(|| file.clone())?;
        }
        other => {
            return Err(eyre!(
                "--kind `{other}`: must be entry, agent, route, host, objects or scenario"
            ));
        }
    }
    println!("{file}: good");
    Ok(Ending::Good)
}
