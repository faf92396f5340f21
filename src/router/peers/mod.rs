//! What entries tell each other, and the links between them.

pub(crate) mod follower_link;
pub(crate) mod links;
pub(crate) mod load_reports;
pub(crate) mod messages;
pub(crate) mod own_place;
pub(crate) mod peer_follower;
pub(crate) mod peer_link;
pub(crate) mod prefix_reports;
mod quarantine_records;
pub(crate) mod quarantine_update;
pub(crate) mod seed_reporter;
pub(crate) mod shared_limits;
pub(crate) mod shared_quarantine;
pub(crate) mod speed_reports;
mod timed_mutex;
mod unread_tables;
pub(crate) mod update_log;
pub(crate) mod urgent_updates;
