//! Tests of pure decisions: server choice, limits, queues, retries, outliers, roll-outs, cascades, membership.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use mintmoor::{
    control::membership::{Scope, is_assigned, select_links},
    platform::{Host, HostState, Role},
    policy::{
        backoff::Backoff,
        cascade::{CascadeEstimates, StageOutlook, expected_cost, is_good_enough, start_stage},
        choice::{Pool, ServerLoad, choose_server, time_to_first_token},
        concurrency_limit::AdaptiveConcurrencyLimit,
        fair_queue::{FairQueue, QueuedAttempt},
        lifecycle::{self, LifecycleEvent, LifecycleState},
        outlier::{OutlierConfig, OutlierDetector, honors_ejection},
        retry::RetryBudget,
        roll_out::{
            Evidence, Finding, GuardStep, VersionTest, apply_step, guard_step, takes_new_version,
        },
    },
    resources::{BackendServer, Guard, Object, RollOut, RollOutState, Snapshot, Spec},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn load(running: u32, queued: u32) -> ServerLoad {
    ServerLoad {
        running,
        queued,
        limit: 8,
        service_time: Duration::from_millis(400),
        token_time: Duration::from_millis(20),
        prefill_rate: 2_000.0,
        ..ServerLoad::default()
    }
}

fn roll_out(share: f64) -> RollOut {
    RollOut {
        model: "m".into(),
        from: "1".into(),
        to: "2".into(),
        steps: vec![share, 1.0],
        step: 0,
        state: RollOutState::Running,
        guard: Guard::default(),
    }
}

fn evidence(answers: u64, failures: u64, poor: u64) -> Evidence {
    Evidence { answers, failures, rated: answers, poor }
}

fn host(name: &str, region: &str, zone: &str, role: Role) -> Host {
    Host {
        name: name.into(),
        region: region.into(),
        zone: zone.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        role,
        state: HostState::Live,
    }
}

#[test]
fn a_full_nearby_server_is_slower_than_an_idle_remote_one() {
    let near = load(8, 6);
    let far = ServerLoad { one_way_latency: Duration::from_millis(20), ..load(0, 0) };
    assert!(time_to_first_token(&near, 100) > time_to_first_token(&far, 100));
}

#[test]
fn requests_sent_since_the_report_count() {
    let busy_since_report = ServerLoad { sent_since_report: 20, ..load(0, 0) };
    let chosen = choose_server(&[0, 1], 10, |server| {
        Some(if server == 0 { busy_since_report } else { load(6, 0) })
    });
    assert_eq!(chosen, Some(1));
}

#[test]
fn a_cached_prefix_saves_its_prefill_time() {
    let cached = ServerLoad { cached_tokens: 900, ..load(4, 0) };
    let chosen =
        choose_server(&[0, 1], 1_000, |server| Some(if server == 0 { load(3, 0) } else { cached }));
    assert_eq!(chosen, Some(1));
}

#[test]
fn removing_a_server_moves_few_keys() {
    let names: Vec<String> = (0..50).map(|i| format!("host-{i}")).collect();
    let all = Pool::new(names.iter().map(String::as_str));
    let fewer = Pool::new(names.iter().skip(1).map(String::as_str));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let keys = 4_000;
    let moved = (0..keys).filter(|_| {
        let key: u64 = rng.random();
        let before = all.candidates(&[key, key], &mut rng)[0];
        // In the smaller pool every index is one less.
        before == 0 || fewer.candidates(&[key, key], &mut rng)[0] + 1 != before
    });
    let share = moved.count() as f64 / f64::from(keys);
    assert!(share < 0.06, "{share}");
}

#[test]
fn a_large_organisation_does_not_starve_small_ones() {
    let mut queue = FairQueue::new(200);
    let mut dropped = BTreeMap::new();
    for i in 0..300 {
        let organisation =
            if i % 10 == 0 { format!("p/small-{}", i / 10 % 9) } else { "p/large".into() };
        let waiting = QueuedAttempt {
            organisation: organisation.into(),
            priority: 0,
            cost: 10.0,
            weight: 1.0,
            item: i,
        };
        if let Some(item) = queue.push(waiting) {
            *dropped.entry(item % 10 == 0).or_insert(0) += 1;
        }
    }
    let first: Vec<i32> = (0..60).filter_map(|_| queue.pop()).collect();
    assert_eq!(dropped.get(&true), None, "a small organisation's attempt was dropped");
    assert_eq!(
        first.iter().filter(|i| *i % 10 == 0).count(),
        30,
        "all attempts of small organisations are served first"
    );
}

#[test]
fn a_higher_priority_goes_first_within_its_organisation() {
    let mut queue = FairQueue::new(10);
    for (priority, item) in [(0, "a"), (5, "b"), (0, "c")] {
        let waiting =
            QueuedAttempt { organisation: "p/o".into(), priority, cost: 1.0, weight: 1.0, item };
        queue.push(waiting);
    }
    let order: Vec<&str> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(order, ["b", "a", "c"]);
}

#[test]
fn throughput_follows_the_weights() {
    let mut queue = FairQueue::new(1_000);
    for i in 0..400 {
        let (organisation, weight) = if i % 2 == 0 { ("p/a", 3.0) } else { ("p/b", 1.0) };
        let organisation = organisation.into();
        queue.push(QueuedAttempt { organisation, priority: 0, cost: 1.0, weight, item: i % 2 });
    }
    let of_a = (0..200).filter(|_| queue.pop() == Some(0)).count();
    assert!((148..=152).contains(&of_a), "{of_a}");
}

#[test]
fn retries_are_a_bounded_share_of_first_tries() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        while budget.try_withdraw() {
            retries += 1;
        }
    }
    assert!(retries <= 1_020, "{retries}");
}

#[test]
fn the_limit_drops_under_slow_tokens_and_recovers() {
    let mut limit = AdaptiveConcurrencyLimit::new(32, Duration::from_millis(80));
    for _ in 0..20 {
        limit.observe(Duration::from_millis(200));
    }
    let low = limit.get();
    for _ in 0..2_000 {
        limit.observe(Duration::from_millis(20));
    }
    assert!(low < 6, "{low}");
    assert_eq!(limit.get(), 32);
}

#[test]
fn the_limit_never_reaches_zero() {
    let mut limit = AdaptiveConcurrencyLimit::new(4, Duration::from_millis(80));
    for _ in 0..1_000 {
        limit.observe(Duration::from_secs(1));
    }
    assert_eq!(limit.get(), 1);
}

#[test]
fn ejection_grows_with_each_failed_trial() {
    let config = OutlierConfig::default();
    let mut server = OutlierDetector::default();
    let mut now = Duration::from_secs(1);
    for _ in 0..config.consecutive_failures {
        server.record_failure(&config, now);
    }
    assert!(server.is_ejected(now));
    now += config.base_ejection;
    assert!(!server.should_skip(now), "available for a trial request");
    server.record_selection(now);
    assert!(server.should_skip(now), "only one trial request at a time");
    server.record_failure(&config, now);
    assert!(server.is_ejected(now + config.base_ejection), "ejected for longer the second time");
    now += config.base_ejection * 2;
    server.record_selection(now);
    server.record_answer(&config);
    assert!(!server.should_skip(now));
}

#[test]
fn ejections_are_ignored_when_too_few_servers_remain() {
    let config = OutlierConfig::default();
    assert!(!honors_ejection(1, 1, &config));
    assert!(!honors_ejection(8, 8, &config));
    assert!(!honors_ejection(5, 8, &config), "more servers than may be ejected");
    assert!(honors_ejection(1, 8, &config));
}

/// Finding after a single observation.
fn finding(old: Evidence, new: Evidence, guard: &Guard) -> Finding {
    let mut test = VersionTest::default();
    test.observe(old, new, guard);
    test.finding(guard)
}

#[test]
fn a_worse_version_is_found_and_an_equal_one_is_not() {
    let guard = Guard::default();
    let old = evidence(1_000, 20, 100);
    assert_eq!(finding(old, evidence(30, 15, 3), &guard), Finding::Worse);
    assert_eq!(finding(old, evidence(40, 1, 30), &guard), Finding::Worse, "poor answers");
    assert_eq!(finding(old, evidence(50, 1, 5), &guard), Finding::Undecided);
    assert_eq!(finding(old, evidence(250, 5, 25), &guard), Finding::NoWorse);
}

#[test]
fn false_holds_stay_under_one_in_a_hundred() {
    let point = mintmoor::load::guard_point(0.01, 7);
    assert!(point.false_holds < 10.0, "{point}");
}

#[test]
fn earlier_good_answers_do_not_hide_a_regression() {
    let guard = Guard { step_samples: u64::MAX, ..Guard::default() };
    let old = evidence(10_000, 0, 2_500);
    let mut test = VersionTest::default();
    // 500 answers as good as those of the old version, followed by poor ones only.
    for i in 1..=500 {
        test.observe(old, evidence(i, 0, i / 4), &guard);
    }
    assert_eq!(test.finding(&guard), Finding::Undecided);
    let mut poor = 0;
    while test.finding(&guard) != Finding::Worse {
        poor += 1;
        test.observe(old, evidence(500 + poor, 0, 125 + poor), &guard);
        assert!(poor < 40, "not found after {poor} poor answers");
    }
}

#[test]
fn a_failing_version_is_found_without_evidence_of_the_old_one() {
    let guard = Guard::default();
    let found = (1..200)
        .find(|n| finding(Evidence::default(), evidence(*n, *n, 0), &guard) == Finding::Worse);
    assert!(found.is_some_and(|n| n < 60), "{found:?}");
}

#[test]
fn a_growing_share_only_adds_sessions() {
    let on_new = |share: f64| -> BTreeSet<u32> {
        let spec = roll_out(share);
        (0..2_000).filter(|i| takes_new_version(&spec, &format!("s{i}"), false)).collect()
    };
    let (few, more) = (on_new(0.2), on_new(0.6));
    assert!(few.is_subset(&more));
    assert!((300..500).contains(&few.len()), "{}", few.len());
}

#[test]
fn a_held_version_gets_no_new_session() {
    assert!((0..500).all(|i| !takes_new_version(&roll_out(1.0), &format!("s{i}"), true)));
}

#[test]
fn the_guard_advances_by_steps_and_does_not_advance_a_paused_roll_out() {
    let running = roll_out(0.2);
    let second = apply_step(&running, guard_step(&running, Finding::NoWorse));
    assert_eq!((second.step, second.state), (1, RollOutState::Running));
    let finished = apply_step(&second, guard_step(&second, Finding::NoWorse));
    assert_eq!(finished.state, RollOutState::Finished);
    let paused = RollOut { state: RollOutState::Paused, ..running };
    assert_eq!(guard_step(&paused, Finding::NoWorse), GuardStep::Stay);
    assert_eq!(guard_step(&paused, Finding::Worse), GuardStep::Hold);
}

#[test]
fn a_cheap_stage_that_rarely_passes_is_skipped() {
    let stages =
        |pass| [StageOutlook { cost: 100.0, pass }, StageOutlook { cost: 1_000.0, pass: 0.97 }];
    assert_eq!(start_stage(&stages(0.75), 0.9, false), 0);
    assert_eq!(start_stage(&stages(0.05), 0.9, false), 1);
    assert_eq!(start_stage(&stages(0.75), 0.9, true), 1, "a single stage has to meet the target");
    assert!((expected_cost(&stages(0.75)) - 350.0).abs() < 1e-9);
}

/// A cheap stage passes three of four answers; the others are escalated unless the quality credit covers them.
#[test]
fn the_mean_rating_stays_at_the_target_with_few_escalations() {
    let cascade: Box<str> = "p/c".into();
    let mut estimates = CascadeEstimates::default();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let (mut sum, mut escalated) = (0.0, 0);
    let answers = 4_000;
    for _ in 0..answers {
        let mut rating = if rng.random_bool(0.75) { 1.0 } else { 0.0 };
        if !is_good_enough(rating, 0.9, estimates.quality_balance(&cascade, 0.9)) {
            escalated += 1;
            rating = if rng.random_bool(0.97) { 1.0 } else { 0.0 };
        }
        estimates.record_delivered(&cascade, 0.9, rating);
        sum += rating;
    }
    let mean = sum / f64::from(answers);
    assert!((0.895..0.91).contains(&mean), "{mean}");
    // Escalating every poor answer would be a quarter; a mean of 0.9 needs fewer.
    assert!(escalated < answers * 18 / 100, "{escalated} escalated");
}

#[test]
fn quality_credit_covers_few_poor_answers_in_a_row() {
    let cascade: Box<str> = "p/c".into();
    let mut estimates = CascadeEstimates::default();
    for _ in 0..10_000 {
        estimates.record_delivered(&cascade, 0.9, 1.0);
    }
    let mut passed = 0;
    while is_good_enough(0.0, 0.9, estimates.quality_balance(&cascade, 0.9)) {
        estimates.record_delivered(&cascade, 0.9, 0.0);
        passed += 1;
    }
    assert!((1..=3).contains(&passed), "{passed}");
}

#[test]
fn lifecycle_states_are_entered_only_once() {
    let mut machine = lifecycle::start();
    for event in [LifecycleEvent::Ready, LifecycleEvent::Leave, LifecycleEvent::Ready] {
        machine.handle(&event);
    }
    assert!(matches!(machine.state(), LifecycleState::Leaving {}));
    machine.handle(&LifecycleEvent::Idle);
    machine.handle(&LifecycleEvent::Leave);
    assert!(matches!(machine.state(), LifecycleState::Stopped {}));
}

fn agents(count: usize) -> Vec<Host> {
    (0..count)
        .map(|i| {
            let region = format!("r{}", i % 5);
            let zone = format!("z{}", i % 16);
            let role = Role::Agent(format!("p/e{i}").into());
            host(&format!("h{i}"), &region, &zone, role)
        })
        .collect()
}

fn snapshot_of(count: usize, versions: usize) -> Snapshot {
    let objects: Vec<Object> = (0..count)
        .map(|i| {
            let spec = BackendServer {
                versions: vec![format!("m{}@1", i % versions).into()],
                ..BackendServer::default()
            };
            Object { id: format!("p/e{i}").into(), revision: 1, spec: Spec::BackendServer(spec) }
        })
        .collect();
    Snapshot::build(1, objects.iter())
}

#[test]
fn links_of_an_entry_are_bounded_and_cover_every_version() {
    let hosts = agents(2_100);
    let snapshot = snapshot_of(2_100, 17);
    let me = host("me", "r1", "z1", Role::Entry);

    let links = select_links(&me, &hosts, &snapshot, 64);

    let versions: BTreeSet<usize> = links
        .iter()
        .map(|link| link.name.trim_start_matches('h').parse::<usize>().unwrap() % 17)
        .collect();
    assert!(links.len() <= 64);
    assert_eq!(versions.len(), 17);
}

#[test]
fn every_entry_links_to_a_server_of_a_rare_version() {
    let hosts = agents(2_100);
    let rare = ["p/e700", "p/e1400", "p/e2099"];
    let objects: Vec<Object> = (0..2_100)
        .map(|i| {
            let id: Box<str> = format!("p/e{i}").into();
            let version =
                if rare.contains(&&*id) { "rare@1".into() } else { format!("m{}@1", i % 16) };
            let spec = BackendServer { versions: vec![version.into()], ..BackendServer::default() };
            Object { id, revision: 1, spec: Spec::BackendServer(spec) }
        })
        .collect();
    let snapshot = Snapshot::build(1, objects.iter());

    for i in 0..20 {
        let me = host(&format!("entry-{i}"), "r1", "z1", Role::Entry);
        let links = select_links(&me, &hosts, &snapshot, 40);
        assert_eq!(links.len(), 40);
        assert!(links.iter().any(|l| matches!(&l.role, Role::Agent(s) if rare.contains(&&**s))));
    }
}

#[test]
fn removing_a_host_changes_few_links() {
    let mut hosts = agents(400);
    let snapshot = snapshot_of(400, 4);
    let me = host("me", "r1", "z1", Role::Entry);
    let names = |hosts: &[Host]| -> BTreeSet<Box<str>> {
        select_links(&me, hosts, &snapshot, 40).into_iter().map(|host| host.name).collect()
    };
    let before = names(&hosts);
    let gone = before.iter().next().unwrap().clone();
    hosts.retain(|host| host.name != gone);
    let after = names(&hosts);
    assert!(before.difference(&after).count() <= 3, "{:?}", before.difference(&after));
}

#[test]
fn a_duty_is_assigned_to_the_configured_number_of_entries() {
    let entries: Vec<Host> = (0..40)
        .map(|i| host(&format!("entry-{i}"), "r", &format!("z{}", i % 4), Role::Entry))
        .collect();
    let with =
        |scope| entries.iter().filter(|e| is_assigned(e, &entries, "poll", 2, scope)).count();
    assert_eq!(with(Scope::Global), 2);
    assert_eq!(with(Scope::Zone), 8);
    let unlisted = host("unlisted", "r", "z0", Role::Entry);
    assert!(
        is_assigned(&unlisted, &entries, "poll", 2, Scope::Zone),
        "an entry that is not in the list has every duty"
    );
}

#[test]
fn delays_between_attempts_grow_up_to_a_bound_and_never_end() {
    let mut backoff = Backoff::default();
    let delays: Vec<Duration> = (0..100).map(|_| backoff.record_failure(0.5)).collect();

    assert!(delays.is_sorted());
    assert!(delays[0] < delays[1]);
    assert_eq!(delays[98], delays[99]);
    assert!(delays[99] <= Duration::from_millis(500));
}

#[test]
fn delays_between_attempts_differ_by_chance() {
    let delays = [0.0, 1.0].map(|draw| Backoff::default().record_failure(draw));

    assert!(Duration::ZERO < delays[0] && delays[0] < delays[1]);
}

#[test]
fn failed_attempts_are_logged_first_and_then_rarely() {
    let mut backoff = Backoff::default();
    let mut logged = Vec::new();
    for attempt in 0..50 {
        if backoff.is_logged() {
            logged.push(attempt);
        }
        backoff.record_failure(0.5);
    }

    assert_eq!(logged, [0, 20, 40]);
}
