//! Charge and settle: one entry, one agent, two settlers, three requests.
//!
//! The entry and the agent crash, replies of the stores are lost, batches come late, and the
//! lease passes between settlers in the middle of their work. Every delivered answer is billed
//! once in the end, unless entry and agent both died with it.

use std::collections::{BTreeMap, BTreeSet};

use mintmoor::{
    ids::RequestId,
    policy::charge::{ChargeRecord, Delivery, merge, settle},
};

use crate::explore::{Exploration, Step, assert_detected, assert_holds, explore};

const REQUESTS: [RequestId; 3] = [1, 2, 3];
const SETTLERS: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    NoMerge,
    IdsForgotten,
    NoCopy,
    NoFencing,
    DeleteBeforeTotals,
}

/// Writer and number of a batch; a repeated write keeps both.
type Name = (&'static str, u8);
type Records = BTreeSet<RequestId>;

/// A settler's pass, step by step.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Pass {
    Idle,
    /// Has read the row, its ids and these batches.
    Read {
        row: u8,
        lease: u8,
        known: Records,
        batches: BTreeMap<Name, Records>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    entry_up: bool,
    agent_up: bool,
    /// Records in the entry's memory and copies at the agent.
    buffer: Records,
    copies: Records,
    /// The batch the entry is writing.
    pending: Option<(Name, Records)>,
    next_name: u8,
    delivered: Records,
    batches: BTreeMap<Name, Records>,
    /// Version of the window's row, its batches and the ids it names.
    row: u8,
    done: BTreeSet<Name>,
    ids: Records,
    billed: BTreeMap<RequestId, u8>,
    /// Settler that holds the lease, as a fencing number.
    lease: u8,
    passes: [Pass; SETTLERS],
    lost: u8,
}

fn start() -> State {
    State {
        entry_up: true,
        agent_up: true,
        buffer: BTreeSet::new(),
        copies: BTreeSet::new(),
        pending: None,
        next_name: 0,
        delivered: BTreeSet::new(),
        batches: BTreeMap::new(),
        row: 0,
        done: BTreeSet::new(),
        ids: BTreeSet::new(),
        billed: BTreeMap::new(),
        lease: 0,
        passes: [Pass::Idle, Pass::Idle],
        lost: 0,
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
        steps.push(("the lease passes on", next));
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
        next.pending = Some((("entry", state.next_name), records));
        next.next_name += 1;
        steps.push(("the entry names a batch", next));
    }
    if let Some((name, records)) = &state.pending {
        let mut written = state.clone();
        written.batches.insert(*name, records.clone());
        if state.lost == 0 {
            let mut lost = written.clone();
            lost.lost += 1;
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
        steps.push(("the agent rescues the entry's records", next));
    }
    let mut crashed = state.clone();
    crashed.agent_up = false;
    crashed.copies.clear();
    steps.push(("the agent crashes", crashed));
}

fn settler_steps(state: &State, settler: usize, mutation: Mutation, steps: &mut Vec<Step<State>>) {
    match &state.passes[settler] {
        Pass::Idle => {
            let fresh = state.batches.iter().filter(|(name, _)| !state.done.contains(*name));
            let batches: BTreeMap<Name, Records> =
                fresh.map(|(name, records)| (*name, records.clone())).collect();
            delete_done(state, steps);
            let holds = usize::from(state.lease) % SETTLERS == settler;
            if batches.is_empty() || !holds {
                return;
            }
            let mut next = state.clone();
            let known = if mutation == Mutation::IdsForgotten {
                BTreeSet::new()
            } else {
                state.ids.clone()
            };
            if mutation == Mutation::DeleteBeforeTotals {
                next.batches.clear();
            }
            next.passes[settler] =
                Pass::Read { row: state.row, lease: state.lease, known, batches };
            steps.push(("a settler reads the window", next));
        }
        Pass::Read { row, lease, known, batches } => {
            let mut gone = state.clone();
            gone.passes[settler] = Pass::Idle;
            steps.push(("a settler crashes", gone.clone()));
            let permitted = *lease == state.lease && *row == state.row;
            if !permitted && mutation != Mutation::NoFencing {
                steps.push(("a settler's transaction fails", gone));
                return;
            }
            let mut next = gone;
            add(&mut next, known, batches, mutation);
            steps.push(("a settler adds a window", next));
        }
    }
}

/// A settled batch that is still there, or was written again, is deleted.
fn delete_done(state: &State, steps: &mut Vec<Step<State>>) {
    let mut next = state.clone();
    next.batches.retain(|name, _| !state.done.contains(name));
    if next != *state {
        steps.push(("a settled batch is deleted", next));
    }
}

fn add(state: &mut State, known: &Records, batches: &BTreeMap<Name, Records>, mutation: Mutation) {
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
            state.ids.insert(request);
        }
    }
    state.row += 1;
    state.done.extend(batches.keys().copied());
}

/// Nothing more can happen by itself: everything written has been settled.
fn is_settled(state: &State) -> bool {
    let rescued = state.entry_up || state.copies.is_empty();
    let flushed = state.buffer.is_empty() && state.pending.is_none() && rescued;
    flushed && state.batches.is_empty() && state.passes.iter().all(|pass| *pass == Pass::Idle)
}

fn broken(state: &State) -> Option<&'static str> {
    if state.billed.values().any(|count| *count > 1) {
        return Some("a request was billed twice");
    }
    let missing = state.delivered.iter().any(|request| !state.billed.contains_key(request));
    let both_died = !state.entry_up && !state.agent_up;
    (is_settled(state) && missing && !both_died).then_some("a delivered answer was never billed")
}

fn run(mutation: Mutation) -> Exploration {
    explore(&start(), |state| next(state, mutation), broken)
}

#[test]
fn a_delivered_answer_is_billed_once() {
    assert_holds("charge", &run(Mutation::None), 5_000);
}

#[test]
fn every_mutation_of_charges_is_found() {
    for mutation in [
        Mutation::NoMerge,
        Mutation::IdsForgotten,
        Mutation::NoCopy,
        Mutation::NoFencing,
        Mutation::DeleteBeforeTotals,
    ] {
        assert_detected("charge", &format!("{mutation:?}"), &run(mutation));
    }
}
