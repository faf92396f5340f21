//! The attempts of one request, and the proof that none of them ran.

use crate::policy::attempt::{
    self, AttemptEvent, AttemptState, RequestOutcome, may_retry, request_outcome,
};

/// Proof that no attempt of a request ran or will run. Only [`AttemptLog::prove_not_run`] gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct NotRunProof(());

/// States of the attempts of one request, in the order in which they were made.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AttemptLog(Vec<AttemptState>);

impl AttemptLog {
    /// Adds an attempt.
    pub fn push(&mut self, state: AttemptState) {
        self.0.push(state);
    }

    /// Number of attempts.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no attempt was made.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether an attempt that a server may have run got no complete response.
    pub fn has_lost_attempt(&self) -> bool {
        self.0.contains(&AttemptState::Unknown {})
    }

    /// Records that the response to the last attempt was lost.
    pub fn mark_last_lost(&mut self) {
        if let Some(last) = self.0.last_mut() {
            *last = attempt::advance(*last, AttemptEvent::LinkLost);
        }
    }

    /// Whether another attempt may be sent.
    pub fn may_retry(&self, is_idempotent: bool) -> bool {
        may_retry(&self.0, is_idempotent)
    }

    /// The proof that the request did not run and will not run, unless an attempt may have run.
    pub fn prove_not_run(&self) -> Option<NotRunProof> {
        (request_outcome(&self.0) == RequestOutcome::NotRun).then_some(NotRunProof(()))
    }
}
