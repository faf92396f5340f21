//! Request path of an entry that runs on the users' platform.
//!
//! A request is admitted and sent to BackendServers until one responds (`request`), chosen by what is known of them
//! (`servers`). The control thread follows the platform's store (`store`, `roll_outs`, `quarantine`) or another entry
//! (`peers`), and reports usage to the platform (`duties`). The design is in docs/decisions/0008.

mod accept_gate;
mod admin_listen;
mod callers;
mod control;
mod duties;
mod listen;
mod listen_purpose;
mod listeners;
mod observability;
mod peers;
mod planned_stop;
mod quarantine;
mod request;
mod roll_outs;
mod run;
mod servers;
mod state;
mod store;

pub use listen_purpose::ListenPurpose;
pub use listeners::Listener;
pub use quarantine::quarantine_release::Released;
pub use request::event_stream::EventSplitter;
pub use run::{RouterAddresses, RouterSettings, RunningRouter, start};
pub use servers::fleet::Fleet;
pub use servers::member::Member;
pub use state::Router;
