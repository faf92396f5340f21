//! Invalid rows in the table of servers: each counts as no server, and all other rows stay in use.

use mintmoor::platform::{
    documents::parse_server_row,
    store::{Row, Table},
};
use proptest::{prelude::*, sample::select};
use serde_json::{Value, json};

use crate::{
    server::{Action, Server},
    site::{
        Site, configuration, list_server, list_server_with_start_time, server_row, start_server,
        wait_until,
    },
    store::Store,
};

const GOOD: Action = Action::Respond { status: 200, body: "good" };
/// Required fields of a server's row.
const FIELDS: [&str; 8] =
    ["service", "address", "zone", "version", "slots", "state", "cold-remaining-ms", "sequence"];

/// A row with all required fields, a start time and models.
fn complete_row() -> Value {
    let mut row = server_row("127.0.0.1:9".parse().unwrap(), "llm", "v1", "ready");
    row["born"] = json!(1_764_720_000_000_u64);
    row["models"] = json!([{"name": "small", "version": 1, "adapters": []}]);
    row
}

fn parse(document: &Value) -> mintmoor::platform::Result<mintmoor::routing::BackendServer> {
    let value = serde_json::to_vec(document).unwrap();
    let key = "i-1".into();
    parse_server_row(&Row {
        table: Table::Servers,
        key,
        value,
        version: 1,
        era: 0,
        is_removed: false,
    })
}

/// Invalid rows, each with a description of its fault.
fn invalid_rows(server: &Server) -> Vec<(&'static str, Value)> {
    let good = server_row(server.address, "app", "v1", "ready");
    let with = |field: &str, value: Value| {
        let mut row = good.clone();
        row[field] = value;
        row
    };
    let mut without_state = good.clone();
    without_state.as_object_mut().unwrap().remove("state");
    vec![
        ("a missing field", without_state),
        ("a field of another type", with("slots", json!("8"))),
        ("zero slots", with("slots", json!(0))),
        ("an unknown state", with("state", json!("resting"))),
        ("a start time that is not a number", with("born", json!("today"))),
        ("a malformed address", with("address", json!("nowhere:x"))),
        ("an unspecified address with port 0", with("address", json!("0.0.0.0:0"))),
        ("not an object", json!([1, 2])),
    ]
}

fn servers(site: &Site) -> usize {
    site.entry.router.fleet.load().len()
}

#[test]
fn a_complete_row_is_parsed() {
    let server = parse(&complete_row()).unwrap();

    assert_eq!((&*server.service, server.slots, server.is_draining), ("llm", 8, false));
    assert_eq!(server.started_at, Some(1_764_720_000_000));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn a_row_without_a_field_is_rejected(field in select(&FIELDS[..])) {
        let mut row = complete_row();
        row.as_object_mut().unwrap().remove(field);
        prop_assert!(parse(&row).is_err());
    }

    #[test]
    fn a_row_with_a_field_of_another_type_is_rejected(
        field in select([&FIELDS[..], &["born", "models"]].concat()), kind in 0usize..4, text in "[a-z]{0,8}",
    ) {
        let other = [json!(null), json!(true), json!({"a": 1}), json!([text])];
        let mut row = complete_row();
        row[field] = other[kind].clone();
        prop_assert!(parse(&row).is_err(), "{row}");
    }

    #[test]
    fn any_bytes_parse_to_a_server_or_an_error(value in proptest::collection::vec(any::<u8>(), 0..512)) {
        let key = "i-1".into();
        let _ = parse_server_row(&Row { table: Table::Servers, key, value, version: 1, era: 0, is_removed: false });
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_row_removes_its_server_and_no_other() {
    let (stays, spoiled) = (start_server("i-1", GOOD).await, start_server("i-2", GOOD).await);
    let site = Site::start(&[(&stays, "app", "v1"), (&spoiled, "app", "v1")]).await;

    for (what, document) in invalid_rows(&spoiled) {
        site.store.put("servers", "i-2", &document);
        wait_until(what, || servers(&site) == 1).await;
        assert_eq!(site.request("GET", "/safe/a", "").await.status, 200, "{what}");

        list_server(&site.store, &spoiled, "app", "v1", "ready");
        wait_until("the server is known again", || servers(&site) == 2).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn values_that_cannot_be_decoded_stop_neither_a_full_read_nor_a_feed() {
    let (stays, spoiled) = (start_server("i-1", GOOD).await, start_server("i-2", GOOD).await);
    let store = Store::start().await;
    store.put("op", "config", &configuration(1));
    list_server(&store, &stays, "app", "v1", "ready");
    store.put_malformed("servers", "i-2", &json!("%%%"));
    store.put_malformed("servers", "i-3", &json!({"no": "text"}));

    let site = Site::start_with_store(store).await;

    site.wait_for_servers(1).await;
    list_server(&site.store, &spoiled, "app", "v1", "ready");
    wait_until("the feed delivers the valid row", || servers(&site) == 2).await;
    site.store.put_malformed("servers", "i-2", &json!("%%%"));
    wait_until("the server is removed again", || servers(&site) == 1).await;
    assert!(site.entry.router.metrics.render().contains("mintmoor_rows_unreadable 2"));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_row_removes_its_server_at_a_follower() {
    let (stays, spoiled) = (start_server("i-1", GOOD).await, start_server("i-2", GOOD).await);
    let store = Store::start().await;
    store.put("op", "config", &configuration(1));
    let first = Site::start_seed(store.clone(), None).await;
    let second = Site::start_follower(store.clone(), &first).await;
    list_server(&store, &stays, "app", "v1", "ready");
    list_server(&store, &spoiled, "app", "v1", "ready");
    wait_until("both servers are known", || servers(&second) == 2).await;

    store.put_malformed("servers", "i-2", &json!("%%%"));

    wait_until("only the server with the valid row is left", || servers(&second) == 1).await;
    assert_eq!(second.request("GET", "/safe/a", "").await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_row_without_a_start_time_is_invalid_when_other_rows_have_one() {
    let (stays, spoiled, foreign) = (
        start_server("i-1", GOOD).await,
        start_server("i-2", GOOD).await,
        start_server("i-3", GOOD).await,
    );
    let also = start_server("i-4", GOOD).await;
    let site = Site::start(&[]).await;
    for server in [&stays, &spoiled, &also] {
        list_server_with_start_time(&site.store, server, "app", 1_000);
    }
    wait_until("all servers are known", || servers(&site) == 3).await;

    list_server(&site.store, &foreign, "app", "v1", "ready");
    list_server(&site.store, &spoiled, "app", "v1", "ready");

    wait_until("only the two servers with a start time are left", || servers(&site) == 2).await;
    let fleet = site.entry.router.fleet.load();
    assert!(fleet.of_service("app").iter().all(|member| member.server.started_at == Some(1_000)));
}

/// Another writer may have left any number as the time for which a server stays cold.
#[test]
fn a_cold_time_out_of_range_is_bounded() {
    for ms in [1e300, -1e300, f64::MAX, 0.5] {
        let mut row = complete_row();
        row["cold-remaining-ms"] = json!(ms);

        let server = parse(&row).unwrap();

        assert!(server.remaining_cold_time <= std::time::Duration::from_secs(3_600));
    }
}
