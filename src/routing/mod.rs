//! Data types of the request path: the operator's configuration, the BackendServers, requests and
//! responses. Decisions based on them are in [`crate::policy`].

mod backend_server;
mod body_framing;
mod fingerprint;
mod request;
mod response;
mod roll_out;
mod table;

pub use backend_server::{BackendServer, ServerVersion, StartTime};
pub use body_framing::{BodyFraming, FramingError, has_unsupported_coding};
pub use fingerprint::Fingerprint;
pub use request::{PartId, PromptPart, Request, RequestHead};
pub use response::{ResponseHead, ResponseKind, describes_request, promises_not_run};
pub use roll_out::{RollOutOrder, RollOutProgress, RollOutStatus};
pub use table::{
    CallerLimits, Organisation, Region, Route, RouteKind, RoutingTable, Target, is_permitted_region,
};
