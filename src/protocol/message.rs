//! The typed messages. Field names are short on the wire: control traffic is bounded.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ObjectId, OrganisationId, RequestId, Revision, VersionId},
    platform::InsertOutcome,
    policy::{attempt::AttemptKey, charge::ChargeRecord, gate::RefuseReason, roll_out::Evidence},
    resources::{Change, Object},
};

/// Evidence of one agent about one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionEvidence {
    /// The version.
    #[serde(rename = "v")]
    pub version: VersionId,
    /// Revision of the roll-out the sums belong to; they start anew when it changes.
    #[serde(rename = "r")]
    pub epoch: Revision,
    /// Sums since then.
    #[serde(rename = "e")]
    pub sums: Evidence,
}

/// A version some entry holds, until the roll-out changes past `revision`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HeldVersion {
    /// The suspect version.
    #[serde(rename = "v")]
    pub version: VersionId,
    /// Revision of the roll-out the evidence was judged under.
    #[serde(rename = "r")]
    pub revision: Revision,
}

/// Heartbeat of an agent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AgentHeartbeat {
    /// Configuration revision in force.
    #[serde(rename = "c")]
    pub revision: Revision,
    /// Attempts running.
    #[serde(rename = "r")]
    pub running: u32,
    /// Attempts queued.
    #[serde(rename = "q")]
    pub queued: u32,
    /// Attempts run at a time at most.
    #[serde(rename = "l")]
    pub limit: u32,
    /// Mean time an attempt occupies a place.
    #[serde(rename = "s")]
    pub service_time_us: u64,
    /// Mean time between tokens.
    #[serde(rename = "t")]
    pub token_interval_us: u64,
    /// Prompt tokens prefilled a second.
    #[serde(rename = "p")]
    pub prefill_rate: u32,
    /// Starts received on this link so far, to tell which are counted above.
    #[serde(rename = "n")]
    pub starts_seen: u64,
    /// Whether the server is leaving.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub leaving: bool,
    /// Whether the BackendServer fails its requests.
    #[serde(rename = "u", default, skip_serializing_if = "is_false")]
    pub unhealthy: bool,
    /// Versions loaded; sent when they change.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub loaded: Option<Vec<VersionId>>,
    /// Evidence that changed since the last heartbeat on this link.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub evidence: Vec<VersionEvidence>,
    /// Versions held by any entry.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub held: Vec<HeldVersion>,
}

/// Heartbeat of an entry.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EntryHeartbeat {
    /// Configuration revision in force.
    #[serde(rename = "c")]
    pub revision: Revision,
    /// Versions held here.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub held: Vec<HeldVersion>,
}

#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_false(flag: &bool) -> bool {
    !flag
}

/// Changes that bring a peer up to date.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// Changes in order, the first one after what the peer has.
    Delta(Vec<Change>),
    /// Everything, for a peer too far behind.
    Full {
        /// Revision of the copy.
        revision: Revision,
        /// All objects.
        objects: Vec<Object>,
    },
}

/// What an attempt asks of the BackendServer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum BackendCall {
    /// A chat completion.
    Chat {
        /// Version to run.
        version: VersionId,
        /// Text already delivered by an attempt that was cut off.
        resume: Option<Box<str>>,
    },
    /// A call of a plain service.
    Service {
        /// HTTP method.
        method: Box<str>,
        /// Path and query behind the service's name.
        path: Box<str>,
        /// Content type, if the caller gave one.
        content_type: Option<Box<str>>,
    },
}

/// Asks an agent to run an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartAttempt {
    /// The attempt.
    pub key: AttemptKey,
    /// Whom it is for.
    pub organisation: OrganisationId,
    /// Revision the entry decided on.
    pub revision: Revision,
    /// Time left to the caller's deadline.
    pub deadline: Duration,
    /// Priority within the organisation.
    pub priority: i32,
    /// Expected work in tokens.
    pub work: u64,
    /// Whether the engine may be told to stop when the entry goes away.
    pub repeatable: bool,
    /// What to call.
    pub call: BackendCall,
    /// Request body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Tokens an attempt used, as the engine counts them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens.
    pub tokens_in: u64,
    /// Generated tokens.
    pub tokens_out: u64,
}

/// A row an agent writes for an entry.
///
/// The agent only batches: the row's condition is judged by the table alone, and an agent that
/// goes away leaves a lost reply behind. See `docs/decisions/0003-at-most-once.md`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Number of the question on this link.
    pub question: u64,
    /// Key of the row.
    pub key: Box<str>,
    /// Version it must have; none means absent.
    pub expected: Option<u64>,
    /// New value, as JSON text.
    pub value: Box<str>,
}

/// Load of an agent at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentLoad {
    /// Attempts running.
    #[serde(rename = "r")]
    pub running: u32,
    /// Attempts queued.
    #[serde(rename = "q")]
    pub queued: u32,
    /// Starts received on this link so far.
    #[serde(rename = "n")]
    pub starts_seen: u64,
}

/// Frames from an entry to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Heartbeat.
    Beat(EntryHeartbeat),
    /// Run an attempt.
    Start(Box<StartAttempt>),
    /// Stop an attempt; refused for good if it has not started.
    Cancel(AttemptKey),
    /// Ask for the changes after a revision.
    Pull(Revision),
    /// Changes.
    Config(ConfigUpdate),
    /// An answer of a version was rated.
    Rated {
        /// The version.
        version: VersionId,
        /// Whether it was poor.
        poor: bool,
    },
    /// Keep this record until it is confirmed.
    Charge(Box<ChargeRecord>),
    /// These records are in the object store.
    Confirm(Vec<RequestId>),
    /// The host list shows this agent's host as leaving.
    Leave,
    /// Remember the version a session is on, for while the table service is down.
    Pin {
        /// Organisation and session id.
        session: Box<str>,
        /// Model.
        model: ObjectId,
        /// Version.
        version: VersionId,
    },
    /// Write a row for the entry, in one transaction with the rows of other entries.
    WriteRow(Box<RowWrite>),
    /// Ask for a remembered pin.
    AskPin {
        /// Number of the question on this link.
        question: u64,
        /// Organisation and session id.
        session: Box<str>,
        /// Model.
        model: ObjectId,
    },
}

/// Frames from an agent to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToEntry {
    /// Heartbeat.
    Beat(AgentHeartbeat),
    /// The attempt has not run and will not.
    Refused {
        /// The attempt.
        key: AttemptKey,
        /// Why.
        reason: RefuseReason,
    },
    /// The attempt was handed to the BackendServer.
    Started(AttemptKey),
    /// A part of the answer.
    Chunk {
        /// The attempt.
        key: AttemptKey,
        /// Number of the part, from 0.
        sequence: u64,
        /// The part.
        #[serde(with = "serde_bytes")]
        payload: Vec<u8>,
    },
    /// The answer is complete.
    End {
        /// The attempt.
        key: AttemptKey,
        /// Parts sent.
        count: u64,
        /// Digest over the parts.
        digest: u64,
        /// HTTP status of a plain service.
        status: u16,
        /// Tokens used.
        usage: Usage,
        /// Load of the agent now; answers are more frequent than heartbeats.
        load: AgentLoad,
    },
    /// The BackendServer failed the attempt after the start.
    Failed {
        /// The attempt.
        key: AttemptKey,
        /// What happened.
        problem: Box<str>,
        /// HTTP status the BackendServer gave, or 0.
        status: u16,
    },
    /// Ask for the changes after a revision.
    Pull(Revision),
    /// Changes.
    Config(ConfigUpdate),
    /// How a row's write came out.
    RowWritten {
        /// Number of the question.
        question: u64,
        /// Outcome.
        outcome: InsertOutcome,
    },
    /// Answer to a question about a pin.
    PinIs {
        /// Number of the question.
        question: u64,
        /// The version, if one is remembered.
        version: Option<VersionId>,
    },
}
