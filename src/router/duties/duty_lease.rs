//! The lease under which one entry performs a duty.
//!
//! The platform does not check the fencing token of a call, so the time limits have to exclude that calls of two
//! holders overlap: a holder stops so long before others may claim the lease that its last call has ended by then.

use std::time::Duration;

use crate::{
    ids::{Era, Revision},
    platform::host_settings::DutySettings,
    policy::lease::LeaseTiming,
};

/// Number of bits of a fencing token that hold a revision of the store; the era is above them. Tokens stay below
/// 2^53, up to which JSON readers are exact, for 8,000 restores of a store with 10^12 transactions each.
const REVISION_BITS: u32 = 40;

/// Time limits of a duty, as parts of the time within which calls of two holders must not alternate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DutyTiming {
    pub(crate) lease: LeaseTiming,
    /// Interval between renewals. Two may fail before the lease is no longer relied on.
    pub(crate) renewal: Duration,
    /// Interval at which others check the lease.
    pub(crate) check: Duration,
    /// Maximum duration of a call. It is shorter than the lease's margin by what clocks may drift within a lease.
    pub(crate) call: Duration,
}

impl DutyTiming {
    pub(crate) fn new(duties: &DutySettings) -> Self {
        let margin = duties.lease / 3;
        let duration = duties.lease + margin;
        Self {
            lease: LeaseTiming { duration, margin, claims_absent_row: false },
            renewal: margin,
            check: duties.lease / 2,
            call: duties.lease / 4,
        }
    }
}

/// Least fencing token of a claim by a process that has read the store at this version. Tokens rise with each claim
/// even if the row of the lease is lost: a claim is a transaction, so the next process reads a newer version, and
/// a restore of the store begins a new era.
pub(crate) fn min_fencing(era: Era, revision: Revision) -> u64 {
    (era << REVISION_BITS) | (revision + 1).min((1 << REVISION_BITS) - 1)
}
