//! Overload with callers that retry after a refusal: compares a fixed retry wait with one that grows with the
//! duration of the overload.

use std::{collections::BinaryHeap, time::Duration};

use event_queue::TimedEvent;
use mintmoor::policy::overload::{Overload, retry_after};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Slots of the pool, and the mean time that a request occupies one, in seconds.
const SLOTS: usize = 400;
const MEAN_SERVICE_TIME: f64 = 1.0;
/// Deadlines of the callers in seconds. Each caller retries once, after at most a third of the time left.
const DEADLINES: [f64; 3] = [4.0, 15.0, 20.0];
const SEEDS: std::ops::Range<u64> = 1..6;

mod event_queue {
    /// An event at a time in seconds. The earliest is the greatest, so that a `BinaryHeap` pops it first.
    #[derive(Clone, Copy, Debug, PartialEq)]
    pub struct TimedEvent<T>(pub f64, pub T);

    impl<T: PartialEq> Eq for TimedEvent<T> {}

    impl<T: PartialEq> PartialOrd for TimedEvent<T> {
        fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
            Some(self.cmp(other))
        }
    }

    impl<T: PartialEq> Ord for TimedEvent<T> {
        fn cmp(&self, other: &Self) -> std::cmp::Ordering {
            other.0.total_cmp(&self.0)
        }
    }
}

/// An event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// A caller sends a request.
    Request { time_left: f64, is_retry: bool },
    /// A request is done and its slot becomes free.
    SlotFreed,
}

/// Returns the ratio of requests that are never served. The load is 0.8 of the capacity, and `load_factor` times
/// that for ten seconds.
fn never_served_ratio(
    seed: u64,
    load_factor: f64,
    mut retry_wait: impl FnMut(f64, &mut StdRng) -> f64,
) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut queue = arrivals(load_factor, &mut rng);
    let requests = queue.len() as f64;
    let (mut busy, mut never_served) = (0, 0.0);
    while let Some(TimedEvent(at, event)) = queue.pop() {
        match event {
            Event::SlotFreed => busy -= 1,
            Event::Request { .. } if busy < SLOTS => {
                busy += 1;
                let service_time = -MEAN_SERVICE_TIME * (1.0 - rng.random::<f64>()).ln();
                queue.push(TimedEvent(at + service_time, Event::SlotFreed));
            }
            Event::Request { is_retry: true, .. } => never_served += 1.0,
            Event::Request { time_left, .. } => {
                let retry_wait = retry_wait(at, &mut rng).min(time_left / 3.0);
                let time_left = time_left - retry_wait;
                queue.push(TimedEvent(
                    at + retry_wait,
                    Event::Request { time_left, is_retry: true },
                ));
            }
        }
    }
    never_served / requests
}

fn arrivals(load_factor: f64, rng: &mut StdRng) -> BinaryHeap<TimedEvent<Event>> {
    let mut queue = BinaryHeap::new();
    let mut at = 0.0;
    while at < 30.0 {
        let rate = 0.8 * SLOTS as f64 / MEAN_SERVICE_TIME
            * if (5.0..15.0).contains(&at) { load_factor } else { 1.0 };
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        let time_left = DEADLINES[rng.random_range(0..DEADLINES.len())];
        queue.push(TimedEvent(at, Event::Request { time_left, is_retry: false }));
    }
    queue
}

/// Returns the mean ratio over the seeds with a fixed wait of 0.2 s, as before, and with the growing wait.
fn compare(load_factor: f64) -> (f64, f64) {
    let mean =
        |value_of: &dyn Fn(u64) -> f64| SEEDS.map(value_of).sum::<f64>() / SEEDS.count() as f64;
    let fixed_wait = mean(&|seed| never_served_ratio(seed, load_factor, |_, _| 0.2));
    let growing_wait = mean(&|seed| {
        let mut overload = Overload::default();
        never_served_ratio(seed, load_factor, move |at, rng| {
            let overload_duration = overload.record_refusal(Duration::from_secs_f64(at));
            retry_after(overload_duration, rng.random()).as_secs_f64()
        })
    });
    (fixed_wait, growing_wait)
}

#[test]
fn fewer_requests_are_never_served_when_retry_after_grows_with_the_overload() {
    for load_factor in [1.4, 1.8, 2.5] {
        let (fixed_wait, growing_wait) = compare(load_factor);

        println!(
            "{load_factor} times the load, never served: fixed wait {fixed_wait:.3}, growing wait {growing_wait:.3}"
        );
        assert!(growing_wait < fixed_wait * 0.8, "{load_factor}: {fixed_wait} {growing_wait}");
    }
}

#[test]
fn retry_after_grows_with_the_overload_within_bounds_and_restarts_after_it() {
    let mut overload = Overload::default();
    let second = Duration::from_secs(1);

    assert!(retry_after(overload.record_refusal(10 * second), 1.0) <= Duration::from_millis(300));
    let overload_duration = (20..=60)
        .map(|half_seconds| overload.record_refusal(second / 2 * half_seconds))
        .last()
        .unwrap();
    assert_eq!(overload_duration, 20 * second);
    assert_eq!(retry_after(overload_duration, 0.0), 3 * second);
    assert_eq!(retry_after(overload_duration, 1.0), 9 * second);
    assert_eq!(overload.record_refusal(40 * second), Duration::ZERO, "the overload had ended");
}
