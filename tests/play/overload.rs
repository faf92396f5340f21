//! Sustained overload: what the largest model is asked, and what that leaves for the others.

use crate::{
    engine::Speed,
    mix::{Kind, arrivals, long_prompts},
    system::{Escalation, Memory, Outcome, Setup, play},
};

const SEEDS: [u64; 3] = [1, 2, 3];

/// Eight engines where twelve would be right, and three times the usual load for twelve seconds.
fn play_burst(escalation: Escalation, seed: u64) -> (Vec<Kind>, Outcome) {
    let kinds = long_prompts();
    let speeds = vec![Speed::slow(); 8];
    let setup = Setup { kinds: kinds.clone(), speeds, entries: 3, escalation, lost: None };
    let rate = |at: f64| if (8.0..20.0).contains(&at) { 3.0 } else { 1.0 };
    let all = arrivals(&kinds, setup.entries, 34.0, seed, rate);
    (kinds, play(&setup, &all, Memory::Kept))
}

fn part_in_time(outcome: &Outcome) -> f64 {
    let sum = |of: &[u32]| f64::from(of.iter().sum::<u32>());
    sum(&outcome.in_time) / sum(&outcome.asked)
}

#[test]
fn the_largest_model_is_asked_only_as_fast_as_it_can_answer() {
    for seed in SEEDS {
        let (_, by_mean) = play_burst(Escalation::MeanWait, seed);
        let (_, by_expected) = play_burst(Escalation::ExpectedWait, seed);

        println!("{:?} {by_mean:?}", part_in_time(&by_mean));
        println!("{:?} {by_expected:?}", part_in_time(&by_expected));
        assert!(by_expected.worth > by_mean.worth * 1.3);
        assert!(part_in_time(&by_expected) > 0.8);
    }
}
