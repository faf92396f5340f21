//! Model of configuration and admission: a version is withdrawn and made available again while two entries and
//! two agents receive the changes in any order, from the store and from each other, and restart.

use mintmoor::{
    ids::Revision,
    policy::{
        attempt::AttemptKey,
        gate::{Gate, GateDecision, GateState, GateView},
    },
    resources::{Change, ConfigLog, Kind, Object, Spec, Version, VersionState},
};

use crate::explore::{Exploration, Step, assert_detected, assert_holds, explore};

const PROCESSES: usize = 4;
const AGENTS: std::ops::Range<usize> = 2..4;
const NEWEST: Revision = 3;
const WITHDRAWN_AT: Revision = 2;

/// Defect that is built into the protocol; the model has to find each of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    AgentDoesNotWait,
    AgentDoesNotCheck,
    NoCheckAfterQueue,
    AcceptsOlderRevision,
}

/// A start that is being sent or waits at an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct SentStart {
    number: u8,
    agent: u8,
    decided: Revision,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// Newest revision in the store.
    head: Revision,
    /// Revision that each process has.
    held: [Revision; PROCESSES],
    /// Highest revision that each process has had since it started.
    highest: [Revision; PROCESSES],
    restarts: u8,
    /// Starts that no agent has received yet.
    sent: Vec<SentStart>,
    /// Starts that wait at an agent.
    at_agent: Vec<SentStart>,
    gates: [Gate; 2],
    /// Number of requests that the entries have sent.
    requests: u8,
    violation: Option<&'static str>,
}

fn change(revision: Revision) -> Change {
    let state =
        if revision == WITHDRAWN_AT { VersionState::Withdrawn } else { VersionState::Available };
    let version = Version { cost_in: 1, cost_out: 1, quality: 0.5, state };
    let object = Object { id: "p/m@1".into(), revision, spec: Spec::Version(version) };
    Change {
        revision,
        kind: Kind::Version,
        id: "p/m@1".into(),
        change_id: "c".into(),
        actor: "test".into(),
        object: Some(object),
    }
}

fn log_at(revision: Revision) -> ConfigLog {
    let mut log = ConfigLog::default();
    for r in 1..=revision {
        log.apply(change(r)).unwrap();
    }
    log
}

/// Revision of a process at `held` after a peer at `from` has offered all its changes.
fn after_update(held: Revision, from: Revision, mutation: Mutation) -> Revision {
    if mutation == Mutation::AcceptsOlderRevision {
        return from;
    }
    let mut log = log_at(held);
    for revision in 1..=from {
        let _ = log.apply(change(revision));
    }
    log.revision()
}

fn is_available(revision: Revision) -> bool {
    log_at(revision).snapshot().is_available("p/m@1")
}

fn start() -> State {
    State {
        head: 1,
        held: [1; PROCESSES],
        highest: [1; PROCESSES],
        restarts: 0,
        sent: Vec::new(),
        at_agent: Vec::new(),
        gates: Default::default(),
        requests: 0,
        violation: None,
    }
}

fn next(state: &State, mutation: Mutation) -> Vec<Step<State>> {
    let mut steps = Vec::new();
    if state.head < NEWEST {
        let mut next = state.clone();
        next.head += 1;
        steps.push(("an operator's change is accepted", next));
    }
    propagation_steps(state, mutation, &mut steps);
    restart_steps(state, &mut steps);
    request_steps(state, mutation, &mut steps);
    steps
}

fn set_held(state: &mut State, process: usize, revision: Revision) {
    state.held[process] = revision;
    if revision < state.highest[process] {
        state.violation = Some("a process went back to an older configuration");
    }
    state.highest[process] = state.highest[process].max(revision);
}

fn propagation_steps(state: &State, mutation: Mutation, steps: &mut Vec<Step<State>>) {
    for entry in 0..2 {
        // A lagging replica of the store may return any older head.
        for shown in 1..=state.head {
            let mut next = state.clone();
            set_held(&mut next, entry, after_update(state.held[entry], shown, mutation));
            steps.push(("an entry polls the store", next));
        }
        for agent in AGENTS {
            for (from, to, name) in [
                (entry, agent, "an agent receives changes from an entry"),
                (agent, entry, "an entry receives changes from an agent"),
            ] {
                let mut next = state.clone();
                set_held(&mut next, to, after_update(state.held[to], state.held[from], mutation));
                steps.push((name, next));
            }
        }
    }
}

fn restart_steps(state: &State, steps: &mut Vec<Step<State>>) {
    if state.restarts >= 1 {
        return;
    }
    for process in 0..PROCESSES {
        let mut next = state.clone();
        next.restarts += 1;
        next.held[process] = 0;
        next.highest[process] = 0;
        if let Some(agent) = process.checked_sub(AGENTS.start) {
            // A restarted agent has an empty gate and new links, so no earlier start reaches it.
            next.gates[agent] = Gate::default();
            next.sent.retain(|sent| usize::from(sent.agent) != agent);
            next.at_agent.retain(|sent| usize::from(sent.agent) != agent);
        }
        steps.push(("a process restarts", next));
    }
}

fn request_steps(state: &State, mutation: Mutation, steps: &mut Vec<Step<State>>) {
    for entry in 0..2 {
        if state.requests < 2 && is_available(state.held[entry]) {
            for agent in 0..2 {
                let mut next = state.clone();
                let decided = state.held[entry];
                next.sent.push(SentStart { number: state.requests, agent, decided });
                next.sent.sort();
                next.requests += 1;
                steps.push(("an entry sends a request", next));
            }
        }
    }
    for (at, sent) in state.sent.iter().enumerate() {
        let mut next = state.clone();
        next.sent.remove(at);
        offer(&mut next, *sent, mutation);
        steps.push(("an agent receives a request", next));
    }
    for (at, sent) in state.at_agent.iter().enumerate() {
        let mut next = state.clone();
        next.at_agent.remove(at);
        retry_waiting(&mut next, *sent, mutation);
        steps.push(("an agent checks a waiting request again", next));
    }
}

fn key(sent: SentStart) -> AttemptKey {
    AttemptKey { request: u128::from(sent.number), number: 0 }
}

fn view(state: &State, sent: SentStart, mutation: Mutation) -> GateView {
    let revision = state.held[AGENTS.start + usize::from(sent.agent)];
    let available = mutation == Mutation::AgentDoesNotCheck || is_available(revision);
    let revision = if mutation == Mutation::AgentDoesNotWait { Revision::MAX } else { revision };
    GateView { revision, allowed: true, available, leaving: false }
}

fn offer(state: &mut State, sent: SentStart, mutation: Mutation) {
    let view = view(state, sent, mutation);
    let held = state.held[AGENTS.start + usize::from(sent.agent)];
    let gate = &mut state.gates[usize::from(sent.agent)];
    match gate.offer(key(sent), sent.decided, view) {
        GateDecision::Queue | GateDecision::Pull => {
            state.at_agent.push(sent);
            state.at_agent.sort();
        }
        GateDecision::Refuse(_) if held < sent.decided => {
            state.violation = Some("an agent refused by a configuration older than the decision");
        }
        _ => {}
    }
}

/// The agent checks a waiting start again: it has a newer revision or takes the start from its queue.
fn retry_waiting(state: &mut State, sent: SentStart, mutation: Mutation) {
    let gate = &state.gates[usize::from(sent.agent)];
    if gate.state(key(sent)) == Some(GateState::Behind) {
        offer(state, sent, mutation);
        return;
    }
    let mut view = view(state, sent, mutation);
    if mutation == Mutation::NoCheckAfterQueue {
        view.available = true;
    }
    let decision = state.gates[usize::from(sent.agent)].take(key(sent), view);
    if decision != GateDecision::Start {
        return;
    }
    let agent = state.held[AGENTS.start + usize::from(sent.agent)];
    // Both the newer of the two revisions and the one of the agent must have the version available.
    if !is_available(agent.max(sent.decided)) || !is_available(agent) {
        state.violation = Some("a withdrawn version got a new request");
    }
}

fn run(mutation: Mutation) -> Exploration {
    explore(&start(), |state| next(state, mutation), |state| state.violation)
}

#[test]
fn a_withdrawn_version_gets_no_request_and_no_process_goes_back() {
    assert_holds("config", &run(Mutation::None), 20_000);
}

#[test]
fn every_mutation_of_configuration_is_found() {
    for mutation in [
        Mutation::AgentDoesNotWait,
        Mutation::AgentDoesNotCheck,
        Mutation::NoCheckAfterQueue,
        Mutation::AcceptsOlderRevision,
    ] {
        assert_detected("config", &format!("{mutation:?}"), &run(mutation));
    }
}
