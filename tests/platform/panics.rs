//! Requests and control tasks that panic, provoked by values that neither the store nor the settings file can bring.

use std::{sync::Arc, time::Duration};

use mintmoor::{
    platform::host_settings::DutySettings,
    routing::{Route, RoutingTable},
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{
    duty_service::DutyService,
    server::Action,
    site::{Site, configuration, start_server, store_with_servers, wait_until},
};

const LEASE: Duration = Duration::from_millis(600);
const GOOD: Action = Action::Respond { status: 200, body: "good" };

/// The configuration in force, with a deadline on all routes that overflows the clock.
fn overflowing_table(site: &Site) -> RoutingTable {
    let mut table = site.entry.router.table.load().as_ref().clone().unwrap();
    for routes in table.routes.values_mut() {
        let overflow =
            |route: &Arc<Route>| Arc::new(Route { timeout: Duration::MAX, ..(**route).clone() });
        *routes = routes.iter().map(overflow).collect();
    }
    table
}

/// Has the entry report usage, under a lease of this length.
fn set_duties(site: &Site, duties: &DutyService, lease: Duration) {
    let router = &site.entry.router;
    let mut settings = (*router.settings.load_full()).clone();
    settings.duties = Some(DutySettings {
        address: duties.address,
        calls_per_second: 50.0,
        lease,
        usage_window: Duration::from_millis(200),
        usage_delay: Duration::from_secs(3),
    });
    router.settings.store(Arc::new(settings));
}

/// Sends two requests without a deadline of their own on one connection and reads all responses.
async fn exchange_two(site: &Site) -> String {
    let mut stream = TcpStream::connect(site.caller).await.unwrap();
    let head = "GET /safe/a HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n";
    let first = format!("{head}X-Request-Id: r-1\r\n\r\n");
    let second = format!("{head}X-Request-Id: r-2\r\nConnection: close\r\n\r\n");
    stream.write_all(format!("{first}{second}").as_bytes()).await.unwrap();
    let mut raw = Vec::new();
    // After a connection reset, a response is missing.
    let _ = stream.read_to_end(&mut raw).await;
    String::from_utf8_lossy(&raw).into_owned()
}

#[tokio::test]
async fn a_request_that_panics_gets_status_500_and_its_connection_goes_on() {
    let server = start_server("i-1", GOOD).await;
    let site = Site::start_with_store(store_with_servers(&[(&server, "app", "v1")]).await).await;
    site.wait_for_servers(1).await;
    let router = &site.entry.router;
    let before = router.table.load_full();

    router.table.store(Arc::new(Some(overflowing_table(&site))));
    let responses = exchange_two(&site).await;
    router.table.store(before);
    assert_eq!(responses.matches("HTTP/1.1 500 ").count(), 2, "{responses}");
    // The entry closes new connections while a panic's backtrace holds its thread up.
    while exchange_two(&site).await.matches("HTTP/1.1 200 ").count() != 2 {}
    assert_eq!((router.in_flight(), router.held_bytes()), (0, 0));
}

#[tokio::test]
async fn a_control_task_that_panics_is_started_again_while_the_others_follow_the_store() {
    let server = start_server("i-1", GOOD).await;
    let store = store_with_servers(&[(&server, "app", "v1")]).await;
    let duties = DutyService::start(LEASE).await;
    let site = Site::start_with_store(store).await;
    site.wait_for_servers(1).await;
    let router = &site.entry.router;
    let restarts = |count: &str| {
        let line = format!("tasks_restarted_total{{task=\"usage\"}} {count}");
        router.metrics.render().contains(&line)
    };

    set_duties(&site, &duties, Duration::MAX);
    wait_until("the task has panicked twice", || restarts("2")).await;
    site.store.put("op", "config", &configuration(2));
    site.store.remove("servers", "i-1");
    wait_until("both tables are followed", || {
        let version = router.table.load().as_ref().as_ref().map(|table| table.version);
        version == Some(2) && router.fleet.load().is_empty()
    })
    .await;
    set_duties(&site, &duties, LEASE);

    wait_until("usage is reported", || {
        router.metrics.render().contains("usage_reports_total{outcome=\"accepted\"}")
    })
    .await;
}

#[tokio::test]
async fn a_case_whose_ends_are_in_no_order_does_not_end_the_task_that_reads_it() {
    let server = start_server("i-1", GOOD).await;
    let store = store_with_servers(&[(&server, "app", "v1")]).await;
    let ends: Vec<_> = (1..=6).map(|i| json!([format!("{i:x}"), 6_000 - 900 * i])).collect();
    let suspect = format!("{:032x}", u128::MAX - 7);
    let case =
        json!({"fingerprint": suspect, "ends": ends, "trials": u32::MAX, "tried_ms": u64::MAX});
    store.put("mintmoor", "quarantine", &json!({"cases": [case]}));

    let site = Site::start_with_store(store).await;
    site.wait_for_servers(1).await;
    let router = &site.entry.router;
    wait_until("the case is known", || router.dump()["quarantine"][0].is_object()).await;
    let calls = site.store.calls();
    wait_until("the row is read again", || site.store.calls() > calls + 3).await;

    assert!(!router.metrics.render().contains("task=\"quarantine\""));
}
