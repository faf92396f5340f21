//! Billing: writes charge records to the object store and adds them to each organisation's totals.

mod batch;
mod group;
mod settle;

pub use batch::{Batch, ChargeBuffer, read_batch, write_batches};
pub use group::GroupCommit;
pub use settle::{SettleReport, Settler, read_totals};
