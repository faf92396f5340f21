//! The decision whether a server may be sent a request, on simulated time.

use std::time::{Duration, SystemTime};

use mintmoor::policy::{
    address_owner::{AddressOwner, DOUBT_TIME, MAX_CLOSURE},
    announcements::Announcements,
    availability::{
        Availability, RateSignal, Signals, UnavailableCause, decide, retain_first_tier,
    },
    misdirected_by::{MisdirectedBy, RejectionEvidence},
    outlier::{OutlierConfig, OutlierDetector},
    retry_after::{MAX_PAUSE, RetryAfter},
    send_window::SendWindow,
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
    signals.address.record_misdirected(MisdirectedBy::AnotherServer, NOW);
    let until = signals.address.closed_until(NOW);
    assert!(until.is_some());
    assert_eq!(
        decide(&signals, NOW),
        Availability::Closed { cause: UnavailableCause::Replaced, until }
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

/// When a state that takes a server out of use ends.
enum End {
    /// At the latest after this time, without any news.
    After(Duration),
    /// When the platform or the operator says so: nothing that a request or a response says.
    ByOrder,
}

/// A server in the state that gives this cause, and when the state ends.
fn unavailable(cause: UnavailableCause) -> (Signals, End) {
    let mut signals = signals();
    let end = match cause {
        UnavailableCause::Replaced => {
            for _ in 0..10 {
                signals.address.record_misdirected(MisdirectedBy::AnotherServer, NOW);
            }
            End::After(MAX_CLOSURE)
        }
        UnavailableCause::Unidentified => {
            signals.address.record_misdirected(MisdirectedBy::Unknown, NOW);
            End::After(DOUBT_TIME)
        }
        UnavailableCause::Evacuated => {
            signals.is_evacuated = true;
            End::ByOrder
        }
        UnavailableCause::Draining => {
            signals.announced.record_draining(NOW);
            End::ByOrder
        }
        UnavailableCause::Paused => {
            signals.announced.record_pause(MAX_PAUSE, NOW);
            End::After(MAX_PAUSE)
        }
        UnavailableCause::Recovering => {
            signals.announced.record_pause(Duration::ZERO, NOW);
            signals.unanswered = 1;
            End::After(5 * SECOND)
        }
        UnavailableCause::Full => {
            signals.window.record_rejection(0, NOW);
            signals.in_flight = 1;
            End::After(30 * SECOND)
        }
        UnavailableCause::RateLimited => {
            signals.rate = RateSignal::Share(NOW + SECOND);
            End::After(SECOND)
        }
        UnavailableCause::Ejected => {
            signals.is_ejected = true;
            // The detector, and not this decision, keeps the time: see the test below.
            End::ByOrder
        }
    };
    (signals, end)
}

fn cause_of(availability: Availability) -> Option<UnavailableCause> {
    match availability {
        Availability::Open => None,
        Availability::LastResort(cause) | Availability::Closed { cause, .. } => Some(cause),
    }
}

/// Guards against a state that requests can cause and that nothing ends (docs/incidents/0033).
#[test]
fn every_state_that_takes_a_server_out_of_use_ends() {
    for cause in UnavailableCause::ALL {
        let (signals, end) = unavailable(cause);

        assert_eq!(cause_of(decide(&signals, NOW)), Some(cause));
        match end {
            End::After(time) => assert_eq!(decide(&signals, NOW + time), Availability::Open),
            End::ByOrder => assert_eq!(cause_of(decide(&signals, 2 * NOW)), Some(cause)),
        }
    }
}

#[test]
fn an_ejection_ends_however_many_failures_came_before() {
    let config = OutlierConfig::default();
    let mut outlier = OutlierDetector::default();
    for _ in 0..100 {
        outlier.record_failure(&config, NOW);
    }

    assert!(outlier.should_skip(NOW));
    assert!(!outlier.should_skip(NOW + config.max_ejection));
}

#[test]
fn a_full_window_does_not_close_an_idle_server() {
    let mut window = SendWindow::default();
    window.record_rejection(0, NOW);

    assert!(window.allows_another(0, NOW));
}

/// A 421 response of an unnamed sender on a new connection to a server that has signed nothing yet.
fn unnamed_rejection() -> RejectionEvidence<'static> {
    RejectionEvidence {
        expected: "i-1",
        named: None,
        is_signed_connection: false,
        opened_at: NOW,
        signed_at: None,
    }
}

#[test]
fn a_rejection_is_of_the_server_itself_only_with_proof() {
    let before = NOW.checked_sub(SECOND);
    let cases = [
        (unnamed_rejection(), MisdirectedBy::Unknown),
        (RejectionEvidence { named: Some("i-1"), ..unnamed_rejection() }, MisdirectedBy::Itself),
        (
            RejectionEvidence { named: Some("i-2"), ..unnamed_rejection() },
            MisdirectedBy::AnotherServer,
        ),
        (
            RejectionEvidence {
                named: Some("i-2"),
                is_signed_connection: true,
                ..unnamed_rejection()
            },
            MisdirectedBy::AnotherServer,
        ),
        (
            RejectionEvidence { is_signed_connection: true, ..unnamed_rejection() },
            MisdirectedBy::Itself,
        ),
        (RejectionEvidence { signed_at: before, ..unnamed_rejection() }, MisdirectedBy::Unknown),
        (RejectionEvidence { signed_at: Some(NOW), ..unnamed_rejection() }, MisdirectedBy::Itself),
    ];
    for (evidence, by) in cases {
        assert_eq!(MisdirectedBy::identify(&evidence), by, "{evidence:?}");
    }
}

/// What happens to a server's address, each after some time in ms.
#[derive(Clone, Copy, Debug)]
enum AddressEvent {
    Misdirected(MisdirectedBy),
    Signed,
}

fn address_events() -> impl Strategy<Value = Vec<(u64, AddressEvent)>> {
    let event = prop_oneof![
        Just(AddressEvent::Misdirected(MisdirectedBy::AnotherServer)),
        Just(AddressEvent::Misdirected(MisdirectedBy::Unknown)),
        Just(AddressEvent::Misdirected(MisdirectedBy::Itself)),
        Just(AddressEvent::Signed),
    ];
    prop::collection::vec((0u64..5_000, event), 0..40)
}

proptest! {
    #[test]
    fn only_another_server_closes_a_server_and_only_for_a_time(events in address_events()) {
        let (mut address, mut now) = (AddressOwner::default(), NOW);
        for (after, event) in events {
            now += Duration::from_millis(after);
            let before = address.closed_until(now);
            match event {
                AddressEvent::Misdirected(by) => {
                    address.record_misdirected(by, now);
                }
                AddressEvent::Signed => {
                    address.record_signed(now);
                }
            }
            let until = address.closed_until(now);
            match event {
                AddressEvent::Misdirected(MisdirectedBy::AnotherServer) => {
                    prop_assert!(until.is_some_and(|until| until <= now + MAX_CLOSURE));
                    prop_assert!(before.is_none() || until == before, "a closure is longer");
                }
                AddressEvent::Misdirected(MisdirectedBy::Unknown) => {
                    prop_assert_eq!(until, before);
                    prop_assert!(!address.is_doubted(now + DOUBT_TIME));
                }
                AddressEvent::Misdirected(MisdirectedBy::Itself) | AddressEvent::Signed => {
                    prop_assert_eq!(decide(&Signals { address, ..signals() }, now), Availability::Open);
                    prop_assert!(!address.is_on_trial());
                }
            }
        }
    }
}
