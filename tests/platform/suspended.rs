//! A Host that is suspended for some seconds: the runtime's clock stands still meanwhile, callers' time does
//! not, and what was heard before is old.

use std::{sync::Arc, time::Duration};

use mintmoor::clock::Clock;
use tokio::time::Instant;

use crate::{
    server::{Act, Server},
    site::{
        Site, list_server, start_server, start_server_with_first_act, store_with_servers,
        wait_until,
    },
};

const GOOD: Act = Act::Answer { status: 200, body: "good" };
/// Longer than callers here wait, five seconds.
const LONG: Duration = Duration::from_secs(20);

#[tokio::test]
async fn a_clock_goes_on_while_the_host_is_suspended() {
    let clock = Clock::starting_at(Duration::ZERO);
    assert_eq!(clock.detect_suspension(), None);

    clock.simulate_suspension(LONG);

    assert!(clock.now() >= LONG);
    // Both clocks are read one after the other.
    let noticed = clock.detect_suspension().expect("it is noticed");
    assert!(noticed.abs_diff(LONG) < Duration::from_millis(100), "{noticed:?}");
    assert!(clock.last_resumed_at() >= LONG);
    assert_eq!(clock.detect_suspension(), None, "it is told once");
}

#[tokio::test]
async fn a_wait_ends_whose_moment_passed_while_the_host_was_suspended() {
    let clock = Arc::new(Clock::starting_at(Duration::ZERO));
    let waiting = clock.clone();
    let began = Instant::now();
    let never = std::future::pending::<()>();
    let wait = tokio::spawn(async move { waiting.timeout_at(LONG, never).await });
    tokio::task::yield_now().await;

    clock.simulate_suspension(LONG);
    clock.detect_suspension();

    assert_eq!(wait.await.unwrap(), None);
    assert!(began.elapsed() < LONG / 2);
}

/// An answer that came while the Host was suspended is delivered, also late.
#[tokio::test]
async fn what_is_ready_when_the_host_resumes_is_taken() {
    let clock = Clock::starting_at(Duration::ZERO);
    clock.simulate_suspension(LONG);

    assert_eq!(clock.timeout_at(Duration::from_secs(1), std::future::ready(1)).await, Some(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_time_passed_meanwhile_ends_at_once() {
    let server = start_server("i-1", Act::Hang).await;
    let site = Arc::new(Site::start(&[(&server, "llm", "v1")]).await);
    let asking = site.clone();
    let began = Instant::now();
    let asked = tokio::spawn(async move { asking.request("POST", "/plain/a", "").await });
    wait_until("it is there", || server.seen().len() == 1).await;

    site.entry.router.clock.simulate_suspension(LONG);
    let answer = asked.await.unwrap();

    assert_eq!(answer.status, 504);
    assert!(began.elapsed() < Duration::from_secs(4), "its caller waits for five");
}

/// Callers' requests have five seconds here.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_is_told_the_time_that_is_left_after_a_suspension() {
    let (dies, serves) = (start_server("i-1", Act::Hang).await, start_server("i-2", GOOD).await);
    let site = Arc::new(Site::start(&[(&dies, "app", "v1")]).await);
    let asking = site.clone();
    let asked = tokio::spawn(async move { asking.request("GET", "/safe/a", "").await });
    wait_until("it is there", || dies.seen().len() == 1).await;
    list_server(&site.store, &serves, "app", "v1", "ready");
    wait_until("both are in view", || site.entry.router.fleet.load().len() == 2).await;

    site.entry.router.clock.simulate_suspension(Duration::from_millis(1_500));
    dies.crash();
    let answer = asked.await.unwrap();

    assert_eq!(answer.status, 200);
    let told: u64 = serves.seen()[0].header("x-deadline-ms").parse().unwrap();
    // The route's timeout is 3 s.
    assert!(told <= 1_500, "{told} ms");
}

fn follows(site: &Site) -> bool {
    site.entry.router.dump()["follows_another_entry"] == true
}

/// Its list is from before: it asks anew, and sends nothing to a server that has left meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn the_list_is_heard_anew_before_a_request_is_sent() {
    let (stays, leaves) = (start_server("i-1", GOOD).await, start_server("i-2", GOOD).await);
    let store = store_with_servers(&[(&stays, "app", "v1"), (&leaves, "app", "v1")]).await;
    let seed = Site::start_seed(store.clone(), None).await;
    seed.wait_for_servers(2).await;
    let follower = Site::start_follower(store.clone(), &seed).await;
    follower.wait_for_servers(2).await;
    wait_until("it follows", || follows(&follower)).await;

    for site in [&seed, &follower] {
        // The news has reached nobody yet when the Host resumes.
        list_server(&store, &leaves, "app", "v1", "draining");
        site.entry.router.clock.simulate_suspension(LONG);
        for i in 0..20 {
            assert_eq!(site.request("GET", &format!("/safe/{i}"), "").await.status, 200);
        }
        assert_eq!(leaves.seen().len(), 0, "it leaves");
        list_server(&store, &leaves, "app", "v1", "ready");
        let takes = || site.entry.router.dump()["servers"].as_array().unwrap().len() == 2;
        wait_until("it is back", takes).await;
    }
}

/// Connections that were idle meanwhile may be closed at the other end.
#[tokio::test(flavor = "multi_thread")]
async fn a_once_only_request_takes_no_connection_from_before() {
    let server: Server = start_server_with_first_act("i-1", GOOD, GOOD).await;
    let site = Site::start(&[(&server, "app", "v1")]).await;
    site.request("POST", "/once/a", "").await;
    let idle = || site.entry.router.dump()["servers"][0]["idle_connections"].clone();
    assert_eq!(idle(), 1);

    site.entry.router.clock.simulate_suspension(LONG);
    assert_eq!(site.request("POST", "/once/b", "").await.status, 200);

    assert_eq!(idle(), 1, "the old one was dropped, the new one kept");
}
