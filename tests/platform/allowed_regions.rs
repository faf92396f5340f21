//! Requests of routes and Organisations with allowed regions reach no server in another region, on
//! a site with three regions.

use serde_json::{Value, json};

use crate::{
    server::{Action, Server},
    site::{Site, configuration, events, server_row, start_server},
    store::Store,
};

const SUCCESS: Action = Action::Respond { status: 200, body: "good" };
const REGIONS: [&str; 3] = ["north", "south", "west"];

/// Starts a site with a server in each region, an entry in the first region, and a changed
/// configuration.
async fn start_site(
    service: &str,
    actions: [Action; 3],
    change: impl Fn(&mut Value),
) -> (Site, Vec<Server>) {
    let store = Store::start().await;
    let mut config = configuration(1);
    change(&mut config);
    store.put("op", "config", &config);
    let mut servers = Vec::new();
    for (region, action) in REGIONS.iter().zip(actions) {
        let server = start_server(&format!("i-{region}"), action).await;
        let mut row = server_row(server.address, service, "v1", "ready");
        row["zone"] = json!(format!("{region}-1"));
        store.put("servers", &server.id, &row);
        servers.push(server);
    }
    let site = Site::start_with_settings(store, |host| {
        host.zone = "north-1".into();
        let zone = |region: &&str| (format!("{region}-1").into(), Box::from(*region));
        host.regions = REGIONS.iter().map(zone).collect();
    })
    .await;
    site.wait_for_servers(3).await;
    (site, servers)
}

/// For each server, whether it received any request.
fn received_any(servers: &[Server]) -> Vec<bool> {
    servers.iter().map(|server| !server.requests().is_empty()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_route_with_allowed_regions_uses_only_those() {
    let allowed =
        |config: &mut Value| config["routes"][0]["allowed-regions"] = json!(["south", "west"]);
    let (site, servers) = start_site("app", [SUCCESS, SUCCESS, SUCCESS], allowed).await;

    for number in 0..20 {
        assert_eq!(site.request("GET", &format!("/safe/{number}"), "").await.status, 200);
    }

    assert_eq!(received_any(&servers), [false, true, true]);
}

#[tokio::test(flavor = "multi_thread")]
async fn allowed_regions_of_route_and_organisation_both_apply() {
    let allowed = |config: &mut Value| {
        config["routes"][0]["allowed-regions"] = json!(["south", "west"]);
        config["tenants"][0]["allowed-regions"] = json!(["north", "west"]);
    };
    let (site, servers) = start_site("app", [SUCCESS, SUCCESS, SUCCESS], allowed).await;

    for number in 0..20 {
        assert_eq!(site.request("GET", &format!("/safe/{number}"), "").await.status, 200);
    }

    assert_eq!(received_any(&servers), [false, false, true]);
}

/// The server in the only allowed region fails; no retry goes to another region.
#[tokio::test(flavor = "multi_thread")]
async fn a_retry_stays_in_the_allowed_region() {
    let allowed = |config: &mut Value| config["routes"][0]["allowed-regions"] = json!(["south"]);
    let (site, servers) =
        start_site("app", [SUCCESS, Action::CloseConnection, SUCCESS], allowed).await;

    assert_eq!(site.request("GET", "/safe/a", "").await.status, 502);

    assert_eq!(received_any(&servers), [false, true, false]);
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_streams_and_escalations_stay_in_the_allowed_region() {
    let allowed = |config: &mut Value| config["tenants"][0]["allowed-regions"] = json!(["south"]);
    let complete = Action::Stream { last_event: 6, is_complete: true, confidence: 90 };
    let truncated = Action::Stream { last_event: 2, is_complete: false, confidence: 90 };
    let unconfident = Action::Stream { last_event: 6, is_complete: true, confidence: 10 };
    for action in [truncated, unconfident] {
        let (site, servers) =
            start_site("llm", [complete.clone(), action, complete.clone()], allowed).await;

        let answer = site.request("POST", "/chat/a", "").await;

        assert_eq!(received_any(&servers), [false, true, false]);
        assert!(events(6).starts_with(&answer.body));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_a_server_in_an_allowed_region_is_refused() {
    let allowed = |config: &mut Value| config["routes"][0]["allowed-regions"] = json!(["nowhere"]);
    let (site, servers) = start_site("app", [SUCCESS, SUCCESS, SUCCESS], allowed).await;

    let answer = site.request("GET", "/safe/a", "").await;

    assert_eq!(answer.status, 503);
    assert_eq!(received_any(&servers), [false, false, false]);
}
