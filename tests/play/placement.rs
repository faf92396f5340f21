//! Compares placement by reported caches with placement by a hash of the shared prompt prefixes alone.

use mintmoor::policy::placement::PlacementConfig;

use crate::{
    engine::EngineProfile,
    simulator::{
        CacheKnowledge, EscalationRule, Outcome, Scenario, flat_placement_costs, simulate,
    },
    workload::{RequestClass, arrivals, long_prompt_workload, unshared_workload},
};

const SEEDS: [u64; 3] = [1, 2, 3];
const SECONDS: f64 = 30.0;

fn scenario(classes: Vec<RequestClass>, engine_profiles: Vec<EngineProfile>) -> Scenario {
    let (escalation, placement) = (EscalationRule::MeanWait, PlacementConfig::default());
    Scenario {
        classes,
        engine_profiles,
        entries: 3,
        zones: 3,
        escalation,
        placement,
        reports_speeds: false,
        engine_loss: None,
    }
}

/// Returns the value and the number of reread tokens, summed over the seeds.
fn simulate_seeds(scenario: &Scenario, cache_knowledge: CacheKnowledge, rate: f64) -> (f64, u64) {
    let simulate_seed = |seed: &u64| {
        let all = arrivals(&scenario.classes, scenario.entries, SECONDS, *seed, |_| rate);
        simulate(scenario, &all, cache_knowledge)
    };
    let sum = |(value, reread): (f64, u64), outcome: Outcome| {
        (value + outcome.value, reread + outcome.reread_tokens)
    };
    SEEDS.iter().map(simulate_seed).fold((0.0, 0), sum)
}

/// Returns the results of the previous placement, by hash alone with flat costs, and of the current one.
fn compare(scenario: &Scenario, rate: f64) -> [(f64, u64); 2] {
    let previous = Scenario { placement: flat_placement_costs(), ..scenario.clone() };
    [
        simulate_seeds(&previous, CacheKnowledge::HashOnly, rate),
        simulate_seeds(scenario, CacheKnowledge::Reported, rate),
    ]
}

#[test]
fn placing_by_reported_caches_halves_rereads_and_raises_the_value() {
    let flat = Scenario {
        placement: flat_placement_costs(),
        ..scenario(long_prompt_workload(), vec![EngineProfile::slow(); 12])
    };

    let [hash_only, reported] = [CacheKnowledge::HashOnly, CacheKnowledge::Reported]
        .map(|cache_knowledge| simulate_seeds(&flat, cache_knowledge, 1.8));

    println!("{hash_only:?} {reported:?}");
    assert!(reported.1 * 2 < hash_only.1, "{hash_only:?} {reported:?}");
    assert!(reported.0 > hash_only.0 * 1.05, "{hash_only:?} {reported:?}");
}

#[test]
fn placing_by_reported_caches_costs_no_value_in_other_pools() {
    let fast = EngineProfile::slow().scaled(3.0);
    let slow = EngineProfile::slow().scaled(1.0 / 3.0);
    let mixed_speeds =
        (0..12).map(|i| EngineProfile::slow().scaled([0.5, 1.0, 2.0][i % 3])).collect();
    let cases = [
        ("three times faster", long_prompt_workload(), vec![fast; 12], 2.5),
        ("three times slower", long_prompt_workload(), vec![slow; 12], 0.3),
        ("nothing shared", unshared_workload(), vec![EngineProfile::slow(); 12], 1.0),
        ("one server", long_prompt_workload(), vec![EngineProfile::slow(); 1], 0.08),
        ("mixed speeds", long_prompt_workload(), mixed_speeds, 1.0),
    ];
    for (name, classes, engine_profiles, rate) in cases {
        let scenario = scenario(classes, engine_profiles);

        let [hash_only, reported] = compare(&scenario, rate);

        println!("{name}: {hash_only:?} {reported:?}");
        assert!(reported.0 >= hash_only.0 * 0.99, "{name}: {hash_only:?} {reported:?}");
    }
}

#[test]
fn after_an_engine_is_lost_reported_caches_still_reduce_rereads_and_raise_the_value() {
    let scenario = Scenario {
        engine_loss: Some((3..4, 10.0..f64::INFINITY)),
        ..scenario(long_prompt_workload(), vec![EngineProfile::slow(); 12])
    };

    let [hash_only, reported] = compare(&scenario, 0.9);

    println!("{hash_only:?} {reported:?}");
    assert!(reported.1 < hash_only.1, "{hash_only:?} {reported:?}");
    assert!(reported.0 > hash_only.0, "{hash_only:?} {reported:?}");
}

#[test]
fn charging_by_size_reduces_cross_zone_bytes_and_keeps_the_value() {
    let size_based_costs = scenario(long_prompt_workload(), vec![EngineProfile::slow(); 12]);
    let flat_costs = Scenario { placement: flat_placement_costs(), ..size_based_costs.clone() };

    let [flat, by_size] = [flat_costs, size_based_costs].map(|scenario| {
        let all = arrivals(&scenario.classes, scenario.entries, SECONDS, 1, |_| 1.0);
        simulate(&scenario, &all, CacheKnowledge::Reported)
    });

    let figures = |outcome: &Outcome| (outcome.value, outcome.cross_zone_bytes);
    println!("{:?} {:?}", figures(&flat), figures(&by_size));
    assert!(by_size.cross_zone_bytes * 6 < flat.cross_zone_bytes * 5, "{flat:?} {by_size:?}");
    assert!(by_size.value > flat.value * 0.98, "{flat:?} {by_size:?}");
}
