//! Configuration and server list that an entry uses when the store changes, is down or discards its
//! history.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde_json::json;

use crate::{
    server::Action,
    site::{Site, configuration, list_server, server_row, start_server, wait_until},
    store::{Fault, Store},
};

/// An address where nothing listens.
const UNUSED_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

const SUCCESS: Action = Action::Respond { status: 200, body: "good" };

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_without_a_configuration_is_not_ready_and_refuses_requests() {
    let store = Store::start().await;
    let site = Site::start_with_store(store).await;

    let answer = site.request("GET", "/safe/a", "").await;

    assert!(!site.entry.router.is_ready());
    assert_eq!(answer.status, 503);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_arrives_before_the_configuration_and_the_servers_waits_for_them() {
    let server = start_server("i-1", SUCCESS).await;
    let site = Site::start_with_store(Store::start().await).await;

    let (answer, ()) = tokio::join!(site.request("GET", "/safe/a", ""), async {
        wait_until("the request arrived", || site.entry.router.in_flight() == 1).await;
        site.store.put("op", "config", &configuration(1));
        wait_until("there is a configuration", || config_version(&site) == 1).await;
        list_server(&site.store, &server, "app", "v1", "ready");
    });

    assert_eq!((answer.status, &*answer.body), (200, "good"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_configuration_takes_effect_without_a_restart() {
    let server = start_server("i-1", SUCCESS).await;
    let site = Site::start(&[(&server, "app", "v1")]).await;
    let mut changed = configuration(7);
    changed["tenants"] = json!([{"name": "org", "api-keys": ["key-2"]}]);
    changed["routes"][0]["prefix"] = json!("/moved/");

    site.store.put("op", "config", &changed);
    wait_until("the new configuration is in use", || config_version(&site) == 7).await;

    assert_eq!(site.request("GET", "/safe/a", "").await.status, 404);
    assert_eq!(site.request("GET", "/moved/a", "").await.status, 401, "the key was removed");
}

/// Version of the configuration that an entry uses; 0 without one.
fn config_version(site: &Site) -> u64 {
    site.entry.router.table.load().as_ref().as_ref().map_or(0, |table| table.version)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_older_configuration_is_ignored() {
    let server = start_server("i-1", SUCCESS).await;
    let site = Site::start(&[(&server, "app", "v1")]).await;
    site.store.put("op", "config", &configuration(9));
    wait_until("version 9 is in use", || config_version(&site) == 9).await;
    let mut older = configuration(4);
    older["routes"] = json!([]);

    site.store.put("op", "config", &older);
    site.store.put("servers", "i-2", &server_row(UNUSED_ADDRESS, "app", "v1", "ready"));
    wait_until("a later change was read", || site.entry.router.fleet.load().len() == 2).await;

    assert_eq!(config_version(&site), 9);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_server_gets_no_further_request() {
    let (staying, draining) =
        (start_server("i-1", SUCCESS).await, start_server("i-2", SUCCESS).await);
    let site = Site::start(&[(&staying, "app", "v1"), (&draining, "app", "v1")]).await;

    list_server(&site.store, &draining, "app", "v1", "draining");
    let accepting = || {
        let fleet = site.entry.router.fleet.load();
        fleet.of_service("app").iter().filter(|member| !member.is_draining()).count()
    };
    wait_until("one server accepts requests", || accepting() == 1).await;
    let before = draining.requests().len();
    for _ in 0..6 {
        assert_eq!(site.request("GET", "/safe/a", "").await.status, 200);
    }

    assert_eq!(draining.requests().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_full_read_replaces_a_change_feed_whose_history_was_discarded() {
    let (first, second) = (start_server("i-1", SUCCESS).await, start_server("i-2", SUCCESS).await);
    let site = Site::start(&[(&first, "app", "v1"), (&second, "app", "v1")]).await;

    site.store.remove("servers", "i-2");
    site.store.drop_history();

    wait_until("the removed server is out of view", || site.entry.router.fleet.load().len() == 1)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_serves_from_its_last_state_while_the_store_is_down() {
    for fault in [Fault::Down, Fault::RateLimited] {
        let server = start_server("i-1", SUCCESS).await;
        let site = Site::start(&[(&server, "app", "v1")]).await;

        site.store.set_fault(fault);
        wait_until("the entry noticed the outage", || {
            site.entry.router.metrics.render().contains("store_errors")
        })
        .await;
        assert_eq!(site.request("GET", "/safe/a", "").await.status, 200);

        site.store.put("op", "config", &configuration(3));
        site.store.set_fault(Fault::None);
        wait_until("the change is in use", || config_version(&site) == 3).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn servers_whose_rows_expired_during_a_store_outage_get_time_to_return() {
    let (returning, missing) =
        (start_server("i-1", SUCCESS).await, start_server("i-2", SUCCESS).await);
    let site = Site::start(&[(&returning, "app", "v1"), (&missing, "app", "v1")]).await;
    site.store.set_fault(Fault::Down);
    // The feed of servers calls again once it has processed the first failure.
    wait_until("the feed of servers noticed the outage", || site.store.failed_reads("servers") > 1)
        .await;

    site.store.remove("servers", "i-1");
    site.store.remove("servers", "i-2");
    let before = config_version(&site);
    site.store.put("op", "config", &configuration(before + 1));
    site.store.set_fault(Fault::None);
    wait_until("the store is back", || config_version(&site) == before + 1).await;

    // The server feed is back as well, or will be in a moment; both servers are still in view.
    assert_eq!(site.entry.router.fleet.load().len(), 2);
    list_server(&site.store, &returning, "app", "v1", "ready");
    wait_until("the server that did not return is out of view", || {
        site.entry.router.fleet.load().len() == 1
    })
    .await;
    assert_eq!(&*site.entry.router.fleet.load().of_service("app")[0].server.id, "i-1");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_server_list_is_read_page_by_page() {
    let store = Store::start().await;
    store.set_page_size(2);
    store.put("op", "config", &configuration(1));
    for i in 0..7 {
        store.put("servers", &format!("i-{i}"), &server_row(UNUSED_ADDRESS, "app", "v1", "ready"));
    }

    let site = Site::start_with_store(store).await;

    wait_until("all servers are in view", || site.entry.router.fleet.load().len() == 7).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unreadable_document_is_skipped() {
    let server = start_server("i-1", SUCCESS).await;
    let site = Site::start(&[(&server, "app", "v1")]).await;

    site.store.put("op", "config", &json!({"version": "not a number"}));
    site.store.put("servers", "i-9", &json!({"service": 5}));
    site.store.put("op", "config", &configuration(2));
    wait_until("the next configuration is in use", || config_version(&site) == 2).await;

    assert_eq!(site.request("GET", "/safe/a", "").await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_cannot_reach_the_store_follows_a_peer() {
    let server = start_server("i-1", SUCCESS).await;
    let first = Site::start(&[(&server, "app", "v1")]).await;
    let seed = first.entry.addresses.peer;
    // A separate store that is down stands for a store that refuses only this Host.
    let store = Store::start().await;
    store.set_fault(Fault::Down);

    let isolated = Site::start_seed(store, seed).await;
    wait_until("the entry has a configuration", || isolated.entry.router.is_ready()).await;
    wait_until("the entry has the servers", || isolated.entry.router.fleet.load().len() == 1).await;
    assert_eq!(isolated.request("GET", "/safe/a", "").await.status, 200);

    first.store.put("op", "config", &configuration(5));
    wait_until("the change arrives through the peer", || config_version(&isolated) == 5).await;

    // Its own store is up again with a newer configuration, while the peer still offers its own.
    for number in 0..20 {
        list_server(&isolated.store, &server, "app", &format!("v{number}"), "ready");
    }
    isolated.store.put("op", "config", &configuration(9));
    isolated.store.set_fault(Fault::None);
    wait_until("the entry reads from the store again", || config_version(&isolated) == 9).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_dropped_entry_stops_calling_the_store() {
    let site = Site::start_with_store(Store::start().await).await;
    let (store, entry) = (site.store, site.entry);
    wait_until("the entry calls the store", || store.calls() > 0).await;

    drop(entry);
    let mut calls = store.calls();
    loop {
        // The calls in progress, two of them long polls of feeds, end; then there must be no
        // further call.
        tokio::time::sleep(std::time::Duration::from_millis(400)).await;
        let now = store.calls();
        if now == calls {
            break;
        }
        calls = now;
    }
}
