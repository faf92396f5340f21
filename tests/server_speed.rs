//! What is believed of the speed of servers' machines, and how much entries tell each other of it.

use std::time::Duration;

use mintmoor::policy::server_speed::{ServerSpeed, SharedSpeed};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// The speed after these figures, each with its time in ms.
fn speed_after(figures: &[(u64, f64)]) -> ServerSpeed {
    let mut speed = ServerSpeed::default();
    for (at, factor) in figures {
        assert!(speed.record(*factor, Duration::from_millis(*at)));
    }
    speed
}

#[test]
fn a_server_is_of_the_usual_speed_until_it_reports_another() {
    let unknown = ServerSpeed::default();

    assert!(!unknown.is_known());
    assert_eq!((unknown.lasting(), unknown.present(seconds(1))), (1.0, 1.0));
}

#[test]
fn neighbours_that_slow_a_machine_for_moments_do_not_change_its_lasting_factor() {
    let mut rng = StdRng::seed_from_u64(1);
    let figure = |number: u64| {
        // The first figure may come during a slowdown as well, which the second corrects.
        let is_slowed = number == 0 || number > 1 && rng.random::<f64>() < 0.15;
        (number * 1_300, if is_slowed { 3.0 } else { 1.2 })
    };
    let figures: Vec<_> = (0..2_000).map(figure).collect();
    let mut speed = ServerSpeed::default();

    for (number, (at, factor)) in figures.into_iter().enumerate() {
        speed.record(factor, Duration::from_millis(at));
        assert!(number == 0 || speed.lasting() == 1.2, "{number}: {speed:?}");
    }
}

#[test]
fn a_machine_that_becomes_lastingly_slower_or_faster_is_learned() {
    let every_second =
        |factor: f64, from: u64, to: u64| (from..to).map(move |second| (second * 1_000, factor));
    let figures = |to, factor| {
        every_second(0.55, 0, 30).chain(every_second(factor, 30, to)).collect::<Vec<_>>()
    };

    assert_eq!(speed_after(&figures(31, 0.4)).lasting(), 0.4, "a faster one with the next figure");
    assert_eq!(speed_after(&figures(35, 1.2)).lasting(), 0.55, "this may be a slowdown");
    assert_eq!(speed_after(&figures(51, 1.2)).lasting(), 1.2, "after two windows at most");
}

#[test]
fn the_last_figure_is_the_present_one_for_a_moment_only() {
    let speed = speed_after(&[(0, 1.2), (5_000, 3.0)]);

    assert_eq!(speed.present(Duration::from_millis(5_100)), 3.0);
    assert_eq!(speed.present(seconds(6)), 1.2);
}

#[test]
fn absurd_figures_are_ignored() {
    for absurd in [0.0, -1.0, 0.05, 31.0, 1e7, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        let mut speed = speed_after(&[(0, 0.55)]);

        assert!(!speed.record(absurd, seconds(1)), "{absurd}");
        assert!(!speed.record_reported(absurd, seconds(20)), "{absurd}");
        assert_eq!(speed, speed_after(&[(0, 0.55)]), "{absurd}");
    }
}

#[test]
fn a_factor_is_news_if_it_is_considerably_smaller_or_nothing_was_told_for_a_window() {
    let shared = SharedSpeed { factor: 1.2, told_at: seconds(100) };

    assert!(shared.is_news(0.55, seconds(101)));
    assert!(!shared.is_news(1.18, seconds(101)), "nearly the same");
    assert!(!shared.is_news(3.0, seconds(101)), "a slowdown");
    assert!(shared.is_news(1.2, seconds(110)), "the others must learn that it lasts");
}

/// Reports on one server per second: those sent by all entries together, and those that a seed
/// passes on to each follower. Each entry hears from the server every 8 s on average, a report
/// reaches the seed 0.4 s later and the followers 0.3 s after that.
fn reports_per_second(entries: usize) -> (f64, f64) {
    const RUN_SECONDS: u32 = 300;
    const STEPS_PER_SECOND: u32 = 20;
    const MEETING_PROBABILITY: f64 = 1.0 / 8.0 / STEPS_PER_SECOND as f64;
    let mut rng = StdRng::seed_from_u64(1);
    // What the entries know, and last what the seed knows.
    let mut known: Vec<Option<SharedSpeed>> = vec![None; entries + 1];
    let learn = |known: &mut Option<SharedSpeed>, factor: f64, told_at: Duration| {
        let is_news = known.is_none_or(|known| known.is_news(factor, told_at));
        if is_news {
            *known = Some(SharedSpeed { factor, told_at });
        }
        is_news
    };
    // Reports in transit, by the time of their arrival.
    let (mut to_seed, mut to_followers) = (Vec::new(), Vec::new());
    let (mut sent, mut passed_on) = (0, 0);
    for step in 0..RUN_SECONDS * STEPS_PER_SECOND {
        let now = seconds(1) * step / STEPS_PER_SECOND;
        for known in &mut known[..entries] {
            let is_met = rng.random::<f64>() < MEETING_PROBABILITY;
            let factor = if rng.random::<f64>() < 0.15 { 3.0 } else { 1.2 };
            if is_met && learn(known, factor, now) {
                to_seed.push((now + Duration::from_millis(400), factor));
                sent += 1;
            }
        }
        for (_, factor) in to_seed.extract_if(.., |(at, _)| *at <= now) {
            if learn(&mut known[entries], factor, now) {
                to_followers.push((now + Duration::from_millis(300), factor));
                passed_on += 1;
            }
        }
        for (_, factor) in to_followers.extract_if(.., |(at, _)| *at <= now) {
            for known in &mut known[..entries] {
                learn(known, factor, now);
            }
        }
    }
    let per_second = |reports: u32| f64::from(reports) / f64::from(RUN_SECONDS);
    (per_second(sent), per_second(passed_on))
}

/// Bytes per second are the reports times their encoded size, see docs/CAPACITY.md.
#[test]
fn a_seed_passes_on_few_reports_whatever_the_number_of_entries() {
    const REPORT_BYTES: f64 = 9.0;
    const CONTROL_BYTES_PER_SECOND: f64 = 5_000.0;
    for entries in [30, 385] {
        let (sent, passed_on) = reports_per_second(entries);

        for servers in [620.0, 2_100.0] {
            let [to_seed, to_follower] =
                [sent, passed_on].map(|reports| reports * servers * REPORT_BYTES);
            let by_entry = to_seed / entries as f64;
            println!(
                "{entries} entries, {servers} servers: {by_entry:.0} B/s from an entry to a seed, \
                 {to_seed:.0} B/s to a seed, {to_follower:.0} B/s to a follower"
            );
            assert!(by_entry + to_follower < CONTROL_BYTES_PER_SECOND, "{entries}, {servers}");
        }
    }
}
