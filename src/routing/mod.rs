//! The data of the request path: what the operator configured, which BackendServers there are,
//! and what a request asks for. Plain types; decisions over them are in [`crate::policy`].

mod answer;
mod backend_server;
mod fingerprint;
mod request;
mod roll_out;
mod table;

pub use answer::{AnswerHead, AnswerKind};
pub use backend_server::{BackendServer, BornAt, ServerVersion};
pub use fingerprint::Fingerprint;
pub use request::{PromptPart, Request, RequestHead};
pub use roll_out::{Progress, RollOutOrder, RollOutStatus};
pub use table::{
    CallerLimits, Organisation, Region, Route, RouteKind, RoutingTable, Target, is_home,
};
