//! An overload, and callers who were refused: how many are served in the end, by when they come back.

use std::{collections::BinaryHeap, time::Duration};

use mintmoor::policy::overload::{Overload, retry_after};
use ordered::Due;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Places of a pool, and the mean time that a request has one, seconds.
const PLACES: usize = 400;
const STAY: f64 = 1.0;
/// Callers' deadlines, seconds; they come back once, after a third of what is left at most.
const DEADLINES: [f64; 3] = [4.0, 15.0, 20.0];
const SEEDS: std::ops::Range<u64> = 1..6;

mod ordered {
    /// Something that happens at a time; the earliest is the greatest.
    #[derive(Clone, Copy, Debug, PartialEq)]
    pub struct Due<T>(pub f64, pub T);

    impl<T: PartialEq> Eq for Due<T> {}

    impl<T: PartialEq> PartialOrd for Due<T> {
        fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
            Some(self.cmp(other))
        }
    }

    impl<T: PartialEq> Ord for Due<T> {
        fn cmp(&self, other: &Self) -> std::cmp::Ordering {
            other.0.total_cmp(&self.0)
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Happens {
    /// A caller asks, with so much time left.
    Ask { time_left: f64, is_back: bool },
    /// A place becomes free.
    Free,
}

/// Callers never served, of all who asked: 0.8 of what the pool can do, and `times` that for ten seconds.
fn part_refused(seed: u64, times: f64, mut wait: impl FnMut(f64, &mut StdRng) -> f64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut due = arrivals(times, &mut rng);
    let asked = due.len() as f64;
    let (mut busy, mut lost) = (0, 0.0);
    while let Some(Due(at, what)) = due.pop() {
        match what {
            Happens::Free => busy -= 1,
            Happens::Ask { .. } if busy < PLACES => {
                busy += 1;
                let stay = -STAY * (1.0 - rng.random::<f64>()).ln();
                due.push(Due(at + stay, Happens::Free));
            }
            Happens::Ask { is_back: true, .. } => lost += 1.0,
            Happens::Ask { time_left, .. } => {
                let pause = wait(at, &mut rng).min(time_left / 3.0);
                let time_left = time_left - pause;
                due.push(Due(at + pause, Happens::Ask { time_left, is_back: true }));
            }
        }
    }
    lost / asked
}

fn arrivals(times: f64, rng: &mut StdRng) -> BinaryHeap<Due<Happens>> {
    let mut due = BinaryHeap::new();
    let mut at = 0.0;
    while at < 30.0 {
        let rate = 0.8 * PLACES as f64 / STAY * if (5.0..15.0).contains(&at) { times } else { 1.0 };
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        let time_left = DEADLINES[rng.random_range(0..DEADLINES.len())];
        due.push(Due(at, Happens::Ask { time_left, is_back: false }));
    }
    due
}

/// Mean over the seeds, with a fixed wait as it was, and by how long the overload has lasted.
fn compare(times: f64) -> (f64, f64) {
    let mean = |of: &dyn Fn(u64) -> f64| SEEDS.map(of).sum::<f64>() / SEEDS.count() as f64;
    let fixed = mean(&|seed| part_refused(seed, times, |_, _| 0.2));
    let by_length = mean(&|seed| {
        let mut overload = Overload::default();
        part_refused(seed, times, move |at, rng| {
            let lasted = overload.record_refusal(Duration::from_secs_f64(at));
            retry_after(lasted, rng.random()).as_secs_f64()
        })
    });
    (fixed, by_length)
}

#[test]
fn more_callers_are_served_when_the_wait_grows_with_the_overload() {
    for times in [1.4, 1.8, 2.5] {
        let (fixed, by_length) = compare(times);

        println!("{times} times the load: {fixed:.3} never served, {by_length:.3}");
        assert!(by_length < fixed * 0.8, "{times}: {fixed} {by_length}");
    }
}

#[test]
fn the_wait_is_as_long_as_the_overload_has_lasted_within_bounds() {
    let mut overload = Overload::default();
    let second = Duration::from_secs(1);

    assert!(retry_after(overload.record_refusal(10 * second), 1.0) <= Duration::from_millis(300));
    let lasted = (20..=60).map(|half| overload.record_refusal(second / 2 * half)).last().unwrap();
    assert_eq!(lasted, 20 * second);
    assert_eq!(retry_after(lasted, 0.0), 3 * second);
    assert_eq!(retry_after(lasted, 1.0), 9 * second);
    assert_eq!(overload.record_refusal(40 * second), Duration::ZERO, "that overload was over");
}
