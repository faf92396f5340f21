//! A server that advertises how many requests a second it takes from all entries together (docs/incidents/0012).

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    limited_pool::{
        CONTACT, answers_under_load, arrivals, assert_within_limit, flaky, healthy, load, pool_of,
    },
    site::{Site, list_server_with_start_time, wait_until},
};

/// How many sends to rate-limited servers an entry counts, by what they were.
fn limited_sends(site: &Site) -> Vec<String> {
    let text = site.entry.router.metrics.render();
    let lines = text.lines().filter(|line| line.starts_with("mintmoor_limited_sends_total"));
    lines.map(str::to_owned).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_names_its_limit_gets_no_more_from_all_entries() {
    let (limited, other, third) =
        (healthy("i-limited").await, healthy("i-1").await, healthy("i-2").await);
    let (fourth, flaky) = (healthy("i-3").await, flaky("i-flaky").await);
    let pool = pool_of(&[&limited, &other, &third, &fourth, &flaky]).await;
    let sites = pool.entries(4).await;

    limited.advertise_limit(&["1.9"]);
    let from = Instant::now() + CONTACT;
    let (asked, served) = load(&sites, Duration::from_secs(9)).await;

    println!("{served} of {asked} served");
    sites.iter().for_each(|site| println!("{:?}", limited_sends(site)));
    assert_within_limit(&limited, from, 1.9);
    assert!(served * 10 >= asked * 9, "{served} of {asked} served");
}

fn knows_limit(site: &Site) -> bool {
    !site.entry.router.dump()["limits"].as_array().unwrap().is_empty()
}

/// Waits until all know the only limit that is named, and their places.
async fn until_settled(sites: &[Arc<Site>]) {
    load(sites, Duration::from_millis(300)).await;
    for site in sites {
        wait_until("it knows the limit", || knows_limit(site)).await;
        wait_until("it knows its place", || !site.entry.router.dump()["place"].is_null()).await;
    }
}

/// The only entry that sends to a server that names one request a second.
async fn only_sender(sites: &[Arc<Site>]) -> usize {
    until_settled(sites).await;
    let before: Vec<_> = sites.iter().map(|site| limited_sends(site)).collect();
    load(sites, Duration::from_secs(3)).await;
    let has_sent = |i: &usize| limited_sends(&sites[*i]) != before[*i];
    let senders: Vec<usize> = (0..sites.len()).filter(has_sent).collect();
    assert_eq!(senders.len(), 1, "{senders:?}");
    senders[0]
}

/// One entry in five may send to it, and is killed.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_whose_only_sender_died_is_used_again_soon() {
    let (limited, other) = (healthy("i-limited").await, healthy("i-1").await);
    let pool = pool_of(&[&limited, &other]).await;
    let mut sites = pool.entries(5).await;
    limited.advertise_limit(&["1"]);
    let sender = only_sender(&sites).await;

    drop(sites.remove(sender));
    let killed = Instant::now();
    load(&sites, Duration::from_secs(4)).await;

    let soon = arrivals(&limited, killed + Duration::from_secs(2));
    assert!(!soon.is_empty(), "nobody sends there any more");
    assert_within_limit(&limited, killed, 1.0);
}

/// Until then nobody sends to it but one entry, which has no callers.
#[tokio::test(flavor = "multi_thread")]
async fn the_end_of_a_need_is_heard_though_its_only_sender_has_no_work() {
    let (limited, other) = (healthy("i-limited").await, healthy("i-1").await);
    let pool = pool_of(&[&limited, &other]).await;
    let mut sites = pool.entries(4).await;
    limited.advertise_limit(&["1"]);
    let sender = only_sender(&sites).await;
    let idle = sites.remove(sender);

    limited.advertise_limit(&[]);
    let deadline = Instant::now() + Duration::from_secs(12);
    while sites.iter().any(|site| knows_limit(site)) && Instant::now() < deadline {
        load(&sites, Duration::from_millis(100)).await;
    }

    assert!(!sites.iter().any(|site| knows_limit(site)), "the end is not heard");
    wait_until("the idle one is told, too", || !knows_limit(&idle)).await;
}

/// Three servers take 6.6 requests a second, and callers ask 66.
#[tokio::test(flavor = "multi_thread")]
async fn where_all_servers_are_in_need_they_are_used_and_the_rest_is_refused_at_once() {
    let servers = [healthy("i-1").await, healthy("i-2").await, healthy("i-3").await];
    let pool = pool_of(&[&servers[0], &servers[1], &servers[2]]).await;
    let sites = pool.entries(4).await;
    servers.iter().for_each(|server| server.advertise_limit(&["2.2"]));
    until_settled(&sites).await;

    let from = Instant::now();
    let answers = answers_under_load(&sites, Duration::from_secs(8)).await;

    servers.iter().for_each(|server| assert_within_limit(server, from, 2.2));
    let served = answers.iter().filter(|(answer, _)| answer.status == 200).count();
    let taken = 3.0 * 2.2 * 8.0;
    assert!(served as f64 >= 0.9 * taken, "{served} served, {taken} are taken");
    for (answer, took) in &answers {
        assert!(*took < Duration::from_secs(1), "{answer:?} after {took:?}");
        let is_reported = answer.status == 200
            || (answer.status == 503
                && answer.body.contains("take no more requests now")
                && answer.head.contains("retry-after: "));
        assert!(is_reported, "{answer:?}");
    }
}

/// Nearly all that reaches it are resumed streams and larger models, after another server that serves few of them whole.
#[tokio::test(flavor = "multi_thread")]
async fn further_sends_of_a_request_keep_to_the_limit_as_first_ones_do() {
    let (limited, flaky) = (healthy("i-limited").await, flaky("i-flaky").await);
    let pool = pool_of(&[&limited, &flaky]).await;
    let sites = pool.entries(4).await;
    limited.advertise_limit(&["1.9"]);
    load(&sites, Duration::from_millis(500)).await;
    let from = Instant::now() + CONTACT;

    load(&sites, Duration::from_secs(8)).await;

    let further =
        |site: &Arc<Site>| limited_sends(site).iter().any(|line| line.contains("further"));
    assert!(sites.iter().any(further), "no further send was made");
    assert_within_limit(&limited, from, 1.9);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_knows_the_limit_before_it_serves() {
    let (limited, other) = (healthy("i-limited").await, healthy("i-1").await);
    let pool = pool_of(&[&limited, &other]).await;
    let sites = pool.entries(3).await;
    limited.advertise_limit(&["1.9"]);
    load(&sites, Duration::from_millis(300)).await;
    wait_until("it is known", || sites.iter().all(|site| knows_limit(site))).await;
    limited.advertise_limit(&[]);

    let seed = sites[0].entry.addresses.peer.unwrap();
    let late = Arc::new(pool.entry(&[seed], None).await);
    let before = limited.seen().len();
    for _ in 0..10 {
        assert_eq!(late.request("POST", "/chat/late", "X-Model: small\r\n").await.status, 200);
    }

    assert_eq!(limited.seen().len(), before, "it has no place yet, and another server is free");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_life_of_a_server_has_no_limit() {
    let limited = healthy("i-limited").await;
    let pool = pool_of(&[&limited]).await;
    let sites = pool.entries(2).await;
    limited.advertise_limit(&["1.9"]);
    load(&sites, Duration::from_millis(300)).await;
    wait_until("it is known", || sites.iter().all(|site| knows_limit(site))).await;

    limited.advertise_limit(&[]);
    list_server_with_start_time(&pool.store, &limited, "llm", 2_000);

    wait_until("the new life has none", || !sites.iter().any(|site| knows_limit(site))).await;
    let (asked, served) = load(&sites, Duration::from_secs(1)).await;
    assert_eq!(served, asked);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_that_cant_be_read_changes_nothing() {
    let limited = healthy("i-limited").await;
    let pool = pool_of(&[&limited]).await;
    let sites = pool.entries(2).await;

    for lines in [["NaN"], ["-3"], ["few"], ["inf"]] {
        limited.advertise_limit(&lines);
        let (asked, served) = load(&sites, Duration::from_millis(300)).await;
        assert_eq!(served, asked, "{lines:?}");
    }

    assert!(!sites.iter().any(|site| knows_limit(site)));
}
