//! Model of a duty: two processes, the lease in a store that may be restored, and a platform that does not check
//! fencing tokens.
//!
//! Processes may pause between any two steps, replies may be lost, a write may take effect long after its sender gave
//! it up, and the store may be restored to an empty copy. The platform never receives a lower token after a higher
//! one, one token from two holders, calls of holders in the order A, B, A within the lease time, or two different
//! reports for one window.

use std::time::Duration;

use mintmoor::policy::lease::{Claimant, LeaseAction, LeaseRow, LeaseTiming, LeaseView};

use crate::explore::{Exploration, Step, assert_detected, assert_holds, explore};

const PROCESSES: usize = 2;
const LAST_TICK: u64 = 6;
const LAST_VERSION: u64 = 4;
/// Time within which calls of two holders must not alternate.
const LEASE_TICKS: u64 = 2;
const DURATION_TICKS: u64 = 3;
const MARGIN_TICKS: u64 = 2;
/// Maximum duration of a call, less than the margin.
const CALL_TICKS: u64 = 1;
/// The last tick of the only window.
const WINDOW_END: u64 = 2;
/// Replies lost, writes delayed and restores of the store, together. Two faults reach 960,000 states, too many for
/// each run of the tests.
const MAX_FAULTS: u8 = 1;

/// Defect that is built into the protocol; the model has to find each of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// A holder relies on its lease until others may claim it.
    NoMargin,
    /// A call may be on its way for longer than the margin.
    LongCalls,
    /// The next token is derived from the row alone.
    TokenFromRow,
    /// A row that does not exist is claimed at once.
    ClaimsAbsentRow,
    /// A lease counts on after the store was restored.
    KeepsLeaseAfterRestore,
    /// A holder sends its own counts instead of the stored report.
    CountsAgain,
    /// A holder of a restored store reports windows that may have been reported.
    ReportsAfterRestore,
}

/// The row of the lease: the lease, its version, the era in which it was written, and whether the window is still to
/// be reported.
type Row = (LeaseRow, u64, u64, bool);

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Store {
    era: u64,
    version: u64,
    row: Option<Row>,
    report: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Write {
    lease: LeaseRow,
    expected: Option<u64>,
    era: u64,
    sent: u64,
    is_open: bool,
    report: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Call {
    token: u64,
    window: usize,
    report: u64,
    until: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Process {
    view: LeaseView,
    era: u64,
    /// Whether the store's row is known.
    is_known: bool,
    row: Option<Row>,
    /// Whether the window is still to be reported, as far as this process may decide.
    is_open: bool,
    report: Option<u64>,
    write: Option<Write>,
    call: Option<Call>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Platform {
    token: u64,
    /// The last holder and the one before it, with the times of their last calls.
    holders: [Option<(usize, u64)>; 2],
    /// Reports received for the window and for a later one.
    reports: [Option<u64>; 2],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct State {
    now: u64,
    store: Store,
    processes: [Process; PROCESSES],
    /// A write that was given up and may still take effect.
    late: Option<Write>,
    platform: Platform,
    faults: u8,
    violation: Option<&'static str>,
}

fn timing(mutation: Mutation) -> LeaseTiming {
    let margin = if mutation == Mutation::NoMargin { 0 } else { MARGIN_TICKS };
    LeaseTiming {
        duration: at(DURATION_TICKS),
        margin: at(margin),
        claims_absent_row: mutation == Mutation::ClaimsAbsentRow,
    }
}

fn at(tick: u64) -> Duration {
    Duration::from_secs(tick)
}

fn name(i: usize) -> &'static str {
    ["a", "b"][i]
}

fn next(state: &State, mutation: Mutation) -> Vec<Step<State>> {
    let mut steps = Vec::new();
    if state.now < LAST_TICK {
        let mut next = state.clone();
        next.now += 1;
        for process in &mut next.processes {
            // The connection of a call is reset at its time limit.
            process.call.take_if(|call| call.until < next.now);
        }
        steps.push(("time passes", next));
    }
    if state.store.era == 0 && state.store.row.is_some() && state.faults < MAX_FAULTS {
        let mut next = state.clone();
        next.faults += 1;
        next.store = Store { era: 1, ..Store::default() };
        steps.push(("the store is restored", next));
    }
    if let Some(write) = &state.late {
        let mut next = state.clone();
        next.late = None;
        apply_write(&mut next.store, write);
        steps.push(("a late write arrives", next));
    }
    for i in 0..PROCESSES {
        match state.processes[i].write.clone() {
            Some(write) => write_steps(state, i, &write, mutation, &mut steps),
            None => lease_steps(state, i, mutation, &mut steps),
        }
        call_steps(state, i, mutation, &mut steps);
    }
    steps
}

/// Reads the row, and plans a write if one is due.
fn lease_steps(state: &State, i: usize, mutation: Mutation, steps: &mut Vec<Step<State>>) {
    if state.store.version >= LAST_VERSION {
        return;
    }
    let mut next = state.clone();
    let (store, process) = (&next.store, &mut next.processes[i]);
    if store.era > process.era && mutation != Mutation::KeepsLeaseAfterRestore {
        process.view.forget();
        process.report = None;
    }
    process.era = store.era;
    process.row.clone_from(&store.row);
    process.is_known = true;
    let row = store.row.as_ref().map(|(lease, version, ..)| (lease.clone(), *version));
    process.view.observe(row, at(state.now));
    if let Some(row) = &process.row
        && process.view.is_own(&row.0, name(i))
    {
        process.is_open = row.3;
        process.report = store.report;
    }
    let floor = (store.era << 8) | (store.version + 1);
    let min_fencing = if mutation == Mutation::TokenFromRow { 1 } else { floor };
    let claimant = Claimant { holder: name(i), min_fencing, store_now_ms: 0 };
    if let LeaseAction::Write { row, expected } =
        process.view.plan(claimant, at(state.now), timing(mutation))
    {
        if row.renewals == 0 {
            process.is_open = match &process.row {
                Some((_, _, era, is_open)) if *era == process.era => *is_open,
                _ => state.now <= WINDOW_END || mutation == Mutation::ReportsAfterRestore,
            };
            process.report = None;
        }
        let (era, is_open) = (process.era, process.is_open);
        let write = Write { lease: row, expected, era, sent: state.now, is_open, report: None };
        process.write = Some(write);
    }
    steps.push(("a process checks the lease", next));
    report_step(state, i, mutation, steps);
}

/// Stores the report of the window together with a renewal.
fn report_step(state: &State, i: usize, mutation: Mutation, steps: &mut Vec<Step<State>>) {
    let process = &state.processes[i];
    let holds = process.view.fencing_token(at(state.now)).is_some();
    let is_due = process.is_open && process.report.is_none() && state.now > WINDOW_END;
    let Some((lease, version, ..)) = process.row.clone() else {
        return;
    };
    if !(holds && is_due && process.is_known) {
        return;
    }
    let mut next = state.clone();
    let counts = i as u64;
    let lease = LeaseRow { renewals: lease.renewals + 1, ..lease };
    let write = Write {
        lease,
        expected: Some(version),
        era: process.era,
        sent: state.now,
        is_open: mutation == Mutation::CountsAgain,
        report: Some(counts),
    };
    next.processes[i].write = Some(write);
    steps.push(("a holder stores its report", next));
}

/// Applies a write if its condition holds; returns the new version.
fn apply_write(store: &mut Store, write: &Write) -> Option<u64> {
    if store.row.as_ref().map(|row| row.1) != write.expected {
        return None;
    }
    store.version += 1;
    store.row = Some((write.lease.clone(), store.version, write.era, write.is_open));
    store.report = write.report.or(store.report);
    Some(store.version)
}

/// A write takes effect or fails; its reply may be lost, or it may be delayed.
fn write_steps(
    state: &State,
    i: usize,
    write: &Write,
    mutation: Mutation,
    steps: &mut Vec<Step<State>>,
) {
    if state.faults < MAX_FAULTS && state.late.is_none() {
        let mut next = state.clone();
        next.faults += 1;
        (next.processes[i].write, next.late) = (None, Some(write.clone()));
        (next.processes[i].is_known, next.processes[i].report) = (false, None);
        steps.push(("a write is delayed", next));
    }
    let mut next = state.clone();
    next.processes[i].write = None;
    let version = apply_write(&mut next.store, write);
    if version.is_some() && state.faults < MAX_FAULTS {
        let mut lost = next.clone();
        lost.faults += 1;
        (lost.processes[i].is_known, lost.processes[i].report) = (false, None);
        steps.push(("the reply to a write is lost", lost));
    }
    let (store, process) = (&next.store, &mut next.processes[i]);
    match version {
        Some(version) if store.era == write.era => {
            let lease = write.lease.clone();
            process.view.record_commit(lease, version, at(write.sent), timing(mutation));
            process.row.clone_from(&store.row);
            process.is_open = write.is_open;
            process.report = if mutation == Mutation::CountsAgain {
                Some(i as u64).filter(|_| state.now > WINDOW_END)
            } else {
                store.report
            };
        }
        Some(_) if mutation != Mutation::KeepsLeaseAfterRestore => {
            process.view.forget();
            (process.is_known, process.report) = (false, None);
        }
        _ => {
            process.view.record_conflict();
            (process.is_known, process.report) = (false, None);
        }
    }
    steps.push(("a write arrives", next));
}

/// A holder sends the report, and the platform receives it before the call's time limit.
fn call_steps(state: &State, i: usize, mutation: Mutation, steps: &mut Vec<Step<State>>) {
    let process = &state.processes[i];
    if let Some(call) = &process.call {
        let mut next = state.clone();
        next.processes[i].call = None;
        next.violation = receive(&mut next.platform, i, call, state.now);
        steps.push(("the platform receives a report", next));
        return;
    }
    let token = process.view.fencing_token(at(state.now));
    // After a restore, holders go on with a later window.
    let later = (process.era > 0).then_some((1, 0));
    let Some((token, (window, report))) = token.zip(process.report.map(|r| (0, r)).or(later))
    else {
        return;
    };
    let mut next = state.clone();
    let limit = if mutation == Mutation::LongCalls { 2 * MARGIN_TICKS } else { CALL_TICKS };
    next.processes[i].call = Some(Call { token, window, report, until: state.now + limit });
    steps.push(("a holder sends its report", next));
}

/// Checks what the platform's page forbids.
fn receive(platform: &mut Platform, i: usize, call: &Call, now: u64) -> Option<&'static str> {
    if call.token < platform.token {
        return Some("a lower token came after a higher one");
    }
    if platform.reports[call.window].is_some_and(|report| report != call.report) {
        return Some("two reports for one window differ");
    }
    let [last, before] = platform.holders;
    if last.is_some_and(|(holder, _)| holder != i) {
        if call.token == platform.token {
            return Some("two holders sent the same token");
        }
        if before.is_some_and(|(holder, at)| holder == i && now < at + LEASE_TICKS) {
            return Some("holders alternated within the lease time");
        }
        platform.holders[1] = last;
    }
    platform.holders[0] = Some((i, now));
    platform.token = call.token;
    platform.reports[call.window] = Some(call.report);
    None
}

/// A store in which an earlier holder left the window to be reported, as both processes have seen.
fn start() -> State {
    let lease = LeaseRow {
        holder: "earlier".into(),
        fencing: 1,
        renewals: 0,
        claimed_ms: 0,
        is_released: false,
    };
    let mut process = Process::default();
    process.view.observe(Some((lease.clone(), 1)), at(0));
    let store = Store { version: 1, row: Some((lease, 1, 0, true)), ..Store::default() };
    State { now: 2, store, processes: [process.clone(), process], ..State::default() }
}

fn run(mutation: Mutation) -> Exploration {
    explore(&start(), |state| next(state, mutation), |state| state.violation)
}

#[test]
fn a_duty_has_one_holder_and_one_report_for_a_window() {
    assert_holds("duty", &run(Mutation::None), 20_000);
}

#[test]
fn every_mutation_of_a_duty_is_found() {
    let mutations = [
        Mutation::NoMargin,
        Mutation::LongCalls,
        Mutation::TokenFromRow,
        Mutation::ClaimsAbsentRow,
        Mutation::KeepsLeaseAfterRestore,
        Mutation::CountsAgain,
        Mutation::ReportsAfterRestore,
    ];
    std::thread::scope(|scope| {
        for mutation in mutations {
            scope.spawn(move || {
                assert_detected("duty", &format!("{mutation:?}"), &run(mutation));
            });
        }
    });
}
