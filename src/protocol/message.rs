//! Messages between entries and agents. Messages that are sent often have one-letter field names on the
//! wire, since the control traffic is limited.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ObjectId, OrganisationId, RequestId, Revision, VersionId},
    platform::InsertOutcome,
    policy::{attempt::AttemptKey, charge::ChargeRecord, gate::RefuseReason, roll_out::Evidence},
    resources::{Change, Object},
};

/// Evidence that one agent has collected about one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionEvidence {
    /// The version.
    #[serde(rename = "v")]
    pub version: VersionId,
    /// Revision of the roll-out that the sums belong to; they restart from zero when it changes.
    #[serde(rename = "r")]
    pub epoch: Revision,
    /// Sums since that revision.
    #[serde(rename = "e")]
    pub sums: Evidence,
}

/// A version that an entry holds back as suspect, until the revision of its roll-out exceeds `revision`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HeldVersion {
    /// The suspect version.
    #[serde(rename = "v")]
    pub version: VersionId,
    /// Revision of the roll-out for which the evidence was evaluated.
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
    /// Maximum number of attempts running at a time.
    #[serde(rename = "l")]
    pub limit: u32,
    /// Mean time that an attempt runs on the BackendServer, in microseconds.
    #[serde(rename = "s")]
    pub service_time_us: u64,
    /// Mean time between tokens, in microseconds.
    #[serde(rename = "t")]
    pub token_interval_us: u64,
    /// Prompt tokens prefilled per second.
    #[serde(rename = "p")]
    pub prefill_rate: u32,
    /// Number of [`ToAgent::Start`] received on this link. Tells the entry which of its attempts `running` and
    /// `queued` include.
    #[serde(rename = "n")]
    pub starts_seen: u64,
    /// Whether the agent is leaving and takes no new attempts.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub leaving: bool,
    /// Whether the BackendServer is failing its requests.
    #[serde(rename = "u", default, skip_serializing_if = "is_false")]
    pub unhealthy: bool,
    /// Loaded versions; sent when they change.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub loaded: Option<Vec<VersionId>>,
    /// Evidence that has changed since the last heartbeat on this link.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub evidence: Vec<VersionEvidence>,
    /// Versions that any entry holds back.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub held: Vec<HeldVersion>,
}

/// Heartbeat of an entry.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EntryHeartbeat {
    /// Configuration revision in force.
    #[serde(rename = "c")]
    pub revision: Revision,
    /// Versions that this entry holds back.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub held: Vec<HeldVersion>,
}

#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_false(flag: &bool) -> bool {
    !flag
}

/// Configuration update that brings a peer up to date.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// Changes in order, starting after the revision of the peer.
    Delta(Vec<Change>),
    /// All objects, for a peer that is too far behind.
    Full {
        /// Revision of the objects.
        revision: Revision,
        /// All objects.
        objects: Vec<Object>,
    },
}

/// Call that an attempt makes to the BackendServer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum BackendCall {
    /// A chat completion.
    Chat {
        /// Version to run.
        version: VersionId,
        /// Text already delivered by an interrupted attempt; the engine continues after it.
        resume: Option<Box<str>>,
    },
    /// A call of a plain service.
    Service {
        /// HTTP method.
        method: Box<str>,
        /// Path and query after the service name.
        path: Box<str>,
        /// Content type, if the caller sent one.
        content_type: Option<Box<str>>,
    },
}

/// Asks an agent to run an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartAttempt {
    /// Id of the attempt.
    pub key: AttemptKey,
    /// Organisation of the caller.
    pub organisation: OrganisationId,
    /// Configuration revision that the decision of the entry is based on.
    pub revision: Revision,
    /// Time left until the deadline of the caller.
    pub deadline: Duration,
    /// Priority within the Organisation.
    pub priority: i32,
    /// Estimated work in tokens.
    pub work: u64,
    /// Whether the request may run again. Only then is the attempt aborted when the entry disconnects.
    pub repeatable: bool,
    /// The call to make.
    pub call: BackendCall,
    /// Request body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Number of tokens that an attempt used, as counted by the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens.
    pub tokens_in: u64,
    /// Generated tokens.
    pub tokens_out: u64,
}

/// A table row that an agent writes on behalf of an entry.
///
/// The agent only batches rows; the table service alone checks the expected version. If the agent
/// disconnects, the entry treats the reply as lost. See `docs/decisions/0003-at-most-once.md`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Correlation id on this link; the reply carries the same one.
    pub question: u64,
    /// Key of the row.
    pub key: Box<str>,
    /// Version that the row must have; `None` if it must not exist.
    pub expected: Option<u64>,
    /// New value, as JSON text.
    pub value: Box<str>,
}

/// Current load of an agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentLoad {
    /// Attempts running.
    #[serde(rename = "r")]
    pub running: u32,
    /// Attempts queued.
    #[serde(rename = "q")]
    pub queued: u32,
    /// Number of [`ToAgent::Start`] received on this link.
    #[serde(rename = "n")]
    pub starts_seen: u64,
}

/// Messages from an entry to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Heartbeat.
    Beat(EntryHeartbeat),
    /// Request to run an attempt.
    Start(Box<StartAttempt>),
    /// Cancels an attempt. If it has not started, it is refused and never starts.
    Cancel(AttemptKey),
    /// Request for the configuration changes after a revision.
    Pull(Revision),
    /// Configuration update.
    Config(ConfigUpdate),
    /// An answer of a version was rated.
    Rated {
        /// The version.
        version: VersionId,
        /// Whether it was poor.
        poor: bool,
    },
    /// Copy of a charge record, to be kept until it is confirmed.
    Charge(Box<ChargeRecord>),
    /// Confirms that the charge records of these requests are in the object store.
    Confirm(Vec<RequestId>),
    /// The host list shows the Host of this agent as leaving.
    Leave,
    /// The version that a session is pinned to. The agent remembers it for times when the table service is
    /// unavailable.
    Pin {
        /// Id of the Organisation and of the session.
        session: Box<str>,
        /// Model.
        model: ObjectId,
        /// Version.
        version: VersionId,
    },
    /// Request to write a row. The agent may write it in one transaction with rows of other entries.
    WriteRow(Box<RowWrite>),
    /// Request for a remembered pin.
    AskPin {
        /// Correlation id on this link; the reply carries the same one.
        question: u64,
        /// Id of the Organisation and of the session.
        session: Box<str>,
        /// Model.
        model: ObjectId,
    },
}

/// Messages from an agent to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToEntry {
    /// Heartbeat.
    Beat(AgentHeartbeat),
    /// The attempt has not run and never will.
    Refused {
        /// Id of the attempt.
        key: AttemptKey,
        /// Reason.
        reason: RefuseReason,
    },
    /// The attempt was sent to the BackendServer.
    Started(AttemptKey),
    /// Part of the answer.
    Chunk {
        /// Id of the attempt.
        key: AttemptKey,
        /// Index of the part, starting at 0.
        sequence: u64,
        /// The part.
        #[serde(with = "serde_bytes")]
        payload: Vec<u8>,
    },
    /// The answer is complete.
    End {
        /// Id of the attempt.
        key: AttemptKey,
        /// Number of parts sent.
        count: u64,
        /// Digest over the parts.
        digest: u64,
        /// HTTP status of the response of a plain service.
        status: u16,
        /// Tokens used.
        usage: Usage,
        /// Current load of the agent; answers are more frequent than heartbeats.
        load: AgentLoad,
    },
    /// The attempt failed after it had started.
    Failed {
        /// Id of the attempt.
        key: AttemptKey,
        /// Description of the failure.
        problem: Box<str>,
        /// HTTP status returned by the BackendServer, or 0.
        status: u16,
    },
    /// Request for the configuration changes after a revision.
    Pull(Revision),
    /// Configuration update.
    Config(ConfigUpdate),
    /// Reply to [`ToAgent::WriteRow`].
    RowWritten {
        /// Correlation id of the request.
        question: u64,
        /// Outcome of the write.
        outcome: InsertOutcome,
    },
    /// Reply to [`ToAgent::AskPin`].
    PinIs {
        /// Correlation id of the request.
        question: u64,
        /// The pinned version, if one is remembered.
        version: Option<VersionId>,
    },
}
