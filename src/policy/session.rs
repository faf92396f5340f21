//! Session tokens: which version each model of a session stays on, signed so that any entry
//! can read it without a look-up.

use std::collections::BTreeMap;

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::ids::{ObjectId, OrganisationId, VersionId};

/// What marks a header value as a token rather than a caller's own session id.
const PREFIX: &str = "mm1.";

/// A session and the versions it is on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// Organisation the session belongs to; a token of another is not accepted.
    pub organisation: OrganisationId,
    /// The caller's session id, or one drawn by the entry.
    pub id: Box<str>,
    /// Version by model.
    pub versions: BTreeMap<ObjectId, VersionId>,
}

/// Signs a session.
pub fn sign(session: &Session, key: &[u8]) -> Box<str> {
    let body = serde_json::to_vec(session).expect("sessions are plain data");
    let tag = mac(&body, key).finalize().into_bytes();
    format!("{PREFIX}{}.{}", hex::encode(&body), hex::encode(tag)).into()
}

/// Reads a token; nothing when it is not one, or not signed with this key.
pub fn verify(token: &str, key: &[u8]) -> Option<Session> {
    let (body, tag) = token.strip_prefix(PREFIX)?.split_once('.')?;
    let body = hex::decode(body).ok()?;
    let tag = hex::decode(tag).ok()?;
    mac(&body, key).verify_slice(&tag).ok()?;
    serde_json::from_slice(&body).ok()
}

/// Whether a header value claims to be a token.
pub fn is_token(value: &str) -> bool {
    value.starts_with(PREFIX)
}

fn mac(body: &[u8], key: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(body);
    mac
}
