//! How the real program starts and ends, played with its processes on loopback: no process ends by itself for a cause
//! that may pass, and none stays without doing its work (docs/incidents/0030).

mod ends;
mod faulty_servers;
mod harness;
mod late_links;
mod odd_rows;
mod planned_stops;
mod restarts;
#[path = "../platform/row_values.rs"]
#[allow(dead_code, reason = "shared with tests/platform, which uses the rest")]
mod row_values;
#[path = "../platform/server.rs"]
#[allow(dead_code, reason = "shared with tests/platform, which uses the rest")]
mod server;
mod settings_files;
#[path = "../platform/site.rs"]
#[allow(dead_code, reason = "shared with tests/platform, which uses the rest")]
mod site;
mod starts;
mod stopping_entry;
#[path = "../platform/store.rs"]
#[allow(dead_code, reason = "shared with tests/platform, which uses the rest")]
mod store;
