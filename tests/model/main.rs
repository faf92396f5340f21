//! Models of the core protocol, explored to the end with the functions production runs.
//!
//! Each model also runs with seeded mutations; a mutation that is not found would mean that the
//! model checks nothing. See docs/PROMISES.md.

mod availability;
mod charge;
mod claim;
mod config;
mod explore;
mod lease;
mod quarantine;
mod rate_limit;
mod restore;
