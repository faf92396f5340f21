//! A Host that is suspended for some seconds: the runtime's clock stops in the meantime while
//! callers' deadlines go on, and the server list that the entry has is outdated when it resumes.

use std::{sync::Arc, time::Duration};

use mintmoor::clock::Clock;
use tokio::time::Instant;

use crate::{
    server::{Action, Server},
    site::{
        Site, list_server, start_server, start_server_with_first_act, store_with_servers,
        wait_until,
    },
};

const SUCCESS: Action = Action::Respond { status: 200, body: "good" };
/// Longer than the deadline of callers in these tests, five seconds.
const SUSPENSION: Duration = Duration::from_secs(20);

#[tokio::test]
async fn the_clock_includes_the_time_of_a_suspension() {
    let clock = Clock::starting_at(Duration::ZERO);
    assert_eq!(clock.detect_suspension(), None);

    clock.simulate_suspension(SUSPENSION);

    assert!(clock.now() >= SUSPENSION);
    // The two clocks are read one after the other, so the difference is not exact.
    let detected = clock.detect_suspension().expect("the suspension is detected");
    assert!(detected.abs_diff(SUSPENSION) < Duration::from_millis(100), "{detected:?}");
    assert!(clock.last_resumed_at() >= SUSPENSION);
    assert_eq!(clock.detect_suspension(), None, "each suspension is reported once");
}

#[tokio::test]
async fn a_timeout_that_expired_during_a_suspension_fires_on_resume() {
    let clock = Arc::new(Clock::starting_at(Duration::ZERO));
    let task_clock = clock.clone();
    let began = Instant::now();
    let never = std::future::pending::<()>();
    let wait = tokio::spawn(async move { task_clock.timeout_at(SUSPENSION, never).await });
    tokio::task::yield_now().await;

    clock.simulate_suspension(SUSPENSION);
    clock.detect_suspension();

    assert_eq!(wait.await.unwrap(), None);
    assert!(began.elapsed() < SUSPENSION / 2);
}

/// A response that arrived while the Host was suspended is delivered, even after the timeout.
#[tokio::test]
async fn a_result_that_is_ready_on_resume_is_returned_although_its_timeout_expired() {
    let clock = Clock::starting_at(Duration::ZERO);
    clock.simulate_suspension(SUSPENSION);

    assert_eq!(clock.timeout_at(Duration::from_secs(1), std::future::ready(1)).await, Some(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_deadline_passed_during_a_suspension_fails_at_once() {
    let server = start_server("i-1", Action::Hang).await;
    let site = Arc::new(Site::start(&[(&server, "llm", "v1")]).await);
    let requester = site.clone();
    let began = Instant::now();
    let pending = tokio::spawn(async move { requester.request("POST", "/plain/a", "").await });
    wait_until("the request arrived", || server.requests().len() == 1).await;

    site.entry.router.clock.simulate_suspension(SUSPENSION);
    let answer = pending.await.unwrap();

    assert_eq!(answer.status, 504);
    assert!(began.elapsed() < Duration::from_secs(4), "the caller's deadline is five seconds");
}

/// The caller's deadline is five seconds; a retry is sent after a suspension of 1.5 s.
#[tokio::test(flavor = "multi_thread")]
async fn the_forwarded_deadline_excludes_the_time_of_a_suspension() {
    let (crashing, healthy) =
        (start_server("i-1", Action::Hang).await, start_server("i-2", SUCCESS).await);
    let site = Arc::new(Site::start(&[(&crashing, "app", "v1")]).await);
    let requester = site.clone();
    let pending = tokio::spawn(async move { requester.request("GET", "/safe/a", "").await });
    wait_until("the request arrived", || crashing.requests().len() == 1).await;
    list_server(&site.store, &healthy, "app", "v1", "ready");
    wait_until("both servers are in view", || site.entry.router.fleet.load().len() == 2).await;

    site.entry.router.clock.simulate_suspension(Duration::from_millis(1_500));
    crashing.crash();
    let answer = pending.await.unwrap();

    assert_eq!(answer.status, 200);
    let forwarded_ms: u64 = healthy.requests()[0].header("x-deadline-ms").parse().unwrap();
    // The route's timeout is 3 s.
    assert!(forwarded_ms <= 1_500, "{forwarded_ms} ms");
}

/// Whether an entry follows another one.
fn follows_peer(site: &Site) -> bool {
    site.entry.router.dump()["follows_another_entry"] == true
}

/// The server list from before the suspension is outdated: the entry reads it again, and sends
/// nothing to a server that began to drain in the meantime. This holds for a seed, which reads the
/// store, and for its follower.
#[tokio::test(flavor = "multi_thread")]
async fn the_server_list_is_refreshed_after_a_suspension_before_requests_are_sent() {
    let (staying, draining) =
        (start_server("i-1", SUCCESS).await, start_server("i-2", SUCCESS).await);
    let store = store_with_servers(&[(&staying, "app", "v1"), (&draining, "app", "v1")]).await;
    let seed = Site::start_seed(store.clone(), None).await;
    seed.wait_for_servers(2).await;
    let follower = Site::start_follower(store.clone(), &seed).await;
    follower.wait_for_servers(2).await;
    wait_until("the entry follows the seed", || follows_peer(&follower)).await;

    for site in [&seed, &follower] {
        // The Host resumes before the change has reached any entry.
        list_server(&store, &draining, "app", "v1", "draining");
        site.entry.router.clock.simulate_suspension(SUSPENSION);
        for i in 0..20 {
            assert_eq!(site.request("GET", &format!("/safe/{i}"), "").await.status, 200);
        }
        assert_eq!(draining.requests().len(), 0, "the server is draining");
        list_server(&store, &draining, "app", "v1", "ready");
        let both_in_view = || site.entry.router.dump()["servers"].as_array().unwrap().len() == 2;
        wait_until("the server is listed again", both_in_view).await;
    }
}

/// Connections that were idle during the suspension may have been closed by the server.
#[tokio::test(flavor = "multi_thread")]
async fn a_once_only_request_uses_no_idle_connection_from_before_a_suspension() {
    let server: Server = start_server_with_first_act("i-1", SUCCESS, SUCCESS).await;
    let site = Site::start(&[(&server, "app", "v1")]).await;
    site.request("POST", "/once/a", "").await;
    let idle = || site.entry.router.dump()["servers"][0]["idle_connections"].clone();
    assert_eq!(idle(), 1);

    site.entry.router.clock.simulate_suspension(SUSPENSION);
    assert_eq!(site.request("POST", "/once/b", "").await.status, 200);

    assert_eq!(idle(), 1, "the old connection was dropped and the new one kept");
}
