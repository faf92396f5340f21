//! What entries send together to a server that has just started: the decision alone, with time handed in.

use std::time::Duration;

use mintmoor::policy::{
    cold::ColdTerms,
    place::{Place, PlaceBelief},
    rate_limit::{LimitedSends, allowance},
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TERMS: ColdTerms = ColdTerms { sends_per_second: 18.0, lasts: Duration::from_secs(3) };
/// What the platform bears in a second: 1.5 times the rate and 5.
const BOUND: usize = 32;
/// Time between two looks of an entry at whether it may send; work always waits.
const STEP: Duration = Duration::from_millis(10);
/// Time between heartbeats.
const HEARS_EVERY: Duration = Duration::from_millis(300);
const SECOND: Duration = Duration::from_secs(1);

/// An entry's process, as far as it matters here.
struct Entry {
    name: u64,
    is_up: bool,
    /// How late it hears who is there.
    lag: Duration,
    hears_at: Duration,
    belief: PlaceBelief,
    sends: LimitedSends,
}

impl Entry {
    fn started(name: u64, rng: &mut impl Rng) -> Self {
        Self {
            name,
            is_up: true,
            lag: Duration::from_millis(rng.random_range(200..2_000)),
            hears_at: Duration::ZERO,
            belief: PlaceBelief::default(),
            sends: LimitedSends::default(),
        }
    }
}

fn place_of(name: u64, of: &[u64]) -> Option<Place> {
    let rank = of.iter().filter(|other| **other < name).count() as u32;
    of.contains(&name).then_some(Place { rank, entries: of.len() as u32 })
}

/// The most that arrived in any second.
fn most_in_a_second(arrivals: &[Duration]) -> usize {
    let in_second_from = |i: usize| {
        let end = arrivals[i] + SECOND;
        arrivals[i..].iter().take_while(|at| **at < end).count()
    };
    (0..arrivals.len()).map(in_second_from).max().unwrap_or(0)
}

/// What reaches one cold server while `disturb` changes who is there, and entries hear of that late.
fn play(
    entries: usize,
    lasts: Duration,
    seed: u64,
    mut disturb: impl FnMut(&mut Vec<Entry>, Duration, &mut ChaCha8Rng),
) -> Vec<Duration> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let server = rng.random();
    let mut all: Vec<Entry> = (0..entries as u64).map(|n| Entry::started(n, &mut rng)).collect();
    let mut history: Vec<(Duration, Vec<u64>)> = Vec::new();
    let mut arrivals = Vec::new();
    let mut now = Duration::ZERO;
    while now < lasts {
        disturb(&mut all, now, &mut rng);
        let up: Vec<u64> = all.iter().filter(|entry| entry.is_up).map(|entry| entry.name).collect();
        history.push((now, up));
        for entry in all.iter_mut().filter(|entry| entry.is_up) {
            if now >= entry.hears_at {
                entry.hears_at = now + HEARS_EVERY;
                let seen = history.iter().rev().find(|(at, _)| *at + entry.lag <= now);
                if let Some(place) = seen.and_then(|(_, up)| place_of(entry.name, up)) {
                    entry.belief.hear(place, now);
                }
            }
            let Some(place) = entry.belief.get(now) else { continue };
            let Some(allowance) = allowance(TERMS.sends_per_second, place, server) else {
                continue;
            };
            if entry.sends.may_send(&allowance, now) {
                entry.sends.note(&allowance, now);
                arrivals.push(now);
            }
        }
        now += STEP;
    }
    arrivals
}

#[test]
fn a_cold_server_gets_what_it_bears_and_no_more_from_3_to_360_entries() {
    for entries in [1, 3, 7, 17, 21, 103, 360] {
        for seed in 0..5 {
            let lasts = Duration::from_secs(20);
            let arrivals = play(entries, lasts, seed, |_, _, _| {});

            // All places are settled after the latest news and 3 s.
            let settled = Duration::from_secs(6);
            let used = arrivals.iter().filter(|at| **at >= settled).count() as f64;
            let rate = used / (lasts - settled).as_secs_f64();
            assert!(most_in_a_second(&arrivals) <= 18, "{entries} entries");
            assert!(rate >= 0.9 * TERMS.sends_per_second, "{entries} entries use {rate}");
        }
    }
}

/// Entries are killed, alone or half of them at once, and come back after half a second; others join. Over
/// 1,000 simulated seconds in all.
#[test]
fn no_second_has_too_many_while_entries_come_and_go() {
    for entries in [3, 21, 103] {
        for seed in 0..6 {
            let mut back: Vec<(Duration, u64)> = Vec::new();
            let disturb = |all: &mut Vec<Entry>, now: Duration, rng: &mut ChaCha8Rng| {
                back.retain(|(at, name)| {
                    if *at <= now {
                        let place = all.iter().position(|entry| entry.name == *name).unwrap();
                        all[place] = Entry::started(*name, rng);
                    }
                    *at > now
                });
                let share = match rng.random_range(0..1_000) {
                    0..4 => 1.0 / entries as f64,
                    4 => 0.5,
                    _ => return,
                };
                for entry in all.iter_mut().filter(|entry| entry.is_up) {
                    if rng.random_bool(share) {
                        entry.is_up = false;
                        back.push((now + Duration::from_millis(500), entry.name));
                    }
                }
                if all.len() < entries + 3 && share < 0.5 {
                    let name = rng.random_range(1_000..1_000_000);
                    all.push(Entry::started(name, rng));
                }
            };

            let arrivals = play(entries, Duration::from_secs(60), seed, disturb);

            let most = most_in_a_second(&arrivals);
            assert!(most <= BOUND, "{most} in a second from {entries} entries, seed {seed}");
            assert!(!arrivals.is_empty());
        }
    }
}

/// Half of the entries no longer hear of the other half.
#[test]
fn sides_that_lose_each_other_do_not_each_take_all() {
    let mut belief = PlaceBelief::default();
    belief.hear(Place { rank: 2, entries: 21 }, Duration::ZERO);
    belief.hear(Place { rank: 0, entries: 1 }, SECOND);

    let after = belief.get(Duration::from_secs(60));

    assert_eq!(after, Some(Place { rank: 2, entries: 21 }));
}
