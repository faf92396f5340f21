//! Model of a store that is restored from an older backup. The operator writes, one entry follows
//! the store, and a second one follows the first or reads the store itself, and restarts.
//!
//! In any order of steps, no running entry returns to an older configuration, an entry at the
//! store's newest version has the store's rows, and an entry that starts gets the configuration in
//! force at the entry that it follows.

use mintmoor::{
    ids::{Era, Revision, StoreVersion},
    policy::replication::{TablePosition, UpdateAction, UpdateHeader},
};

use crate::explore::{Exploration, Step, assert_detected, assert_holds, explore};

const MAX_CONFIGURATIONS: u8 = 3;
const MAX_OTHER_WRITES: u8 = 3;
const MAX_RESTORES: Era = 2;
const MAX_RESTARTS: u8 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// Only versions are compared.
    IgnoresEras,
    /// Changes are applied to rows of another era.
    MixesEras,
    /// A configuration that the store lost is not kept for other entries.
    DropsLostRows,
}

/// The values of the configuration and of another row, each with the revision of its last write.
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
    backup: Option<Store>,
    /// Newest configuration that the operator wrote.
    newest: u8,
    other_writes: u8,
    restarts: u8,
    /// The first one follows the store; the second one follows the store or the first one.
    entries: [Entry; 2],
    violation: Option<&'static str>,
}

fn start() -> State {
    let mut store = Store::default();
    store.write_configuration(1);
    store.write_other(1);
    let (backup, entries) = (None, [Entry::default(); 2]);
    State { store, backup, newest: 1, other_writes: 1, restarts: 0, entries, violation: None }
}

/// Applies an update as the feed of an entry does.
fn apply(entry: &mut Entry, rows: Rows, update: UpdateHeader, mutation: Mutation) {
    let mut position = entry.position;
    let mut header = update;
    if mutation == Mutation::IgnoresEras {
        header.version.era = 0;
        position.at = position.at.map(|at| StoreVersion { era: 0, ..at });
        position.era = position.era.map(|_| 0);
    }
    let mut action = position.action_for(&header);
    if mutation == Mutation::MixesEras && action == UpdateAction::Ignore && !update.is_whole {
        action = UpdateAction::Changes;
    }
    let before = entry.rows;
    match action {
        UpdateAction::Ignore => return,
        UpdateAction::ConfigurationOnly => {
            entry.in_force = entry.in_force.max(rows.configuration.0);
            return;
        }
        UpdateAction::Changes => {
            let known = entry.position.at.map_or(0, |at| at.revision);
            if rows.configuration.1 > known {
                entry.rows.configuration = rows.configuration;
            }
            if rows.other.1 > known {
                entry.rows.other = rows.other;
            }
        }
        UpdateAction::Whole | UpdateAction::Restored => {
            entry.rows = rows;
            entry.is_amended = false;
        }
    }
    if action == UpdateAction::Restored
        && before.configuration.0 > rows.configuration.0
        && mutation != Mutation::DropsLostRows
    {
        entry.rows.configuration.0 = before.configuration.0;
        entry.is_amended = true;
    }
    entry.position.advance(update.version);
    entry.in_force = entry.in_force.max(entry.rows.configuration.0);
}

fn next(state: &State, mutation: Mutation) -> Vec<Step<State>> {
    let mut steps = Vec::new();
    operator_steps(state, &mut steps);
    backup_steps(state, &mut steps);
    for i in 0..2 {
        let mut next = state.clone();
        read_store(&mut next.entries[i], &state.store, mutation);
        steps.push(("an entry reads the store", next));
    }
    let [first, second] = state.entries;
    if let Some(version) = first.position.at {
        let mut next = state.clone();
        let update = UpdateHeader { version, is_whole: true, is_amended: first.is_amended };
        apply(&mut next.entries[1], first.rows, update, mutation);
        let is_behind = next.entries[1].in_force < first.in_force;
        let is_newer = second.position.at.is_some_and(|at| at > version);
        if is_behind && !is_newer {
            next.violation = Some("an entry has an older configuration than the one it follows");
        }
        steps.push(("all rows arrive over a link", next));
    }
    if state.restarts < MAX_RESTARTS {
        let mut next = state.clone();
        next.restarts += 1;
        next.entries[1] = Entry::default();
        steps.push(("the second entry restarts", next));
    }
    steps.into_iter().map(|(name, next)| (name, checked(next))).collect()
}

/// Reads the changes since the entry's position, or all rows if the store does not have them.
fn read_store(entry: &mut Entry, store: &Store, mutation: Mutation) {
    let checks_era = mutation != Mutation::IgnoresEras && mutation != Mutation::MixesEras;
    let follows_on =
        |at: &StoreVersion| at.revision <= store.revision && (at.era == store.era || !checks_era);
    let is_whole = !entry.position.at.is_some_and(|at| follows_on(&at));
    if is_whole {
        entry.position.at = None;
    }
    let update = UpdateHeader { version: store.version(), is_whole, is_amended: false };
    apply(entry, store.rows, update, mutation);
}

fn operator_steps(state: &State, steps: &mut Vec<Step<State>>) {
    if state.newest < MAX_CONFIGURATIONS {
        let mut next = state.clone();
        next.newest += 1;
        next.store.write_configuration(next.newest);
        steps.push(("the operator writes a configuration", next));
    }
    if state.store.rows.configuration.0 < state.newest {
        let mut next = state.clone();
        next.store.write_configuration(next.newest);
        steps.push(("the operator writes the lost configuration again", next));
    }
    if state.other_writes < MAX_OTHER_WRITES {
        let mut next = state.clone();
        next.other_writes += 1;
        next.store.write_other(next.other_writes);
        steps.push(("another row is written", next));
    }
}

fn backup_steps(state: &State, steps: &mut Vec<Step<State>>) {
    if state.backup.is_none() {
        let mut next = state.clone();
        next.backup = Some(state.store);
        steps.push(("the store is backed up", next));
    }
    if let Some(backup) = state.backup.filter(|_| state.store.era < MAX_RESTORES) {
        let mut next = state.clone();
        next.store = Store { era: state.store.era + 1, ..backup };
        steps.push(("the store is restored from the backup", next));
    }
}

fn checked(mut state: State) -> State {
    let differs = |entry: &Entry| {
        entry.position.at == Some(state.store.version())
            && entry.rows.other != state.store.rows.other
    };
    if state.entries.iter().any(differs) {
        state.violation = Some("an entry at the store's newest version has different rows");
    }
    state
}

fn run(mutation: Mutation) -> Exploration {
    explore(&start(), |state| next(state, mutation), |state| state.violation)
}

#[test]
fn entries_keep_lost_configurations_and_follow_the_restored_store() {
    assert_holds("restore", &run(Mutation::None), 10_000);
}

#[test]
fn every_mutation_of_a_restored_store_is_detected() {
    for mutation in [Mutation::IgnoresEras, Mutation::MixesEras, Mutation::DropsLostRows] {
        assert_detected("restore", &format!("{mutation:?}"), &run(mutation));
    }
}
