//! Rows of the store that can't be read.

use crate::{
    harness::CALLER_PORT,
    harness::{Host, METRICS_PORT, ask},
    row_values::odd_values,
    server::{Action, Server},
    site::{configuration, list_server, request_bytes, start_server, store_with_servers},
    store::Store,
};

const GOOD: Action = Action::Respond { status: 200, body: "good" };

async fn is_served(host: &Host) -> bool {
    let request = request_bytes("GET", "/safe/a", "", "");
    ask(host.address(CALLER_PORT), &request).await.starts_with("HTTP/1.1 200")
}

async fn has_metric(host: &Host, line: &str) -> bool {
    host.get(METRICS_PORT, "/metrics").await.contains(line)
}

/// Replaces the only server and the configuration, and waits until the process has followed both.
async fn assert_follows(host: &Host, store: &Store, servers: [&Server; 2], version: u64) {
    let [before, next] = servers;
    store.put("op", "config", &configuration(version));
    list_server(store, next, "app", "v1", "ready");
    store.remove("servers", &before.id);
    let revision = format!("mintmoor_config_revision {version}");
    host.wait_until(&revision, async || has_metric(host, &revision).await).await;
    let asked = next.requests().len();
    host.wait_until("a request arrives at the new server", async || {
        is_served(host).await && next.requests().len() > asked
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_starts_beside_any_odd_row_and_follows_later_changes() {
    let (one, two) = (start_server("i-1", GOOD).await, start_server("i-2", GOOD).await);
    for (what, value) in odd_values() {
        for table in ["servers", "op"] {
            let store = store_with_servers(&[(&one, "app", "v1")]).await;
            store.put_raw(table, "odd", &value);
            let host = Host::new(store.address);

            let mut process = host.spawn();
            host.wait_until_ready().await;
            host.wait_until(what, async || is_served(&host).await).await;
            assert_follows(&host, &store, [&one, &two], 2).await;

            process.assert_lives(&host);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_running_process_that_gets_any_odd_row_follows_later_changes() {
    let mut servers = [start_server("i-1", GOOD).await, start_server("i-2", GOOD).await];
    let store = store_with_servers(&[(&servers[0], "app", "v1")]).await;
    let host = Host::new(store.address);
    let mut process = host.spawn();
    host.wait_until_ready().await;
    host.wait_until("served", async || is_served(&host).await).await;

    let mut version = 1;
    for (_, value) in odd_values() {
        for table in ["servers", "op"] {
            store.put_raw(table, "odd", &value);
            version += 1;
            assert_follows(&host, &store, [&servers[0], &servers[1]], version).await;
            servers.swap(0, 1);
        }
    }

    process.assert_lives(&host);
}
