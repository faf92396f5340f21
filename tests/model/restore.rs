//! A store that comes back from an older copy: the operator writes, one entry follows the store and another one
//! follows that entry or reads the store itself, and starts again.
//!
//! Whatever the order, no life of an entry goes back to an older configuration, an entry that is at the store's
//! newest version has the store's rows, and one that starts has what the entry that it follows has in force.

use mintmoor::{
    ids::{Era, Revision, StoreVersion},
    policy::replication::{TablePosition, UpdateAction, UpdateHeader},
};

use crate::explore::{Found, Step, assert_found, assert_holds, explore};

const MOST_CONFIGURATIONS: u8 = 3;
const MOST_OTHERS: u8 = 3;
const MOST_RESTORES: Era = 2;
const MOST_STARTS: u8 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// Versions alone are compared.
    ForgetsEras,
    /// Changes are taken in though they follow on rows of another era.
    MixesEras,
    /// What the store lost is not kept for others.
    KeepsNothing,
}

/// The configuration and another row, and when each was written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Rows {
    configuration: (u8, Revision),
    other: (u8, Revision),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Store {
    era: Era,
    revision: Revision,
    rows: Rows,
}

impl Store {
    fn version(&self) -> StoreVersion {
        StoreVersion { era: self.era, revision: self.revision }
    }

    fn write_configuration(&mut self, configuration: u8) {
        self.revision += 1;
        self.rows.configuration = (configuration, self.revision);
    }

    fn write_other(&mut self, other: u8) {
        self.revision += 1;
        self.rows.other = (other, self.revision);
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Entry {
    position: TablePosition,
    rows: Rows,
    in_force: u8,
    is_amended: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    store: Store,
    copy: Option<Store>,
    /// Newest configuration that the operator wrote.
    newest: u8,
    others: u8,
    starts: u8,
    /// The first follows the store; the second one follows the first, too.
    entries: [Entry; 2],
    wrong: Option<&'static str>,
}

fn start() -> State {
    let mut store = Store::default();
    store.write_configuration(1);
    store.write_other(1);
    let (copy, entries) = (None, [Entry::default(); 2]);
    State { store, copy, newest: 1, others: 1, starts: 0, entries, wrong: None }
}

/// Takes in rows that are shown, as an entry's feed does.
fn take(entry: &mut Entry, shown: Rows, offer: UpdateHeader, mutation: Mutation) {
    let mut position = entry.position;
    let mut seen = offer;
    if mutation == Mutation::ForgetsEras {
        seen.version.era = 0;
        position.at = position.at.map(|at| StoreVersion { era: 0, ..at });
        position.era = position.era.map(|_| 0);
    }
    let mut taking = position.action_for(&seen);
    if mutation == Mutation::MixesEras && taking == UpdateAction::Ignore && !offer.is_whole {
        taking = UpdateAction::Changes;
    }
    let before = entry.rows;
    match taking {
        UpdateAction::Ignore => return,
        UpdateAction::ConfigurationOnly => {
            entry.in_force = entry.in_force.max(shown.configuration.0);
            return;
        }
        UpdateAction::Changes => {
            let known = entry.position.at.map_or(0, |at| at.revision);
            if shown.configuration.1 > known {
                entry.rows.configuration = shown.configuration;
            }
            if shown.other.1 > known {
                entry.rows.other = shown.other;
            }
        }
        UpdateAction::Whole | UpdateAction::Restored => {
            entry.rows = shown;
            entry.is_amended = false;
        }
    }
    if taking == UpdateAction::Restored
        && before.configuration.0 > shown.configuration.0
        && mutation != Mutation::KeepsNothing
    {
        entry.rows.configuration.0 = before.configuration.0;
        entry.is_amended = true;
    }
    entry.position.advance(offer.version);
    entry.in_force = entry.in_force.max(entry.rows.configuration.0);
}

fn next(state: &State, mutation: Mutation) -> Vec<Step<State>> {
    let mut steps = Vec::new();
    operator_steps(state, &mut steps);
    copy_steps(state, &mut steps);
    for i in 0..2 {
        let mut next = state.clone();
        read_store(&mut next.entries[i], &state.store, mutation);
        steps.push(("an entry asks the store", next));
    }
    let [first, second] = state.entries;
    if let Some(version) = first.position.at {
        let mut next = state.clone();
        let offer = UpdateHeader { version, is_whole: true, is_amended: first.is_amended };
        take(&mut next.entries[1], first.rows, offer, mutation);
        let is_behind = next.entries[1].in_force < first.in_force;
        let is_newer = second.position.at.is_some_and(|at| at > version);
        if is_behind && !is_newer {
            next.wrong = Some("an entry has an older configuration than the one it follows");
        }
        steps.push(("a link brings all rows", next));
    }
    if state.starts < MOST_STARTS {
        let mut next = state.clone();
        next.starts += 1;
        next.entries[1] = Entry::default();
        steps.push(("the second entry starts again", next));
    }
    steps.into_iter().map(|(name, next)| (name, judged(next))).collect()
}

/// Asks for changes, or for all rows where the store has no changes since.
fn read_store(entry: &mut Entry, store: &Store, mutation: Mutation) {
    let checks_era = mutation != Mutation::ForgetsEras && mutation != Mutation::MixesEras;
    let follows_on =
        |at: &StoreVersion| at.revision <= store.revision && (at.era == store.era || !checks_era);
    let is_whole = !entry.position.at.is_some_and(|at| follows_on(&at));
    if is_whole {
        entry.position.at = None;
    }
    let offer = UpdateHeader { version: store.version(), is_whole, is_amended: false };
    take(entry, store.rows, offer, mutation);
}

fn operator_steps(state: &State, steps: &mut Vec<Step<State>>) {
    if state.newest < MOST_CONFIGURATIONS {
        let mut next = state.clone();
        next.newest += 1;
        next.store.write_configuration(next.newest);
        steps.push(("the operator writes a configuration", next));
    }
    if state.store.rows.configuration.0 < state.newest {
        let mut next = state.clone();
        next.store.write_configuration(next.newest);
        steps.push(("the operator writes again what was lost", next));
    }
    if state.others < MOST_OTHERS {
        let mut next = state.clone();
        next.others += 1;
        next.store.write_other(next.others);
        steps.push(("another row is written", next));
    }
}

fn copy_steps(state: &State, steps: &mut Vec<Step<State>>) {
    if state.copy.is_none() {
        let mut next = state.clone();
        next.copy = Some(state.store);
        steps.push(("the store is copied", next));
    }
    if let Some(copy) = state.copy.filter(|_| state.store.era < MOST_RESTORES) {
        let mut next = state.clone();
        next.store = Store { era: state.store.era + 1, ..copy };
        steps.push(("the store comes back from the copy", next));
    }
}

fn judged(mut state: State) -> State {
    let is_wrong = |entry: &Entry| {
        entry.position.at == Some(state.store.version())
            && entry.rows.other != state.store.rows.other
    };
    if state.entries.iter().any(is_wrong) {
        state.wrong = Some("an entry that follows the store has rows that it has not");
    }
    state
}

fn run(mutation: Mutation) -> Found {
    explore(&start(), |state| next(state, mutation), |state| state.wrong)
}

#[test]
fn what_the_store_lost_stays_and_what_it_has_is_followed() {
    assert_holds("restore", &run(Mutation::None), 10_000);
}

#[test]
fn every_mutation_of_a_restored_store_is_found() {
    for mutation in [Mutation::ForgetsEras, Mutation::MixesEras, Mutation::KeepsNothing] {
        assert_found("restore", &format!("{mutation:?}"), &run(mutation));
    }
}
