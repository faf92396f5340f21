//! The life of a process from start to planned stop.

// The state macro documents nothing it generates.
#![allow(missing_docs)]

use statig::prelude::*;

/// What moves a process on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LifecycleEvent {
    /// It has a configuration and is ready for work.
    Ready,
    /// A stop was asked for, or the host list shows the host as leaving.
    Leave,
    /// Nothing is in flight and everything is flushed.
    Idle,
    /// The grace for finishing ran out.
    GraceExpired,
}

/// The machine; its state is all it has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LifecycleMachine;

/// Stage of a process's life.
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

/// A process's lifecycle.
pub type Lifecycle = statig::blocking::StateMachine<LifecycleMachine>;

/// A process that has just started.
pub fn start() -> Lifecycle {
    LifecycleMachine.state_machine()
}
