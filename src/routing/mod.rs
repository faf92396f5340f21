//! The data of the request path: what the operator configured, which BackendServers there are,
//! and what a request asks for. Plain types; decisions over them are in [`crate::policy`].

mod backend_server;
mod fingerprint;
mod request;
mod response;
mod roll_out;
mod table;

pub use backend_server::{BackendServer, ServerVersion, StartTime};
pub use fingerprint::Fingerprint;
pub use request::{PromptPart, Request, RequestHead};
pub use response::{ResponseHead, ResponseKind};
pub use roll_out::{RollOutOrder, RollOutProgress, RollOutStatus};
pub use table::{
    CallerLimits, Organisation, Region, Route, RouteKind, RoutingTable, Target, is_permitted_region,
};
