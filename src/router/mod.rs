//! Request path of an entry that runs on the users' platform.
//!
//! A request is admitted (`serve`) and sent to BackendServers until one responds (`selection`, `dispatch`,
//! `attempt`). In a cascade, larger models are tried in turn (`stages`). The response is forwarded to the caller
//! (`relay`). The control thread follows the platform's store (`feed`, `roll_out_driver`) or another entry
//! (`peer_follower`, `peers`). The design is in docs/decisions/0008.

mod advertised_limits;
mod announcements;
mod attempt;
mod availability;
mod body;
mod compressed_rows;
mod connection;
mod departed_servers;
mod dispatch;
mod evacuations;
mod event_stream;
mod feed;
mod fleet;
mod listen;
mod listing;
mod load_reports;
mod member;
mod messages;
mod observability;
mod orders;
mod own_place;
mod peer_follower;
mod peer_link;
mod peers;
mod prefix_reports;
mod quarantine;
mod quarantine_release;
mod quarantine_row;
mod refusal;
mod relay;
mod request_context;
mod response_wait;
mod restore;
mod roll_out;
mod roll_out_driver;
mod roll_out_state;
mod run;
mod seed_reporter;
mod selection;
mod serve;
mod server_ends;
mod servers;
mod shared_limits;
mod shared_quarantine;
mod stages;
mod state;
mod table_views;
mod timing_estimates;
mod update_log;
mod urgent_updates;
mod version_rule;

pub use event_stream::EventSplitter;
pub use fleet::Fleet;
pub use member::Member;
pub use quarantine_release::Released;
pub use run::{RouterAddresses, RouterSettings, RunningRouter, start};
pub use state::Router;
