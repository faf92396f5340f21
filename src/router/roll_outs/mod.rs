//! Roll-outs: which versions a request may use, the evidence about them, and their state in the store.

pub(crate) mod roll_out;
pub(crate) mod roll_out_driver;
pub(crate) mod roll_out_state;
pub(crate) mod version_rule;
