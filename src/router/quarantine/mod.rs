//! Requests during which servers crashed.

pub(crate) mod quarantine_release;
pub(crate) mod quarantine_row;
pub(crate) mod quarantine_trial;
pub(crate) mod refusal_waiters;
pub(crate) mod suspected_requests;
