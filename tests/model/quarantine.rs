//! Model of the quarantine: two entries that exchange notes, and one row of the store.
//!
//! A crashing request may arrive at either entry at any time. Notes are in transit for any length
//! of time, a link is lost with the notes on it, entries are killed and restarted, and the store is
//! unavailable at times. Once three ends are known to both entries and persisted, no entry may ever
//! send the request again.

use std::{collections::BTreeSet, time::Duration};

use mintmoor::{
    policy::quarantine::{IncarnationHash, Note, Quarantine, QuarantineStatus, Suspect},
    routing::Fingerprint,
};

use crate::explore::{Exploration, Step, assert_detected, assert_holds, explore};

const CRASHING: Suspect = Suspect::Request(Fingerprint(1));
const ENTRIES: usize = 2;
/// Number of ends after which the request no longer arrives: three, three more after all entries
/// were restarted, and one that occurs while notes are in transit.
const MAX_ENDS: IncarnationHash = 7;
const MAX_RESTARTS: u8 = 2;
const MAX_LINK_LOSSES: u8 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    SharesNoEnds,
    NewLinkSendsNothing,
    StoresNothing,
    ForwardsBeforeInformed,
}

type Incarnations = BTreeSet<IncarnationHash>;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    /// Known ends.
    known: Incarnations,
    /// Ends not yet sent to the other entry.
    unsent: Incarnations,
    is_informed: bool,
    /// Whether it has synchronized with the store since it last learned of an end.
    is_persisted: bool,
}

impl Entry {
    fn learn(&mut self, incarnations: &Incarnations) {
        let before = self.known.len();
        self.known.extend(incarnations);
        self.is_persisted &= self.known.len() == before;
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    ends: IncarnationHash,
    entries: [Entry; ENTRIES],
    row: Incarnations,
    is_store_up: bool,
    restarts: u8,
    link_losses: u8,
    /// Whether at some time three ends were known to all entries and persisted.
    is_known_everywhere: bool,
    violation: Option<&'static str>,
}

fn start() -> State {
    let entry = Entry {
        known: Incarnations::new(),
        unsent: Incarnations::new(),
        is_informed: true,
        is_persisted: true,
    };
    State {
        ends: 0,
        entries: [entry.clone(), entry],
        row: Incarnations::new(),
        is_store_up: true,
        restarts: 0,
        link_losses: 0,
        is_known_everywhere: false,
        violation: None,
    }
}

/// Whether the production code refuses a request for these ends, each a second after the other.
fn is_refused(incarnations: &Incarnations) -> bool {
    let mut quarantine = Quarantine::default();
    for incarnation in incarnations {
        let note = Note::End {
            suspect: CRASHING,
            incarnation: *incarnation,
            at: Duration::from_secs(*incarnation),
        };
        quarantine.add(note, Duration::from_secs(*incarnation));
    }
    matches!(
        quarantine.status(&CRASHING, Duration::from_secs(60)),
        QuarantineStatus::Refused { .. }
    )
}

/// Whether three ends are known and everything has been sent and persisted.
fn is_known_everywhere(state: &State) -> bool {
    let is_settled = |e: &Entry| e.unsent.is_empty() && e.is_informed && e.is_persisted;
    state.entries.iter().all(is_settled) && state.entries.iter().any(|e| is_refused(&e.known))
}

fn next(state: &State, mutation: Mutation) -> Vec<Step<State>> {
    let mut steps = Vec::new();
    if state.violation.is_some() {
        return steps;
    }
    for i in 0..ENTRIES {
        request(state, i, mutation, &mut steps);
        send_message(state, i, mutation, &mut steps);
        sync_with_store(state, i, mutation, &mut steps);
        restart(state, i, mutation, &mut steps);
    }
    if state.link_losses < MAX_LINK_LOSSES {
        let mut next = state.clone();
        next.link_losses += 1;
        for entry in &mut next.entries {
            // All known ends are sent over a new link.
            let sent = mutation != Mutation::NewLinkSendsNothing;
            entry.unsent = if sent { entry.known.clone() } else { Incarnations::new() };
        }
        steps.push(("the link is lost", next));
    }
    let mut next = state.clone();
    next.is_store_up = !state.is_store_up;
    steps.push(("the store becomes unavailable or available", next));
    for (_, next) in &mut steps {
        next.is_known_everywhere |= is_known_everywhere(next);
    }
    steps
}

/// The request arrives at an entry.
fn request(state: &State, i: usize, mutation: Mutation, steps: &mut Vec<Step<State>>) {
    let entry = &state.entries[i];
    let waits = !entry.is_informed && mutation != Mutation::ForwardsBeforeInformed;
    if waits || is_refused(&entry.known) || state.ends == MAX_ENDS {
        return;
    }
    let mut next = state.clone();
    if state.is_known_everywhere {
        next.violation = Some("an entry sends a request that is known to crash servers");
    }
    next.ends += 1;
    next.entries[i].learn(&Incarnations::from([state.ends + 1]));
    if mutation != Mutation::SharesNoEnds {
        next.entries[i].unsent.insert(next.ends);
    }
    steps.push(("the request ends a server", next));
}

/// An entry's unsent notes arrive at the other one.
fn send_message(state: &State, i: usize, mutation: Mutation, steps: &mut Vec<Step<State>>) {
    if state.entries[i].unsent.is_empty() || mutation == Mutation::SharesNoEnds {
        return;
    }
    let mut next = state.clone();
    let sent = std::mem::take(&mut next.entries[i].unsent);
    next.entries[1 - i].learn(&sent);
    steps.push(("notes arrive", next));
}

/// An entry reads the row of the store, and writes the ends that it knows if it refuses the
/// request.
fn sync_with_store(state: &State, i: usize, mutation: Mutation, steps: &mut Vec<Step<State>>) {
    let entry = &state.entries[i];
    if !state.is_store_up {
        return;
    }
    let mut next = state.clone();
    // Ends learned from the store are sent to the other entry as well.
    next.entries[i].unsent.extend(state.row.difference(&entry.known));
    next.entries[i].learn(&state.row);
    (next.entries[i].is_informed, next.entries[i].is_persisted) = (true, true);
    if is_refused(&next.entries[i].known) && mutation != Mutation::StoresNothing {
        next.row.extend(&next.entries[i].known);
    }
    let is_due = !entry.is_informed || (is_refused(&entry.known) && !entry.is_persisted);
    if is_due {
        steps.push(("an entry reads and writes the row", next));
    }
}

/// An entry is killed and restarted.
fn restart(state: &State, i: usize, mutation: Mutation, steps: &mut Vec<Step<State>>) {
    if state.restarts == MAX_RESTARTS {
        return;
    }
    let mut next = state.clone();
    next.restarts += 1;
    next.entries[i] = Entry {
        known: Incarnations::new(),
        unsent: Incarnations::new(),
        is_informed: false,
        is_persisted: true,
    };
    // The link is new for both entries.
    let sent = mutation != Mutation::NewLinkSendsNothing;
    let other = &mut next.entries[1 - i];
    other.unsent = if sent { other.known.clone() } else { Incarnations::new() };
    steps.push(("an entry restarts", next));
}

fn run(mutation: Mutation) -> Exploration {
    explore(&start(), |state| next(state, mutation), |state| state.violation)
}

#[test]
fn a_crashing_request_is_not_sent_once_every_entry_knows_it() {
    assert_holds("quarantine", &run(Mutation::None), 10_000);
}

#[test]
fn every_mutation_of_the_quarantine_is_detected() {
    for mutation in [
        Mutation::SharesNoEnds,
        Mutation::NewLinkSendsNothing,
        Mutation::StoresNothing,
        Mutation::ForwardsBeforeInformed,
    ] {
        assert_detected("quarantine", &format!("{mutation:?}"), &run(mutation));
    }
}
