//! Simulations of a fleet of entries that share a rate-limited server, on simulated time.

use std::{collections::VecDeque, time::Duration};

use mintmoor::policy::{
    place::{ObservedEntry, Place, PlaceTracker, place_among},
    rate_limit::{Rate, SlidingWindowLog, allowance},
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Rate limit of a cold server.
const COLD_RATE: Rate = 18.0;
/// Rate limits that servers advertise.
const ADVERTISED_RATES: [Rate; 3] = [0.3, 1.9, 7.3];
/// Interval at which an entry checks whether it may send; requests are always waiting.
const STEP: Duration = Duration::from_millis(10);
/// Interval at which a seed determines which entries are running.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of the heartbeats by which an entry learns its place.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Age up to which snapshots are kept, above the longest delay of an entry.
const MAX_DELAY: Duration = Duration::from_millis(2_100);
const SECOND: Duration = Duration::from_secs(1);

/// The simulated process of an entry.
struct Entry {
    host: String,
    is_up: bool,
    /// Delay after which a snapshot reaches it.
    delay: Duration,
    next_heartbeat: Duration,
    tracker: PlaceTracker,
    sends: SlidingWindowLog,
}

impl Entry {
    fn started(host: String, rng: &mut impl Rng) -> Self {
        Self {
            host,
            is_up: true,
            delay: Duration::from_millis(rng.random_range(200..2_000)),
            next_heartbeat: Duration::ZERO,
            tracker: PlaceTracker::default(),
            sends: SlidingWindowLog::default(),
        }
    }
}

/// Hosts of the entries that a seed sees, and whether each entry is settled.
type Snapshot = Vec<(String, bool)>;

fn place_of(host: &str, seen: &Snapshot) -> Option<Place> {
    let observed =
        seen.iter().map(|(host, is_settled)| ObservedEntry { host, is_settled: *is_settled });
    place_among(host, &observed.collect::<Vec<_>>())
}

/// Requests that the platform tolerates in a window: 1.5 times the rate, plus five.
fn max_allowed(rate: Rate, seconds: f64) -> usize {
    (1.5 * rate * seconds + 5.0) as usize
}

/// Largest number of arrivals in any window of this many seconds.
fn max_in_window(arrivals: &[Duration], seconds: u64) -> usize {
    let within_from = |i: usize| {
        let end = arrivals[i] + Duration::from_secs(seconds);
        arrivals[i..].iter().take_while(|at| **at < end).count()
    };
    (0..arrivals.len()).map(within_from).max().unwrap_or(0)
}

/// Fraction of the rate that the arrivals used between two times.
fn utilization(arrivals: &[Duration], from: Duration, to: Duration, rate: Rate) -> f64 {
    let count = arrivals.iter().filter(|at| **at >= from && **at < to).count();
    count as f64 / (to - from).as_secs_f64() / rate
}

/// Times at which requests reach one server with the given rate limit, while `disrupt` starts and
/// stops entries and the others learn of it with a delay.
fn simulate(
    entries: usize,
    rate: Rate,
    duration: Duration,
    seed: u64,
    mut disrupt: impl FnMut(&mut Vec<Entry>, Duration, &mut ChaCha8Rng),
) -> Vec<Duration> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let server = rng.random();
    let host = |number: usize| format!("edge-{number:07}");
    let mut all: Vec<Entry> = (0..entries).map(|n| Entry::started(host(n), &mut rng)).collect();
    let mut history: VecDeque<(Duration, Snapshot)> = VecDeque::new();
    let mut arrivals = Vec::new();
    let mut now = Duration::ZERO;
    while now < duration {
        disrupt(&mut all, now, &mut rng);
        if now.as_millis().is_multiple_of(SNAPSHOT_INTERVAL.as_millis()) {
            let up = all.iter().filter(|entry| entry.is_up);
            let seen = up.map(|entry| (entry.host.clone(), entry.tracker.get(now).is_some()));
            history.push_front((now, seen.collect()));
            history.retain(|(at, _)| *at + MAX_DELAY >= now);
        }
        for entry in all.iter_mut().filter(|entry| entry.is_up) {
            if now >= entry.next_heartbeat {
                entry.next_heartbeat = now + HEARTBEAT_INTERVAL;
                let seen = history.iter().find(|(at, _)| *at + entry.delay <= now);
                if let Some(place) = seen.and_then(|(_, seen)| place_of(&entry.host, seen)) {
                    entry.tracker.update(place, true, now);
                }
            }
            let Some(place) = entry.tracker.get(now) else { continue };
            let Some(allowance) = allowance(rate, place, server) else { continue };
            if entry.sends.may_send(&allowance, now) {
                entry.sends.record(&allowance, now);
                arrivals.push(now);
            }
        }
        now += STEP;
    }
    arrivals
}

#[test]
fn shares_fill_the_rate_and_never_exceed_it_from_1_to_360_entries() {
    // By then all reports have arrived, the settle time of 3 s has passed and the first window
    // has ended.
    let settled = Duration::from_secs(10);
    for entries in [1, 3, 7, 17, 21, 103, 360] {
        let seeds = if entries > 200 { 0..1 } else { 0..5 };
        for seed in seeds {
            for rate in ADVERTISED_RATES.into_iter().chain([COLD_RATE]) {
                let end = settled + Duration::from_secs_f64(20.0 / rate.min(1.0));
                let arrivals = simulate(entries, rate, end, seed, |_, _, _| {});

                let utilization = utilization(&arrivals, settled, end, rate);
                let max = max_in_window(&arrivals, 1);
                assert!(max <= rate.ceil() as usize, "{entries} entries, {max} of {rate}");
                assert!(utilization >= 0.9, "{entries} entries use {utilization} of {rate}");
            }
        }
    }
}

/// Kills entries, one at a time or half of them at once, restarts them after half a second and adds
/// new ones.
fn random_churn(entries: usize) -> impl FnMut(&mut Vec<Entry>, Duration, &mut ChaCha8Rng) {
    let mut pending: Vec<(Duration, String)> = Vec::new();
    move |all, now, rng| {
        pending.retain(|(at, host)| {
            if *at <= now {
                let place = all.iter().position(|entry| entry.host == *host).unwrap();
                all[place] = Entry::started(host.clone(), rng);
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
                pending.push((now + Duration::from_millis(500), entry.host.clone()));
            }
        }
        if all.len() < entries + 3 && share < 0.5 {
            let number: u32 = rng.random_range(1_000..1_000_000);
            all.push(Entry::started(format!("edge-{number:07}"), rng));
        }
    }
}

/// Simulates 2,700 seconds in total.
#[test]
fn no_window_exceeds_its_limit_while_entries_come_and_go() {
    let duration = Duration::from_secs(60);
    for entries in [3, 21, 103] {
        for seed in 0..6 {
            let advertised = ADVERTISED_RATES.into_iter().filter(|_| seed < 3);
            for rate in advertised.chain([COLD_RATE]) {
                let arrivals = simulate(entries, rate, duration, seed, random_churn(entries));

                let (second, four) = (max_in_window(&arrivals, 1), max_in_window(&arrivals, 4));
                let utilization = utilization(&arrivals, Duration::ZERO, duration, rate);
                println!(
                    "{entries} entries, {rate} a second, seed {seed}: {second} in 1 s, {four} in 4 s, {utilization:.2} used"
                );
                assert!(second <= max_allowed(rate, 1.0), "{second} of {rate} in a second");
                assert!(four <= max_allowed(rate, 4.0), "{four} of {rate} in 4 s");
                assert!(!arrivals.is_empty());
            }
        }
    }
}

/// One entry in five is killed and does not restart; it may have been the server's only sender.
#[test]
fn the_rate_is_used_again_after_senders_are_killed() {
    let (killed_at, end) = (Duration::from_secs(20), Duration::from_secs(60));
    // Reports are delayed by 2 s and applied a second later.
    let recovered = killed_at + Duration::from_secs(4);
    for entries in [5, 21, 103] {
        for rate in ADVERTISED_RATES.into_iter().chain([COLD_RATE]) {
            for seed in 0..4 {
                let kill = |all: &mut Vec<Entry>, now: Duration, _: &mut ChaCha8Rng| {
                    if now == killed_at {
                        all.iter_mut().step_by(5).for_each(|entry| entry.is_up = false);
                    }
                };

                let arrivals = simulate(entries, rate, end, seed, kill);

                let utilization = utilization(&arrivals, recovered, end, rate);
                assert!(
                    utilization >= 0.9,
                    "{entries} entries use {utilization} of {rate}, seed {seed}"
                );
                assert!(max_in_window(&arrivals, 4) <= max_allowed(rate, 4.0));
            }
        }
    }
}

/// In a network partition each side sees only its own entries. If it raised its shares accordingly,
/// both sides together would exceed the rate.
#[test]
fn partitioned_entries_do_not_enlarge_their_shares() {
    let mut tracker = PlaceTracker::default();
    tracker.update(Place { rank: 2, entries: 21 }, true, Duration::ZERO);
    tracker.update(Place { rank: 0, entries: 1 }, true, SECOND);
    tracker.update(Place { rank: 0, entries: 1 }, true, SECOND * 50);

    let after = tracker.get(Duration::from_secs(60));

    assert_eq!(after, Some(Place { rank: 2, entries: 21 }));
}

#[test]
fn a_lower_count_applies_after_a_second_if_it_is_a_majority() {
    let mut tracker = PlaceTracker::default();
    let all = Place { rank: 2, entries: 5 };
    tracker.update(all, true, Duration::ZERO);
    let fewer = Place { rank: 1, entries: 4 };

    tracker.update(fewer, true, SECOND * 10);
    assert_eq!(tracker.get(SECOND * 10), Some(all), "a report may be late");
    tracker.update(fewer, true, SECOND * 11);
    assert_eq!(tracker.get(SECOND * 11), Some(fewer));
    tracker.update(Place { rank: 0, entries: 2 }, true, SECOND * 12);
    tracker.update(Place { rank: 0, entries: 2 }, true, SECOND * 20);
    assert_eq!(tracker.get(SECOND * 20), Some(fewer), "the other side may have a majority");
}

/// The entries connect to a newly started seed one after the other, the last one after two seconds.
/// Until then the seed reports too few entries.
#[test]
fn a_newly_started_seed_does_not_lower_the_count() {
    let mut tracker = PlaceTracker::default();
    let all = Place { rank: 2, entries: 5 };
    tracker.update(all, true, Duration::ZERO);

    for tenth in 100..130 {
        tracker.update(Place { rank: 1, entries: 4 }, false, SECOND / 10 * tenth);
    }

    assert_eq!(tracker.get(SECOND * 13), Some(all));
}

#[test]
fn unsettled_entries_are_ranked_only_if_there_are_many() {
    let observed = |host, is_settled| ObservedEntry { host, is_settled };
    let [a, d] = ["a", "d"].map(|host| observed(host, true));
    let one_new = [a, observed("b", false), observed("c", true), d];
    let two_new = [a, observed("b", false), observed("c", false), d];

    assert_eq!(place_among("d", &one_new), Some(Place { rank: 2, entries: 3 }));
    assert_eq!(place_among("b", &one_new), Some(Place { rank: 1, entries: 4 }));
    assert_eq!(place_among("d", &two_new), Some(Place { rank: 3, entries: 4 }));
    assert_eq!(place_among("e", &one_new), None);
}
