//! The ledger: charge records on their way to the object store, and their settlement.

mod batch;
mod group;
mod settle;

pub use batch::{Batch, ChargeBuffer, read_batch, write_batches};
pub use group::GroupCommit;
pub use settle::{SettleReport, Settler, read_totals};
