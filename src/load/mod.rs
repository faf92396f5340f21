//! The load and experiment tool: seeded, open-loop traffic, faults, and a check of the promises.

mod audit;
mod client;
mod curve;
mod faults;
mod outcome;
mod plot;
mod report;
mod roll_out_curve;
mod runner;
mod scenario;
pub mod slopes;
mod traffic;

pub use client::{ChatCall, ChatOutcome, Client, ServiceOutcome};
pub use curve::{GuardPoint, guard_curve, guard_point};
pub use outcome::{Broken, Kind, Record};
pub use plot::plot_reports;
pub use report::{Percentiles, Report};
pub use roll_out_curve::{
    RollOutPoint, SimulatedService, VersionFault, roll_out_curve, roll_out_point,
};
pub use runner::run;
pub use scenario::{Baseline, FaultSpec, Pool, Scenario, Stream};
