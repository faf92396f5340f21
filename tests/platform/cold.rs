//! Servers that have just started (cold servers) get requests at a limited rate, which all entries share. The rate
//! here is one request in 100 s, so that no test depends on the speed of its machine.

use std::sync::Arc;

use serde_json::{Value, json};

use crate::{
    pool::free_address,
    server::{Action, Server},
    site::{Site, configuration, list_server, server_row, start_server, wait_until},
    store::Store,
};

const GOOD: Action = Action::Respond { status: 200, body: "good" };

/// A configuration under which servers of both services are cold for a minute and take 0.01 requests per second.
fn cold_configuration(version: u64) -> Value {
    let mut changed = configuration(version);
    for service in changed["services"].as_array_mut().unwrap() {
        service["cold-per-s"] = json!(0.01);
        service["cold-start-s"] = json!(60.0);
    }
    changed
}

/// Writes the row of a ready server that stays cold for this time.
fn list_cold_server(store: &Store, server: &Server, service: &str, cold_ms: u64) {
    let mut row = server_row(server.address, service, "v1", "ready");
    row["cold-remaining-ms"] = json!(cold_ms);
    store.put("servers", &server.id, &row);
}

async fn store_with_cold_servers(servers: &[&Server]) -> Store {
    let store = Store::start().await;
    store.put("op", "config", &cold_configuration(1));
    servers.iter().for_each(|server| list_cold_server(&store, server, "app", 60_000));
    store
}

async fn send_20_requests(site: &Site, path: &str) -> Vec<u16> {
    let mut statuses = Vec::new();
    for number in 0..20 {
        statuses.push(site.request("GET", &format!("{path}{number}"), "").await.status);
    }
    statuses
}

/// Whether the entry treats a server as cold.
fn is_cold(site: &Site, id: &str) -> bool {
    let servers = site.entry.router.dump()["servers"].clone();
    let row = servers.as_array().unwrap().iter().find(|row| row["id"] == id);
    row.is_some_and(|row| row["cold_ms"].as_u64().unwrap() > 0)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cold_server_stays_within_its_rate_and_warm_servers_get_the_rest() {
    let (cold, warm) = (start_server("i-cold", GOOD).await, start_server("i-warm", GOOD).await);
    let store = store_with_cold_servers(&[&cold]).await;
    list_server(&store, &warm, "app", "v1", "ready");
    let site = Site::start_with_store(store).await;
    site.wait_for_servers(2).await;

    let statuses = send_20_requests(&site, "/safe/").await;

    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert!(
        cold.requests().len() <= 1,
        "{} requests reached the cold server",
        cold.requests().len()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_beyond_the_rate_of_cold_servers_are_refused_at_once() {
    let cold = start_server("i-cold", GOOD).await;
    let site = Site::start_with_store(store_with_cold_servers(&[&cold]).await).await;
    site.wait_for_servers(1).await;

    assert_eq!(site.request("GET", "/safe/first", "").await.status, 200);
    let refused = site.request("GET", "/safe/second", "").await;

    assert_eq!((refused.status, cold.requests().len()), (503, 1));
    assert!(refused.head.contains("retry-after: "), "{}", refused.head);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_is_warm_or_cold_as_its_row_says() {
    let server = start_server("i-1", GOOD).await;
    let site = Site::start_with_store(store_with_cold_servers(&[&server]).await).await;
    site.wait_for_servers(1).await;
    send_20_requests(&site, "/safe/cold").await;
    assert_eq!(server.requests().len(), 1);

    list_cold_server(&site.store, &server, "app", 0);
    wait_until("the server is warm", || !is_cold(&site, "i-1")).await;
    send_20_requests(&site, "/safe/warm").await;
    assert_eq!(server.requests().len(), 21);

    list_cold_server(&site.store, &server, "app", 60_000);
    wait_until("the server is cold", || is_cold(&site, "i-1")).await;
    send_20_requests(&site, "/safe/again").await;
    assert_eq!(server.requests().len(), 21, "the cold server got a second request within 100 s");
}

/// The rows of a zone's servers report only a heartbeat after the end of its evacuation that the servers are cold.
#[tokio::test(flavor = "multi_thread")]
async fn servers_are_cold_after_the_evacuation_of_their_zone_ends() {
    let server = start_server("i-1", GOOD).await;
    let store = Store::start().await;
    store.put("op", "config", &cold_configuration(1));
    store.put("op", "evacuate/zone-a", &json!({}));
    list_server(&store, &server, "app", "v1", "ready");
    let site = Site::start_with_store(store).await;
    site.wait_for_servers(1).await;

    site.store.remove("op", "evacuate/zone-a");
    wait_until("the evacuation has ended", || site.entry.router.dump()["evacuated"] == json!([]))
        .await;
    send_20_requests(&site, "/safe/").await;

    assert_eq!(server.requests().len(), 1);
}

/// A crashed server accepts connections again before its row reports the new start.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_is_cold_after_it_was_unreachable() {
    let server = start_server("i-1", Action::Crash { after_head: false }).await;
    let store = Store::start().await;
    store.put("op", "config", &cold_configuration(1));
    list_server(&store, &server, "app", "v1", "ready");
    let site = Site::start_with_store(store).await;
    site.wait_for_servers(1).await;
    site.request("GET", "/safe/a", "").await;
    server.wait_until_terminated(0).await;
    site.request("GET", "/safe/b", "").await;

    server.restart();
    for number in 0..20 {
        site.request("GET", &format!("/safe/c{number}"), "").await;
    }

    assert!(
        server.requests().len() <= 3,
        "{} requests reached the server",
        server.requests().len()
    );
}

/// Each entry computes its share from its place among all entries, which it knows some seconds after it hears of them.
#[tokio::test(flavor = "multi_thread")]
async fn entries_share_the_rate_of_a_cold_server() {
    let (cold, warm) = (start_server("i-cold", GOOD).await, start_server("i-warm", GOOD).await);
    let store = store_with_cold_servers(&[]).await;
    list_server(&store, &warm, "app", "v1", "ready");
    let seeds = [free_address(), free_address()];
    let mut sites = Vec::new();
    for number in 0..4 {
        let site = Site::start_with_settings(store.clone(), |host| {
            host.seed_peers = seeds.to_vec();
            host.peer_address = seeds.get(number).copied().or(host.peer_address);
        });
        sites.push(Arc::new(site.await));
    }
    for site in &sites {
        wait_until("all entries report to each other", || site.entry.router.dump()["entries"] == 4)
            .await;
        wait_until("the entry knows its place among all", || {
            !site.entry.router.dump()["place"].is_null()
        })
        .await;
    }

    list_cold_server(&store, &cold, "app", 60_000);
    for site in &sites {
        site.wait_for_servers(2).await;
    }
    for site in sites.iter().cycle().take(12) {
        send_20_requests(site, "/safe/").await;
    }

    assert_eq!(cold.requests().len(), 1, "all entries together may send one request");
}
