//! The lifecycle of a process, from its start to a planned stop.

// The `state_machine` macro generates items without documentation.
#![allow(missing_docs)]

use statig::prelude::*;

/// Events that change the state of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LifecycleEvent {
    /// The process has a configuration and is ready for requests.
    Ready,
    /// A stop was requested, or the host list shows this Host as leaving.
    Leave,
    /// No request is in flight and all data is flushed.
    Idle,
    /// The grace period for finishing requests has expired.
    GraceExpired,
}

/// The state machine, which has no data besides its state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LifecycleMachine;

/// State of a process's lifecycle.
pub use self::State as LifecycleState;

#[state_machine(
    initial = "State::starting()",
    state(derive(Clone, Copy, Debug, PartialEq, Eq, Hash))
)]
#[allow(missing_docs)]
impl LifecycleMachine {
    #[state]
    fn starting(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Ready => Transition(State::serving()),
            LifecycleEvent::Leave => Transition(State::leaving()),
            _ => Handled,
        }
    }

    #[state]
    fn serving(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Leave => Transition(State::leaving()),
            _ => Handled,
        }
    }

    #[state]
    fn leaving(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Idle | LifecycleEvent::GraceExpired => Transition(State::stopped()),
            _ => Handled,
        }
    }

    #[state]
    fn stopped() -> Outcome<State> {
        Handled
    }
}

/// The lifecycle of one process.
pub type Lifecycle = statig::blocking::StateMachine<LifecycleMachine>;

/// Creates the lifecycle of a process that has just started.
pub fn start() -> Lifecycle {
    LifecycleMachine.state_machine()
}
