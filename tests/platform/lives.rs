//! A server that starts again under the id it had: nothing that was known of it holds any more.

use std::{sync::Arc, time::Duration};

use serde_json::json;
use tokio::time::Instant;

use crate::{
    server::{Act, Server},
    site::{
        Answer, Site, events, list_server_with_start_time, server_row, start_server,
        start_server_with_first_act, wait_until,
    },
    store::Store,
};

const GOOD: Act = Act::Answer { status: 200, body: "good" };
const WHOLE: Act = Act::Stream { to: 6, is_whole: true, confidence: 90 };
/// A prompt of two parts, the first of which other requests may share.
const PROMPT: &str = "X-Model: small\r\nX-Token-Usage: 1600,20\r\nX-Prefix-Hash: a:1500,b:100\r\n";

fn dumped(site: &Site) -> serde_json::Value {
    site.entry.router.dump()["servers"][0].clone()
}

/// A site with one server in its first life.
async fn site_with(server: &Server, service: &str) -> Arc<Site> {
    let site = Site::start(&[]).await;
    list_server_with_start_time(&site.store, server, service, 1_000);
    wait_until("it is in view", || site.entry.router.fleet.load().len() == 1).await;
    Arc::new(site)
}

/// Asks in the background.
fn asking(site: &Arc<Site>, path: &'static str) -> tokio::task::JoinHandle<Answer> {
    let site = site.clone();
    tokio::spawn(async move { site.request("POST", path, "X-Model: small\r\n").await })
}

#[tokio::test(flavor = "multi_thread")]
async fn what_a_server_kept_is_forgotten_with_its_life() {
    let server = start_server("i-1", WHOLE).await;
    let site = site_with(&server, "llm").await;
    site.request("POST", "/chat/a", PROMPT).await;
    assert_eq!(dumped(&site)["kept_tokens"], 1_500);

    list_server_with_start_time(&site.store, &server, "llm", 2_000);

    wait_until("nothing is kept", || dumped(&site)["kept_tokens"] == 0).await;
    assert_eq!(dumped(&site)["idle_connections"], 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_failed_starts_again_without_its_failures() {
    let server = start_server("i-1", Act::Close).await;
    let site = site_with(&server, "app").await;
    for _ in 0..3 {
        site.request("GET", "/safe/a", "").await;
    }
    assert!(dumped(&site)["failure_rate"].as_f64() > Some(0.0));

    list_server_with_start_time(&site.store, &server, "app", 2_000);

    wait_until("its failures are forgotten", || dumped(&site)["failure_rate"] == 0.0).await;
    assert_eq!(dumped(&site)["out"], false);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_life_keeps_what_is_known_of_it() {
    let server = start_server("i-1", WHOLE).await;
    let site = site_with(&server, "llm").await;
    site.request("POST", "/chat/a", PROMPT).await;

    let mut leaving = server_row(server.address, "llm", "v1", "draining");
    leaving["born"] = json!(1_000);
    site.store.put("servers", "i-1", &leaving);

    wait_until("it leaves", || dumped(&site)["draining_row"] == true).await;
    assert_eq!(dumped(&site)["kept_tokens"], 1_500);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_row_of_a_former_life_is_not_taken_for_the_present_one() {
    let server = start_server("i-1", WHOLE).await;
    let site = site_with(&server, "llm").await;
    list_server_with_start_time(&site.store, &server, "llm", 2_000);
    let born = || site.entry.router.fleet.load().of_service("llm")[0].server.started_at;
    wait_until("the new life is in view", || born() == Some(2_000)).await;
    let mut former = server_row("127.0.0.1:1".parse().unwrap(), "llm", "v0", "draining");
    former["born"] = json!(1_000);

    site.store.put("servers", "i-1", &former);
    let later = start_server("i-2", GOOD).await;
    list_server_with_start_time(&site.store, &later, "app", 1_000);
    wait_until("the list was read", || site.entry.router.fleet.load().len() == 2).await;
    let answer = site.request("POST", "/chat/b", PROMPT).await;

    assert_eq!(answer.status, 200);
    assert_eq!(&*site.entry.router.fleet.load().of_service("llm")[0].server.version, "v1");
}

/// The deadline of the callers here is five seconds, the server never answers, and the route allows one
/// run: without a word of the new life the answer would come at the route's timeout.
#[tokio::test(flavor = "multi_thread")]
async fn a_once_only_request_of_a_former_life_ends_and_runs_no_second_time() {
    let server = start_server_with_first_act("i-1", Act::Hang, GOOD).await;
    let site = site_with(&server, "app").await;
    let asked = asking(&site, "/once/a");
    wait_until("it is there", || server.seen().len() == 1).await;

    list_server_with_start_time(&site.store, &server, "app", 2_000);
    let answer = asked.await.unwrap();

    assert_eq!(answer.status, 502, "nobody knows whether it ran");
    assert_eq!(server.seen().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_a_former_life_goes_on_at_another_server() {
    // The first server sends three events a second apart and would take an hour for the rest.
    let slow = Act::Paced { to: 3_600, pause: Duration::from_secs(1) };
    let dies = start_server("i-1", slow).await;
    let site = site_with(&dies, "llm").await;
    let began = Instant::now();
    let asked = asking(&site, "/chat/a");
    wait_until("it is there", || dies.seen().len() == 1).await;
    let goes_on = start_server("i-2", WHOLE).await;
    list_server_with_start_time(&site.store, &goes_on, "llm", 1_000);
    wait_until("both are in view", || site.entry.router.fleet.load().len() == 2).await;

    list_server_with_start_time(&site.store, &dies, "llm", 2_000);
    let answer = asked.await.unwrap();

    assert!(answer.is_whole);
    assert_eq!(answer.body, events(6));
    assert_eq!(goes_on.seen().len(), 1, "after {:?}", began.elapsed());
}

/// Entries name the lives of servers in what they tell each other.
#[tokio::test(flavor = "multi_thread")]
async fn what_entries_tell_of_a_former_life_is_not_taken_for_the_present_one() {
    let server = start_server("i-1", WHOLE).await;
    let first = Site::start_seed(Store::start().await, None).await;
    let second = Site::start_follower(first.store.clone(), &first).await;
    first.store.put("op", "config", &crate::site::configuration(1));
    for site in [&first, &second] {
        list_server_with_start_time(&first.store, &server, "llm", 1_000);
        site.wait_for_servers(1).await;
    }
    second.request("POST", "/chat/a", PROMPT).await;
    wait_until("the first one knows", || dumped(&first)["kept_tokens"] == 1_500).await;

    list_server_with_start_time(&first.store, &server, "llm", 2_000);
    wait_until("the first one forgot", || dumped(&first)["kept_tokens"] == 0).await;
    // An entry that starts now is told what was told of late, of the former life, too.
    let third = Site::start_follower(first.store.clone(), &first).await;
    third.wait_for_servers(1).await;
    wait_until("it is told", || third.entry.router.dump()["entries"] == 3).await;

    assert_eq!(dumped(&third)["kept_tokens"], 0);
}
