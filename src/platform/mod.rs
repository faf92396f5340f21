//! Clients of the platform's services, as plain structs of closures.
//!
//! A site puts an adapter to its own services here; the shapes are in `docs/PLATFORM.md`.

pub mod documents;
mod engine;
mod error;
pub mod host_settings;
mod hosts;
mod http_client;
mod objects;
mod ratings;
pub mod request_headers;
pub mod response_headers;
pub mod store;
mod table;

pub use engine::EngineOrder;
pub use error::{Error, Result};
pub use hosts::{Host, HostState, HostsClient, Role};
pub use http_client::{HttpClient, HttpReply};
pub use objects::{ObjectReply, ObjectRequest, ObjectsClient};
pub use ratings::{RatingRequest, RatingsClient};
pub use table::{
    Check, InsertOutcome, Row, TableClient, TableReply, TableRequest, Transaction, Write,
};

/// Path at which the platform's balancer asks whether an entry takes work.
pub const READINESS_PATH: &str = "/-/readyz";

use std::{future::Future, pin::Pin};

/// The future a client's closure returns.
pub type Reply<T> = Pin<Box<dyn Future<Output = Result<T>> + Send>>;
