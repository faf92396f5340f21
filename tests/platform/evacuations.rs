//! AvailabilityZones that the operator has evacuated: no first send, retry, resumed stream or larger model goes there.

use serde_json::{Value, json};

use crate::{
    server::{Action, Server},
    site::{Site, configuration, events, list_server, server_row, start_server, wait_until},
    store::{Fault, Store},
};

const GOOD: Action = Action::Respond { status: 200, body: "good" };
const CHAT: &str = "X-Model: small\r\n";

/// The row of a server in this zone.
fn server_row_in_zone(zone: &str, server: &Server, service: &str) -> Value {
    let mut row = server_row(server.address, service, "v1", "ready");
    row["zone"] = json!(zone);
    row
}

fn evacuate(store: &Store, zone: &str) {
    store.put("op", &format!("evacuate/{zone}"), &json!({}));
}

fn evacuated_zones(site: &Site) -> usize {
    site.entry.router.dump()["evacuated"].as_array().unwrap().len()
}

/// Starts an entry with one server in its own zone, `zone-a`, and one in `zone-b`.
async fn site_in_two_zones(service: &str, here: Action, there: Action) -> (Site, Server, Server) {
    let (here, there) = (start_server("i-here", here).await, start_server("i-there", there).await);
    let store = Store::start().await;
    store.put("op", "config", &configuration(1));
    list_server(&store, &here, service, "v1", "ready");
    store.put("servers", "i-there", &server_row_in_zone("zone-b", &there, service));
    let site = Site::start_with_store(store).await;
    site.wait_for_servers(2).await;
    (site, here, there)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_zone_gets_no_requests_until_the_evacuation_ends() {
    let (site, here, there) = site_in_two_zones("app", GOOD, GOOD).await;

    evacuate(&site.store, "zone-a");
    wait_until("the evacuation is in force", || evacuated_zones(&site) == 1).await;
    for number in 0..20 {
        assert_eq!(site.request("GET", &format!("/safe/{number}"), "").await.status, 200);
    }
    assert_eq!((here.requests().len(), there.requests().len()), (0, 20));

    site.store.remove("op", "evacuate/zone-a");
    wait_until("the evacuation has ended", || evacuated_zones(&site) == 0).await;
    for number in 0..20 {
        site.request("GET", &format!("/safe/b{number}"), "").await;
    }
    assert!(!here.requests().is_empty());
}

/// The evacuated server is the only other one, so a retry would go there.
#[tokio::test(flavor = "multi_thread")]
async fn no_retry_goes_to_an_evacuated_zone() {
    let (site, here, _there) = site_in_two_zones("app", GOOD, Action::CloseConnection).await;
    evacuate(&site.store, "zone-a");
    wait_until("the evacuation is in force", || evacuated_zones(&site) == 1).await;

    for number in 0..5 {
        assert_eq!(site.request("GET", &format!("/safe/{number}"), "").await.status, 502);
    }

    assert!(here.requests().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn no_resumed_stream_and_no_larger_model_goes_to_an_evacuated_zone() {
    let broken = Action::Stream { last_event: 2, is_complete: false, confidence: 90 };
    let unsure = Action::Stream { last_event: 6, is_complete: true, confidence: 10 };
    for act in [broken, unsure] {
        let good = Action::Stream { last_event: 6, is_complete: true, confidence: 90 };
        let (site, here, there) = site_in_two_zones("llm", good, act).await;
        evacuate(&site.store, "zone-a");
        wait_until("the evacuation is in force", || evacuated_zones(&site) == 1).await;

        let answer = site.request("POST", "/chat/a", "").await;

        assert!(here.requests().is_empty() && !there.requests().is_empty());
        assert!(events(6).starts_with(&answer.body));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_only_evacuated_servers_could_run_is_refused_at_once() {
    let (site, here, there) = site_in_two_zones("llm", GOOD, GOOD).await;
    evacuate(&site.store, "zone-a");
    evacuate(&site.store, "zone-b");
    wait_until("both evacuations are in force", || evacuated_zones(&site) == 2).await;

    let answer = site.request("POST", "/chat/a", CHAT).await;

    assert_eq!(answer.status, 503);
    assert!(answer.head.contains("retry-after: "), "{}", answer.head);
    assert!(here.requests().is_empty() && there.requests().is_empty());
}

/// The evacuation is in the store when the entry starts; rows are read in the order of their keys, so its row is read
/// after that of the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_entry_applies_an_evacuation_before_it_takes_requests() {
    for _ in 0..5 {
        let (here, there) =
            (start_server("i-here", GOOD).await, start_server("i-there", GOOD).await);
        let store = Store::start().await;
        store.put("op", "config", &configuration(1));
        evacuate(&store, "zone-a");
        list_server(&store, &here, "app", "v1", "ready");
        store.put("servers", "i-there", &server_row_in_zone("zone-b", &there, "app"));
        let site = Site::start_with_store(store).await;

        assert_eq!(site.request("GET", "/safe/a", "").await.status, 200);
        assert_eq!(site.request("GET", "/safe/b", "").await.status, 200);

        assert_eq!((here.requests().len(), there.requests().len()), (0, 2));
    }
}

/// Another entry, which can reach its store, passes on the evacuation and its end.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_the_store_refuses_learns_of_an_evacuation_from_another() {
    let (first, _here, _there) = site_in_two_zones("app", GOOD, GOOD).await;
    let refusing = Store::start().await;
    refusing.set_fault(Fault::Down);
    let cut_off = Site::start_seed(refusing, first.entry.addresses.peer).await;
    cut_off.wait_for_servers(2).await;

    evacuate(&first.store, "zone-a");
    wait_until("the entry knows of the evacuation", || evacuated_zones(&cut_off) == 1).await;
    first.store.remove("op", "evacuate/zone-a");
    wait_until("the entry knows of its end", || evacuated_zones(&cut_off) == 0).await;
}

/// The store has dropped its history, so only a full read of the table shows that the evacuation was removed.
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_that_ended_in_a_gap_of_the_feed_is_ended() {
    let (site, _here, _there) = site_in_two_zones("app", GOOD, GOOD).await;
    evacuate(&site.store, "zone-b");
    wait_until("the evacuation is in force", || evacuated_zones(&site) == 1).await;

    site.store.set_fault(Fault::Down);
    site.store.remove("op", "evacuate/zone-b");
    site.store.drop_history();
    site.store.set_fault(Fault::None);

    wait_until("the evacuation has ended", || evacuated_zones(&site) == 0).await;
}
