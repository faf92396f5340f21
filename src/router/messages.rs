//! What entries say to each other on their links.
//!
//! An entry on another version of the program passes over fields that it does not know, and takes the default of
//! those that it misses.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{Era, Revision},
    router::{
        compressed_rows::CompressedUpdate, load_reports::ServerLoad, prefix_reports::CachedPrefix,
        roll_out_state::VersionEvidence, shared_limits::LimitUpdate,
        shared_quarantine::QuarantineUpdate,
    },
};

/// What an entry says on a link that it opened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// It wants to receive what the store says.
    Follow {
        /// Newest rows it has, by the store's count.
        version: Revision,
        /// Era of the store that these are of.
        #[serde(default)]
        era: Era,
        /// AvailabilityZone that the other one has to be in; any where there is none. Without it a link that
        /// is left at once brought all rows first.
        #[serde(default)]
        only_in: Option<Box<str>>,
        /// Name of its Host, which it reports under.
        #[serde(default)]
        host: Box<str>,
    },
    /// What it has at the servers and has seen of versions; over and over on a link of its own.
    Report { host: Box<str>, report: Report },
}

/// What one entry lets the others know.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Report {
    pub(crate) loads: Vec<ServerLoad>,
    pub(crate) evidence: Vec<VersionEvidence>,
    /// Prompt parts that it sent since its last report.
    pub(crate) kept: Vec<CachedPrefix>,
    /// Ends of servers since its last report; absent from entries that report none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) ends: Vec<QuarantineUpdate>,
    /// Limits of servers that changed since its last report.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) limits: Vec<LimitUpdate>,
    /// Whether it has just started, and does not know its place among all yet.
    #[serde(default)]
    pub(crate) is_new: bool,
}

/// A follower's place among those that share, as a seed reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReportedPlace {
    pub(crate) rank: u32,
    pub(crate) entries: u32,
    /// Whether the seed has been up for long enough to get updates from all.
    pub(crate) sees_all: bool,
}

/// What the entry that is followed says, or one that is reported to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// Its first message.
    Welcome {
        /// Its AvailabilityZone.
        zone: Box<str>,
    },
    /// A heartbeat, and what has come since the last one.
    Beat {
        /// Whether the store answers it.
        is_current: bool,
        updates: Vec<CompressedUpdate>,
        /// How many entries report to it, itself included; 0 from one that does not say.
        #[serde(default)]
        entries: usize,
        /// The follower's place; none where it does not report yet.
        #[serde(default)]
        place: Option<ReportedPlace>,
        /// What all entries together have at the servers.
        loads: Vec<ServerLoad>,
        /// Prompt parts that entries sent since the last heartbeat.
        kept: Vec<CachedPrefix>,
        /// Ends of servers since the last heartbeat, or all that are known in the first one; absent from
        /// entries that report none.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        ends: Vec<QuarantineUpdate>,
        /// Whether these are all, with what was known before it started; not so with one that does not say.
        #[serde(default)]
        is_informed: bool,
        /// Limits of servers that changed since the last heartbeat, or all that are known in the first ones.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        limits: Vec<LimitUpdate>,
    },
    /// Urgent news for an entry that reports here, whatever it receives from the one that it follows: that one may be
    /// suspended, or cut off, and it takes a second or two to be left for another one.
    News {
        /// Ends of servers under requests that several have ended under.
        #[serde(default)]
        ends: Vec<QuarantineUpdate>,
        /// Limits of servers that changed.
        #[serde(default)]
        limits: Vec<LimitUpdate>,
    },
}
