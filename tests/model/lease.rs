//! Model of leases and fencing: two processes, one lease and a protected row.
//!
//! Processes may pause without noticing, replies may be lost and writes delayed. No two processes consider
//! themselves the holder of the lease at the same time, and no late write of an earlier holder takes effect
//! after a write of a later one.

use std::time::Duration;

use mintmoor::policy::lease::{Claimant, LeaseAction, LeaseRow, LeaseTiming, LeaseView};

use crate::explore::{Exploration, Step, assert_detected, assert_holds, explore};

const PROCESSES: usize = 2;
const LAST_TICK: u64 = 7;
const LAST_VERSION: u64 = 3;

/// Defect that is built into the protocol; the model has to find each of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    NoFencingCondition,
    ValidFromReply,
    TakesOverImmediately,
    NoMargin,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    view: LeaseView,
    version: u64,
    /// A renewal or takeover that was sent: the row, the expected version and the time of sending.
    lease_write: Option<(LeaseRow, Option<u64>, u64)>,
    /// The reply to a write that took effect: the row, its version and the time when the write was sent.
    reply: Option<(LeaseRow, u64, u64)>,
    /// A protected write that was sent: the version of the lease row and the fencing token that permitted it.
    protected_write: Option<(u64, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    row: Option<(LeaseRow, u64)>,
    last_version: u64,
    processes: [Process; PROCESSES],
    /// Fencing token of the last protected write that took effect.
    last_protected_fencing: u64,
    faults: u8,
    violation: Option<&'static str>,
}

fn timing(mutation: Mutation) -> LeaseTiming {
    let margin = if mutation == Mutation::NoMargin { 0 } else { 1 };
    LeaseTiming {
        duration: Duration::from_secs(3),
        margin: Duration::from_secs(margin),
        claims_absent_row: true,
    }
}

fn at(tick: u64) -> Duration {
    Duration::from_secs(tick)
}

fn name(i: usize) -> &'static str {
    ["a", "b"][i]
}

fn start() -> State {
    let process = Process {
        view: LeaseView::default(),
        version: 0,
        lease_write: None,
        reply: None,
        protected_write: None,
    };
    State {
        now: 0,
        row: None,
        last_version: 0,
        processes: [process.clone(), process],
        last_protected_fencing: 0,
        faults: 0,
        violation: None,
    }
}

fn next(state: &State, mutation: Mutation) -> Vec<Step<State>> {
    let mut steps = Vec::new();
    if state.now < LAST_TICK {
        let mut next = state.clone();
        next.now += 1;
        steps.push(("time passes", next));
    }
    for i in 0..PROCESSES {
        lease_steps(state, i, mutation, &mut steps);
        protected_write_steps(state, i, mutation, &mut steps);
    }
    for (_, next) in &mut steps {
        check_holders(next);
    }
    steps
}

/// Checks that at most one process considers itself the holder of the lease. The margin guarantees this even
/// if the clock of one process is one tick behind.
fn check_holders(state: &mut State) {
    let delayed = at(state.now.saturating_sub(1));
    let holds = |i: usize, now| state.processes[i].view.fencing_token(now).is_some();
    let both = holds(0, at(state.now)) && holds(1, delayed)
        || holds(1, at(state.now)) && holds(0, delayed);
    if both {
        state.violation = Some("two processes hold the lease");
    }
}

/// Reads and writes of the lease row; the reply to a write may be late or lost.
fn lease_steps(state: &State, i: usize, mutation: Mutation, steps: &mut Vec<Step<State>>) {
    if let Some((row, version, sent)) = state.processes[i].reply.clone() {
        let mut next = state.clone();
        let counted_from = if mutation == Mutation::ValidFromReply { state.now } else { sent };
        let process = &mut next.processes[i];
        process.reply = None;
        process.version = version;
        process.view.record_commit(row, version, at(counted_from), timing(mutation));
        steps.push(("the reply to a lease write arrives", next));
        return;
    }
    let Some((row, expected, sent)) = state.processes[i].lease_write.clone() else {
        let mut next = state.clone();
        let now = at(state.now);
        let view = &mut next.processes[i].view;
        view.observe(state.row.clone(), now);
        let claimant = Claimant { holder: name(i), min_fencing: 1, store_now_ms: 0 };
        let mut plan = view.plan(claimant, now, timing(mutation));
        if mutation == Mutation::TakesOverImmediately {
            plan = view.plan(claimant, now + at(100), timing(mutation));
        }
        if let LeaseAction::Write { row, expected } = plan
            && state.last_version < LAST_VERSION
        {
            next.processes[i].lease_write = Some((row, expected, state.now));
        }
        steps.push(("a process reads the lease", next));
        return;
    };
    let mut next = state.clone();
    next.processes[i].lease_write = None;
    if state.row.as_ref().map(|(_, version)| *version) != expected {
        next.processes[i].view.record_conflict();
        steps.push(("a lease write fails its condition", next));
        return;
    }
    next.last_version += 1;
    next.row = Some((row.clone(), next.last_version));
    if state.faults == 0 {
        let mut lost = next.clone();
        lost.faults += 1;
        steps.push(("the reply to a lease write is lost", lost));
    }
    next.processes[i].reply = Some((row, next.last_version, sent));
    steps.push(("a lease write takes effect", next));
}

/// Protected writes, which take effect at any time after they were permitted.
fn protected_write_steps(
    state: &State,
    i: usize,
    mutation: Mutation,
    steps: &mut Vec<Step<State>>,
) {
    let process = &state.processes[i];
    let Some((version, fencing)) = process.protected_write else {
        if let Some(fencing) = process.view.fencing_token(at(state.now)) {
            let mut next = state.clone();
            next.processes[i].protected_write = Some((process.version, fencing));
            steps.push(("a holder sends a protected write", next));
        }
        return;
    };
    let mut next = state.clone();
    next.processes[i].protected_write = None;
    let still_held = state.row.as_ref().is_some_and(|(_, v)| *v == version);
    if still_held || mutation == Mutation::NoFencingCondition {
        if fencing < state.last_protected_fencing {
            next.violation = Some("an earlier holder's write came after a later holder's");
        }
        next.last_protected_fencing = fencing;
    }
    steps.push(("a protected write arrives", next));
}

fn run(mutation: Mutation) -> Exploration {
    explore(&start(), |state| next(state, mutation), |state| state.violation)
}

#[test]
fn a_lease_has_one_holder_and_late_writes_fail() {
    assert_holds("lease", &run(Mutation::None), 20_000);
}

#[test]
fn every_mutation_of_leases_is_found() {
    for mutation in [
        Mutation::NoFencingCondition,
        Mutation::ValidFromReply,
        Mutation::TakesOverImmediately,
        Mutation::NoMargin,
    ] {
        assert_detected("lease", &format!("{mutation:?}"), &run(mutation));
    }
}
