//! The entry: the process callers and operators talk to.

mod admission;
mod answer;
mod api;
mod charges;
mod claims;
mod collector;
mod control;
mod error;
mod explain;
mod failure;
mod guard;
mod jobs;
mod link;
mod links;
mod pick;
mod rating;
mod request;
mod routes;
mod run;
mod serve;
mod service;
mod sessions;
mod stage;
mod state;
mod status;
mod stream;
mod target;
mod tls;

pub use error::ApiError;
pub use run::{EntryAddresses, RunningEntry, start};
pub use state::{CascadePolicy, Entry, RoutingPolicy, ServerPolicy};
