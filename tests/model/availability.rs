//! Model of a server that drains, pauses and restarts, and of its row in the store, which expires
//! and returns.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use mintmoor::policy::{
    announcements::Announcements,
    availability::{Availability, Signals, decide},
};

use crate::explore::{Exploration, Step, assert_detected, assert_holds, explore};

const TICK: Duration = Duration::from_secs(1);
/// Ticks for which a draining server continues to serve; for half of them it is a last resort.
const DRAIN: u32 = 2;
const MAX_TICKS: u32 = 5;
const MAX_ANSWERS: u8 = 3;
const MAX_EXPIRIES: u8 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    StateLostWithRow,
    ShorterPauseWins,
    IncarnationIgnored,
    DrainingEnds,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Notice {
    Draining,
    Pause(u32),
}

/// Notices that an entry received from one incarnation, and when.
type Received = Vec<(Notice, u32)>;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct State {
    now: u32,
    incarnation: u8,
    /// Answers in transit, with the incarnation that sent them.
    in_transit: BTreeSet<(u8, Notice)>,
    /// Whether the row of the current incarnation is present.
    is_listed: bool,
    /// Notices that the entry remembers, by incarnation.
    remembered: BTreeMap<u8, Received>,
    /// All notices that it has ever received.
    received: BTreeMap<u8, Received>,
    answers: u8,
    expiries: u8,
}

fn start() -> State {
    State { is_listed: true, ..State::default() }
}

/// The production state that results from the remembered notices of the current incarnation.
fn announced(state: &State, mutation: Mutation) -> Announcements {
    let mut announced = Announcements::default();
    let applies_to = |incarnation: u8| {
        incarnation == state.incarnation || mutation == Mutation::IncarnationIgnored
    };
    let remembered = state.remembered.iter().filter(|(incarnation, _)| applies_to(**incarnation));
    for (notice, at) in remembered.flat_map(|(_, received)| received) {
        match notice {
            Notice::Draining if mutation == Mutation::DrainingEnds => {}
            Notice::Draining => {
                announced.record_draining(*at * TICK);
            }
            Notice::Pause(ticks) => {
                if mutation == Mutation::ShorterPauseWins {
                    announced = Announcements::default();
                }
                announced.record_pause(*ticks * TICK, *at * TICK);
            }
        }
    }
    announced
}

/// Whether the entry would send a request to the server now.
fn would_send(state: &State, mutation: Mutation) -> bool {
    let announced = announced(state, mutation);
    let signals = Signals { announced, drain: DRAIN * TICK, ..Signals::default() };
    !matches!(decide(&signals, state.now * TICK), Availability::Closed { .. })
}

fn violation(state: &State, mutation: Mutation) -> Option<&'static str> {
    if !state.is_listed {
        return None;
    }
    let received = state.received.get(&state.incarnation).map_or(&[][..], Vec::as_slice);
    let is_closed_by = |(notice, at): &(Notice, u32)| match notice {
        Notice::Draining => state.now >= at + DRAIN / 2,
        Notice::Pause(ticks) => state.now < at + ticks,
    };
    match (received.iter().any(is_closed_by), would_send(state, mutation)) {
        (true, true) => Some("a request is sent to a server that drains or pauses"),
        (false, false) => Some("a server is excluded that neither drains nor pauses"),
        _ => None,
    }
}

fn next(state: &State, mutation: Mutation) -> Vec<Step<State>> {
    let mut steps = Vec::new();
    if state.now < MAX_TICKS {
        steps.push(("time passes", State { now: state.now + 1, ..state.clone() }));
    }
    for notice in [Notice::Draining, Notice::Pause(1), Notice::Pause(3)] {
        let mut answered = state.clone();
        if state.answers < MAX_ANSWERS && answered.in_transit.insert((state.incarnation, notice)) {
            answered.answers += 1;
            steps.push(("the server answers", answered));
        }
    }
    for (incarnation, notice) in &state.in_transit {
        let mut delivered = state.clone();
        delivered.in_transit.remove(&(*incarnation, *notice));
        for of in [&mut delivered.remembered, &mut delivered.received] {
            of.entry(*incarnation).or_default().push((*notice, state.now));
        }
        steps.push(("an answer arrives", delivered));
    }
    if state.is_listed && state.expiries < MAX_EXPIRIES {
        let mut expired = state.clone();
        (expired.is_listed, expired.expiries) = (false, state.expiries + 1);
        if mutation == Mutation::StateLostWithRow {
            expired.remembered.clear();
        }
        steps.push(("the row expires", expired));
    }
    if !state.is_listed {
        steps.push(("the row returns", State { is_listed: true, ..state.clone() }));
    }
    if state.incarnation == 0 {
        steps.push((
            "the server restarts",
            State { incarnation: 1, is_listed: true, ..state.clone() },
        ));
    }
    steps
}

fn run(mutation: Mutation) -> Exploration {
    explore(&start(), |state| next(state, mutation), |state| violation(state, mutation))
}

#[test]
fn a_draining_or_paused_incarnation_gets_nothing_and_others_are_used() {
    assert_holds("availability", &run(Mutation::None), 1_000);
}

#[test]
fn every_mutation_of_availability_is_detected() {
    for mutation in [
        Mutation::StateLostWithRow,
        Mutation::ShorterPauseWins,
        Mutation::IncarnationIgnored,
        Mutation::DrainingEnds,
    ] {
        assert_detected("availability", &format!("{mutation:?}"), &run(mutation));
    }
}
