//! Servers that advertise how many requests per second they accept from all entries together
//! (docs/incidents/0012).

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    limited_pool::{
        LIMIT_PROPAGATION_TIME, arrival_times, assert_within_limit, flaky_server, healthy_server,
        responses_under_load, run_load, start_pool,
    },
    site::{Site, list_server_with_start_time, wait_until},
};

/// Lines of an entry's metric of sends to rate-limited servers, by outcome.
fn limited_sends(site: &Site) -> Vec<String> {
    let text = site.entry.router.metrics.render();
    let lines = text.lines().filter(|line| line.starts_with("mintmoor_limited_sends_total"));
    lines.map(str::to_owned).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn all_entries_together_keep_to_an_advertised_rate_limit() {
    let (limited, first, second) = (
        healthy_server("i-limited").await,
        healthy_server("i-1").await,
        healthy_server("i-2").await,
    );
    let (third, flaky) = (healthy_server("i-3").await, flaky_server("i-flaky").await);
    let pool = start_pool(&[&limited, &first, &second, &third, &flaky]).await;
    let sites = pool.start_entries(4).await;

    limited.advertise_limit(&["1.9"]);
    let from = Instant::now() + LIMIT_PROPAGATION_TIME;
    let (sent, served) = run_load(&sites, Duration::from_secs(9)).await;

    println!("{served} of {sent} served");
    sites.iter().for_each(|site| println!("{:?}", limited_sends(site)));
    assert_within_limit(&limited, from, 1.9);
    assert!(served * 10 >= sent * 9, "{served} of {sent} served");
}

/// Whether an entry knows any advertised rate limit.
fn knows_limit(site: &Site) -> bool {
    !site.entry.router.dump()["limits"].as_array().unwrap().is_empty()
}

/// Waits until all entries know the advertised limit and their own place, which decides on their
/// share of it.
async fn wait_until_settled(sites: &[Arc<Site>]) {
    run_load(sites, Duration::from_millis(300)).await;
    for site in sites {
        wait_until("the entry knows the limit", || knows_limit(site)).await;
        wait_until("the entry knows its place", || !site.entry.router.dump()["place"].is_null())
            .await;
    }
}

/// Index of the only entry that sends to a server with a limit of one request per second.
async fn find_only_sender(sites: &[Arc<Site>]) -> usize {
    wait_until_settled(sites).await;
    let before: Vec<_> = sites.iter().map(|site| limited_sends(site)).collect();
    run_load(sites, Duration::from_secs(3)).await;
    let has_sent = |i: &usize| limited_sends(&sites[*i]) != before[*i];
    let senders: Vec<usize> = (0..sites.len()).filter(has_sent).collect();
    assert_eq!(senders.len(), 1, "{senders:?}");
    senders[0]
}

/// The limit of one request per second allows only one of five entries to send, and that one is
/// killed.
#[tokio::test(flavor = "multi_thread")]
async fn a_rate_limited_server_is_used_again_soon_after_its_only_sender_dies() {
    let (limited, other) = (healthy_server("i-limited").await, healthy_server("i-1").await);
    let pool = start_pool(&[&limited, &other]).await;
    let mut sites = pool.start_entries(5).await;
    limited.advertise_limit(&["1"]);
    let sender = find_only_sender(&sites).await;

    drop(sites.remove(sender));
    let killed = Instant::now();
    run_load(&sites, Duration::from_secs(4)).await;

    let soon_after = arrival_times(&limited, killed + Duration::from_secs(2));
    assert!(!soon_after.is_empty(), "no entry sends to the server");
    assert_within_limit(&limited, killed, 1.0);
}

/// Only one entry sends to the server, and that one gets no requests from callers.
#[tokio::test(flavor = "multi_thread")]
async fn the_end_of_a_rate_limit_is_noticed_although_its_only_sender_is_idle() {
    let (limited, other) = (healthy_server("i-limited").await, healthy_server("i-1").await);
    let pool = start_pool(&[&limited, &other]).await;
    let mut sites = pool.start_entries(4).await;
    limited.advertise_limit(&["1"]);
    let sender = find_only_sender(&sites).await;
    let idle = sites.remove(sender);

    limited.advertise_limit(&[]);
    let deadline = Instant::now() + Duration::from_secs(12);
    while sites.iter().any(|site| knows_limit(site)) && Instant::now() < deadline {
        run_load(&sites, Duration::from_millis(100)).await;
    }

    assert!(!sites.iter().any(|site| knows_limit(site)), "the end of the limit was not noticed");
    wait_until("the idle entry knows it too", || !knows_limit(&idle)).await;
}

/// Three servers accept 6.6 requests per second in total, and callers send 66.
/// Also guards against refusals without a cause: a server becomes available between its selection and the refusal.
#[tokio::test(flavor = "multi_thread")]
async fn when_all_servers_are_rate_limited_excess_requests_are_refused_at_once() {
    let servers =
        [healthy_server("i-1").await, healthy_server("i-2").await, healthy_server("i-3").await];
    let pool = start_pool(&[&servers[0], &servers[1], &servers[2]]).await;
    let sites = pool.start_entries(4).await;
    servers.iter().for_each(|server| server.advertise_limit(&["2.2"]));
    wait_until_settled(&sites).await;

    let from = Instant::now();
    let answers = responses_under_load(&sites, Duration::from_secs(8)).await;

    servers.iter().for_each(|server| assert_within_limit(server, from, 2.2));
    let served = answers.iter().filter(|(answer, _)| answer.status == 200).count();
    let capacity = 3.0 * 2.2 * 8.0;
    assert!(served as f64 >= 0.9 * capacity, "{served} served, the servers accept {capacity}");
    for (answer, took) in &answers {
        assert!(*took < Duration::from_secs(1), "{answer:?} after {took:?}");
        let is_reported = answer.status == 200
            || (answer.status == 503
                && answer.body.contains("take no more requests now")
                && answer.head.contains("retry-after: "));
        assert!(is_reported, "{answer:?}");
    }
}

/// The only other server leaves most requests incomplete, so that nearly all requests to the
/// limited server are resumed streams and escalations to a larger model.
#[tokio::test(flavor = "multi_thread")]
async fn retries_and_resumed_streams_keep_to_the_rate_limit() {
    let (limited, flaky) = (healthy_server("i-limited").await, flaky_server("i-flaky").await);
    let pool = start_pool(&[&limited, &flaky]).await;
    let sites = pool.start_entries(4).await;
    limited.advertise_limit(&["1.9"]);
    run_load(&sites, Duration::from_millis(500)).await;
    let from = Instant::now() + LIMIT_PROPAGATION_TIME;

    run_load(&sites, Duration::from_secs(8)).await;

    let further =
        |site: &Arc<Site>| limited_sends(site).iter().any(|line| line.contains("further"));
    assert!(sites.iter().any(further), "no retry or resumed stream was sent");
    assert_within_limit(&limited, from, 1.9);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_entry_knows_the_rate_limit_before_it_serves() {
    let (limited, other) = (healthy_server("i-limited").await, healthy_server("i-1").await);
    let pool = start_pool(&[&limited, &other]).await;
    let sites = pool.start_entries(3).await;
    limited.advertise_limit(&["1.9"]);
    run_load(&sites, Duration::from_millis(300)).await;
    wait_until("the limit is known", || sites.iter().all(|site| knows_limit(site))).await;
    limited.advertise_limit(&[]);

    let seed = sites[0].entry.addresses.peer.unwrap();
    let new_entry = Arc::new(pool.start_entry(&[seed], None).await);
    let before = limited.requests().len();
    for _ in 0..10 {
        assert_eq!(new_entry.request("POST", "/chat/late", "X-Model: small\r\n").await.status, 200);
    }

    assert_eq!(
        limited.requests().len(),
        before,
        "the new entry has no place yet, and another server is free"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_server_has_no_rate_limit() {
    let limited = healthy_server("i-limited").await;
    let pool = start_pool(&[&limited]).await;
    let sites = pool.start_entries(2).await;
    limited.advertise_limit(&["1.9"]);
    run_load(&sites, Duration::from_millis(300)).await;
    wait_until("the limit is known", || sites.iter().all(|site| knows_limit(site))).await;

    limited.advertise_limit(&[]);
    list_server_with_start_time(&pool.store, &limited, "llm", 2_000);

    wait_until("the limit is forgotten", || !sites.iter().any(|site| knows_limit(site))).await;
    let (sent, served) = run_load(&sites, Duration::from_secs(1)).await;
    assert_eq!(served, sent);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unreadable_rate_limit_is_ignored() {
    let limited = healthy_server("i-limited").await;
    let pool = start_pool(&[&limited]).await;
    let sites = pool.start_entries(2).await;

    for lines in [["NaN"], ["-3"], ["few"], ["inf"]] {
        limited.advertise_limit(&lines);
        let (sent, served) = run_load(&sites, Duration::from_millis(300)).await;
        assert_eq!(served, sent, "{lines:?}");
    }

    assert!(!sites.iter().any(|site| knows_limit(site)));
}
