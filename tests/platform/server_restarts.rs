//! A server that restarts under the same id: the entry discards everything that it knew of the
//! earlier incarnation.

use std::{sync::Arc, time::Duration};

use serde_json::json;
use tokio::time::Instant;

use crate::{
    server::{Action, Server},
    site::{
        Answer, Site, events, list_server_with_start_time, server_row, start_server,
        start_server_with_first_act, wait_until,
    },
    store::Store,
};

const SUCCESS: Action = Action::Respond { status: 200, body: "good" };
const COMPLETE_STREAM: Action = Action::Stream { last_event: 6, is_complete: true, confidence: 90 };
/// Headers of a prompt of two parts, the first of which other requests may share.
const PROMPT_HEADERS: &str =
    "X-Model: small\r\nX-Token-Usage: 1600,20\r\nX-Prefix-Hash: a:1500,b:100\r\n";

/// The only server's section of an entry's state dump.
fn server_dump(site: &Site) -> serde_json::Value {
    site.entry.router.dump()["servers"][0].clone()
}

/// Starts a site with one server in its first incarnation.
async fn start_site(server: &Server, service: &str) -> Arc<Site> {
    let site = Site::start(&[]).await;
    list_server_with_start_time(&site.store, server, service, 1_000);
    wait_until("the server is in view", || site.entry.router.fleet.load().len() == 1).await;
    Arc::new(site)
}

/// Sends a request in the background.
fn spawn_request(site: &Arc<Site>, path: &'static str) -> tokio::task::JoinHandle<Answer> {
    let site = site.clone();
    tokio::spawn(async move { site.request("POST", path, "X-Model: small\r\n").await })
}

#[tokio::test(flavor = "multi_thread")]
async fn the_prefix_cache_of_a_server_is_forgotten_when_it_restarts() {
    let server = start_server("i-1", COMPLETE_STREAM).await;
    let site = start_site(&server, "llm").await;
    site.request("POST", "/chat/a", PROMPT_HEADERS).await;
    assert_eq!(server_dump(&site)["kept_tokens"], 1_500);

    list_server_with_start_time(&site.store, &server, "llm", 2_000);

    wait_until("the prefix cache is empty", || server_dump(&site)["kept_tokens"] == 0).await;
    assert_eq!(server_dump(&site)["idle_connections"], 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_failure_rate_of_a_server_is_reset_when_it_restarts() {
    let server = start_server("i-1", Action::CloseConnection).await;
    let site = start_site(&server, "app").await;
    for _ in 0..3 {
        site.request("GET", "/safe/a", "").await;
    }
    assert!(server_dump(&site)["failure_rate"].as_f64() > Some(0.0));

    list_server_with_start_time(&site.store, &server, "app", 2_000);

    wait_until("the failure rate is reset", || server_dump(&site)["failure_rate"] == 0.0).await;
    assert_eq!(server_dump(&site)["out"], false);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_row_update_without_a_restart_keeps_the_prefix_cache() {
    let server = start_server("i-1", COMPLETE_STREAM).await;
    let site = start_site(&server, "llm").await;
    site.request("POST", "/chat/a", PROMPT_HEADERS).await;

    let mut draining = server_row(server.address, "llm", "v1", "draining");
    draining["born"] = json!(1_000);
    site.store.put("servers", "i-1", &draining);

    wait_until("the server is draining", || server_dump(&site)["draining_row"] == true).await;
    assert_eq!(server_dump(&site)["kept_tokens"], 1_500);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_row_of_an_earlier_incarnation_is_ignored() {
    let server = start_server("i-1", COMPLETE_STREAM).await;
    let site = start_site(&server, "llm").await;
    list_server_with_start_time(&site.store, &server, "llm", 2_000);
    let started_at = || site.entry.router.fleet.load().of_service("llm")[0].server.started_at;
    wait_until("the new incarnation is in view", || started_at() == Some(2_000)).await;
    let mut earlier = server_row("127.0.0.1:1".parse().unwrap(), "llm", "v0", "draining");
    earlier["born"] = json!(1_000);

    site.store.put("servers", "i-1", &earlier);
    let later = start_server("i-2", SUCCESS).await;
    list_server_with_start_time(&site.store, &later, "app", 1_000);
    wait_until("the server list was read", || site.entry.router.fleet.load().len() == 2).await;
    let answer = site.request("POST", "/chat/b", PROMPT_HEADERS).await;

    assert_eq!(answer.status, 200);
    assert_eq!(&*site.entry.router.fleet.load().of_service("llm")[0].server.version, "v1");
}

/// The server never responds, the caller's deadline is five seconds, and the route allows one
/// attempt. If the entry did not notice the restart, the caller would get its response only at the
/// route's timeout.
#[tokio::test(flavor = "multi_thread")]
async fn a_once_only_request_fails_without_a_retry_when_its_server_restarts() {
    let server = start_server_with_first_act("i-1", Action::Hang, SUCCESS).await;
    let site = start_site(&server, "app").await;
    let pending = spawn_request(&site, "/once/a");
    wait_until("the request arrived", || server.requests().len() == 1).await;

    list_server_with_start_time(&site.store, &server, "app", 2_000);
    let answer = pending.await.unwrap();

    assert_eq!(answer.status, 502, "it is unknown whether the request ran");
    assert_eq!(server.requests().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_resumed_on_another_server_when_its_server_restarts() {
    // Sends one event per second and would take an hour for all of them.
    let slow = Action::PacedStream { last_event: 3_600, interval: Duration::from_secs(1) };
    let restarting = start_server("i-1", slow).await;
    let site = start_site(&restarting, "llm").await;
    let began = Instant::now();
    let pending = spawn_request(&site, "/chat/a");
    wait_until("the request arrived", || restarting.requests().len() == 1).await;
    let resuming = start_server("i-2", COMPLETE_STREAM).await;
    list_server_with_start_time(&site.store, &resuming, "llm", 1_000);
    wait_until("both servers are in view", || site.entry.router.fleet.load().len() == 2).await;

    list_server_with_start_time(&site.store, &restarting, "llm", 2_000);
    let answer = pending.await.unwrap();

    assert!(answer.is_whole);
    assert_eq!(answer.body, events(6));
    assert_eq!(resuming.requests().len(), 1, "after {:?}", began.elapsed());
}

/// Entries name the incarnation of the server in the reports that they exchange.
#[tokio::test(flavor = "multi_thread")]
async fn peer_reports_about_an_earlier_incarnation_are_ignored() {
    let server = start_server("i-1", COMPLETE_STREAM).await;
    let first = Site::start_seed(Store::start().await, None).await;
    let second = Site::start_follower(first.store.clone(), &first).await;
    first.store.put("op", "config", &crate::site::configuration(1));
    for site in [&first, &second] {
        list_server_with_start_time(&first.store, &server, "llm", 1_000);
        site.wait_for_servers(1).await;
    }
    second.request("POST", "/chat/a", PROMPT_HEADERS).await;
    wait_until("the first entry knows of the cache", || {
        server_dump(&first)["kept_tokens"] == 1_500
    })
    .await;

    list_server_with_start_time(&first.store, &server, "llm", 2_000);
    wait_until("the first entry has discarded it", || server_dump(&first)["kept_tokens"] == 0)
        .await;
    // A new entry is sent all recent reports, also those about the earlier incarnation.
    let third = Site::start_follower(first.store.clone(), &first).await;
    third.wait_for_servers(1).await;
    wait_until("the third entry has the reports", || third.entry.router.dump()["entries"] == 3)
        .await;

    assert_eq!(server_dump(&third)["kept_tokens"], 0);
}
