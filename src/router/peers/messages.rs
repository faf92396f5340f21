//! Messages between entries.
//!
//! Entries of different program versions can be linked: unknown fields are ignored, and missing
//! fields take their defaults.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{Era, Revision},
    policy::{
        link_age::ProbeTime,
        usage::{TrueMs, UsageReport},
    },
    router::{
        peers::{
            load_reports::ServerLoad, prefix_reports::ReportedPrefix,
            quarantine_update::QuarantineUpdate, shared_limits::LimitUpdate,
            speed_reports::SpeedReport,
        },
        roll_outs::roll_out_state::VersionEvidence,
        store::compressed_rows::CompressedUpdate,
    },
};

/// A message from the entry that opened the link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// Asks to follow the other entry, that is to receive the rows that it reads from the store.
    Follow {
        /// Revision of the newest rows that the follower has.
        version: Revision,
        /// Era of the store that this revision belongs to.
        #[serde(default)]
        era: Era,
        /// AvailabilityZone that the other entry must be in; none if any will do. Without this
        /// check, a link that is closed because of the zone would transfer all rows first.
        #[serde(default)]
        only_in: Option<Box<str>>,
        /// Name of the follower's Host, under which it also reports.
        #[serde(default)]
        host: Box<str>,
        /// The first probe; absent from followers that send none.
        #[serde(default)]
        probe: Option<ProbeTime>,
    },
    /// A follower's probe, sent after each heartbeat; the next heartbeat returns the last one received.
    Probe(ProbeTime),
    /// The sender's load, observations and roll-out evidence. Sent repeatedly on a link of its own.
    Report { host: Box<str>, report: Report },
}

/// What one entry reports to the seeds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Report {
    pub(crate) loads: Vec<ServerLoad>,
    pub(crate) evidence: Vec<VersionEvidence>,
    /// Prompt prefixes that it sent to servers since its last report.
    pub(crate) kept: Vec<ReportedPrefix>,
    /// Server crashes since its last report; absent from entries that report none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) ends: Vec<QuarantineUpdate>,
    /// Limits of servers that changed since its last report.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) limits: Vec<LimitUpdate>,
    /// Speeds of servers that are news to the other entries; absent where servers report none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) speeds: Vec<SpeedReport>,
    /// Whether it has just started and does not know its rank among the entries yet.
    #[serde(default)]
    pub(crate) is_new: bool,
    /// Usage of Organisations; absent if nobody reports it to the platform.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) usage: Option<UsageReport>,
}

/// A follower's rank among the entries that share the servers' limits, as a seed reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReportedPlace {
    pub(crate) rank: u32,
    pub(crate) entries: u32,
    /// Whether the seed has been up for long enough to have received updates from all entries.
    pub(crate) sees_all: bool,
}

/// A message from an entry that is followed or reported to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// The first message to a follower.
    Welcome {
        /// AvailabilityZone of the sender.
        zone: Box<str>,
    },
    /// A heartbeat with all updates since the previous one.
    Beat {
        /// Whether the store answers the sender.
        is_current: bool,
        updates: Vec<CompressedUpdate>,
        /// Number of entries that report to the sender, including itself; 0 from entries that don't
        /// send it.
        #[serde(default)]
        entries: usize,
        /// The follower's rank; none if it does not report yet.
        #[serde(default)]
        place: Option<ReportedPlace>,
        /// Load that all entries together have on the servers.
        loads: Vec<ServerLoad>,
        /// Prompt prefixes that entries sent to servers since the last heartbeat.
        kept: Vec<ReportedPrefix>,
        /// Server crashes since the last heartbeat, or all known ones in the first heartbeat;
        /// absent from entries that report none.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        ends: Vec<QuarantineUpdate>,
        /// Whether the sender has learned what the fleet knew before the sender started; false from
        /// entries that don't send it.
        #[serde(default)]
        is_informed: bool,
        /// Limits of servers that changed since the last heartbeat, or all known limits in the
        /// first heartbeats.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        limits: Vec<LimitUpdate>,
        /// Speeds of servers that were told since the last heartbeat, or all known speeds in the
        /// first heartbeats; absent where servers report none.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        speeds: Vec<SpeedReport>,
        /// The sender's estimate of true time; absent if nobody reports usage.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        true_time: Option<TrueMs>,
        /// The last probe of the follower that was received before this heartbeat was composed; absent from entries
        /// that don't send it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        probe: Option<ProbeTime>,
    },
    /// Urgent updates for a reporting entry, in addition to the heartbeats of the entry that it
    /// follows: that one may be suspended or cut off, and switching to another one takes a second
    /// or two.
    News {
        /// Crashes of servers during requests that have already crashed several.
        #[serde(default)]
        ends: Vec<QuarantineUpdate>,
        /// Limits of servers that changed.
        #[serde(default)]
        limits: Vec<LimitUpdate>,
    },
}
