//! Loads played on the decision code: what callers get, against the policy it replaced.
//!
//! Time is simulated and all draws come from seeds, so a run always gives the same figures.

mod comeback;
mod engine;
mod fleet;
mod overload;
mod pauses;
mod placement;
mod quarantine;
mod simulator;
mod workload;
