//! Breadth-first exploration with `pathfinding`.

use std::{fmt::Debug, hash::Hash};

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// A step's name and the state it leads to.
pub type Step<S> = (&'static str, S);

/// What was found.
#[derive(Debug)]
pub struct Exploration {
    /// States reached.
    pub states: usize,
    /// What broke and the shortest way there.
    pub violation: Option<(&'static str, Vec<&'static str>)>,
}

/// Explores states until one is broken, or to the end.
pub fn explore<S: Clone + Eq + Hash + Debug>(
    start: &S,
    next: impl Fn(&S) -> Vec<Step<S>>,
    violation: impl Fn(&S) -> Option<&'static str>,
) -> Exploration {
    let successors = |state: &S| next(state).into_iter().map(|(_, state)| state);
    let mut states = 0;
    let all = bfs_reach(start.clone(), |state| successors(state).collect::<Vec<_>>());
    let is_broken = all.inspect(|_| states += 1).any(|state| violation(&state).is_some());
    let violation = is_broken.then(|| trace(start, &next, &violation));
    Exploration { states, violation }
}

/// The shortest way to a broken state.
fn trace<S: Clone + Eq + Hash + Debug>(
    start: &S,
    next: &impl Fn(&S) -> Vec<Step<S>>,
    violation: &impl Fn(&S) -> Option<&'static str>,
) -> (&'static str, Vec<&'static str>) {
    let successors = |state: &S| next(state).into_iter().map(|(_, state)| state);
    let path = bfs(start, |s| successors(s).collect::<Vec<_>>(), |s| violation(s).is_some());
    let path = path.expect("a broken state was reached");
    let names = path.windows(2).map(|pair| {
        let step = next(&pair[0]).into_iter().find(|(_, state)| *state == pair[1]);
        step.map_or("?", |(name, _)| name)
    });
    let reason = path.last().and_then(violation).unwrap_or("?");
    (reason, names.collect())
}

/// Asserts that a model holds, and prints its size.
pub fn assert_holds(model: &str, result: &Exploration, at_least: usize) {
    println!("model {model}: {} states", result.states);
    assert!(result.violation.is_none(), "{model}: {:?}", result.violation);
    assert!(result.states >= at_least, "{model} explores only {} states", result.states);
}

/// Asserts that a mutation is found, and prints the shortest trace.
pub fn assert_detected(model: &str, mutation: &str, result: &Exploration) {
    let Some((reason, trace)) = &result.violation else {
        panic!("{model}: mutation {mutation} was not found in {} states", result.states);
    };
    println!("model {model}, mutation {mutation}: {reason} after {}", trace.join(", "));
}
