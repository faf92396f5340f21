//! The request path of an entry on the users' platform.
//!
//! A request is admitted ([`serve`]), tried at one BackendServer after another ([`selection`],
//! [`dispatch`], [`attempt`]), model after model in a cascade ([`stages`]), and its answer passed on
//! ([`relay`]). What the platform's store says is followed on the control thread ([`feed`], [`driver`]),
//! or learned from another entry ([`follow`], [`peers`]). The design is in docs/decisions/0008.

mod advertised_limits;
mod announcements;
mod attempt;
mod availability;
mod body;
mod connection;
mod departed;
mod dispatch;
mod driver;
mod evacuations;
mod event_stream;
mod feed;
mod fleet;
mod follow;
mod kept_board;
mod limit_board;
mod link;
mod listen;
mod listing;
mod load_board;
mod member;
mod messages;
mod note_log;
mod observability;
mod orders;
mod own_place;
mod packed_rows;
mod peers;
mod quarantine;
mod quarantine_board;
mod quarantine_release;
mod quarantine_row;
mod readings;
mod refusal;
mod relay;
mod reports;
mod request_context;
mod response_wait;
mod restore;
mod roll_out;
mod run;
mod selection;
mod serve;
mod server_ends;
mod servers;
mod stages;
mod state;
mod trial;
mod urgent_news;
mod version_rule;
mod views;

pub use event_stream::EventSplitter;
pub use fleet::Fleet;
pub use member::Member;
pub use quarantine_release::Released;
pub use run::{RouterAddresses, RouterSettings, RunningRouter, start};
pub use state::Router;
