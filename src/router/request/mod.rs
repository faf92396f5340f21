//! The way of one request, from its arrival to the end of its response.

pub(crate) mod attempt;
pub(crate) mod body;
pub(crate) mod buffered;
pub(crate) mod dispatch;
pub(crate) mod event_stream;
pub(crate) mod held_body;
pub(crate) mod in_flight;
pub(crate) mod memory_budget;
mod outstanding;
pub(crate) mod refusal;
pub(crate) mod relay;
pub(crate) mod request_body;
pub(crate) mod request_context;
mod request_panic;
mod response_head;
pub(crate) mod response_wait;
pub(crate) mod selection;
pub(crate) mod serve;
pub(crate) mod stages;
pub(crate) mod stream_queue;
mod stream_timing;
pub(crate) mod version_evidence;
