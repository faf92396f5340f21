//! Requests that end servers: two entries that tell each other, and one row of the store.
//!
//! One such request comes to any entry at any time. News is on its way for any time, a link is lost with what
//! was on it, an entry is killed and starts again, the store is away. Once three ends are told to all and
//! kept, no entry ever sends the request again.

use std::{collections::BTreeSet, time::Duration};

use mintmoor::{
    policy::quarantine::{IncarnationHash, Note, Quarantine, QuarantineStatus},
    routing::Fingerprint,
};

use crate::explore::{Found, Step, assert_found, assert_holds, explore};

const GUILTY: Fingerprint = Fingerprint(1);
const ENTRIES: usize = 2;
/// Ends after which the model asks no more: three, three again after all were killed, and what crosses news.
const MOST_ENDS: IncarnationHash = 7;
const MOST_KILLS: u8 = 2;
const MOST_LINK_LOSSES: u8 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    CountsOwnOnly,
    NewLinkTellsNothing,
    NothingIsKept,
    SendsBeforeItIsInformed,
}

type Incarnations = BTreeSet<IncarnationHash>;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    /// Ends that it knows of.
    known: Incarnations,
    /// What it has not told the other one yet.
    untold: Incarnations,
    is_informed: bool,
    /// Whether it has been to the store since it learned something.
    has_kept: bool,
}

impl Entry {
    fn learn(&mut self, incarnations: &Incarnations) {
        let before = self.known.len();
        self.known.extend(incarnations);
        self.has_kept &= self.known.len() == before;
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    ends: IncarnationHash,
    entries: [Entry; ENTRIES],
    row: Incarnations,
    is_store_up: bool,
    kills: u8,
    link_losses: u8,
    /// Whether three ends were told to all and kept at some time.
    is_proved: bool,
    wrong: Option<&'static str>,
}

fn start() -> State {
    let entry = Entry {
        known: Incarnations::new(),
        untold: Incarnations::new(),
        is_informed: true,
        has_kept: true,
    };
    State {
        ends: 0,
        entries: [entry.clone(), entry],
        row: Incarnations::new(),
        is_store_up: true,
        kills: 0,
        link_losses: 0,
        is_proved: false,
        wrong: None,
    }
}

/// What production says of a request under which these lives ended, a second after one another.
fn is_refused(incarnations: &Incarnations) -> bool {
    let mut quarantine = Quarantine::default();
    for incarnation in incarnations {
        let note = Note::End {
            fingerprint: GUILTY,
            incarnation: *incarnation,
            at: Duration::from_secs(*incarnation),
        };
        quarantine.add(note, Duration::from_secs(*incarnation));
    }
    matches!(quarantine.status(&GUILTY, Duration::from_secs(60)), QuarantineStatus::Refused { .. })
}

/// Whether everything that can be told and kept has been, and three ends are known.
fn is_proved(state: &State) -> bool {
    let is_settled = |e: &Entry| e.untold.is_empty() && e.is_informed && e.has_kept;
    state.entries.iter().all(is_settled) && state.entries.iter().any(|e| is_refused(&e.known))
}

fn next(state: &State, mutation: Mutation) -> Vec<Step<State>> {
    let mut steps = Vec::new();
    if state.wrong.is_some() {
        return steps;
    }
    for i in 0..ENTRIES {
        ask(state, i, mutation, &mut steps);
        send_message(state, i, mutation, &mut steps);
        keep(state, i, mutation, &mut steps);
        kill(state, i, mutation, &mut steps);
    }
    if state.link_losses < MOST_LINK_LOSSES {
        let mut next = state.clone();
        next.link_losses += 1;
        for entry in &mut next.entries {
            // A new link begins with all that is known.
            let told = mutation != Mutation::NewLinkTellsNothing;
            entry.untold = if told { entry.known.clone() } else { Incarnations::new() };
        }
        steps.push(("the link is lost", next));
    }
    let mut next = state.clone();
    next.is_store_up = !state.is_store_up;
    steps.push(("the store goes or comes back", next));
    for (_, next) in &mut steps {
        next.is_proved |= is_proved(next);
    }
    steps
}

/// The request comes to an entry.
fn ask(state: &State, i: usize, mutation: Mutation, steps: &mut Vec<Step<State>>) {
    let entry = &state.entries[i];
    let waits = !entry.is_informed && mutation != Mutation::SendsBeforeItIsInformed;
    if waits || is_refused(&entry.known) || state.ends == MOST_ENDS {
        return;
    }
    let mut next = state.clone();
    if state.is_proved {
        next.wrong = Some("an entry sends what is known to end servers");
    }
    next.ends += 1;
    next.entries[i].learn(&Incarnations::from([state.ends + 1]));
    if mutation != Mutation::CountsOwnOnly {
        next.entries[i].untold.insert(next.ends);
    }
    steps.push(("the request ends a server", next));
}

/// What an entry has not told arrives at the other one.
fn send_message(state: &State, i: usize, mutation: Mutation, steps: &mut Vec<Step<State>>) {
    if state.entries[i].untold.is_empty() || mutation == Mutation::CountsOwnOnly {
        return;
    }
    let mut next = state.clone();
    let told = std::mem::take(&mut next.entries[i].untold);
    next.entries[1 - i].learn(&told);
    steps.push(("news arrives", next));
}

/// An entry that refuses the request puts what it knows into the row, and learns what is there.
fn keep(state: &State, i: usize, mutation: Mutation, steps: &mut Vec<Step<State>>) {
    let entry = &state.entries[i];
    if !state.is_store_up {
        return;
    }
    let mut next = state.clone();
    // What the store tells is news for the other one, too.
    next.entries[i].untold.extend(state.row.difference(&entry.known));
    next.entries[i].learn(&state.row);
    (next.entries[i].is_informed, next.entries[i].has_kept) = (true, true);
    if is_refused(&next.entries[i].known) && mutation != Mutation::NothingIsKept {
        next.row.extend(&next.entries[i].known);
    }
    let is_due = !entry.is_informed || (is_refused(&entry.known) && !entry.has_kept);
    if is_due {
        steps.push(("an entry reads and writes the row", next));
    }
}

/// An entry is killed and starts again.
fn kill(state: &State, i: usize, mutation: Mutation, steps: &mut Vec<Step<State>>) {
    if state.kills == MOST_KILLS {
        return;
    }
    let mut next = state.clone();
    next.kills += 1;
    next.entries[i] = Entry {
        known: Incarnations::new(),
        untold: Incarnations::new(),
        is_informed: false,
        has_kept: true,
    };
    // Both ends of the link are new.
    let told = mutation != Mutation::NewLinkTellsNothing;
    let other = &mut next.entries[1 - i];
    other.untold = if told { other.known.clone() } else { Incarnations::new() };
    steps.push(("an entry starts again", next));
}

fn run(mutation: Mutation) -> Found {
    explore(&start(), |state| next(state, mutation), |state| state.wrong)
}

#[test]
fn what_ends_servers_is_not_sent_once_it_is_told() {
    assert_holds("quarantine", &run(Mutation::None), 10_000);
}

#[test]
fn every_mutation_of_the_quarantine_is_found() {
    for mutation in [
        Mutation::CountsOwnOnly,
        Mutation::NewLinkTellsNothing,
        Mutation::NothingIsKept,
        Mutation::SendsBeforeItIsInformed,
    ] {
        assert_found("quarantine", &format!("{mutation:?}"), &run(mutation));
    }
}
