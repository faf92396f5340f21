//! Integration tests of an entry against scripted mock implementations of the platform's store and
//! of its BackendServers.

mod accept_overload;
mod adapter;
mod allowed_regions;
mod close_delimited;
mod cold;
mod crash_cost;
mod crashes;
mod crashing_parts;
mod duties;
mod duty_service;
mod evacuations;
mod framing;
mod framing_properties;
mod hanging_servers;
mod host_suspension;
mod kept_caller;
mod limited_pool;
mod peers;
mod pool;
mod rate_limits;
mod requests;
mod restores;
mod roll_outs;
mod rows;
mod server;
mod server_restarts;
mod server_speeds;
mod sessions;
mod site;
mod slow_readers;
mod store;
mod store_updates;
mod streams;
mod unavailable_servers;
mod urgent_updates;
