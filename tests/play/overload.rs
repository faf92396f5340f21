//! Sustained overload: what the largest model is asked, and what that leaves for the others.

use mintmoor::policy::placement::PlacementConfig;

use crate::{
    engine::Speed,
    mix::{arrivals, long_prompts},
    system::{Escalation, Memory, Outcome, Setup, flat_terms, play},
};

/// One seed tells little: near the edge of what the engines can do, parts in time of 0.70 to 0.86 follow
/// from the same charges.
const SEEDS: std::ops::Range<u64> = 1..9;

/// Eight engines where twelve would be right, and three times the usual load for twelve seconds.
fn play_burst(policy: &Policy, seed: u64) -> Outcome {
    let Policy { memory, escalation, terms } = *policy;
    let (kinds, speeds) = (long_prompts(), vec![Speed::slow(); 8]);
    let setup = Setup { kinds, speeds, entries: 3, zones: 3, escalation, terms, lost: None };
    let rate = |at: f64| if (8.0..20.0).contains(&at) { 3.0 } else { 1.0 };
    let all = arrivals(&setup.kinds, setup.entries, 34.0, seed, rate);
    play(&setup, &all, memory)
}

struct Policy {
    memory: Memory,
    escalation: Escalation,
    terms: PlacementConfig,
}

fn former() -> Policy {
    let (memory, escalation) = (Memory::HashOnly, Escalation::MeanWait);
    Policy { memory, escalation, terms: flat_terms() }
}

fn current() -> Policy {
    let (memory, escalation) = (Memory::Kept, Escalation::ExpectedWait);
    Policy { memory, escalation, terms: PlacementConfig::default() }
}

/// Mean part of the answers in time, and mean worth, over the seeds.
fn play_bursts(policy: &Policy) -> (f64, f64) {
    let outcomes: Vec<Outcome> = SEEDS.map(|seed| play_burst(policy, seed)).collect();
    let mean =
        |of: fn(&Outcome) -> f64| outcomes.iter().map(of).sum::<f64>() / outcomes.len() as f64;
    (mean(Outcome::part_in_time), mean(|outcome| outcome.worth))
}

#[test]
fn in_an_overload_most_answers_are_still_in_time() {
    let (in_time_before, worth_before) = play_bursts(&former());
    let (in_time, worth) = play_bursts(&current());

    println!("{in_time_before:.3} {worth_before:.0}, {in_time:.3} {worth:.0}");
    assert!(in_time > 0.8 && in_time > in_time_before * 3.0);
    assert!(worth > worth_before * 1.7);
}

#[test]
fn the_largest_model_is_asked_only_as_fast_as_it_can_answer() {
    let by_mean_wait = Policy { escalation: Escalation::MeanWait, ..current() };

    let (in_time_before, worth_before) = play_bursts(&by_mean_wait);
    let (in_time, worth) = play_bursts(&current());

    println!("mean wait {in_time_before:.3} {worth_before:.0}, {in_time:.3} {worth:.0}");
    assert!(in_time > in_time_before * 1.5);
    assert!(worth > worth_before * 1.3);
}
