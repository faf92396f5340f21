//! Admission gate of an agent: the last check before an attempt starts, and the record of refused attempts.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{ids::Revision, policy::attempt::AttemptKey};

/// Maximum number of ended or refused attempts that are remembered.
const MAX_REMEMBERED: usize = 65_536;

/// Why an attempt was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefuseReason {
    /// The version accepts no new requests.
    Withdrawn,
    /// The organisation may not use the version or the server.
    NotAllowed,
    /// The server is leaving.
    Leaving,
    /// The queue is full.
    Full,
    /// The entry cancelled it before it started.
    Cancelled,
    /// Its deadline passed in the queue.
    DeadlinePassed,
    /// The version is not loaded on this server.
    NotLoaded,
    /// The agent's configuration is older than the revision the attempt was decided on and can't be updated.
    Behind,
    /// The BackendServer could not be reached.
    Unreachable,
}

/// State of an attempt at the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GateState {
    /// Waits until the agent has the configuration revision that the attempt was decided on.
    Behind,
    /// Waits for a free slot.
    Queued,
    /// Handed to the BackendServer.
    Started,
    /// Refused; a late copy must not start.
    Refused(RefuseReason),
    /// Ended.
    Ended,
}

/// What the agent's current configuration says about an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GateView {
    /// Revision in force at the agent.
    pub revision: Revision,
    /// Whether that revision allows the organisation to use the version and the server.
    pub allowed: bool,
    /// Whether the version is available in that revision.
    pub available: bool,
    /// Whether the server is leaving.
    pub leaving: bool,
}

/// What to do with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GateDecision {
    /// Add it to the queue.
    Queue,
    /// Start it now.
    Start,
    /// Request the missing configuration changes, then offer it again.
    Pull,
    /// Tell the entry that it has not run.
    Refuse(RefuseReason),
    /// Do nothing: it is a copy of a known attempt, or in a state that does not allow the operation.
    Ignore,
}

/// States of the attempts that an agent remembers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Gate {
    attempts: BTreeMap<AttemptKey, GateState>,
    finished: VecDeque<AttemptKey>,
}

impl Gate {
    /// State of an attempt, if it is remembered.
    pub fn state(&self, key: AttemptKey) -> Option<GateState> {
        self.attempts.get(&key).copied()
    }

    /// Number of remembered attempts.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether no attempt is remembered.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Offers an attempt that the entry decided on at revision `decided`.
    pub fn offer(&mut self, key: AttemptKey, decided: Revision, view: GateView) -> GateDecision {
        match self.attempts.get(&key) {
            Some(GateState::Refused(reason)) => return GateDecision::Refuse(*reason),
            Some(GateState::Behind) | None => {}
            Some(_) => return GateDecision::Ignore,
        }
        if view.leaving {
            return self.refuse(key, RefuseReason::Leaving);
        }
        if view.revision < decided {
            self.attempts.insert(key, GateState::Behind);
            return GateDecision::Pull;
        }
        if let Some(reason) = refusal_reason(view) {
            return self.refuse(key, reason);
        }
        self.attempts.insert(key, GateState::Queued);
        GateDecision::Queue
    }

    /// Takes an attempt from the queue to start it; the configuration is checked again.
    pub fn take(&mut self, key: AttemptKey, view: GateView) -> GateDecision {
        match self.attempts.get(&key) {
            Some(GateState::Queued) => {}
            Some(GateState::Refused(reason)) => return GateDecision::Refuse(*reason),
            _ => return GateDecision::Ignore,
        }
        if let Some(reason) = refusal_reason(view) {
            return self.refuse(key, reason);
        }
        self.attempts.insert(key, GateState::Started);
        GateDecision::Start
    }

    /// Refuses an attempt unless it has started, and remembers the refusal.
    ///
    /// An unknown attempt is refused, too, so that a late copy of it can't start.
    pub fn refuse(&mut self, key: AttemptKey, reason: RefuseReason) -> GateDecision {
        match self.attempts.get(&key) {
            Some(GateState::Started | GateState::Ended) => return GateDecision::Ignore,
            Some(GateState::Refused(earlier)) => return GateDecision::Refuse(*earlier),
            _ => {}
        }
        self.attempts.insert(key, GateState::Refused(reason));
        self.remember_finished(key);
        GateDecision::Refuse(reason)
    }

    /// Records that a started attempt has ended.
    pub fn end(&mut self, key: AttemptKey) {
        if self.attempts.get(&key) == Some(&GateState::Started) {
            self.attempts.insert(key, GateState::Ended);
            self.remember_finished(key);
        }
    }

    /// Reverts a start: the BackendServer was not reached, so nothing ran.
    pub fn revert_start(&mut self, key: AttemptKey) -> GateDecision {
        if self.attempts.get(&key) != Some(&GateState::Started) {
            return GateDecision::Ignore;
        }
        self.attempts.insert(key, GateState::Refused(RefuseReason::Unreachable));
        self.remember_finished(key);
        GateDecision::Refuse(RefuseReason::Unreachable)
    }

    /// Attempts that wait for a revision or a free slot.
    pub fn waiting(&self) -> Vec<AttemptKey> {
        let waits = |state: &GateState| matches!(state, GateState::Behind | GateState::Queued);
        self.attempts.iter().filter(|(_, state)| waits(state)).map(|(key, _)| *key).collect()
    }

    /// Adds a finished attempt to those remembered and forgets the oldest ones. Links deliver in order, so
    /// copies arrive soon or never.
    fn remember_finished(&mut self, key: AttemptKey) {
        self.finished.push_back(key);
        while self.finished.len() > MAX_REMEMBERED {
            let Some(oldest) = self.finished.pop_front() else {
                break;
            };
            self.attempts.remove(&oldest);
        }
    }
}

/// Reason to refuse an attempt, if there is one.
fn refusal_reason(view: GateView) -> Option<RefuseReason> {
    if view.leaving {
        return Some(RefuseReason::Leaving);
    }
    if !view.available {
        return Some(RefuseReason::Withdrawn);
    }
    (!view.allowed).then_some(RefuseReason::NotAllowed)
}

/// Whether an attempt that has waited this long can still be answered in time.
pub fn is_before_deadline(waited: Duration, deadline: Duration) -> bool {
    waited < deadline
}
