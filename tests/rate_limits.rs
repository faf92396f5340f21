//! Advertised rate limits: what entries know of them and how they divide the rate, on simulated
//! time.

use std::time::Duration;

use mintmoor::policy::{
    known_limit::{KnownLimit, LimitChange, LimitReport},
    place::{Place, PlaceTracker},
    rate_limit::{
        AdvertisedLimit, Allowance, MIN_ADVERTISED_RATE, SlidingWindowLog, allowance,
        probe_allowance,
    },
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn advertised(rate: f64) -> AdvertisedLimit {
    AdvertisedLimit::Rate(rate)
}

/// The state of an entry that received this limit in a server's answer at one second.
fn learned(rate: f64) -> KnownLimit {
    let mut limit = KnownLimit::default();
    limit.record_answer(advertised(rate), ms(900), ms(1_000));
    limit
}

#[test]
fn a_limit_ends_with_an_answer_to_a_later_request_that_advertises_none() {
    let mut limit = learned(1.9);

    assert_eq!(
        limit.record_answer(AdvertisedLimit::Nothing, ms(950), ms(1_050)),
        None,
        "the answer is out of order"
    );
    assert_eq!(limit.rate(), Some(1.9));
    assert_eq!(limit.record_answer(AdvertisedLimit::Unreadable, ms(1_100), ms(1_200)), None);
    assert_eq!(limit.rate(), Some(1.9));
    assert_eq!(
        limit.record_answer(AdvertisedLimit::Nothing, ms(1_100), ms(1_200)),
        Some(LimitChange::Deferrable)
    );
    assert_eq!(limit.rate(), None);
}

#[test]
fn a_sharp_fall_is_urgent_and_other_changes_are_deferrable() {
    let mut limit = KnownLimit::default();

    assert_eq!(limit.record_answer(advertised(5.0), ms(0), ms(10)), Some(LimitChange::Urgent));
    assert_eq!(limit.record_answer(advertised(4.9), ms(20), ms(30)), Some(LimitChange::Deferrable));
    assert_eq!(limit.record_answer(advertised(3.5), ms(32), ms(34)), Some(LimitChange::Deferrable));
    assert_eq!(limit.record_answer(advertised(1.0), ms(40), ms(50)), Some(LimitChange::Urgent));
    assert_eq!(limit.record_answer(advertised(3.0), ms(60), ms(70)), Some(LimitChange::Deferrable));
    assert_eq!(limit.rate(), Some(3.0));
}

#[test]
fn an_unchanged_limit_is_reported_once_a_second() {
    let mut limit = learned(1.9);

    let reports = (1..=40)
        .filter(|n| limit.record_answer(advertised(1.9), ms(0), ms(1_000 + 100 * n)).is_some());

    assert_eq!(reports.count(), 4);
}

/// A server that advertises a limit of zero is still sent a request now and then, to learn whether
/// the limit has changed.
#[test]
fn a_limit_of_zero_counts_as_the_minimum_rate() {
    assert_eq!(learned(0.0).rate(), Some(MIN_ADVERTISED_RATE));
}

#[test]
fn the_latest_report_wins_in_any_order_of_arrival() {
    let first = learned(1.9);
    let mut second = first;
    second.record_answer(AdvertisedLimit::Nothing, ms(2_000), ms(2_100));
    let reports = [first.report().unwrap(), second.report().unwrap()];

    for order in [[0, 1], [1, 0]] {
        let mut other = KnownLimit::default();
        for i in order {
            other.merge(reports[i], ms(5_000));
        }
        assert_eq!(other.rate(), None, "{order:?}");
    }
}

#[test]
fn of_two_concurrent_reports_the_smaller_limit_wins_everywhere() {
    let (mut one, mut other) = (learned(1.9), learned(2.4));
    let (from_one, from_other) = (one.report().unwrap(), other.report().unwrap());

    one.merge(from_other, ms(1_100));
    other.merge(from_one, ms(1_100));

    assert_eq!((one.rate(), other.rate()), (Some(1.9), Some(1.9)));
}

/// Seeds forward the reports that they receive, including to each other. If a known report counted
/// as new, it would circulate between them indefinitely.
#[test]
fn a_known_report_is_not_forwarded_again() {
    let mut limits = [learned(1.9), KnownLimit::default()];
    let mut forwarded = 0;

    for turn in 0..20 {
        let (from, to) = (turn % 2, (turn + 1) % 2);
        let report: LimitReport = limits[from].report().unwrap();
        let now = ms(2_000 + turn as u64);
        forwarded += usize::from(limits[to].merge(report, now).is_some());
    }

    assert_eq!(forwarded, 1);
}

/// Largest number of sends in any window of this length.
fn max_in_window(sends: &[Duration], window: Duration) -> usize {
    let within = |i: usize| sends[i..].iter().take_while(|at| **at < sends[i] + window).count();
    (0..sends.len()).map(within).max().unwrap_or(0)
}

#[test]
fn shares_use_the_rate_and_no_second_exceeds_it() {
    let step = ms(5);
    for entries in [1, 3, 4, 21, 103, 360] {
        for rate in [0.05, 0.3, 1.0, 1.9, 2.4, 7.3, 17.5, 18.0] {
            let duration = Duration::from_secs_f64(30.0 + 10.0 / rate);
            let places = (0..entries).map(|rank| Place { rank, entries });
            let allowances: Vec<_> = places.filter_map(|p| allowance(rate, p, 1 << 60)).collect();
            let mut logs = vec![SlidingWindowLog::default(); allowances.len()];
            let mut sends = Vec::new();

            let mut now = Duration::ZERO;
            while now < duration {
                for (log, allowance) in logs.iter_mut().zip(&allowances) {
                    if log.may_send(allowance, now) {
                        log.record(allowance, now);
                        sends.push(now);
                    }
                }
                now += step;
            }

            let rate_used = sends.len() as f64 / duration.as_secs_f64();
            assert!(rate_used >= 0.9 * rate, "{entries} entries use {rate_used} of {rate}");
            let max = max_in_window(&sends, Duration::from_secs(1));
            assert!(max <= rate.ceil() as usize, "{entries} entries, {max} of {rate}");
        }
    }
}

/// The server's senders never probe it.
#[test]
fn one_entry_at_a_time_probes_a_silent_server() {
    let (rate, server) = (1.9, 1 << 60);
    for entries in [2, 3, 4, 21, 360] {
        let places: Vec<_> = (0..entries).map(|rank| Place { rank, entries }).collect();
        let senders = places.iter().filter(|p| allowance(rate, **p, server).is_some()).count();
        let mut probed = vec![false; places.len()];
        for tenth in 0..5_000 {
            let silent_for = ms(100 * tenth);
            let probes = |p: &Place| probe_allowance(rate, *p, server, silent_for).is_some();
            let now: Vec<usize> = (0..places.len()).filter(|i| probes(&places[*i])).collect();
            let is_silent = silent_for >= ms(5_000);
            assert!(
                now.len() <= usize::from(is_silent),
                "{now:?} of {entries} after {silent_for:?}"
            );
            now.iter().for_each(|i| probed[*i] = true);
        }
        let all = probed.iter().filter(|probed| **probed).count();
        assert_eq!(all, places.len() - senders, "{entries} entries");
    }
}

/// After a start of all entries none of them knows its place.
#[test]
fn entries_without_a_place_together_stay_within_the_rate() {
    for entries in [1, 4, 21, 360] {
        for rate in [0.05, 0.3, 1.9, 18.0] {
            let minimum = Allowance::minimum(rate, entries);
            let all = f64::from(entries * minimum.sends) / minimum.window.as_secs_f64();
            assert!(all <= rate * 1.001, "{entries} entries send {all} of {rate}");
            assert!(minimum.window >= Duration::from_secs(1));
        }
    }
}

#[test]
fn a_place_among_more_entries_than_there_can_be_does_not_panic() {
    for rank in [0, 1, u32::MAX / 2, u32::MAX - 1] {
        let place = Place { rank, entries: u32::MAX };
        let mut tracker = PlaceTracker::default();
        for entries in [u32::MAX, u32::MAX - 1] {
            tracker.update(Place { rank: 0, entries }, true, Duration::ZERO);
        }

        for server in [0, 1 << 60, u64::MAX] {
            let allowance = allowance(f64::MAX, place, server);
            let probe = probe_allowance(1.0, place, server, Duration::from_secs(60));
            assert!(allowance.is_some_and(|allowance| allowance.sends == 1), "{allowance:?}");
            assert!(probe.is_none_or(|probe| probe.sends == 1), "{probe:?}");
        }
    }
}
