//! Clients of the platform's services, as plain structs of closures.
//!
//! A site puts an adapter to its own services here; the shapes are in `docs/PLATFORM.md`.

mod engine;
mod error;
mod hosts;
mod http_client;
mod objects;
mod ratings;
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

use std::{future::Future, pin::Pin};

/// The future a client's closure returns.
pub type Reply<T> = Pin<Box<dyn Future<Output = Result<T>> + Send>>;
