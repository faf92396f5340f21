//! A server that starts again under the id it had: nothing that was known of it holds any more.

use std::{sync::Arc, time::Duration};

use serde_json::json;
use tokio::time::Instant;

use crate::{
    server::{Action, Server},
    site::{Answer, Site, always, events, first_then, list_life, server_row, until},
    store::Store,
};

const GOOD: Action = Action::Respond { status: 200, body: "good" };
const WHOLE: Action = Action::Stream { last_event: 6, is_complete: true, confidence: 90 };
/// A prompt of two parts, the first of which other requests may share.
const PROMPT: &str = "X-Model: small\r\nX-Token-Usage: 1600,20\r\nX-Prefix-Hash: a:1500,b:100\r\n";

fn dumped(site: &Site) -> serde_json::Value {
    site.entry.router.dump()["servers"][0].clone()
}

/// A site with one server in its first life.
async fn site_with(server: &Server, service: &str) -> Arc<Site> {
    let site = Site::start(&[]).await;
    list_life(&site.store, server, service, 1_000);
    until("it is in view", || site.entry.router.fleet.load().len() == 1).await;
    Arc::new(site)
}

/// Asks in the background.
fn asking(site: &Arc<Site>, path: &'static str) -> tokio::task::JoinHandle<Answer> {
    let site = site.clone();
    tokio::spawn(async move { site.ask("POST", path, "X-Model: small\r\n").await })
}

#[tokio::test(flavor = "multi_thread")]
async fn what_a_server_kept_is_forgotten_with_its_life() {
    let server = always("i-1", WHOLE).await;
    let site = site_with(&server, "llm").await;
    site.ask("POST", "/chat/a", PROMPT).await;
    assert_eq!(dumped(&site)["kept_tokens"], 1_500);

    list_life(&site.store, &server, "llm", 2_000);

    until("nothing is kept", || dumped(&site)["kept_tokens"] == 0).await;
    assert_eq!(dumped(&site)["idle_connections"], 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_failed_starts_again_without_its_failures() {
    let server = always("i-1", Action::CloseConnection).await;
    let site = site_with(&server, "app").await;
    for _ in 0..3 {
        site.ask("GET", "/safe/a", "").await;
    }
    assert!(dumped(&site)["failure_rate"].as_f64() > Some(0.0));

    list_life(&site.store, &server, "app", 2_000);

    until("its failures are forgotten", || dumped(&site)["failure_rate"] == 0.0).await;
    assert_eq!(dumped(&site)["out"], false);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_life_keeps_what_is_known_of_it() {
    let server = always("i-1", WHOLE).await;
    let site = site_with(&server, "llm").await;
    site.ask("POST", "/chat/a", PROMPT).await;

    let mut leaving = server_row(server.address, "llm", "v1", "draining");
    leaving["born"] = json!(1_000);
    site.store.put("servers", "i-1", &leaving);

    until("it leaves", || dumped(&site)["draining_row"] == true).await;
    assert_eq!(dumped(&site)["kept_tokens"], 1_500);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_row_of_a_former_life_is_not_taken_for_the_present_one() {
    let server = always("i-1", WHOLE).await;
    let site = site_with(&server, "llm").await;
    list_life(&site.store, &server, "llm", 2_000);
    let born = || site.entry.router.fleet.load().of_service("llm")[0].server.started_at;
    until("the new life is in view", || born() == Some(2_000)).await;
    let mut former = server_row("127.0.0.1:1".parse().unwrap(), "llm", "v0", "draining");
    former["born"] = json!(1_000);

    site.store.put("servers", "i-1", &former);
    let later = always("i-2", GOOD).await;
    list_life(&site.store, &later, "app", 1_000);
    until("the list was read", || site.entry.router.fleet.load().len() == 2).await;
    let answer = site.ask("POST", "/chat/b", PROMPT).await;

    assert_eq!(answer.status, 200);
    assert_eq!(&*site.entry.router.fleet.load().of_service("llm")[0].server.version, "v1");
}

/// The deadline of the callers here is five seconds, the server never answers, and the route allows one
/// run: without a word of the new life the answer would come at the route's timeout.
#[tokio::test(flavor = "multi_thread")]
async fn a_once_only_request_of_a_former_life_ends_and_runs_no_second_time() {
    let server = first_then("i-1", Action::Hang, GOOD).await;
    let site = site_with(&server, "app").await;
    let asked = asking(&site, "/once/a");
    until("it is there", || server.requests().len() == 1).await;

    list_life(&site.store, &server, "app", 2_000);
    let answer = asked.await.unwrap();

    assert_eq!(answer.status, 502, "nobody knows whether it ran");
    assert_eq!(server.requests().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_a_former_life_goes_on_at_another_server() {
    // The first server sends three events a second apart and would take an hour for the rest.
    let slow = Action::PacedStream { last_event: 3_600, interval: Duration::from_secs(1) };
    let dies = always("i-1", slow).await;
    let site = site_with(&dies, "llm").await;
    let began = Instant::now();
    let asked = asking(&site, "/chat/a");
    until("it is there", || dies.requests().len() == 1).await;
    let goes_on = always("i-2", WHOLE).await;
    list_life(&site.store, &goes_on, "llm", 1_000);
    until("both are in view", || site.entry.router.fleet.load().len() == 2).await;

    list_life(&site.store, &dies, "llm", 2_000);
    let answer = asked.await.unwrap();

    assert!(answer.is_whole);
    assert_eq!(answer.body, events(6));
    assert_eq!(goes_on.requests().len(), 1, "after {:?}", began.elapsed());
}

/// Entries name the lives of servers in what they tell each other.
#[tokio::test(flavor = "multi_thread")]
async fn what_entries_tell_of_a_former_life_is_not_taken_for_the_present_one() {
    let server = always("i-1", WHOLE).await;
    let first = Site::seed(Store::start().await, None).await;
    let second = Site::following(first.store.clone(), &first).await;
    first.store.put("op", "config", &crate::site::configuration(1));
    for site in [&first, &second] {
        list_life(&first.store, &server, "llm", 1_000);
        site.until_in_view(1).await;
    }
    second.ask("POST", "/chat/a", PROMPT).await;
    until("the first one knows", || dumped(&first)["kept_tokens"] == 1_500).await;

    list_life(&first.store, &server, "llm", 2_000);
    until("the first one forgot", || dumped(&first)["kept_tokens"] == 0).await;
    // An entry that starts now is told what was told of late, of the former life, too.
    let third = Site::following(first.store.clone(), &first).await;
    third.until_in_view(1).await;
    until("it is told", || third.entry.router.dump()["entries"] == 3).await;

    assert_eq!(dumped(&third)["kept_tokens"], 0);
}
