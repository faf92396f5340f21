//! Model of a server that advertises a rate limit, and of two entries that learn the limit from its
//! answers and from each other.

use std::{collections::BTreeSet, time::Duration};

use mintmoor::policy::{
    known_limit::{KnownLimit, LimitReport},
    place::Place,
    rate_limit::{AdvertisedLimit, allowance},
};

use crate::explore::{Exploration, Step, assert_detected, assert_holds, explore};

const ENTRIES: usize = 2;
const MAX_LIMIT_CHANGES: u8 = 3;
const MAX_RESTARTS: u8 = 1;
const MAX_LINK_LOSSES: u8 = 1;
/// Rate limits that the server may advertise.
const RATES: [u8; 2] = [1, 3];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    ShareNotDivided,
    EndNotShared,
    OlderReportWins,
    IncarnationIgnored,
}

/// The known limit of one incarnation, or a report on it: the incarnation, the number of changes
/// and the rate.
type Report = (u8, u32, Option<u8>);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    /// The known limit of each incarnation.
    known: BTreeSet<Report>,
    /// Reports in transit to the other entry.
    unsent: BTreeSet<Report>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    entries: [Entry; ENTRIES],
    /// The limit that the server advertises.
    advertised: Option<u8>,
    incarnation: u8,
    /// Limits that this incarnation has advertised so far.
    ever_advertised: BTreeSet<u8>,
    limit_changes: u8,
    restarts: u8,
    link_losses: u8,
    violation: Option<&'static str>,
}

fn start() -> State {
    let entry = Entry { known: BTreeSet::new(), unsent: BTreeSet::new() };
    State {
        entries: [entry.clone(), entry],
        advertised: None,
        incarnation: 0,
        ever_advertised: BTreeSet::new(),
        limit_changes: 0,
        restarts: 0,
        link_losses: 0,
        violation: None,
    }
}

/// The production state for one incarnation.
fn known_limit(entry: &Entry, incarnation: u8, mutation: Mutation) -> KnownLimit {
    let mut known_limit = KnownLimit::default();
    let applies_to = |of: u8| of == incarnation || mutation == Mutation::IncarnationIgnored;
    for (of, change, rate) in &entry.known {
        if applies_to(*of) {
            let report = LimitReport { changes: *change, repeats: 0, rate: rate.map(f64::from) };
            known_limit.merge(report, Duration::ZERO);
        }
    }
    known_limit
}

fn report_of(incarnation: u8, report: LimitReport) -> Report {
    (incarnation, report.changes, report.rate.map(|rate| rate as u8))
}

/// Replaces the known limit of an incarnation.
fn put(entry: &mut Entry, report: Report) {
    entry.known.retain(|(incarnation, ..)| *incarnation != report.0);
    entry.known.insert(report);
}

/// An answer arrives at an entry.
fn answer(state: &mut State, i: usize, mutation: Mutation) {
    let answer = state
        .advertised
        .map_or(AdvertisedLimit::Nothing, |rate| AdvertisedLimit::Rate(f64::from(rate)));
    let mut known_limit = known_limit(&state.entries[i], state.incarnation, mutation);
    let change = known_limit.record_answer(answer, Duration::ZERO, Duration::ZERO);
    let (Some(_), Some(latest)) = (change, known_limit.report()) else {
        return;
    };
    let report = report_of(state.incarnation, latest);
    put(&mut state.entries[i], report);
    if mutation != Mutation::EndNotShared || latest.rate.is_some() {
        state.entries[i].unsent.insert(report);
    }
}

/// A report arrives at an entry.
fn receive(entry: &mut Entry, (incarnation, change, rate): Report, mutation: Mutation) {
    let report = LimitReport { changes: change, repeats: 0, rate: rate.map(f64::from) };
    let mut known = known_limit(entry, incarnation, Mutation::None);
    let is_new = known.merge(report, Duration::ZERO).is_some();
    if is_new || mutation == Mutation::OlderReportWins {
        put(entry, (incarnation, change, rate));
    }
}

/// All reports arrive.
fn deliver_all(state: &mut State, mutation: Mutation) {
    for i in 0..ENTRIES {
        for report in std::mem::take(&mut state.entries[i].unsent) {
            receive(&mut state.entries[1 - i], report, mutation);
        }
    }
}

fn rates(state: &State, mutation: Mutation) -> [Option<u8>; ENTRIES] {
    let rate =
        |entry| known_limit(entry, state.incarnation, mutation).rate().map(|rate| rate as u8);
    [rate(&state.entries[0]), rate(&state.entries[1])]
}

/// Requests per second that all entries together may send under a limit.
fn total_rate(rate: u8, mutation: Mutation) -> f64 {
    let share = |rank: u32| {
        let place = match mutation {
            Mutation::ShareNotDivided => Place::ALONE,
            _ => Place { rank, entries: ENTRIES as u32 },
        };
        let allowance = allowance(f64::from(rate), place, 7);
        allowance.map_or(0.0, |a| f64::from(a.sends) / a.window.as_secs_f64())
    };
    (0..ENTRIES as u32).map(share).sum()
}

/// The property that a state violates, if any.
fn find_violation(state: &State, mutation: Mutation) -> Option<&'static str> {
    let rates = rates(state, mutation);
    if rates.iter().flatten().any(|rate| !state.ever_advertised.contains(rate)) {
        return Some("an entry has a limit that this incarnation never advertised");
    }
    if rates[0] == rates[1]
        && rates[0].is_some_and(|rate| total_rate(rate, mutation) > f64::from(rate))
    {
        return Some("the entries together exceed the server's rate");
    }
    for i in 0..ENTRIES {
        let mut after = state.clone();
        deliver_all(&mut after, mutation);
        answer(&mut after, i, mutation);
        deliver_all(&mut after, mutation);
        if self::rates(&after, mutation) != [state.advertised; ENTRIES] {
            return Some("the entries do not agree with the server after an answer");
        }
    }
    None
}

fn next(state: &State, mutation: Mutation) -> Vec<Step<State>> {
    let mut steps = Vec::new();
    if state.violation.is_some() {
        return steps;
    }
    for i in 0..ENTRIES {
        let mut answered = state.clone();
        answer(&mut answered, i, mutation);
        steps.push(("an answer arrives", answered));
        for report in &state.entries[i].unsent {
            let mut delivered = state.clone();
            delivered.entries[i].unsent.remove(report);
            receive(&mut delivered.entries[1 - i], *report, mutation);
            steps.push(("a report arrives", delivered));
        }
        if state.restarts < MAX_RESTARTS {
            let mut restarted = state.clone();
            restarted.restarts += 1;
            restarted.entries[i] = start().entries[i].clone();
            // All known limits are sent over the new link.
            restarted.entries[1 - i].unsent = restarted.entries[1 - i].known.clone();
            steps.push(("an entry restarts", restarted));
        }
    }
    if state.link_losses < MAX_LINK_LOSSES {
        let mut lost = state.clone();
        lost.link_losses += 1;
        lost.entries.iter_mut().for_each(|entry| entry.unsent = entry.known.clone());
        steps.push(("the link is lost", lost));
    }
    change_limit(state, &mut steps);
    for (_, next) in &mut steps {
        next.violation = find_violation(next, mutation);
    }
    steps
}

/// The server advertises another limit or none, or restarts.
fn change_limit(state: &State, steps: &mut Vec<Step<State>>) {
    if state.limit_changes == MAX_LIMIT_CHANGES {
        return;
    }
    let others = RATES.iter().copied().map(Some).chain([None]);
    for advertised in others.filter(|advertised| *advertised != state.advertised) {
        let mut changed = state.clone();
        (changed.limit_changes, changed.advertised) = (state.limit_changes + 1, advertised);
        changed.ever_advertised.extend(advertised);
        steps.push(("the server advertises another limit", changed));
    }
    if state.incarnation == 0 {
        let mut restarted = state.clone();
        (restarted.limit_changes, restarted.advertised, restarted.incarnation) =
            (state.limit_changes + 1, None, 1);
        restarted.ever_advertised.clear();
        steps.push(("the server restarts", restarted));
    }
}

fn run(mutation: Mutation) -> Exploration {
    explore(&start(), |state| next(state, mutation), |state| state.violation)
}

#[test]
fn entries_agree_on_a_limit_and_keep_to_it() {
    assert_holds("rate limit", &run(Mutation::None), 1_000);
}

#[test]
fn every_mutation_of_the_rate_limit_is_detected() {
    for mutation in [
        Mutation::ShareNotDivided,
        Mutation::EndNotShared,
        Mutation::OlderReportWins,
        Mutation::IncarnationIgnored,
    ] {
        assert_detected("rate limit", &format!("{mutation:?}"), &run(mutation));
    }
}
