//! Clients outside the limits of the protocol, played against the real program on loopback: no process may end or
//! hang, each stays within the memory and the descriptors that its settings allow, and ordinary callers are served
//! (docs/incidents/0029).

mod admin_port;
mod connections;
mod crowd;
mod limits;
mod peer_port;
mod process;
mod requests;
mod responses;
#[path = "../platform/server.rs"]
#[allow(dead_code, reason = "shared with tests/platform, which uses the rest")]
mod server;
#[path = "../platform/site.rs"]
#[allow(dead_code, reason = "shared with tests/platform, which uses the rest")]
mod site;
#[path = "../platform/store.rs"]
#[allow(dead_code, reason = "shared with tests/platform, which uses the rest")]
mod store;
mod system;
