//! What entries know of servers that name a limit, and what they send there together: the decisions alone, with time
//! handed in.

use std::time::Duration;

use mintmoor::policy::{
    known_limit::{KnownLimit, LimitChange, LimitReport},
    place::Place,
    rate_limit::{
        AdvertisedLimit, Allowance, MIN_ADVERTISED_RATE, SlidingWindowLog, allowance,
        probe_allowance,
    },
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn named(rate: f64) -> AdvertisedLimit {
    AdvertisedLimit::Rate(rate)
}

/// A belief that heard this limit from the server itself at one second.
fn heard(rate: f64) -> KnownLimit {
    let mut belief = KnownLimit::default();
    belief.record_answer(named(rate), ms(900), ms(1_000));
    belief
}

#[test]
fn a_limit_holds_until_an_answer_to_a_later_request_names_none() {
    let mut belief = heard(1.9);

    assert_eq!(
        belief.record_answer(AdvertisedLimit::Nothing, ms(950), ms(1_050)),
        None,
        "it was overtaken"
    );
    assert_eq!(belief.rate(), Some(1.9));
    assert_eq!(belief.record_answer(AdvertisedLimit::Unreadable, ms(1_100), ms(1_200)), None);
    assert_eq!(belief.rate(), Some(1.9));
    assert_eq!(
        belief.record_answer(AdvertisedLimit::Nothing, ms(1_100), ms(1_200)),
        Some(LimitChange::Deferrable)
    );
    assert_eq!(belief.rate(), None);
}

#[test]
fn a_limit_that_falls_is_told_at_once_and_one_that_wavers_or_rises_later() {
    let mut belief = KnownLimit::default();

    assert_eq!(belief.record_answer(named(5.0), ms(0), ms(10)), Some(LimitChange::Urgent));
    assert_eq!(belief.record_answer(named(4.9), ms(20), ms(30)), Some(LimitChange::Deferrable));
    assert_eq!(belief.record_answer(named(3.5), ms(32), ms(34)), Some(LimitChange::Deferrable));
    assert_eq!(belief.record_answer(named(1.0), ms(40), ms(50)), Some(LimitChange::Urgent));
    assert_eq!(belief.record_answer(named(3.0), ms(60), ms(70)), Some(LimitChange::Deferrable));
    assert_eq!(belief.rate(), Some(3.0));
}

#[test]
fn a_limit_that_is_named_over_and_over_is_told_once_a_second() {
    let mut belief = heard(1.9);

    let told =
        (1..=40).filter(|n| belief.record_answer(named(1.9), ms(0), ms(1_000 + 100 * n)).is_some());

    assert_eq!(told.count(), 4);
}

/// A server that takes nothing is asked now and then whether it still does.
#[test]
fn no_limit_rests_a_server_for_good() {
    assert_eq!(heard(0.0).rate(), Some(MIN_ADVERTISED_RATE));
}

#[test]
fn what_another_entry_heard_later_holds_in_whatever_order_it_is_told() {
    let first = heard(1.9);
    let mut second = first;
    second.record_answer(AdvertisedLimit::Nothing, ms(2_000), ms(2_100));
    let news = [first.report().unwrap(), second.report().unwrap()];

    for order in [[0, 1], [1, 0]] {
        let mut other = KnownLimit::default();
        for i in order {
            other.merge(news[i], ms(5_000));
        }
        assert_eq!(other.rate(), None, "{order:?}");
    }
}

#[test]
fn of_two_limits_heard_at_once_the_smaller_holds_everywhere() {
    let (mut one, mut other) = (heard(1.9), heard(2.4));
    let (from_one, from_other) = (one.report().unwrap(), other.report().unwrap());

    one.merge(from_other, ms(1_100));
    other.merge(from_one, ms(1_100));

    assert_eq!((one.rate(), other.rate()), (Some(1.9), Some(1.9)));
}

/// Seeds pass on what they are told, also to each other.
#[test]
fn news_does_not_go_round() {
    let mut beliefs = [heard(1.9), KnownLimit::default()];
    let mut passed_on = 0;

    for turn in 0..20 {
        let (from, to) = (turn % 2, (turn + 1) % 2);
        let news: LimitReport = beliefs[from].report().unwrap();
        let now = ms(2_000 + turn as u64);
        passed_on += usize::from(beliefs[to].merge(news, now).is_some());
    }

    assert_eq!(passed_on, 1);
}

/// The most of these within any window of this length.
fn most_within(sends: &[Duration], window: Duration) -> usize {
    let within = |i: usize| sends[i..].iter().take_while(|at| **at < sends[i] + window).count();
    (0..sends.len()).map(within).max().unwrap_or(0)
}

#[test]
fn what_a_server_takes_is_used_and_no_second_has_more() {
    let step = ms(5);
    for entries in [1, 3, 4, 21, 103, 360] {
        for rate in [0.05, 0.3, 1.0, 1.9, 2.4, 7.3, 17.5, 18.0] {
            let lasts = Duration::from_secs_f64(30.0 + 10.0 / rate);
            let places = (0..entries).map(|rank| Place { rank, entries });
            let allowances: Vec<_> = places.filter_map(|p| allowance(rate, p, 1 << 60)).collect();
            let mut logs = vec![SlidingWindowLog::default(); allowances.len()];
            let mut sends = Vec::new();

            let mut now = Duration::ZERO;
            while now < lasts {
                for (log, allowance) in logs.iter_mut().zip(&allowances) {
                    if log.may_send(allowance, now) {
                        log.record(allowance, now);
                        sends.push(now);
                    }
                }
                now += step;
            }

            let used = sends.len() as f64 / lasts.as_secs_f64();
            assert!(used >= 0.9 * rate, "{entries} entries use {used} of {rate}");
            let most = most_within(&sends, Duration::from_secs(1));
            assert!(most <= rate.ceil() as usize, "{entries} entries, {most} of {rate}");
        }
    }
}

/// Its senders are never among them.
#[test]
fn one_entry_at_a_time_stands_in_at_a_server_that_nobody_hears_of() {
    let (rate, server) = (1.9, 1 << 60);
    for entries in [2, 3, 4, 21, 360] {
        let places: Vec<_> = (0..entries).map(|rank| Place { rank, entries }).collect();
        let senders = places.iter().filter(|p| allowance(rate, **p, server).is_some()).count();
        let mut stood_in = vec![false; places.len()];
        for tenth in 0..5_000 {
            let silent_for = ms(100 * tenth);
            let stand_ins = |p: &Place| probe_allowance(rate, *p, server, silent_for).is_some();
            let now: Vec<usize> = (0..places.len()).filter(|i| stand_ins(&places[*i])).collect();
            let is_quiet = silent_for >= ms(5_000);
            assert!(
                now.len() <= usize::from(is_quiet),
                "{now:?} of {entries} after {silent_for:?}"
            );
            now.iter().for_each(|i| stood_in[*i] = true);
        }
        let all = stood_in.iter().filter(|stood_in| **stood_in).count();
        assert_eq!(all, places.len() - senders, "{entries} entries");
    }
}

/// All entries have just started, and no server takes what it has places for.
#[test]
fn entries_that_do_not_know_their_places_send_no_more_together_than_a_server_takes() {
    for entries in [1, 4, 21, 360] {
        for rate in [0.05, 0.3, 1.9, 18.0] {
            let least = Allowance::minimum(rate, entries);
            let all = f64::from(entries * least.sends) / least.window.as_secs_f64();
            assert!(all <= rate * 1.001, "{entries} entries send {all} of {rate}");
            assert!(least.window >= Duration::from_secs(1));
        }
    }
}
