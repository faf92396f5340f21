//! Roll-outs: a bad version is detected and rolled back, a good one is completed, and entries accept a verdict that
//! another entry wrote first.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use futures_util::future::join_all;
use serde_json::json;
use tokio::time::sleep;

use crate::{
    server::{Action, ReceivedRequest, Server},
    site::{Site, start_server, wait_until},
    store::Fault,
};

const GOOD: Action = Action::Respond { status: 200, body: "good" };
const FAILS: Action = Action::Respond { status: 500, body: "bad" };

fn order(to: &str, seconds: f64) -> serde_json::Value {
    json!({"service": "app", "to": to, "duration-s": seconds})
}

fn state(site: &Site) -> String {
    let status = site.store.read("status", "rollout/app");
    status.and_then(|s| Some(s["state"].as_str()?.to_owned())).unwrap_or_default()
}

/// Sends requests without a session until the store has this state of the roll-out; returns their number. Once the
/// roll-out has started, the id of each such request decides whether it goes to the old or the new version.
pub async fn send_until_state(site: &Site, wanted: &str) -> usize {
    send_each_until_state(site, wanted, |i| (format!("/safe/{i}"), String::new())).await
}

/// Sends numbered requests, each with the path and headers that `request` returns for its number, until the store has
/// this state of the roll-out; returns how many it sent.
async fn send_each_until_state(
    site: &Site,
    wanted: &str,
    request: impl Fn(usize) -> (String, String),
) -> usize {
    let mut sent = 0;
    while state(site) != wanted {
        sent += 1;
        assert!(
            sent < 20_000,
            "state {wanted} not reached: {}",
            site.entry.router.dump()["roll_outs"]
        );
        let (path, headers) = request(sent);
        site.request("GET", &path, &headers).await;
    }
    sent
}

async fn start_with_two_versions(new: Action) -> (Server, Server, Site) {
    let (old, new) = (start_server("i-1", GOOD).await, start_server("i-2", new).await);
    let site = Site::start(&[(&old, "app", "v1"), (&new, "app", "v2")]).await;
    (old, new, site)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_fails_is_rolled_back_after_few_requests() {
    let (_old, new, site) = start_with_two_versions(FAILS).await;
    site.store.put("op", "rollout/app", &order("v2", 600.0));
    wait_until("the roll-out is in progress", || state(&site) == "in_progress").await;
    let before = new.requests().len();

    let sent = send_until_state(&site, "rolled_back").await;

    let exposed = new.requests().len() - before;
    assert!(exposed < 30, "{exposed} of {sent} requests reached the bad version");
    let after = new.requests().len();
    for i in 0..40 {
        let answer = site.request("GET", "/safe/a", &format!("Session: t-{i}\r\n")).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(new.requests().len(), after, "the version got requests after it was rolled back");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_fails_is_rolled_back_when_all_requests_have_sessions() {
    let (_old, new, site) = start_with_two_versions(FAILS).await;
    site.store.put("op", "rollout/app", &order("v2", 3.0));
    wait_until("the roll-out is in progress", || state(&site) == "in_progress").await;

    let of_session = |i| ("/safe/a".into(), format!("Session: s-{i}\r\n"));
    let sent = send_each_until_state(&site, "rolled_back", of_session).await;

    let exposed = new.requests().len();
    assert!(exposed < 30, "{exposed} of {sent} requests reached the bad version");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_whose_answers_break_off_is_rolled_back() {
    let (_old, new, site) = start_with_two_versions(Action::Truncated).await;
    site.store.put("op", "rollout/app", &order("v2", 600.0));
    wait_until("the roll-out is in progress", || state(&site) == "in_progress").await;

    let sent = send_until_state(&site, "rolled_back").await;

    let exposed = new.requests().len();
    assert!(exposed < 30, "{exposed} of {sent} requests reached the bad version");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_answers_slowly_is_rolled_back() {
    let slow = Action::RespondAfter { body: "good", delay: Duration::from_millis(150) };
    let (_old, new, site) = start_with_two_versions(slow).await;
    site.store.put("op", "rollout/app", &order("v2", 600.0));
    wait_until("the roll-out is in progress", || state(&site) == "in_progress").await;

    let sent = send_until_state(&site, "rolled_back").await;

    let exposed = new.requests().len();
    assert!(exposed < 60, "{exposed} of {sent} requests reached the slow version");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_whose_streams_are_slow_is_rolled_back() {
    let fast = Action::Stream { last_event: 8, is_complete: true, confidence: 90 };
    let slow = Action::PacedStream { last_event: 8, interval: Duration::from_millis(120) };
    let (old, new) = (start_server("i-1", fast).await, start_server("i-2", slow).await);
    let site = Site::start(&[(&old, "llm", "v1"), (&new, "llm", "v2")]).await;
    let order = json!({"service": "llm", "to": "v2", "duration-s": 600.0});
    site.store.put("op", "rollout/llm", &order);
    let state = || site.store.read("status", "rollout/llm").map(|s| s["state"].clone());
    wait_until("the roll-out is in progress", || state().is_some()).await;

    let mut sent = 0;
    while state() != Some(json!("rolled_back")) {
        sent += 1;
        assert!(sent < 1_000, "not rolled back: {}", site.entry.router.dump()["roll_outs"]);
        site.request("POST", &format!("/chat/{sent}"), "X-Model: *\r\n").await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_good_version_is_completed_and_gets_all_requests() {
    let (old, _new, site) = start_with_two_versions(GOOD).await;
    site.store.put("op", "rollout/app", &order("v2", 3.0));

    send_until_state(&site, "completed").await;

    let before = old.requests().len();
    for i in 0..20 {
        site.request("GET", "/safe/a", &format!("Session: t-{i}\r\n")).await;
    }
    assert_eq!(old.requests().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_session_stays_on_the_old_version_in_the_first_half() {
    let (_old, new, site) = start_with_two_versions(GOOD).await;
    let sessions: Vec<String> = (0..40).map(|i| format!("Session: s-{i}\r\n")).collect();
    for session in &sessions {
        site.request("GET", "/safe/a", session).await;
    }

    site.store.put("op", "rollout/app", &order("v2", 600.0));
    wait_until("the roll-out is in progress", || state(&site) == "in_progress").await;
    let before = new.requests().len();
    for session in &sessions {
        site.request("GET", "/safe/a", session).await;
    }

    // Before the order any server may serve a session; afterwards existing sessions stay on the old version.
    assert_eq!(new.requests().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_learns_the_verdict_of_another_entry() {
    let (_old, new, site) = start_with_two_versions(GOOD).await;
    site.store.put("op", "rollout/app", &order("v2", 600.0));
    wait_until("the roll-out is in progress", || state(&site) == "in_progress").await;

    site.store.put("status", "rollout/app", &json!({"state": "rolled_back", "to": "v2"}));
    wait_until("the entry has the verdict", || {
        site.entry.router.dump()["roll_outs"][0]["progress"] == "RolledBack"
    })
    .await;

    let before = new.requests().len();
    for i in 0..60 {
        site.request("GET", "/safe/a", &format!("Session: t-{i}\r\n")).await;
    }
    assert_eq!(new.requests().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_entry_does_not_begin_a_roll_out_again() {
    let (_old, new, site) = start_with_two_versions(FAILS).await;
    site.store.put("op", "rollout/app", &order("v2", 600.0));
    wait_until("the roll-out is in progress", || state(&site) == "in_progress").await;
    send_until_state(&site, "rolled_back").await;

    let next = Site::start_with_store(site.store.clone()).await;
    wait_until("the new entry is ready", || next.entry.router.is_ready()).await;
    wait_until("the new entry knows the verdict", || {
        next.entry.router.dump()["roll_outs"][0]["progress"] == "RolledBack"
    })
    .await;

    let before = new.requests().len();
    for i in 0..60 {
        next.request("GET", "/safe/a", &format!("Session: u-{i}\r\n")).await;
    }
    assert_eq!(new.requests().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_during_a_roll_out_joins_it_at_its_current_share() {
    let (_old, new, site) = start_with_two_versions(GOOD).await;
    site.store.put("op", "rollout/app", &order("v2", 1.0));
    wait_until("the roll-out is in progress", || state(&site) == "in_progress").await;
    // The roll-out's duration is over, but it is not completed because there were no answers.
    tokio::time::sleep(Duration::from_millis(1_200)).await;

    let next = Site::start_with_store(site.store.clone()).await;
    wait_until("the new entry is ready", || next.entry.router.is_ready()).await;
    wait_until("the new entry knows the order", || {
        next.entry.router.dump()["roll_outs"][0]["began"] == true
    })
    .await;
    for i in 0..10 {
        next.request("GET", "/safe/a", &format!("Session: u-{i}\r\n")).await;
    }

    assert_eq!(new.requests().len(), 10, "some requests did not go to the new version");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bad_version_gets_few_requests_while_the_store_is_unreachable() {
    let (_old, new, site) = start_with_two_versions(FAILS).await;
    site.store.put("op", "rollout/app", &order("v2", 600.0));
    wait_until("the roll-out is in progress", || state(&site) == "in_progress").await;

    site.store.set_fault(Fault::Down);
    for i in 0..600 {
        site.request("GET", &format!("/safe/{i}"), "").await;
    }
    let exposed = new.requests().len();
    assert!(exposed < 30, "{exposed} requests reached the bad version");

    site.store.set_fault(Fault::None);
    wait_until("the verdict is written", || state(&site) == "rolled_back").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_knows_its_verdict_though_the_reply_to_its_write_was_lost() {
    let (_old, _new, site) = start_with_two_versions(FAILS).await;
    site.store.put("op", "rollout/app", &order("v2", 600.0));
    wait_until("the roll-out is in progress", || state(&site) == "in_progress").await;

    site.store.set_fault(Fault::RepliesLost);
    send_until_state(&site, "rolled_back").await;
    site.store.set_fault(Fault::None);

    wait_until("the entry knows the verdict", || {
        site.entry.router.dump()["roll_outs"][0]["progress"] == "RolledBack"
    })
    .await;
}

/// Starts a server whose answers on the route `safe` fail each seventh time, as they do on both versions. On the route
/// `once`, each second answer is `bad_once`.
async fn start_server_of_two_routes(id: &str, bad_once: Action) -> Server {
    let (safe, once) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let script = move |req: &ReceivedRequest| {
        if req.request_line.contains("/safe/") {
            return if safe.fetch_add(1, Ordering::Relaxed) % 7 == 6 { FAILS } else { GOOD };
        }
        if once.fetch_add(1, Ordering::Relaxed) % 2 == 1 { bad_once.clone() } else { GOOD }
    };
    Server::start(id, script).await
}

/// Sends requests, one in five on the route `once`, until the roll-out has ended; returns its final state.
async fn send_on_two_routes_until_ended(site: &Site) -> String {
    for i in 0..2_000 {
        if !["", "in_progress"].contains(&state(site).as_str()) {
            break;
        }
        let (method, route) = if i % 5 == 0 { ("POST", "once") } else { ("GET", "safe") };
        site.request(method, &format!("/{route}/{i}"), "").await;
        sleep(Duration::from_millis(5)).await;
    }
    state(site)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_fails_on_one_route_only_is_not_completed() {
    let old = start_server_of_two_routes("i-1", GOOD).await;
    let new = start_server_of_two_routes("i-2", FAILS).await;
    let site = Site::start(&[(&old, "app", "v1"), (&new, "app", "v2")]).await;
    site.store.put("op", "rollout/app", &order("v2", 3.0));

    let ended = send_on_two_routes_until_ended(&site).await;

    assert_eq!(ended, "rolled_back", "{}", site.entry.router.dump()["roll_outs"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_with_too_few_answers_is_rolled_back_at_the_deadline() {
    let (_old, new, site) = start_with_two_versions(GOOD).await;
    site.store.put("op", "rollout/app", &order("v2", 1.0));
    wait_until("the roll-out is in progress", || state(&site) == "in_progress").await;
    for i in 0..10 {
        site.request("GET", &format!("/safe/{i}"), "").await;
    }

    wait_until("the version is rolled back", || state(&site) == "rolled_back").await;

    let before = new.requests().len();
    for i in 0..20 {
        assert_eq!(site.request("GET", &format!("/safe/b{i}"), "").await.status, 200);
    }
    assert_eq!(new.requests().len(), before);
}

/// Starts a roll-out whose verdict can't be written, and waits until its deadline has long passed.
async fn start_without_verdict() -> (Server, Server, Site) {
    let (old, new, site) = start_with_two_versions(GOOD).await;
    site.store.put("op", "rollout/app", &order("v2", 0.5));
    wait_until("the roll-out is in progress", || state(&site) == "in_progress").await;
    site.store.set_fault(Fault::Down);
    sleep(Duration::from_secs(3)).await;
    (old, new, site)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_undecided_version_gets_no_requests_after_its_deadline_while_the_store_is_unreachable() {
    let (_old, new, site) = start_without_verdict().await;
    let before = new.requests().len();

    for i in 0..40 {
        assert_eq!(site.request("GET", &format!("/safe/{i}"), "").await.status, 200);
    }

    assert_eq!(new.requests().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_use_the_new_version_after_an_unknown_verdict_if_the_old_servers_are_gone() {
    let (old, new, site) = start_without_verdict().await;
    old.crash();
    old.wait_until_terminated(0).await;

    let answer = site.request("GET", "/safe/1", "").await;

    assert_eq!(answer.status, 200);
    assert!(!new.requests().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_trial_of_few_requests_uses_the_number_that_is_tolerated_beside_the_share() {
    let (_old, new, site) = start_with_two_versions(GOOD).await;
    site.store.put("op", "rollout/app", &order("v2", 4.0));
    wait_until("the roll-out is in progress", || state(&site) == "in_progress").await;

    for i in 0..60 {
        site.request("GET", &format!("/safe/{i}"), "").await;
        sleep(Duration::from_millis(50)).await;
    }

    // 20 of the 30 requests that are tolerated, and 0.06 of all.
    let exposed = new.requests().len();
    assert!((10..=30).contains(&exposed), "{exposed} requests reached the new version");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_is_slow_on_a_fast_route_is_found_beside_a_slow_route() {
    let start = async |id: &str, once: u64| {
        let script = move |req: &ReceivedRequest| {
            let ms = if req.request_line.contains("/safe/") { 80 } else { once };
            Action::RespondAfter { body: "good", delay: Duration::from_millis(ms) }
        };
        Server::start(id, script).await
    };
    let (old, new) = (start("i-1", 5).await, start("i-2", 60).await);
    let site = Site::start(&[(&old, "app", "v1"), (&new, "app", "v2")]).await;
    site.store.put("op", "rollout/app", &order("v2", 40.0));
    wait_until("the roll-out is in progress", || state(&site) == "in_progress").await;

    let is_found = || site.entry.router.dump()["roll_outs"][0]["held"] == true;
    for i in 0..1_000 {
        let (method, route) = if i % 4 == 0 { ("GET", "safe") } else { ("POST", "once") };
        site.request(method, &format!("/{route}/{i}"), "").await;
        if is_found() {
            break;
        }
    }

    assert!(is_found(), "{}", site.entry.router.dump()["roll_outs"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_slow_version_count_before_they_begin() {
    let stream = Action::Stream { last_event: 4, is_complete: true, confidence: 90 };
    let old = start_server("i-1", stream.clone()).await;
    let served = AtomicUsize::new(0);
    let script = move |_: &ReceivedRequest| {
        let is_late = served.fetch_add(1, Ordering::Relaxed) % 2 == 1;
        if is_late { Action::Hang } else { stream.clone() }
    };
    let new = Server::start("i-2", script).await;
    let site = Site::start(&[(&old, "llm", "v1"), (&new, "llm", "v2")]).await;
    let order = json!({"service": "llm", "to": "v2", "duration-s": 8.0});
    site.store.put("op", "rollout/llm", &order);
    let is_ordered = || site.store.read("status", "rollout/llm").is_some();
    wait_until("the roll-out is in progress", is_ordered).await;
    let send = |i: u64| {
        let site = &site;
        async move {
            sleep(Duration::from_millis(15 * i)).await;
            site.request("POST", &format!("/plain/{i}"), "").await
        }
    };

    let are_counted = wait_until("slow streams are counted", || {
        let dump = &site.entry.router.dump()["roll_outs"][0];
        dump["slow"].as_u64() >= Some(3) && dump["failures"] == 0
    });
    tokio::select! {
        _ = join_all((0..300).map(send)) => panic!("{}", site.entry.router.dump()["roll_outs"]),
        () = are_counted => {}
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_fails_at_each_attempt_counts_once_as_evidence() {
    let (old, new) = (start_server("i-1", FAILS).await, start_server("i-2", FAILS).await);
    let site = Site::start(&[(&old, "app", "v1"), (&new, "app", "v2")]).await;
    site.store.put("op", "rollout/app", &order("v2", 600.0));
    wait_until("the roll-out is in progress", || state(&site) == "in_progress").await;

    for i in 0..20 {
        site.request("GET", &format!("/safe/{i}"), "").await;
    }

    let route = &site.entry.router.dump()["roll_outs"][0]["routes_of_all"][0];
    let count = |name: &str| route[name].as_u64().unwrap();
    assert_eq!(count("answers") + count("old_answers"), 20, "{route}");
    assert!(old.requests().len() + new.requests().len() > 20, "no request was repeated");
}

#[tokio::test(flavor = "multi_thread")]
async fn verdicts_on_an_older_and_a_newer_order_are_not_mistaken_for_each_other() {
    let (_old, _new, site) = start_with_two_versions(FAILS).await;
    site.store.put("op", "rollout/app", &order("v2", 600.0));
    wait_until("the roll-out is in progress", || state(&site) == "in_progress").await;
    // Another entry has started and completed a later order that this one has not read yet.
    let later = json!({"revision": 1_000_000, "era": 0, "began_ms": 1});
    site.store.put("mintmoor", "rollout/app", &later);
    site.store.put("status", "rollout/app", &json!({"state": "completed", "to": "v3"}));
    // The entry reads the statuses every 1.6 s.
    sleep(Duration::from_millis(2_500)).await;
    let progress = site.entry.router.dump()["roll_outs"][0]["progress"].clone();
    assert_eq!(progress, "Running", "the verdict on the later order was taken for this one's");

    let is_held = || site.entry.router.dump()["roll_outs"][0]["held"] == true;
    for i in 0..2_000 {
        site.request("GET", &format!("/safe/{i}"), "").await;
        if is_held() {
            break;
        }
    }
    assert!(is_held());
    sleep(Duration::from_secs(1)).await;

    assert_eq!(site.store.read("status", "rollout/app").unwrap()["to"], "v3");
}
