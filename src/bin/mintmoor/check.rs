//! `check`: reads a file and reports everything that is wrong with it.

use eyre::{Result, WrapErr, eyre};
use mintmoor::{
    load::Scenario,
    settings::{load_agent, load_entry},
};

use crate::{app::Ending, apply::read_objects, args::CheckArgs};

/// Checks a file.
pub(crate) fn run(args: &CheckArgs) -> Result<Ending> {
    let file = &args.file;
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("{file} can't be read"))?;
    match &*args.kind {
        "entry" => drop(load_entry(file, &text)?),
        "agent" => drop(load_agent(file, &text)?),
        "objects" => drop(read_objects(file, &text)?),
        "scenario" => {
            let _: Scenario = toml::from_str(&text).wrap_err_with(|| file.clone())?;
        }
        other => {
            return Err(eyre!("--kind `{other}`: must be entry, agent, objects or scenario"));
        }
    }
    println!("{file}: good");
    Ok(Ending::Good)
}
