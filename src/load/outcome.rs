//! What the tool notes of each request, and which promises it can see broken.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{ids::VersionId, load::ChatOutcome};

/// What was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A chat request.
    Chat,
    /// A chat request that may run only once.
    ChatOnce,
    /// A call of a plain service that may run only once.
    ServiceOnce,
}

/// One request as the caller saw it.
#[derive(Clone, Debug)]
pub struct Record {
    /// When it was sent, from the start of the run.
    pub sent: Duration,
    /// What it was.
    pub kind: Kind,
    /// Organisation.
    pub organisation: Box<str>,
    /// The caller's own session id, if it had one.
    pub session: Option<Box<str>>,
    /// Body or key that names the request at the backend.
    pub mark: Box<str>,
    /// Whether the text is what an engine gives to this prompt, whole and in order.
    pub text_is_right: bool,
    /// Whether the answer was rated as poor.
    pub is_poor: bool,
    /// Answer.
    pub outcome: ChatOutcome,
}

impl Record {
    /// Whether a whole answer was delivered.
    pub fn is_answered(&self) -> bool {
        &*self.outcome.code == "ok"
    }

    /// Version that answered, if one did.
    pub fn version(&self) -> Option<&VersionId> {
        Some(&self.outcome.version).filter(|version| self.is_answered() && !version.is_empty())
    }
}

/// Promises seen broken, by number of cases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Broken {
    /// Answers that are not the whole answer to their own request.
    pub wrong_answers: u64,
    /// Requests that may run only once and ran more often.
    pub ran_twice: u64,
    /// Requests said not to have run that did.
    pub false_not_run: u64,
    /// Answers delivered that were not charged.
    pub not_charged: u64,
    /// Requests charged although the caller was told that they had not run.
    pub charged_not_run: u64,
    /// Requests counted more than once in the totals.
    pub charged_twice: u64,
    /// Sessions that changed their version without a withdrawal.
    pub sessions_moved: u64,
    /// Requests started on a version after its withdrawal was in force.
    pub ran_withdrawn: u64,
    /// Configuration changes accepted that are not in force at some process.
    pub changes_lost: u64,
}

impl Broken {
    /// Sum of all cases.
    pub fn total(&self) -> u64 {
        self.wrong_answers
            + self.ran_twice
            + self.false_not_run
            + self.not_charged
            + self.charged_not_run
            + self.charged_twice
            + self.sessions_moved
            + self.ran_withdrawn
            + self.changes_lost
    }
}
