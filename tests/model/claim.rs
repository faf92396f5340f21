//! Model of claims and attempts: two entries, one idempotency key, two agents.
//!
//! The network may lose, delay, duplicate and reorder frames; entries may crash, links break, replies of the
//! store get lost, and agents refuse. The request runs at most once, and if a caller is told that it has not
//! run, it has not.

use mintmoor::policy::{
    attempt::{
        AttemptEvent, AttemptKey, AttemptState, RequestOutcome, advance, initial_state, may_retry,
        request_outcome,
    },
    claim::{Claim, ClaimState, ClaimStep, InsertReply, SavedAnswer, next_step},
    gate::{Gate, GateDecision, GateView, RefuseReason},
};

use crate::explore::{Exploration, Step, assert_detected, assert_holds, explore};

const ENTRIES: usize = 2;
const AGENTS: usize = 2;
const MAX_ATTEMPTS: usize = 2;
const HELD_UNTIL: u64 = 10;

/// Defect that is built into the protocol; the model has to find each of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    RefusalForgotten,
    SendBeforeClaim,
    RetryAfterUnknown,
    TakeOverAbandoned,
    NotRunAfterLinkLoss,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Frame {
    Start { entry: u8, number: u8 },
    Cancel { entry: u8, number: u8 },
    Refused { entry: u8, number: u8 },
    Ended { entry: u8, number: u8 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    /// The insert has been sent to the store, to replace a row of this version if there is one.
    Inserting(Option<u64>),
    ReadingBack,
    Sending,
    CallerAnswer(CallerAnswer),
    Crashed,
}

/// What the entry has told its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum CallerAnswer {
    Answer,
    NotRun,
    Unknown,
    Other,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    phase: Phase,
    attempts: Vec<AttemptState>,
    cancelled: bool,
    claim_finished: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    row: Option<(Claim, u64)>,
    last_version: u64,
    now: u64,
    entries: [Entry; ENTRIES],
    gates: [Gate; AGENTS],
    frames: Vec<Frame>,
    /// Number of times that the request of each entry has run.
    runs: [u8; ENTRIES],
    faults: u8,
}

fn claim_of(entry: usize) -> Claim {
    Claim::new(entry as u128 + 1, entry as u128 + 1, 7, HELD_UNTIL)
}

fn start() -> State {
    let entry =
        Entry { phase: Phase::Idle, attempts: Vec::new(), cancelled: false, claim_finished: false };
    State {
        row: None,
        last_version: 0,
        now: 0,
        entries: [entry.clone(), entry],
        gates: Default::default(),
        frames: Vec::new(),
        runs: [0; ENTRIES],
        faults: 0,
    }
}

fn key(entry: u8, number: u8) -> AttemptKey {
    AttemptKey { request: u128::from(entry) + 1, number: u32::from(number) }
}

fn push(state: &mut State, frame: Frame) {
    state.frames.push(frame);
    state.frames.sort();
}

/// Maximum number of faults in one run. With two, the model has 688,610 states and holds as well.
const MAX_FAULTS: u8 = 1;

/// State after a fault, unless the maximum number of faults has been reached.
fn with_fault(state: &State, change: impl FnOnce(&mut State)) -> Option<State> {
    if state.faults >= MAX_FAULTS {
        return None;
    }
    let mut next = state.clone();
    next.faults += 1;
    change(&mut next);
    Some(next)
}

fn next(state: &State, mutation: Mutation) -> Vec<Step<State>> {
    let mut steps = Vec::new();
    for entry in 0..ENTRIES {
        entry_steps(state, entry, mutation, &mut steps);
    }
    frame_steps(state, mutation, &mut steps);
    if state.now == 0 {
        let mut next = state.clone();
        next.now = HELD_UNTIL;
        steps.push(("held claims expire", next));
    }
    steps
}

fn entry_steps(state: &State, i: usize, mutation: Mutation, steps: &mut Vec<Step<State>>) {
    match &state.entries[i].phase {
        Phase::Idle => {
            let mut next = state.clone();
            next.entries[i].phase = Phase::Inserting(None);
            steps.push(("a caller sends the request", next));
        }
        Phase::Inserting(expected) => insert_steps(state, i, *expected, mutation, steps),
        Phase::ReadingBack => {
            let mut next = state.clone();
            let reply = match &state.row {
                Some((claim, version)) => InsertReply::Found(claim.clone(), *version),
                None => InsertReply::Absent,
            };
            apply_reply(&mut next, i, reply, mutation);
            steps.push(("the entry reads back", next));
            let unreadable =
                with_fault(state, |next| apply_reply(next, i, InsertReply::Unreadable, mutation));
            steps.extend(unreadable.map(|next| ("the row can't be read back", next)));
        }
        Phase::Sending => sending_steps(state, i, mutation, steps),
        Phase::CallerAnswer(answer) => finish_claim_step(state, i, *answer, steps),
        Phase::Crashed => {}
    }
    if !matches!(state.entries[i].phase, Phase::Crashed | Phase::Idle | Phase::CallerAnswer(_)) {
        steps.extend(
            with_fault(state, |next| next.entries[i].phase = Phase::Crashed)
                .map(|next| ("an entry crashes", next)),
        );
    }
}

fn insert_steps(
    state: &State,
    i: usize,
    expected: Option<u64>,
    mutation: Mutation,
    steps: &mut Vec<Step<State>>,
) {
    let mut written = state.clone();
    let found = written.row.as_ref().map(|(_, version)| *version);
    let reply = if found == expected {
        written.last_version += 1;
        written.row = Some((claim_of(i), written.last_version));
        InsertReply::Inserted
    } else {
        let (claim, version) = written.row.clone().unwrap();
        InsertReply::Found(claim, version)
    };
    let mut answered = written.clone();
    apply_reply(&mut answered, i, reply, mutation);
    steps.push(("the store answers the insert", answered));
    let lost = with_fault(&written, |next| apply_reply(next, i, InsertReply::Lost, mutation));
    steps.extend(lost.map(|next| ("the store's reply is lost", next)));
    let unsent = with_fault(state, |next| apply_reply(next, i, InsertReply::Lost, mutation));
    steps.extend(unsent.map(|next| ("the insert is lost", next)));
    let refused = with_fault(state, |next| apply_reply(next, i, InsertReply::Refused, mutation));
    steps.extend(refused.map(|next| ("the store refuses", next)));
}

fn apply_reply(state: &mut State, i: usize, reply: InsertReply, mutation: Mutation) {
    if mutation == Mutation::SendBeforeClaim && reply == InsertReply::Lost {
        state.entries[i].phase = Phase::Sending;
        return;
    }
    let mut step = next_step(&claim_of(i), reply, state.now);
    if mutation == Mutation::TakeOverAbandoned && step == ClaimStep::OutcomeUnknown {
        step = ClaimStep::TakeOver(state.row.as_ref().unwrap().1);
    }
    state.entries[i].phase = match step {
        ClaimStep::Send => Phase::Sending,
        ClaimStep::ReadBack => Phase::ReadingBack,
        ClaimStep::Insert => Phase::Inserting(None),
        ClaimStep::TakeOver(version) => Phase::Inserting(Some(version)),
        ClaimStep::NotRun => Phase::CallerAnswer(CallerAnswer::NotRun),
        _ => Phase::CallerAnswer(CallerAnswer::Other),
    };
}

fn sending_steps(state: &State, i: usize, mutation: Mutation, steps: &mut Vec<Step<State>>) {
    let attempts = &state.entries[i].attempts;
    let is_pending =
        attempts.last().is_some_and(|s| *s == advance(initial_state(), AttemptEvent::Sent));
    let may_send = may_retry(attempts, mutation == Mutation::RetryAfterUnknown);
    if !is_pending && may_send && attempts.len() < MAX_ATTEMPTS {
        let mut next = state.clone();
        let number = attempts.len() as u8;
        next.entries[i].attempts.push(advance(initial_state(), AttemptEvent::Sent));
        push(&mut next, Frame::Start { entry: i as u8, number });
        steps.push(("the entry sends an attempt", next));
    }
    if is_pending {
        let number = attempts.len() as u8 - 1;
        if !state.entries[i].cancelled {
            let mut next = state.clone();
            next.entries[i].cancelled = true;
            push(&mut next, Frame::Cancel { entry: i as u8, number });
            steps.push(("the entry cancels", next));
        }
        let cut = with_fault(state, |next| {
            let event = match mutation {
                Mutation::NotRunAfterLinkLoss => AttemptEvent::Refused,
                _ => AttemptEvent::LinkLost,
            };
            record(next, i, number, event);
        });
        steps.extend(cut.map(|next| ("the entry's link breaks", next)));
    } else if !attempts.is_empty() {
        let mut next = state.clone();
        next.entries[i].phase = Phase::CallerAnswer(match request_outcome(attempts) {
            RequestOutcome::NotRun => CallerAnswer::NotRun,
            RequestOutcome::Done => CallerAnswer::Answer,
            RequestOutcome::Unknown => CallerAnswer::Unknown,
        });
        steps.push(("the entry responds to its caller", next));
    }
}

/// The entry stores the outcome of the claimed request in the claim.
fn finish_claim_step(state: &State, i: usize, answer: CallerAnswer, steps: &mut Vec<Step<State>>) {
    let entry = &state.entries[i];
    let Some((claim, _)) = state.row.as_ref().filter(|_| !entry.claim_finished) else {
        return;
    };
    if claim.request != claim_of(i).request || entry.attempts.is_empty() {
        return;
    }
    let mut next = state.clone();
    next.entries[i].claim_finished = true;
    next.last_version += 1;
    let claim_state = match answer {
        CallerAnswer::NotRun => ClaimState::NotRun,
        CallerAnswer::Answer => ClaimState::Done(SavedAnswer { status: 200, body: "x".into() }),
        _ => ClaimState::Unknown,
    };
    next.row = Some((Claim { state: claim_state, ..claim.clone() }, next.last_version));
    steps.push(("the entry finishes its claim", next));
}

fn frame_steps(state: &State, mutation: Mutation, steps: &mut Vec<Step<State>>) {
    for (at, frame) in state.frames.iter().enumerate() {
        if at > 0 && state.frames[at - 1] == *frame {
            continue;
        }
        let mut delivered = state.clone();
        delivered.frames.remove(at);
        steps.extend(
            with_fault(state, |next| {
                next.frames.remove(at);
            })
            .map(|next| ("a frame is lost", next)),
        );
        steps.extend(
            with_fault(state, |next| push(next, *frame))
                .map(|next| ("a frame is duplicated", next)),
        );
        deliver(delivered, *frame, mutation, steps);
    }
}

fn deliver(mut next: State, frame: Frame, mutation: Mutation, steps: &mut Vec<Step<State>>) {
    match frame {
        Frame::Start { entry, number } => {
            let mut leaving = next.clone();
            offer(&mut next, entry, number, false, mutation);
            steps.push(("an agent receives an attempt", next));
            offer(&mut leaving, entry, number, true, mutation);
            steps.push(("a leaving agent receives an attempt", leaving));
        }
        Frame::Cancel { entry, number } => {
            let gate = &mut next.gates[usize::from(number) % AGENTS];
            let decision = gate.refuse(key(entry, number), RefuseReason::Cancelled);
            answer_refusal(&mut next, entry, number, decision, mutation);
            steps.push(("an agent receives a cancellation", next));
        }
        Frame::Refused { entry, number } => {
            record(&mut next, usize::from(entry), number, AttemptEvent::Refused);
            steps.push(("the entry receives a refusal", next));
        }
        Frame::Ended { entry, number } => {
            record(&mut next, usize::from(entry), number, AttemptEvent::Ended);
            steps.push(("the entry receives the answer", next));
        }
    }
}

fn offer(state: &mut State, entry: u8, number: u8, leaving: bool, mutation: Mutation) {
    let view = GateView { revision: 1, allowed: true, available: true, leaving };
    let key = key(entry, number);
    let gate = &mut state.gates[usize::from(number) % AGENTS];
    let mut decision = gate.offer(key, 1, view);
    if decision == GateDecision::Queue {
        decision = gate.take(key, view);
    }
    if decision == GateDecision::Start {
        state.runs[usize::from(entry)] += 1;
        push(state, Frame::Ended { entry, number });
        return;
    }
    answer_refusal(state, entry, number, decision, mutation);
}

fn answer_refusal(
    state: &mut State,
    entry: u8,
    number: u8,
    decision: GateDecision,
    mutation: Mutation,
) {
    let GateDecision::Refuse(_) = decision else {
        return;
    };
    if mutation == Mutation::RefusalForgotten {
        state.gates[usize::from(number) % AGENTS] = Gate::default();
    }
    push(state, Frame::Refused { entry, number });
}

fn record(state: &mut State, entry: usize, number: u8, event: AttemptEvent) {
    if !matches!(state.entries[entry].phase, Phase::Sending) {
        return;
    }
    let attempt = &mut state.entries[entry].attempts[usize::from(number)];
    *attempt = advance(*attempt, event);
}

/// The invariant that a state violates, if any.
fn violated_invariant(state: &State) -> Option<&'static str> {
    if state.runs.iter().sum::<u8>() > 1 {
        return Some("the request ran twice");
    }
    let is_false_not_run = (0..ENTRIES).any(|i| {
        state.entries[i].phase == Phase::CallerAnswer(CallerAnswer::NotRun) && state.runs[i] > 0
    });
    is_false_not_run.then_some("a caller was told `not run` of a request that ran")
}

fn run(mutation: Mutation) -> Exploration {
    explore(&start(), |state| next(state, mutation), violated_invariant)
}

#[test]
fn a_claimed_request_runs_at_most_once() {
    assert_holds("claim", &run(Mutation::None), 50_000);
}

#[test]
fn every_mutation_of_claims_is_found() {
    for mutation in [
        Mutation::RefusalForgotten,
        Mutation::SendBeforeClaim,
        Mutation::RetryAfterUnknown,
        Mutation::TakeOverAbandoned,
        Mutation::NotRunAfterLinkLoss,
    ] {
        assert_detected("claim", &format!("{mutation:?}"), &run(mutation));
    }
}
