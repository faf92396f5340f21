//! Duties that one entry at a time performs for the platform: the report of usage, and the lease under which it is
//! sent. The design is in docs/decisions/0018.

pub(crate) mod duty_lease;
pub(crate) mod usage_lease;
pub(crate) mod usage_meter;
pub(crate) mod usage_reporter;
pub(crate) mod usage_rows;
