//! What entries send together to a server that takes few requests: the decision alone, with time handed in.

use std::{collections::VecDeque, time::Duration};

use mintmoor::policy::{
    place::{ObservedEntry, Place, PlaceTracker, place_among},
    rate_limit::{Rate, SlidingWindowLog, allowance},
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What a cold server takes.
const COLD: Rate = 18.0;
/// What rate-limited servers advertise.
const NAMED: [Rate; 3] = [0.3, 1.9, 7.3];
/// Time between two looks of an entry at whether it may send; work always waits.
const STEP: Duration = Duration::from_millis(10);
/// Time between two looks of a seed at who is there.
const SEEN_EVERY: Duration = Duration::from_millis(50);
/// Time between heartbeats.
const HEARS_EVERY: Duration = Duration::from_millis(300);
/// Time by which news is late at most.
const LATEST: Duration = Duration::from_millis(2_100);
const SECOND: Duration = Duration::from_secs(1);

/// An entry's process, as far as it matters here.
struct Entry {
    host: String,
    is_up: bool,
    /// How late it hears who is there.
    lag: Duration,
    hears_at: Duration,
    belief: PlaceTracker,
    sends: SlidingWindowLog,
}

impl Entry {
    fn started(host: String, rng: &mut impl Rng) -> Self {
        Self {
            host,
            is_up: true,
            lag: Duration::from_millis(rng.random_range(200..2_000)),
            hears_at: Duration::ZERO,
            belief: PlaceTracker::default(),
            sends: SlidingWindowLog::default(),
        }
    }
}

/// The entries that a seed sees at a time, and whether they are settled.
type Seen = Vec<(String, bool)>;

fn place_of(host: &str, seen: &Seen) -> Option<Place> {
    let sharers =
        seen.iter().map(|(host, is_settled)| ObservedEntry { host, is_settled: *is_settled });
    place_among(host, &sharers.collect::<Vec<_>>())
}

/// What the platform bears in a window of so many seconds: one and a half times the rate, and five.
fn bound(rate: Rate, seconds: f64) -> usize {
    (1.5 * rate * seconds + 5.0) as usize
}

/// The most that arrived in any window of so many seconds.
fn most_within(arrivals: &[Duration], seconds: u64) -> usize {
    let within_from = |i: usize| {
        let end = arrivals[i] + Duration::from_secs(seconds);
        arrivals[i..].iter().take_while(|at| **at < end).count()
    };
    (0..arrivals.len()).map(within_from).max().unwrap_or(0)
}

/// The part of what a server takes that reached it in a span of time.
fn used(arrivals: &[Duration], from: Duration, to: Duration, rate: Rate) -> f64 {
    let count = arrivals.iter().filter(|at| **at >= from && **at < to).count();
    count as f64 / (to - from).as_secs_f64() / rate
}

/// What reaches one server that takes `rate` while `disturb` changes who is there, and entries hear of that late.
fn play(
    entries: usize,
    rate: Rate,
    lasts: Duration,
    seed: u64,
    mut disturb: impl FnMut(&mut Vec<Entry>, Duration, &mut ChaCha8Rng),
) -> Vec<Duration> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let server = rng.random();
    let host = |number: usize| format!("edge-{number:07}");
    let mut all: Vec<Entry> = (0..entries).map(|n| Entry::started(host(n), &mut rng)).collect();
    let mut history: VecDeque<(Duration, Seen)> = VecDeque::new();
    let mut arrivals = Vec::new();
    let mut now = Duration::ZERO;
    while now < lasts {
        disturb(&mut all, now, &mut rng);
        if now.as_millis().is_multiple_of(SEEN_EVERY.as_millis()) {
            let up = all.iter().filter(|entry| entry.is_up);
            let seen = up.map(|entry| (entry.host.clone(), entry.belief.get(now).is_some()));
            history.push_front((now, seen.collect()));
            history.retain(|(at, _)| *at + LATEST >= now);
        }
        for entry in all.iter_mut().filter(|entry| entry.is_up) {
            if now >= entry.hears_at {
                entry.hears_at = now + HEARS_EVERY;
                let seen = history.iter().find(|(at, _)| *at + entry.lag <= now);
                if let Some(place) = seen.and_then(|(_, seen)| place_of(&entry.host, seen)) {
                    entry.belief.update(place, true, now);
                }
            }
            let Some(place) = entry.belief.get(now) else { continue };
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
fn a_server_gets_what_it_takes_and_no_more_from_1_to_360_entries() {
    // All places are settled after the latest news and 3 s, and the first window is over.
    let settled = Duration::from_secs(10);
    for entries in [1, 3, 7, 17, 21, 103, 360] {
        let seeds = if entries > 200 { 0..1 } else { 0..5 };
        for seed in seeds {
            for rate in NAMED.into_iter().chain([COLD]) {
                let end = settled + Duration::from_secs_f64(20.0 / rate.min(1.0));
                let arrivals = play(entries, rate, end, seed, |_, _, _| {});

                let used = used(&arrivals, settled, end, rate);
                let most = most_within(&arrivals, 1);
                assert!(most <= rate.ceil() as usize, "{entries} entries, {most} of {rate}");
                assert!(used >= 0.9, "{entries} entries use {used} of {rate}");
            }
        }
    }
}

/// Entries are killed, alone or half of them at once, and come back after half a second; others join.
fn come_and_go(entries: usize) -> impl FnMut(&mut Vec<Entry>, Duration, &mut ChaCha8Rng) {
    let mut back: Vec<(Duration, String)> = Vec::new();
    move |all, now, rng| {
        back.retain(|(at, host)| {
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
                back.push((now + Duration::from_millis(500), entry.host.clone()));
            }
        }
        if all.len() < entries + 3 && share < 0.5 {
            let number: u32 = rng.random_range(1_000..1_000_000);
            all.push(Entry::started(format!("edge-{number:07}"), rng));
        }
    }
}

/// 2,700 simulated seconds in all.
#[test]
fn no_window_has_too_many_while_entries_come_and_go() {
    let lasts = Duration::from_secs(60);
    for entries in [3, 21, 103] {
        for seed in 0..6 {
            let named = NAMED.into_iter().filter(|_| seed < 3);
            for rate in named.chain([COLD]) {
                let arrivals = play(entries, rate, lasts, seed, come_and_go(entries));

                let (second, four) = (most_within(&arrivals, 1), most_within(&arrivals, 4));
                let used = used(&arrivals, Duration::ZERO, lasts, rate);
                println!(
                    "{entries} entries, {rate} a second, seed {seed}: {second} in 1 s, {four} in 4 s, {used:.2} used"
                );
                assert!(second <= bound(rate, 1.0), "{second} of {rate} in a second");
                assert!(four <= bound(rate, 4.0), "{four} of {rate} in 4 s");
                assert!(!arrivals.is_empty());
            }
        }
    }
}

/// One entry in five is killed for good, and may have been the only one that sent to the server.
#[test]
fn what_a_server_takes_is_used_again_after_senders_died() {
    let (died, end) = (Duration::from_secs(20), Duration::from_secs(60));
    // News is 2 s late, and counts a second later.
    let again = died + Duration::from_secs(4);
    for entries in [5, 21, 103] {
        for rate in NAMED.into_iter().chain([COLD]) {
            for seed in 0..4 {
                let kill = |all: &mut Vec<Entry>, now: Duration, _: &mut ChaCha8Rng| {
                    if now == died {
                        all.iter_mut().step_by(5).for_each(|entry| entry.is_up = false);
                    }
                };

                let arrivals = play(entries, rate, end, seed, kill);

                let used = used(&arrivals, again, end, rate);
                assert!(used >= 0.9, "{entries} entries use {used} of {rate}, seed {seed}");
                assert!(most_within(&arrivals, 4) <= bound(rate, 4.0));
            }
        }
    }
}

/// Half of the entries no longer hear of the other half.
#[test]
fn sides_that_lose_each_other_do_not_each_take_all() {
    let mut belief = PlaceTracker::default();
    belief.update(Place { rank: 2, entries: 21 }, true, Duration::ZERO);
    belief.update(Place { rank: 0, entries: 1 }, true, SECOND);
    belief.update(Place { rank: 0, entries: 1 }, true, SECOND * 50);

    let after = belief.get(Duration::from_secs(60));

    assert_eq!(after, Some(Place { rank: 2, entries: 21 }));
}

#[test]
fn fewer_count_once_most_of_all_have_been_told_of_for_a_second() {
    let mut belief = PlaceTracker::default();
    let all = Place { rank: 2, entries: 5 };
    belief.update(all, true, Duration::ZERO);
    let fewer = Place { rank: 1, entries: 4 };

    belief.update(fewer, true, SECOND * 10);
    assert_eq!(belief.get(SECOND * 10), Some(all), "a report may be late");
    belief.update(fewer, true, SECOND * 11);
    assert_eq!(belief.get(SECOND * 11), Some(fewer));
    belief.update(Place { rank: 0, entries: 2 }, true, SECOND * 12);
    belief.update(Place { rank: 0, entries: 2 }, true, SECOND * 20);
    assert_eq!(belief.get(SECOND * 20), Some(fewer), "others may share on the other side");
}

/// It hears from the entries one after the other, from the last of them after two seconds.
#[test]
fn a_seed_that_has_just_started_takes_nobody_away() {
    let mut belief = PlaceTracker::default();
    let all = Place { rank: 2, entries: 5 };
    belief.update(all, true, Duration::ZERO);

    for tenth in 100..130 {
        belief.update(Place { rank: 1, entries: 4 }, false, SECOND / 10 * tenth);
    }

    assert_eq!(belief.get(SECOND * 13), Some(all));
}

#[test]
fn an_entry_that_is_not_settled_has_no_turn_unless_many_are_not() {
    let sharer = |host, is_settled| ObservedEntry { host, is_settled };
    let [a, d] = ["a", "d"].map(|host| sharer(host, true));
    let one_new = [a, sharer("b", false), sharer("c", true), d];
    let two_new = [a, sharer("b", false), sharer("c", false), d];

    assert_eq!(place_among("d", &one_new), Some(Place { rank: 2, entries: 3 }));
    assert_eq!(place_among("b", &one_new), Some(Place { rank: 1, entries: 4 }));
    assert_eq!(place_among("d", &two_new), Some(Place { rank: 3, entries: 4 }));
    assert_eq!(place_among("e", &one_new), None);
}
