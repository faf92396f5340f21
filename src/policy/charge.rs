//! Charge records, and how their copies are merged so that each request is billed once.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{MicroCost, OrganisationId, RequestId, ServerId, VersionId};

/// Length of a settlement window: requests that arrived in the same window are settled together.
pub const WINDOW_MS: u128 = 10_000;

/// How much of the answer was delivered to the caller.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Delivery {
    /// The whole answer.
    #[default]
    Whole,
    /// A part, since the caller disconnected or the answer was cut off; the delivered part is charged.
    Part,
    /// Not known: this is the agent's copy, and the entry was lost before it confirmed its own record.
    Presumed,
}

/// One charged attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChargedAttempt {
    /// Version that ran the attempt.
    pub version: VersionId,
    /// BackendServer it ran on.
    pub server: ServerId,
    /// Prompt tokens.
    pub tokens_in: u64,
    /// Generated tokens.
    pub tokens_out: u64,
    /// Cost of the attempt.
    pub cost: MicroCost,
}

/// The charge of one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChargeRecord {
    /// The request.
    pub request: RequestId,
    /// Organisation that is charged.
    pub organisation: OrganisationId,
    /// Attempts that the caller's answer required, in order.
    pub attempts: Vec<ChargedAttempt>,
    /// How much of the answer was delivered.
    pub delivery: Delivery,
}

impl ChargeRecord {
    /// Total cost of the attempts.
    pub fn cost(&self) -> MicroCost {
        self.attempts.iter().map(|attempt| attempt.cost).sum()
    }
}

/// Number of the settlement window of a request, from the arrival time in its id.
pub fn settlement_window(request: RequestId) -> u64 {
    let ms = crate::ids::request_arrival_time(request).as_millis();
    u64::try_from(ms / WINDOW_MS).unwrap_or(u64::MAX)
}

/// Sums of an organisation's charges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Totals {
    /// Number of charged requests.
    pub requests: u64,
    /// Prompt tokens.
    pub tokens_in: u64,
    /// Generated tokens.
    pub tokens_out: u64,
    /// Cost of all requests.
    pub cost: MicroCost,
}

impl Totals {
    /// Adds a record.
    pub fn add(&mut self, record: &ChargeRecord) {
        self.requests += 1;
        self.tokens_in += record.attempts.iter().map(|a| a.tokens_in).sum::<u64>();
        self.tokens_out += record.attempts.iter().map(|a| a.tokens_out).sum::<u64>();
        self.cost += record.cost();
    }
}

/// Merges copies of records by request; the entry's own record takes precedence over an agent's copy.
pub fn merge(records: impl IntoIterator<Item = ChargeRecord>) -> BTreeMap<RequestId, ChargeRecord> {
    let mut merged: BTreeMap<RequestId, ChargeRecord> = BTreeMap::new();
    for record in records {
        let replaces =
            merged.get(&record.request).is_none_or(|held| takes_precedence(&record, held));
        if replaces {
            merged.insert(record.request, record);
        }
    }
    merged
}

/// Whether `new` replaces `held`: first by the order of [`Delivery`], then by the larger number of attempts.
fn takes_precedence(new: &ChargeRecord, held: &ChargeRecord) -> bool {
    (new.delivery, usize::MAX - new.attempts.len())
        < (held.delivery, usize::MAX - held.attempts.len())
}

/// Computes the totals of the records that are not settled yet, and returns the ids of these records.
pub fn settle(
    merged: &BTreeMap<RequestId, ChargeRecord>,
    settled: &BTreeSet<RequestId>,
) -> (BTreeMap<OrganisationId, Totals>, Vec<RequestId>) {
    let mut totals: BTreeMap<OrganisationId, Totals> = BTreeMap::new();
    let mut ids = Vec::new();
    for (request, record) in merged.iter().filter(|(request, _)| !settled.contains(*request)) {
        totals.entry(record.organisation.clone()).or_default().add(record);
        ids.push(*request);
    }
    (totals, ids)
}
