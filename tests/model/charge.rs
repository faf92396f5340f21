//! Model of charging and settlement: one entry, one agent, two settlers, three requests.
//!
//! The entry and the agent may crash, replies of the stores may be lost, batches may arrive late, and the
//! lease may pass to the other settler at any time. Every delivered answer is eventually billed exactly once,
//! unless both the entry and the agent crash before its record is written.

use std::collections::{BTreeMap, BTreeSet};

use mintmoor::{
    ids::RequestId,
    policy::charge::{ChargeRecord, Delivery, merge, settle},
};

use crate::explore::{Exploration, Step, assert_detected, assert_holds, explore};

const REQUESTS: [RequestId; 3] = [1, 2, 3];
const SETTLERS: usize = 2;

/// Defect that is built into the protocol; the model has to find each of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    NoMerge,
    SettledIdsIgnored,
    NoCopy,
    NoFencing,
    DeleteBeforeTotals,
}

/// Writer and number of a batch; a repeated write uses the same name.
type BatchName = (&'static str, u8);
type Records = BTreeSet<RequestId>;

/// Progress of a settler in its current pass.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum SettlerState {
    Idle,
    /// Has read the window's row, the ids in it and the batches that are not settled yet.
    Read {
        row_version: u8,
        lease: u8,
        known: Records,
        batches: BTreeMap<BatchName, Records>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    entry_up: bool,
    agent_up: bool,
    /// Records in the entry's memory.
    buffer: Records,
    /// Copies of records at the agent.
    copies: Records,
    /// Batch that the entry is writing.
    pending: Option<(BatchName, Records)>,
    next_batch: u8,
    delivered: Records,
    batches: BTreeMap<BatchName, Records>,
    /// Version of the window's row.
    row_version: u8,
    /// Batches and ids that the row lists as settled.
    settled_batches: BTreeSet<BatchName>,
    settled_ids: Records,
    billed: BTreeMap<RequestId, u8>,
    /// Fencing token of the lease; its remainder is the index of the settler that holds it.
    lease: u8,
    settlers: [SettlerState; SETTLERS],
    lost_replies: u8,
}

fn start() -> State {
    State {
        entry_up: true,
        agent_up: true,
        buffer: BTreeSet::new(),
        copies: BTreeSet::new(),
        pending: None,
        next_batch: 0,
        delivered: BTreeSet::new(),
        batches: BTreeMap::new(),
        row_version: 0,
        settled_batches: BTreeSet::new(),
        settled_ids: BTreeSet::new(),
        billed: BTreeMap::new(),
        lease: 0,
        settlers: [SettlerState::Idle, SettlerState::Idle],
        lost_replies: 0,
    }
}

fn record(request: RequestId, delivery: Delivery) -> ChargeRecord {
    ChargeRecord { request, organisation: "p/o".into(), attempts: Vec::new(), delivery }
}

fn next(state: &State, mutation: Mutation) -> Vec<Step<State>> {
    let mut steps = Vec::new();
    if state.entry_up {
        entry_steps(state, mutation, &mut steps);
    }
    if state.agent_up {
        agent_steps(state, &mut steps);
    }
    for settler in 0..SETTLERS {
        settler_steps(state, settler, mutation, &mut steps);
    }
    if state.lease < 2 {
        let mut next = state.clone();
        next.lease += 1;
        steps.push(("the lease passes to the other settler", next));
    }
    steps
}

fn entry_steps(state: &State, mutation: Mutation, steps: &mut Vec<Step<State>>) {
    for request in REQUESTS.iter().filter(|r| !state.delivered.contains(*r)) {
        let mut next = state.clone();
        next.buffer.insert(*request);
        if state.agent_up && mutation != Mutation::NoCopy {
            next.copies.insert(*request);
        }
        next.delivered.insert(*request);
        steps.push(("an answer is charged and delivered", next));
    }
    if !state.buffer.is_empty() && state.pending.is_none() {
        let mut next = state.clone();
        let records = std::mem::take(&mut next.buffer);
        next.pending = Some((("entry", state.next_batch), records));
        next.next_batch += 1;
        steps.push(("the entry creates a batch", next));
    }
    if let Some((name, records)) = &state.pending {
        let mut written = state.clone();
        written.batches.insert(*name, records.clone());
        if state.lost_replies == 0 {
            let mut lost = written.clone();
            lost.lost_replies += 1;
            steps.push(("a batch is written and its reply lost", lost));
        }
        written.pending = None;
        for request in records {
            written.copies.remove(request);
        }
        steps.push(("a batch is written and confirmed", written));
    }
    let mut crashed = state.clone();
    crashed.entry_up = false;
    crashed.buffer.clear();
    crashed.pending = None;
    steps.push(("the entry crashes", crashed));
}

fn agent_steps(state: &State, steps: &mut Vec<Step<State>>) {
    if !state.entry_up && !state.copies.is_empty() {
        let mut next = state.clone();
        let records = std::mem::take(&mut next.copies);
        next.batches.insert(("agent", 0), records);
        steps.push(("the agent writes the records of a crashed entry", next));
    }
    let mut crashed = state.clone();
    crashed.agent_up = false;
    crashed.copies.clear();
    steps.push(("the agent crashes", crashed));
}

fn settler_steps(state: &State, settler: usize, mutation: Mutation, steps: &mut Vec<Step<State>>) {
    match &state.settlers[settler] {
        SettlerState::Idle => {
            let unsettled =
                state.batches.iter().filter(|(name, _)| !state.settled_batches.contains(*name));
            let batches: BTreeMap<BatchName, Records> =
                unsettled.map(|(name, records)| (*name, records.clone())).collect();
            delete_settled_batches(state, steps);
            let holds = usize::from(state.lease) % SETTLERS == settler;
            if batches.is_empty() || !holds {
                return;
            }
            let mut next = state.clone();
            let known = if mutation == Mutation::SettledIdsIgnored {
                BTreeSet::new()
            } else {
                state.settled_ids.clone()
            };
            if mutation == Mutation::DeleteBeforeTotals {
                next.batches.clear();
            }
            next.settlers[settler] = SettlerState::Read {
                row_version: state.row_version,
                lease: state.lease,
                known,
                batches,
            };
            steps.push(("a settler reads the window", next));
        }
        SettlerState::Read { row_version, lease, known, batches } => {
            let mut idle = state.clone();
            idle.settlers[settler] = SettlerState::Idle;
            steps.push(("a settler crashes", idle.clone()));
            let permitted = *lease == state.lease && *row_version == state.row_version;
            if !permitted && mutation != Mutation::NoFencing {
                steps.push(("a settler's transaction fails", idle));
                return;
            }
            let mut next = idle;
            add_to_totals(&mut next, known, batches, mutation);
            steps.push(("a settler adds a window", next));
        }
    }
}

/// Deletes settled batches that are still stored or were written again.
fn delete_settled_batches(state: &State, steps: &mut Vec<Step<State>>) {
    let mut next = state.clone();
    next.batches.retain(|name, _| !state.settled_batches.contains(name));
    if next != *state {
        steps.push(("a settled batch is deleted", next));
    }
}

fn add_to_totals(
    state: &mut State,
    known: &Records,
    batches: &BTreeMap<BatchName, Records>,
    mutation: Mutation,
) {
    let records: Vec<ChargeRecord> =
        batches.values().flatten().map(|id| record(*id, Delivery::Whole)).collect();
    if mutation == Mutation::NoMerge {
        for record in &records {
            *state.billed.entry(record.request).or_default() += 1;
        }
    } else {
        let (_, ids) = settle(&merge(records), known);
        for request in ids {
            *state.billed.entry(request).or_default() += 1;
            state.settled_ids.insert(request);
        }
    }
    state.row_version += 1;
    state.settled_batches.extend(batches.keys().copied());
}

/// Whether all records have been written and settled, so that no work is pending.
fn is_quiescent(state: &State) -> bool {
    let adopted = state.entry_up || state.copies.is_empty();
    let flushed = state.buffer.is_empty() && state.pending.is_none() && adopted;
    flushed
        && state.batches.is_empty()
        && state.settlers.iter().all(|settler| *settler == SettlerState::Idle)
}

/// The invariant that a state violates, if any.
fn violated_invariant(state: &State) -> Option<&'static str> {
    if state.billed.values().any(|count| *count > 1) {
        return Some("a request was billed twice");
    }
    let missing = state.delivered.iter().any(|request| !state.billed.contains_key(request));
    let both_died = !state.entry_up && !state.agent_up;
    (is_quiescent(state) && missing && !both_died).then_some("a delivered answer was never billed")
}

fn run(mutation: Mutation) -> Exploration {
    explore(&start(), |state| next(state, mutation), violated_invariant)
}

#[test]
fn a_delivered_answer_is_billed_once() {
    assert_holds("charge", &run(Mutation::None), 5_000);
}

#[test]
fn every_mutation_of_charges_is_found() {
    for mutation in [
        Mutation::NoMerge,
        Mutation::SettledIdsIgnored,
        Mutation::NoCopy,
        Mutation::NoFencing,
        Mutation::DeleteBeforeTotals,
    ] {
        assert_detected("charge", &format!("{mutation:?}"), &run(mutation));
    }
}
