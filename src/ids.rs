//! Identifier types shared by all layers, and functions that parse and format them.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::RngExt;
use serde::{Deserialize, Serialize};

/// Name of a partner; unique across the system.
pub type PartnerId = Box<str>;
/// Full name of a configuration object: `partner/name`, or `partner/model@version` for a version.
pub type ObjectId = Box<str>;
/// Full name of an Organisation.
pub type OrganisationId = ObjectId;
/// Full name of a version.
pub type VersionId = ObjectId;
/// Full name of a BackendServer.
pub type ServerId = ObjectId;
/// Identifies one run of a process. Random, so that a restarted process is never mistaken for its
/// predecessor.
pub type Incarnation = u128;
/// Identifies one caller request: 48 bits of milliseconds since the Unix epoch, then 80 random bits.
pub type RequestId = u128;
/// Number of a configuration revision or store transaction. It only increases; in the platform's store,
/// only within one [`Era`].
pub type Revision = u64;
/// Number of times the platform's store has been restored from a backup. A restored store reuses
/// revision numbers, so revisions of different eras can't be compared.
pub type Era = u64;

/// Position in the history of the platform's store. `era` is the first field because the derived
/// ordering must compare it first: revisions increase only within one era.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct StoreVersion {
    /// Number of restores before this point.
    pub era: Era,
    /// Number of the transaction within the era.
    pub revision: Revision,
}

/// Cost in millionths of the currency unit in which partners settle.
pub type MicroCost = u64;

const RANDOM_BITS: u32 = 80;

/// Generates a random incarnation.
pub fn new_incarnation() -> Incarnation {
    rand::rng().random()
}

/// Generates an id for a request that arrived at `now`.
pub fn new_request_id(now: SystemTime) -> RequestId {
    let ms = now.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let low: u128 = rand::rng().random::<u128>() >> (128 - RANDOM_BITS);
    (ms << RANDOM_BITS) | low
}

/// Arrival time encoded in a request id, as time since the Unix epoch.
pub fn request_arrival_time(request: RequestId) -> Duration {
    let ms = u64::try_from(request >> RANDOM_BITS).unwrap_or(u64::MAX);
    Duration::from_millis(ms)
}

/// Formats an id as 32 hex digits, the form used in logs, headers and records.
pub fn format_id(id: u128) -> Box<str> {
    format!("{id:032x}").into()
}

/// Parses an id formatted by [`format_id`].
pub fn parse_id(text: &str) -> Option<u128> {
    u128::from_str_radix(text, 16).ok()
}

/// Partner part of a full name.
pub fn partner_of(id: &str) -> &str {
    id.split_once('/').map_or(id, |(partner, _)| partner)
}

/// Model part of a version's full name.
pub fn model_of(version: &str) -> &str {
    version.split_once('@').map_or(version, |(model, _)| model)
}

/// Expands a reference to a full name. A reference without a partner belongs to `partner`.
pub fn qualify(partner: &str, reference: &str) -> ObjectId {
    if reference.contains('/') {
        return reference.into();
    }
    format!("{partner}/{reference}").into()
}
