//! Model checks of the core protocol: exhaustive state exploration with the production functions.
//!
//! Each model also runs with mutations, deliberate faults that the check must detect. A mutation
//! that goes undetected would show that the model does not check the property it is for. See
//! docs/PROMISES.md.

mod availability;
mod charge;
mod claim;
mod config;
mod duty;
mod explore;
mod lease;
mod quarantine;
mod rate_limit;
mod restore;
