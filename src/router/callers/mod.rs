//! Connections of callers, and what they may use of the process together (docs/incidents/0029).

pub(crate) mod caller_connection;
pub(crate) mod caller_stream;
pub(crate) mod connection_table;
