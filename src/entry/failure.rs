//! Why a stage gave no whole answer, and what its caller is told.

use std::{sync::Arc, time::Duration};

use crate::{
    entry::{ApiError, link::Link},
    policy::attempt::RequestOutcome,
};

/// Why a stage gave no whole answer.
#[derive(Debug)]
pub(crate) enum StageError {
    /// No server that could run it is known.
    NoServer,
    /// Every server asked was full or leaving.
    Full(Duration),
    /// The version was withdrawn meanwhile.
    Withdrawn,
    /// The agent's newer configuration forbids it.
    NotAllowed,
    /// The deadline passed.
    Deadline,
    /// The caller went away.
    CallerGone(Option<Arc<Link>>),
    /// The BackendServer would not take the request itself.
    Rejected(u16),
    /// It failed, and may not or can not be tried again.
    Failed(Option<Arc<Link>>),
}

/// What a caller is told when a stage fails, by what is true of the attempts.
pub(crate) fn describe_failure(e: &StageError, verdict: RequestOutcome, model: &str) -> ApiError {
    match (e, verdict) {
        (StageError::Rejected(status), _) => {
            ApiError::bad_request("body", format!("the backend answered {status}"))
        }
        (_, RequestOutcome::Unknown | RequestOutcome::Done) => {
            ApiError::outcome_unknown("the answer was lost on the way")
        }
        (StageError::Withdrawn, _) => ApiError::withdrawn(model),
        (StageError::NotAllowed, _) => ApiError::not_allowed(model),
        (StageError::Full(after), _) => ApiError::overloaded("every server is full", *after),
        (StageError::Deadline, _) => ApiError::deadline(),
        (StageError::NoServer, _) => ApiError::not_run("no server that can run it is known"),
        _ => ApiError::not_run("no server could be reached"),
    }
}
