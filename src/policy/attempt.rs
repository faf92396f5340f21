//! The life of one attempt as the entry sees it.
//!
//! What a caller may be answered follows from these states alone: see `docs/PROMISES.md`.

// The state macro documents nothing it generates.
#![allow(missing_docs)]

use serde::{Deserialize, Serialize};
use statig::prelude::*;

use crate::ids::RequestId;

/// Names one attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptKey {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt within the request, from 0.
    pub number: u32,
}

/// What happens to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptEvent {
    /// The start frame was handed to the link.
    Sent,
    /// The agent refused it and remembers that it did.
    Refused,
    /// The agent handed it to the BackendServer.
    Started,
    /// The whole answer is here.
    Ended,
    /// The BackendServer failed it after the start.
    Failed,
    /// The link went away.
    LinkLost,
}

/// The machine; its state is all it has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct AttemptMachine;

/// What the entry knows about an attempt.
pub use self::State as AttemptState;

#[state_machine(
    initial = "State::not_sent()",
    state(derive(Clone, Copy, Debug, PartialEq, Eq, Hash))
)]
#[allow(missing_docs)]
impl AttemptMachine {
    #[state]
    fn not_sent(event: &AttemptEvent) -> Outcome<State> {
        match event {
            AttemptEvent::Sent => Transition(State::sent()),
            _ => Handled,
        }
    }

    #[state]
    fn sent(event: &AttemptEvent) -> Outcome<State> {
        match event {
            AttemptEvent::Refused => Transition(State::refused()),
            AttemptEvent::Started => Transition(State::started()),
            AttemptEvent::Ended => Transition(State::done()),
            AttemptEvent::Failed | AttemptEvent::LinkLost => Transition(State::unknown()),
            AttemptEvent::Sent => Handled,
        }
    }

    #[state]
    fn started(event: &AttemptEvent) -> Outcome<State> {
        match event {
            // The agent takes a start back when it could not reach the BackendServer.
            AttemptEvent::Refused => Transition(State::refused()),
            AttemptEvent::Ended => Transition(State::done()),
            AttemptEvent::Failed | AttemptEvent::LinkLost => Transition(State::unknown()),
            _ => Handled,
        }
    }

    #[state]
    fn refused() -> Outcome<State> {
        Handled
    }

    #[state]
    fn done() -> Outcome<State> {
        Handled
    }

    #[state]
    fn unknown() -> Outcome<State> {
        Handled
    }
}

/// State of an attempt that has only been decided on.
pub fn initial_state() -> AttemptState {
    State::not_sent()
}

/// State after an event.
pub fn advance(state: AttemptState, event: AttemptEvent) -> AttemptState {
    let mut machine = AttemptMachine.uninitialized_state_machine().init();
    for step in events_leading_to(state) {
        machine.handle(step);
    }
    machine.handle(&event);
    *machine.state()
}

/// Events that lead from the start to a state; states carry no data, so any path serves.
fn events_leading_to(state: AttemptState) -> &'static [AttemptEvent] {
    match state {
        State::NotSent {} => &[],
        State::Sent {} => &[AttemptEvent::Sent],
        State::Started {} => &[AttemptEvent::Sent, AttemptEvent::Started],
        State::Refused {} => &[AttemptEvent::Sent, AttemptEvent::Refused],
        State::Done {} => &[AttemptEvent::Sent, AttemptEvent::Ended],
        State::Unknown {} => &[AttemptEvent::Sent, AttemptEvent::LinkLost],
    }
}

/// What is true of a request, from the states of all its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestOutcome {
    /// No attempt ran, and none can run any more.
    NotRun,
    /// An attempt ended whole.
    Done,
    /// An attempt may have run, or may be running.
    Unknown,
}

/// Sums the attempts of a request up.
pub fn request_outcome(attempts: &[AttemptState]) -> RequestOutcome {
    if attempts.contains(&State::Done {}) {
        return RequestOutcome::Done;
    }
    let never_ran = |state: &AttemptState| matches!(state, State::NotSent {} | State::Refused {});
    if attempts.iter().all(never_ran) { RequestOutcome::NotRun } else { RequestOutcome::Unknown }
}

/// Whether another attempt may be sent.
///
/// A request that may run only once is sent again only when no earlier attempt can have run.
pub fn may_retry(attempts: &[AttemptState], repeatable: bool) -> bool {
    match request_outcome(attempts) {
        RequestOutcome::NotRun => true,
        RequestOutcome::Unknown => repeatable,
        RequestOutcome::Done => false,
    }
}
