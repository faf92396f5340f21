//! `load`: experiments and measurements.

use std::path::Path;

use eyre::{Result, WrapErr, eyre};
use mintmoor::{
    load::{self, Baseline, Report, Scenario, plot_reports, slopes},
    policy::version_verdict::VerdictConfig,
};

use crate::{args::LoadArgs, ending::Ending, logging::install_log};

/// Runs each policy with each seed, one after the other.
pub(crate) async fn run(args: LoadArgs) -> Result<Ending> {
    install_log(&args.log)?;
    if args.slopes {
        return run_slopes(&args).await;
    }
    if args.guard_curve {
        for point in load::guard_curve(args.seed.first().copied().unwrap_or(1)) {
            println!("{point}");
        }
        return Ok(Ending::Good);
    }
    if let Some(roll_outs) = args.roll_out_curve {
        load::roll_out_curve(&VerdictConfig::DEFAULT, roll_outs, |line| println!("{line}"));
        return Ok(Ending::Good);
    }
    if args.overhead {
        for overhead in slopes::measure_overhead().await? {
            println!("{overhead}");
        }
        return Ok(Ending::Good);
    }
    let file = args.scenario.as_ref().ok_or_else(|| eyre!("give --scenario or --slopes"))?;
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("{file} can't be read"))?;
    let scenario: Scenario = toml::from_str(&text).wrap_err_with(|| file.clone())?;
    let policies = policies(&args)?;
    let seeds = if args.seed.is_empty() { vec![scenario.seed] } else { args.seed.clone() };
    let mut reports: Vec<Report> = Vec::new();
    for seed in seeds {
        for policy in &policies {
            let scenario = Scenario { seed, ..scenario.clone() };
            let report = load::run(&scenario, *policy).await?;
            println!("{report}\n");
            reports.push(report);
        }
    }
    write_files(&args, &reports)?;
    let ours = reports.iter().filter(|report| &*report.policy == Baseline::Mintmoor.name());
    let broken: u64 = ours.map(|report| report.broken.total()).sum();
    Ok(Ending::of(broken == 0))
}

fn policies(args: &LoadArgs) -> Result<Vec<Baseline>> {
    if args.policy.is_empty() {
        return Ok(vec![Baseline::Mintmoor]);
    }
    args.policy.iter().map(|name| name.parse().wrap_err("--policy")).collect()
}

fn write_files(args: &LoadArgs, reports: &[Report]) -> Result<()> {
    if let Some(file) = &args.json {
        std::fs::write(file, serde_json::to_string_pretty(reports)?)?;
    }
    if let Some(file) = &args.plot {
        plot_reports(reports, Path::new(file))?;
    }
    Ok(())
}

async fn run_slopes(args: &LoadArgs) -> Result<Ending> {
    let slopes = slopes::measure().await?;
    for slope in &slopes {
        println!("{slope}");
    }
    if let Some(file) = &args.json {
        std::fs::write(file, serde_json::to_string_pretty(&slopes)?)?;
    }
    Ok(Ending::Good)
}
