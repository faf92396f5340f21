//! Age of what an entry receives over a link, on links whose messages arrive late, in order.

use std::{collections::VecDeque, time::Duration};

use mintmoor::policy::{
    followed_link::FollowedLink,
    link_age::{LinkAge, ProbeTime, max_link_age},
};
use proptest::prelude::*;

/// Interval between heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(300);
const BOUND: Duration = Duration::from_secs(2);

/// A heartbeat on its way: when it was composed, when it arrives, and the probe that it returns.
struct Heartbeat {
    composed_at: Duration,
    arrives_at: Duration,
    probe: Option<ProbeTime>,
}

/// Delays of successive messages in one direction, which stay in order.
fn delays() -> impl Strategy<Value = Vec<Duration>> {
    prop::collection::vec((0_u64..4_000).prop_map(Duration::from_millis), 40)
}

proptest! {
    /// Guards against a link that is taken for younger than the newest message that arrived over it.
    #[test]
    fn what_a_link_proves_is_never_younger_than_what_arrived(to_sender in delays(), back in delays()) {
        let mut age = LinkAge::new(Duration::ZERO, max_link_age(BOUND));
        let mut probes: VecDeque<(Duration, ProbeTime)> = VecDeque::from([(to_sender[0], LinkAge::probe(Duration::ZERO))]);
        let (mut received, mut last_arrival, mut last_probe) = (None, Duration::ZERO, to_sender[0]);
        for (number, delay) in back.iter().enumerate() {
            let composed_at = to_sender[0] + HEARTBEAT * u32::try_from(number).unwrap();
            while probes.front().is_some_and(|(at, _)| *at <= composed_at) {
                received = probes.pop_front().map(|(_, probe)| probe);
            }
            last_arrival = last_arrival.max(composed_at + *delay);
            let heartbeat = Heartbeat { composed_at, arrives_at: last_arrival, probe: received };

            let now = heartbeat.arrives_at;
            age.record_echo(heartbeat.probe.unwrap(), now);

            prop_assert!(age.proved_at() <= heartbeat.composed_at);
            prop_assert!(!age.is_late(now) || !age.is_prompt(now));
            last_probe = last_probe.max(now + to_sender[number]);
            probes.push_back((last_probe, LinkAge::probe(now)));
        }
    }
}

#[test]
fn a_link_is_late_from_its_limit_on_without_a_further_message() {
    let limit = max_link_age(BOUND);
    let age = LinkAge::new(HEARTBEAT, limit);

    assert!(!age.is_late(HEARTBEAT + limit - Duration::from_millis(1)));
    assert!(age.is_late(HEARTBEAT + limit));
    assert_eq!(age.late_at(), HEARTBEAT + limit);
}

#[test]
fn a_probe_that_was_never_sent_proves_nothing() {
    let mut age = LinkAge::new(HEARTBEAT, max_link_age(BOUND));

    age.record_echo(ProbeTime::MAX, 2 * HEARTBEAT);
    age.record_echo(LinkAge::probe(Duration::ZERO), 2 * HEARTBEAT);

    assert_eq!(age.proved_at(), HEARTBEAT);
}

#[test]
fn a_link_has_half_of_the_bound_and_a_second_at_least() {
    for (bound, limit) in
        [(0, 1_000), (1_000, 1_000), (2_000, 1_000), (4_000, 2_000), (5_000, 2_500)]
    {
        assert_eq!(max_link_age(Duration::from_millis(bound)), Duration::from_millis(limit));
    }
}

/// A link that was opened at time 0 and has just returned its first probe.
fn followed_link() -> FollowedLink {
    let mut link = FollowedLink::new(Duration::ZERO, max_link_age(BOUND), Duration::ZERO);
    link.record_heartbeat(HEARTBEAT, true, Some(LinkAge::probe(Duration::ZERO)));
    link
}

#[test]
fn a_late_link_replaces_the_store_again_once_it_is_prompt() {
    let mut link = followed_link();
    let limit = max_link_age(BOUND);
    assert!(!link.update_lateness(HEARTBEAT) && link.is_current());

    assert!(link.update_lateness(limit));
    assert!(!link.is_current());
    // Young enough to be in time, not to be prompt.
    link.record_heartbeat(limit + HEARTBEAT, true, Some(LinkAge::probe(limit / 2)));
    assert!(!link.update_lateness(limit + HEARTBEAT) && !link.is_current());
    link.record_heartbeat(2 * limit, true, Some(LinkAge::probe(2 * limit - HEARTBEAT)));
    assert!(!link.update_lateness(2 * limit) && link.is_current());
}

#[test]
fn a_late_link_is_left_after_a_second_and_one_without_the_store_at_once() {
    let mut link = followed_link();
    let limit = max_link_age(BOUND);
    link.update_lateness(limit);

    assert_eq!(link.reason_to_leave(limit + Duration::from_millis(999)), None);
    assert!(link.reason_to_leave(limit + Duration::from_millis(1_000)).is_some());
    link.record_heartbeat(limit, false, None);
    assert!(link.reason_to_leave(limit).is_some());
}

#[test]
fn a_sender_that_returns_no_probes_gets_none_and_counts_by_arrival() {
    let mut link = FollowedLink::new(Duration::ZERO, max_link_age(BOUND), Duration::ZERO);
    assert_eq!(link.next_probe(HEARTBEAT), None);

    link.record_heartbeat(3 * BOUND, true, None);

    assert_eq!(link.next_probe(3 * BOUND), None);
    assert!(!link.update_lateness(3 * BOUND) && link.is_current());
}
