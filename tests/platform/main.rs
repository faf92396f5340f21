//! An entry on the users' platform, against small stand-ins of its store and its servers.

mod adapter;
mod cold;
mod crashes;
mod evacuations;
mod homes;
mod limited_pool;
mod lives;
mod news;
mod peers;
mod pool;
mod rate_limits;
mod requests;
mod restores;
mod roll_outs;
mod rows;
mod server;
mod sessions;
mod site;
mod state;
mod store;
mod streams;
mod suspended;
mod unavailable;
