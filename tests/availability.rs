//! The decision whether a server may be sent a request, on simulated time.

use std::time::{Duration, SystemTime};

use mintmoor::policy::{
    announcements::Announcements,
    availability::{
        Availability, RateSignal, Signals, UnavailableCause, decide, retain_first_tier,
    },
    retry_after::{MAX_PAUSE, RetryAfter},
};
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(100);
const DRAIN: Duration = Duration::from_secs(2);
const SECOND: Duration = Duration::from_secs(1);

fn signals() -> Signals {
    Signals { drain: DRAIN, ..Signals::default() }
}

fn paused(at: Duration, pause: Duration) -> Signals {
    let mut signals = signals();
    signals.announced.record_pause(pause, at);
    signals
}

fn draining(at: Duration) -> Signals {
    let mut signals = signals();
    signals.announced.record_draining(at);
    signals
}

#[test]
fn a_server_without_announcements_is_open() {
    assert_eq!(decide(&signals(), NOW), Availability::Open);
}

#[test]
fn a_draining_server_is_a_last_resort_for_half_of_its_drain_time() {
    let signals = draining(NOW);

    let at = |after: Duration| decide(&signals, NOW + after);

    assert_eq!(at(Duration::ZERO), Availability::LastResort(UnavailableCause::Draining));
    assert_eq!(
        at(DRAIN / 2 - Duration::from_millis(1)),
        Availability::LastResort(UnavailableCause::Draining)
    );
    assert_eq!(
        at(DRAIN / 2),
        Availability::Closed { cause: UnavailableCause::Draining, until: None }
    );
    assert_eq!(
        at(60 * DRAIN),
        Availability::Closed { cause: UnavailableCause::Draining, until: None }
    );
}

#[test]
fn a_paused_server_is_closed_until_its_latest_pause_ends() {
    let mut signals = paused(NOW, 3 * SECOND);
    signals.announced.record_pause(SECOND, NOW + SECOND);

    let until = Some(NOW + 3 * SECOND);
    assert_eq!(
        decide(&signals, NOW),
        Availability::Closed { cause: UnavailableCause::Paused, until }
    );
    let last = NOW + 3 * SECOND - Duration::from_millis(1);
    assert_eq!(
        decide(&signals, last),
        Availability::Closed { cause: UnavailableCause::Paused, until }
    );
    assert_eq!(decide(&signals, NOW + 3 * SECOND), Availability::Open);
}

#[test]
fn unanswered_sends_after_a_pause_grow_with_the_answers() {
    let mut signals = paused(NOW, SECOND);
    let now = NOW + SECOND;
    let recovering = Availability::Closed { cause: UnavailableCause::Recovering, until: None };

    signals.unanswered = 1;
    assert_eq!(decide(&signals, now), recovering);
    signals.announced.record_answer(now);
    assert_eq!(decide(&signals, now), Availability::Open);
    signals.unanswered = 2;
    assert_eq!(decide(&signals, now), recovering);

    for _ in 0..15 {
        signals.announced.record_answer(now);
    }
    signals.unanswered = 100;
    assert_eq!(decide(&signals, now), Availability::Open);
}

#[test]
fn recovery_after_a_pause_is_limited_in_time() {
    let mut signals = paused(NOW, SECOND);
    signals.unanswered = 1;

    assert_eq!(decide(&signals, NOW + 6 * SECOND), Availability::Open);
}

#[test]
fn closing_causes_take_precedence_over_last_resort_causes() {
    let mut signals = draining(NOW);
    signals.announced.record_pause(SECOND, NOW);
    signals.is_ejected = true;

    let until = Some(NOW + SECOND);
    assert_eq!(
        decide(&signals, NOW),
        Availability::Closed { cause: UnavailableCause::Paused, until }
    );
    signals.is_evacuated = true;
    assert_eq!(
        decide(&signals, NOW),
        Availability::Closed { cause: UnavailableCause::Evacuated, until: None }
    );
    signals.is_replaced = true;
    assert_eq!(
        decide(&signals, NOW),
        Availability::Closed { cause: UnavailableCause::Replaced, until: None }
    );
}

#[test]
fn a_rate_limit_closes_a_server_until_its_next_send() {
    let with = |rate| decide(&Signals { rate, ..signals() }, NOW);
    let until =
        |until| Availability::Closed { cause: UnavailableCause::RateLimited, until: Some(until) };

    assert_eq!(with(RateSignal::Share(NOW)), Availability::Open);
    assert_eq!(with(RateSignal::Share(NOW + SECOND)), until(NOW + SECOND));
    assert_eq!(
        with(RateSignal::LastResort(NOW)),
        Availability::LastResort(UnavailableCause::RateLimited)
    );
    assert_eq!(with(RateSignal::LastResort(NOW + SECOND)), until(NOW + SECOND));
    assert_eq!(with(RateSignal::NoShare(NOW)), until(NOW));
    assert_eq!(with(RateSignal::NoShare(NOW + SECOND)), until(NOW + SECOND));
}

/// Indexes of the servers that remain after filtering by tier.
fn selected(availabilities: &[Availability]) -> Vec<usize> {
    let mut servers: Vec<_> = availabilities.iter().copied().enumerate().collect();
    retain_first_tier(&mut servers);
    servers.into_iter().map(|(number, _)| number).collect()
}

#[test]
fn ejected_servers_are_used_only_if_all_are_ejected() {
    let ejected = Availability::LastResort(UnavailableCause::Ejected);

    assert_eq!(selected(&[ejected, Availability::Open, ejected]), [1]);
    assert_eq!(selected(&[ejected, ejected]), [0, 1]);
}

#[test]
fn ejected_servers_are_preferred_to_draining_ones_and_closed_ones_are_never_used() {
    let draining = Availability::LastResort(UnavailableCause::Draining);
    let ejected = Availability::LastResort(UnavailableCause::Ejected);
    let closed = Availability::Closed { cause: UnavailableCause::Paused, until: None };

    assert_eq!(selected(&[draining, ejected, closed]), [1]);
    assert_eq!(selected(&[closed, draining]), [1]);
    assert!(selected(&[closed, closed]).is_empty());
}

#[test]
fn retry_after_is_parsed_as_seconds_or_as_a_date() {
    let now = SystemTime::UNIX_EPOCH + Duration::from_secs(784_111_777);
    let parse = |text| RetryAfter::parse(text, now);

    assert_eq!(parse("3"), RetryAfter::After(3 * SECOND));
    assert_eq!(parse(" 0.25 "), RetryAfter::After(SECOND / 4));
    assert_eq!(parse("0"), RetryAfter::After(Duration::ZERO));
    assert_eq!(parse("1e300"), RetryAfter::After(MAX_PAUSE));
    assert_eq!(parse("Sun, 06 Nov 1994 08:49:40 GMT"), RetryAfter::After(3 * SECOND));
    assert_eq!(parse("Sun, 06 Nov 1994 08:49:30 GMT"), RetryAfter::After(Duration::ZERO));
    assert_eq!(parse("Sat, 06 Nov 2094 08:49:30 GMT"), RetryAfter::After(MAX_PAUSE));
    for junk in ["", "-1", "NaN", "inf", "-inf", "soon", "3 s", "Sun, 99 Nov 1994"] {
        assert_eq!(parse(junk), RetryAfter::Unreadable, "{junk}");
    }
}

#[test]
fn the_longer_of_two_pauses_in_one_answer_applies() {
    let (one, two) = (RetryAfter::After(SECOND), RetryAfter::After(2 * SECOND));

    assert_eq!(one.longer(two), two);
    assert_eq!(two.longer(one), two);
    assert_eq!(RetryAfter::Unreadable.longer(one), one);
    assert_eq!(one.longer(RetryAfter::Unreadable), one);
}

/// The announcement in a server's answer.
#[derive(Clone, Copy, Debug)]
enum Announcement {
    Nothing,
    Draining,
    Pause(u64),
}

fn answers() -> impl Strategy<Value = Vec<(u64, Announcement)>> {
    let announcement = prop_oneof![
        4 => Just(Announcement::Nothing),
        1 => Just(Announcement::Draining),
        2 => (1u64..5_000).prop_map(Announcement::Pause),
    ];
    prop::collection::vec((0u64..1_000, announcement), 0..60)
}

proptest! {
    #[test]
    fn nothing_is_sent_while_a_server_drains_or_pauses(answers in answers()) {
        let (mut announced, mut now) = (Announcements::default(), NOW);
        let (mut draining_since, mut paused_until) = (None, Duration::ZERO);
        for (after, announcement) in answers {
            now += Duration::from_millis(after);
            let before = announced.paused_until();
            match announcement {
                Announcement::Nothing => {
                    announced.record_answer(now);
                }
                Announcement::Draining => {
                    announced.record_draining(now);
                    draining_since.get_or_insert(now);
                }
                Announcement::Pause(ms) => {
                    announced.record_pause(Duration::from_millis(ms), now);
                    paused_until = paused_until.max(now + Duration::from_millis(ms));
                }
            }
            prop_assert!(announced.paused_until() >= before, "the end of a pause moved back");
            let availability = decide(&Signals { announced, ..signals() }, now);
            let is_paused = now < paused_until;
            let is_leaving = draining_since.is_some_and(|since| now >= since + DRAIN / 2);
            let is_closed = matches!(availability, Availability::Closed { .. });
            // Without unanswered requests, nothing else closes a server.
            prop_assert_eq!(is_closed, is_paused || is_leaving);
            prop_assert_eq!(
                availability == Availability::Open,
                !is_paused && draining_since.is_none()
            );
        }
    }
}
