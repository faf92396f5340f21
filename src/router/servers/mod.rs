//! What is known of BackendServers: their list, state, limits and connections.

pub(crate) mod advertised_limits;
pub(crate) mod announcements;
pub(crate) mod availability;
pub(crate) mod connection;
pub(crate) mod departed_servers;
pub(crate) mod evacuations;
pub(crate) mod fleet;
pub(crate) mod listing;
pub(crate) mod lost_requests;
pub(crate) mod member;
mod misdirected;
pub(crate) mod reported_load;
pub(crate) mod server_ends;
mod server_stream;
pub(crate) mod server_table;
pub(crate) mod timing_estimates;
