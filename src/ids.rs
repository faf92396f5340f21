//! Identifiers shared by every layer.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::RngExt;
use serde::{Deserialize, Serialize};

/// Name of a partner, unique in the system.
pub type PartnerId = Box<str>;
/// An object's full name, `partner/name`; a version's is `partner/model@version`.
pub type ObjectId = Box<str>;
/// Full name of an Organisation.
pub type OrganisationId = ObjectId;
/// Full name of a version.
pub type VersionId = ObjectId;
/// Full name of a BackendServer.
pub type ServerId = ObjectId;
/// One life of one process; random, so two lives are never mistaken for each other.
pub type Incarnation = u128;
/// One caller request: 48 bits of milliseconds since 1970, then 80 random bits.
pub type RequestId = u128;
/// Number of a configuration revision; it only grows.
pub type Revision = u64;
/// Counts how often the platform's store came back from an older copy; revisions are given out again then.
pub type Era = u64;

/// A moment in the life of the platform's store. The era goes first: revisions only grow within one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct StoreVersion {
    /// Times the store came back from a copy before.
    pub era: Era,
    /// Transaction.
    pub revision: Revision,
}

/// Cost in millionths of the currency unit the partners settle in.
pub type MicroCost = u64;

const RANDOM_BITS: u32 = 80;

/// Draws a new incarnation.
pub fn new_incarnation() -> Incarnation {
    rand::rng().random()
}

/// Draws a request id for a request that arrived at `now`.
pub fn new_request_id(now: SystemTime) -> RequestId {
    let ms = now.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let low: u128 = rand::rng().random::<u128>() >> (128 - RANDOM_BITS);
    (ms << RANDOM_BITS) | low
}

/// Time of arrival that a request id carries, as time since 1970.
pub fn request_arrival_time(request: RequestId) -> Duration {
    let ms = u64::try_from(request >> RANDOM_BITS).unwrap_or(u64::MAX);
    Duration::from_millis(ms)
}

/// Writes an id the way logs, headers and records show it: 32 hex digits.
pub fn format_id(id: u128) -> Box<str> {
    format!("{id:032x}").into()
}

/// Reads an id written by [`format_id`].
pub fn parse_id(text: &str) -> Option<u128> {
    u128::from_str_radix(text, 16).ok()
}

/// The partner part of a full name.
pub fn partner_of(id: &str) -> &str {
    id.split_once('/').map_or(id, |(partner, _)| partner)
}

/// The model part of a version's full name.
pub fn model_of(version: &str) -> &str {
    version.split_once('@').map_or(version, |(model, _)| model)
}

/// Makes a full name out of a reference that may leave its own partner out.
pub fn qualify(partner: &str, reference: &str) -> ObjectId {
    if reference.contains('/') {
        return reference.into();
    }
    format!("{partner}/{reference}").into()
}
