//! Breadth-first exploration of a model's states, with `pathfinding`.

use std::{fmt::Debug, hash::Hash};

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// The name of a step and the state that it leads to.
pub type Step<S> = (&'static str, S);

/// Result of an exploration.
#[derive(Debug)]
pub struct Exploration {
    /// Number of states reached.
    pub states: usize,
    /// The violated property and the shortest sequence of steps to the violation, if any.
    pub violation: Option<(&'static str, Vec<&'static str>)>,
}

/// Explores all states reachable from `start`, or until one violates a property.
pub fn explore<S: Clone + Eq + Hash + Debug>(
    start: &S,
    next: impl Fn(&S) -> Vec<Step<S>>,
    violation: impl Fn(&S) -> Option<&'static str>,
) -> Exploration {
    let successors = |state: &S| next(state).into_iter().map(|(_, state)| state);
    let mut states = 0;
    let all = bfs_reach(start.clone(), |state| successors(state).collect::<Vec<_>>());
    let is_violated = all.inspect(|_| states += 1).any(|state| violation(&state).is_some());
    let violation = is_violated.then(|| trace(start, &next, &violation));
    Exploration { states, violation }
}

/// The violated property and the shortest sequence of steps to a violation.
fn trace<S: Clone + Eq + Hash + Debug>(
    start: &S,
    next: &impl Fn(&S) -> Vec<Step<S>>,
    violation: &impl Fn(&S) -> Option<&'static str>,
) -> (&'static str, Vec<&'static str>) {
    let successors = |state: &S| next(state).into_iter().map(|(_, state)| state);
    let path = bfs(start, |s| successors(s).collect::<Vec<_>>(), |s| violation(s).is_some());
    let path = path.expect("a violating state was reached");
    let names = path.windows(2).map(|pair| {
        let step = next(&pair[0]).into_iter().find(|(_, state)| *state == pair[1]);
        step.map_or("?", |(name, _)| name)
    });
    let reason = path.last().and_then(violation).unwrap_or("?");
    (reason, names.collect())
}

/// Asserts that a model has no violation and at least this many states, and prints their number.
pub fn assert_holds(model: &str, result: &Exploration, at_least: usize) {
    println!("model {model}: {} states", result.states);
    assert!(result.violation.is_none(), "{model}: {:?}", result.violation);
    assert!(result.states >= at_least, "{model} explores only {} states", result.states);
}

/// Asserts that a mutation causes a violation, and prints the shortest sequence of steps to it.
pub fn assert_detected(model: &str, mutation: &str, result: &Exploration) {
    let Some((reason, trace)) = &result.violation else {
        panic!("{model}: mutation {mutation} was not detected in {} states", result.states);
    };
    println!("model {model}, mutation {mutation}: {reason} after {}", trace.join(", "));
}
