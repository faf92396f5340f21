//! Configuration and servers: what is in force when the store changes, fails or forgets.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde_json::json;

use crate::{
    server::Act,
    site::{Site, configuration, list_server, server_row, start_server, wait_until},
    store::{Fault, Store},
};

/// Where nobody listens.
const ANYWHERE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

const GOOD: Act = Act::Answer { status: 200, body: "good" };

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_without_a_configuration_is_not_ready_and_refuses() {
    let store = Store::start().await;
    let site = Site::start_with_store(store).await;

    let answer = site.request("GET", "/safe/a", "").await;

    assert!(!site.entry.router.is_ready());
    assert_eq!(answer.status, 503);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_comes_before_the_configuration_and_the_servers_waits_for_them() {
    let server = start_server("i-1", GOOD).await;
    let site = Site::start_with_store(Store::start().await).await;

    let (answer, ()) = tokio::join!(site.request("GET", "/safe/a", ""), async {
        wait_until("it is here", || site.entry.router.in_flight() == 1).await;
        site.store.put("op", "config", &configuration(1));
        wait_until("there is a configuration", || version(&site) == 1).await;
        list_server(&site.store, &server, "app", "v1", "ready");
    });

    assert_eq!((answer.status, &*answer.body), (200, "good"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_configuration_is_in_force_without_a_restart() {
    let server = start_server("i-1", GOOD).await;
    let site = Site::start(&[(&server, "app", "v1")]).await;
    let mut changed = configuration(7);
    changed["tenants"] = json!([{"name": "org", "api-keys": ["key-2"]}]);
    changed["routes"][0]["prefix"] = json!("/moved/");

    site.store.put("op", "config", &changed);
    wait_until("the new one is in force", || version(&site) == 7).await;

    assert_eq!(site.request("GET", "/safe/a", "").await.status, 404);
    assert_eq!(site.request("GET", "/moved/a", "").await.status, 401, "the key was taken away");
}

fn version(site: &Site) -> u64 {
    site.entry.router.table.load().as_ref().as_ref().map_or(0, |table| table.version)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_older_configuration_is_not_followed() {
    let server = start_server("i-1", GOOD).await;
    let site = Site::start(&[(&server, "app", "v1")]).await;
    site.store.put("op", "config", &configuration(9));
    wait_until("version 9", || version(&site) == 9).await;
    let mut older = configuration(4);
    older["routes"] = json!([]);

    site.store.put("op", "config", &older);
    site.store.put("servers", "i-2", &server_row(ANYWHERE, "app", "v1", "ready"));
    wait_until("the feed went on", || site.entry.router.fleet.load().len() == 2).await;

    assert_eq!(version(&site), 9);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_gets_nothing_more() {
    let (stays, leaves) = (start_server("i-1", GOOD).await, start_server("i-2", GOOD).await);
    let site = Site::start(&[(&stays, "app", "v1"), (&leaves, "app", "v1")]).await;

    list_server(&site.store, &leaves, "app", "v1", "draining");
    let takes = || {
        let fleet = site.entry.router.fleet.load();
        fleet.of_service("app").iter().filter(|member| !member.is_draining()).count()
    };
    wait_until("one takes requests", || takes() == 1).await;
    let before = leaves.seen().len();
    for _ in 0..6 {
        assert_eq!(site.request("GET", "/safe/a", "").await.status, 200);
    }

    assert_eq!(leaves.seen().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_forgotten_history_is_made_up_for_by_reading_anew() {
    let (one, two) = (start_server("i-1", GOOD).await, start_server("i-2", GOOD).await);
    let site = Site::start(&[(&one, "app", "v1"), (&two, "app", "v1")]).await;

    site.store.remove("servers", "i-2");
    site.store.drop_history();

    wait_until("the removal is known", || site.entry.router.fleet.load().len() == 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_goes_on_with_what_it_knows_while_the_store_is_away() {
    for fault in [Fault::Down, Fault::RateLimited] {
        let server = start_server("i-1", GOOD).await;
        let site = Site::start(&[(&server, "app", "v1")]).await;

        site.store.set_fault(fault);
        wait_until("the entry noticed", || {
            site.entry.router.metrics.render().contains("store_errors")
        })
        .await;
        assert_eq!(site.request("GET", "/safe/a", "").await.status, 200);

        site.store.put("op", "config", &configuration(3));
        site.store.set_fault(Fault::None);
        wait_until("the change is in force", || version(&site) == 3).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_lapsed_while_the_store_was_away_is_kept_until_it_is_back_or_gone() {
    let (back, gone) = (start_server("i-1", GOOD).await, start_server("i-2", GOOD).await);
    let site = Site::start(&[(&back, "app", "v1"), (&gone, "app", "v1")]).await;
    site.store.set_fault(Fault::Down);
    wait_until("the entry noticed", || site.entry.router.metrics.render().contains("store_errors"))
        .await;

    site.store.remove("servers", "i-1");
    site.store.remove("servers", "i-2");
    let changes = version(&site);
    site.store.put("op", "config", &configuration(changes + 1));
    site.store.set_fault(Fault::None);
    wait_until("the store is back", || version(&site) == changes + 1).await;

    // The feed of servers came back with it or will within a moment; both are still in view.
    assert_eq!(site.entry.router.fleet.load().len(), 2);
    list_server(&site.store, &back, "app", "v1", "ready");
    wait_until("the one that did not return is gone", || site.entry.router.fleet.load().len() == 1)
        .await;
    assert_eq!(&*site.entry.router.fleet.load().of_service("app")[0].server.id, "i-1");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_list_is_read_page_by_page() {
    let store = Store::start().await;
    store.set_page_size(2);
    store.put("op", "config", &configuration(1));
    for i in 0..7 {
        store.put("servers", &format!("i-{i}"), &server_row(ANYWHERE, "app", "v1", "ready"));
    }

    let site = Site::start_with_store(store).await;

    wait_until("all are in view", || site.entry.router.fleet.load().len() == 7).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_document_that_can_not_be_read_is_passed_over() {
    let server = start_server("i-1", GOOD).await;
    let site = Site::start(&[(&server, "app", "v1")]).await;

    site.store.put("op", "config", &json!({"version": "not a number"}));
    site.store.put("servers", "i-9", &json!({"service": 5}));
    site.store.put("op", "config", &configuration(2));
    wait_until("the next one is in force", || version(&site) == 2).await;

    assert_eq!(site.request("GET", "/safe/a", "").await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_the_store_refuses_learns_from_another() {
    let server = start_server("i-1", GOOD).await;
    let first = Site::start(&[(&server, "app", "v1")]).await;
    let seed = first.entry.addresses.peer;
    // A store of its own that never answers stands for one that refuses this host alone.
    let store = Store::start().await;
    store.set_fault(Fault::Down);

    let cut_off = Site::start_seed(store, seed).await;
    wait_until("it has a configuration", || cut_off.entry.router.is_ready()).await;
    wait_until("it has the servers", || cut_off.entry.router.fleet.load().len() == 1).await;
    assert_eq!(cut_off.request("GET", "/safe/a", "").await.status, 200);

    first.store.put("op", "config", &configuration(5));
    wait_until("the change gets through", || version(&cut_off) == 5).await;

    // Its own store returns with something newer, while the other entry goes on offering.
    for number in 0..20 {
        list_server(&cut_off.store, &server, "app", &format!("v{number}"), "ready");
    }
    cut_off.store.put("op", "config", &configuration(9));
    cut_off.store.set_fault(Fault::None);
    wait_until("the store's word is followed again", || version(&cut_off) == 9).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_dropped_entry_asks_the_store_no_more() {
    let site = Site::start_with_store(Store::start().await).await;
    let (store, entry) = (site.store, site.entry);
    wait_until("it asks", || store.calls() > 0).await;

    drop(entry);
    let mut calls = store.calls();
    loop {
        // Two feeds and the calls under way end; then nothing more comes.
        tokio::time::sleep(std::time::Duration::from_millis(400)).await;
        let now = store.calls();
        if now == calls {
            break;
        }
        calls = now;
    }
}
