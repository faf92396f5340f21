//! Simulations of load that run the production decision code and compare its outcome for callers with that of
//! the previous policy.
//!
//! Time is simulated and all random draws are seeded, so every run gives the same figures.

mod comeback;
mod engine;
mod fleet;
mod overload;
mod pauses;
mod placement;
mod quarantine;
mod queue;
mod reservation;
mod server_speeds;
mod simulator;
mod workload;
