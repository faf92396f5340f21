//! Adapter to the platform: clients of its services and conversions of its formats.
//!
//! The clients of the table, object, rating and host services wrap a closure, so that tests can pass fakes
//! and a site can plug in its own services. `docs/PLATFORM.md` specifies the interfaces.
//!
//! [`crate::entry`] and [`crate::agent`] use these four clients. [`crate::router`] uses the [`store`] with its
//! [`documents`], the [`host_settings`] and the header modules instead.

mod configuration;
pub mod documents;
pub mod duties;
mod engine;
mod error;
pub mod host_settings;
mod hosts;
mod http_client;
pub(crate) mod json_parts;
mod objects;
mod ratings;
pub mod request_headers;
pub mod response_headers;
pub mod row_envelope;
mod settings_reader;
mod settings_values;
pub mod store;
mod table;
mod unreadable_rows;

pub use engine::EngineOrder;
pub use error::{Error, Result};
pub use hosts::{Host, HostState, HostsClient, Role};
pub use http_client::{HttpClient, HttpReply};
pub use objects::{ObjectReply, ObjectRequest, ObjectsClient};
pub use ratings::{RatingRequest, RatingsClient};
pub use table::{
    Check, InsertOutcome, Row, TableClient, TableReply, TableRequest, Transaction, Write,
};

/// Path that the platform's load balancer requests to check whether an entry accepts work.
pub const READINESS_PATH: &str = "/-/readyz";

use std::{future::Future, pin::Pin};

/// Future returned by a client's closure.
pub type ReplyFuture<T> = Pin<Box<dyn Future<Output = Result<T>> + Send>>;
