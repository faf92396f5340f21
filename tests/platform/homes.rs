//! Requests of routes and Organisations that have homes reach no server in another region, on a site with three.

use serde_json::{Value, json};

use crate::{
    server::{Act, Server},
    site::{Site, configuration, events, server_row, start_server},
    store::Store,
};

const GOOD: Act = Act::Answer { status: 200, body: "good" };
const REGIONS: [&str; 3] = ["north", "south", "west"];

/// A site with a server in each region, an entry in the first, and this change of the configuration.
async fn site(service: &str, acts: [Act; 3], change: impl Fn(&mut Value)) -> (Site, Vec<Server>) {
    let store = Store::start().await;
    let mut config = configuration(1);
    change(&mut config);
    store.put("op", "config", &config);
    let mut servers = Vec::new();
    for (region, act) in REGIONS.iter().zip(acts) {
        let server = start_server(&format!("i-{region}"), act).await;
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

fn seen(servers: &[Server]) -> Vec<bool> {
    servers.iter().map(|server| !server.seen().is_empty()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_route_with_homes_stays_there() {
    let home =
        |config: &mut Value| config["routes"][0]["allowed-regions"] = json!(["south", "west"]);
    let (site, servers) = site("app", [GOOD, GOOD, GOOD], home).await;

    for number in 0..20 {
        assert_eq!(site.request("GET", &format!("/safe/{number}"), "").await.status, 200);
    }

    assert_eq!(seen(&servers), [false, true, true]);
}

#[tokio::test(flavor = "multi_thread")]
async fn where_route_and_organisation_have_homes_both_bind() {
    let homes = |config: &mut Value| {
        config["routes"][0]["allowed-regions"] = json!(["south", "west"]);
        config["tenants"][0]["allowed-regions"] = json!(["north", "west"]);
    };
    let (site, servers) = site("app", [GOOD, GOOD, GOOD], homes).await;

    for number in 0..20 {
        assert_eq!(site.request("GET", &format!("/safe/{number}"), "").await.status, 200);
    }

    assert_eq!(seen(&servers), [false, false, true]);
}

/// Its only home fails: no retry leaves it.
#[tokio::test(flavor = "multi_thread")]
async fn a_retry_stays_at_home() {
    let home = |config: &mut Value| config["routes"][0]["allowed-regions"] = json!(["south"]);
    let (site, servers) = site("app", [GOOD, Act::Close, GOOD], home).await;

    assert_eq!(site.request("GET", "/safe/a", "").await.status, 502);

    assert_eq!(seen(&servers), [false, true, false]);
}

/// Neither does the rest of a stream that broke off, nor the larger model.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_stream_and_a_larger_model_stay_at_home() {
    let home = |config: &mut Value| config["tenants"][0]["allowed-regions"] = json!(["south"]);
    let good = Act::Stream { to: 6, is_whole: true, confidence: 90 };
    let broken = Act::Stream { to: 2, is_whole: false, confidence: 90 };
    let unsure = Act::Stream { to: 6, is_whole: true, confidence: 10 };
    for act in [broken, unsure] {
        let (site, servers) = site("llm", [good.clone(), act, good.clone()], home).await;

        let answer = site.request("POST", "/chat/a", "").await;

        assert_eq!(seen(&servers), [false, true, false]);
        assert!(events(6).starts_with(&answer.body));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn what_has_no_server_at_home_is_refused_at_once() {
    let home = |config: &mut Value| config["routes"][0]["allowed-regions"] = json!(["nowhere"]);
    let (site, servers) = site("app", [GOOD, GOOD, GOOD], home).await;

    let answer = site.request("GET", "/safe/a", "").await;

    assert_eq!(answer.status, 503);
    assert_eq!(seen(&servers), [false, false, false]);
}
