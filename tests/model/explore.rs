//! Breadth-first exploration with `pathfinding`.

use std::{fmt::Debug, hash::Hash};

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// A step's name and the state it leads to.
pub type Step<S> = (&'static str, S);

/// What was found.
#[derive(Debug)]
pub struct Found {
    /// States reached.
    pub states: usize,
    /// What broke and the shortest way there.
    pub broken: Option<(&'static str, Vec<&'static str>)>,
}

/// Explores states until one is broken, or to the end.
pub fn explore<S: Clone + Eq + Hash + Debug>(
    start: &S,
    next: impl Fn(&S) -> Vec<Step<S>>,
    broken: impl Fn(&S) -> Option<&'static str>,
) -> Found {
    let successors = |state: &S| next(state).into_iter().map(|(_, state)| state);
    let mut states = 0;
    let all = bfs_reach(start.clone(), |state| successors(state).collect::<Vec<_>>());
    let is_broken = all.inspect(|_| states += 1).any(|state| broken(&state).is_some());
    let broken = is_broken.then(|| trace(start, &next, &broken));
    Found { states, broken }
}

/// The shortest way to a broken state.
fn trace<S: Clone + Eq + Hash + Debug>(
    start: &S,
    next: &impl Fn(&S) -> Vec<Step<S>>,
    broken: &impl Fn(&S) -> Option<&'static str>,
) -> (&'static str, Vec<&'static str>) {
    let successors = |state: &S| next(state).into_iter().map(|(_, state)| state);
    let path = bfs(start, |s| successors(s).collect::<Vec<_>>(), |s| broken(s).is_some());
    let path = path.expect("a broken state was reached");
    let names = path.windows(2).map(|pair| {
        let step = next(&pair[0]).into_iter().find(|(_, state)| *state == pair[1]);
        step.map_or("?", |(name, _)| name)
    });
    let what = path.last().and_then(broken).unwrap_or("?");
    (what, names.collect())
}

/// Asserts that a model holds, and prints its size.
pub fn assert_holds(model: &str, found: &Found, at_least: usize) {
    println!("model {model}: {} states", found.states);
    assert!(found.broken.is_none(), "{model}: {:?}", found.broken);
    assert!(found.states >= at_least, "{model} explores only {} states", found.states);
}

/// Asserts that a mutation is found, and prints the shortest trace.
pub fn assert_found(model: &str, mutation: &str, found: &Found) {
    let Some((what, trace)) = &found.broken else {
        panic!("{model}: mutation {mutation} was not found in {} states", found.states);
    };
    println!("model {model}, mutation {mutation}: {what} after {}", trace.join(", "));
}
