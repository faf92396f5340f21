//! The store is restored from a backup some seconds old: writes that it had acknowledged since are lost, and their
//! versions are assigned again. Entries keep the newer state that they know until it is written again.

use std::time::Duration;

use mintmoor::platform::{
    HttpClient,
    store::{Put, StoreClient, Table, WriteOutcome},
};
use serde_json::{Value, json};

use crate::{
    server::{Action, Server},
    site::{Site, configuration, list_server, server_row, start_server, wait_until},
    store::{Fault, Store},
};

const GOOD: Action = Action::Respond { status: 200, body: "good" };
const FAILS: Action = Action::Respond { status: 500, body: "bad" };

fn version(site: &Site) -> u64 {
    site.entry.router.table.load().as_ref().as_ref().map_or(0, |table| table.version)
}

fn has_server(site: &Site, id: &str) -> bool {
    let servers = site.entry.router.dump()["servers"].clone();
    servers.as_array().unwrap().iter().any(|row| row["id"] == id)
}

fn is_draining(site: &Site, id: &str) -> bool {
    let servers = site.entry.router.dump()["servers"].clone();
    servers.as_array().unwrap().iter().any(|row| row["id"] == id && row["draining_row"] == true)
}

fn evacuated_zones(site: &Site) -> usize {
    site.entry.router.dump()["evacuated"].as_array().unwrap().len()
}

/// Writes a server's row with this sequence number, which servers increase with each write.
fn list_with_sequence(store: &Store, server: &Server, state: &str, sequence: u64) {
    let mut row = server_row(server.address, "app", "v1", state);
    row["sequence"] = json!(sequence);
    store.put("servers", &server.id, &row);
}

/// A configuration in which only the second API key is left.
fn configuration_without_first_key(version: u64) -> Value {
    let mut changed = configuration(version);
    changed["tenants"] = json!([{"name": "org", "api-keys": ["key-2"]}]);
    changed
}

/// New writes bring the store's version past the one that the entry knows, so its feed is not refused: only the era in
/// the header shows the restore.
#[tokio::test(flavor = "multi_thread")]
async fn a_table_is_reread_after_a_restore_that_reuses_versions() {
    let (lost, new) = (start_server("i-lost", GOOD).await, start_server("i-new", GOOD).await);
    let stays = start_server("i-stays", GOOD).await;
    let site = Site::start(&[(&stays, "app", "v1")]).await;
    let snapshot = site.store.snapshot();
    list_server(&site.store, &lost, "app", "v1", "ready");
    wait_until("the server is known", || has_server(&site, "i-lost")).await;

    site.store.restore(&snapshot);
    for number in 0..5 {
        site.store.put("other", &format!("row-{number}"), &json!({}));
    }
    list_server(&site.store, &new, "app", "v1", "ready");

    wait_until("the server listed after the restore is known", || has_server(&site, "i-new")).await;
    wait_until("the server that was not listed again is gone", || !has_server(&site, "i-lost"))
        .await;
    assert!(has_server(&site, "i-stays"));
}

#[tokio::test(flavor = "multi_thread")]
async fn two_restores_in_a_row_are_followed() {
    let (stays, new) = (start_server("i-stays", GOOD).await, start_server("i-new", GOOD).await);
    let site = Site::start(&[(&stays, "app", "v1")]).await;
    let snapshot = site.store.snapshot();

    site.store.restore(&snapshot);
    site.store.put("op", "config", &configuration(3));
    site.store.restore(&snapshot);
    site.store.put("op", "config", &configuration(5));
    list_server(&site.store, &new, "app", "v1", "ready");

    wait_until("the newest configuration is in force", || version(&site) == 5).await;
    wait_until("the new server is known", || has_server(&site, "i-new")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_revoked_key_stays_revoked_after_a_restore_also_at_a_new_entry() {
    let server = start_server("i-1", GOOD).await;
    let first =
        Site::start_seed(crate::site::store_with_servers(&[(&server, "app", "v1")]).await, None)
            .await;
    first.wait_for_servers(1).await;
    let snapshot = first.store.snapshot();
    first.store.put("op", "config", &configuration_without_first_key(4));
    wait_until("the key is revoked", || version(&first) == 4).await;

    first.store.restore(&snapshot);
    list_server(&first.store, &server, "app", "v1", "ready");
    wait_until("the entry noticed the restore", || first.entry.router.dump()["era"] == 1).await;
    let second = Site::start_follower(first.store.clone(), &first).await;
    wait_until("the new entry has the newest configuration", || version(&second) == 4).await;

    assert_eq!(first.request("GET", "/safe/a", "").await.status, 401);
    assert_eq!(second.request("GET", "/safe/a", "").await.status, 401);
    first.store.put("op", "config", &configuration(6));
    wait_until("the operator's next configuration is in force", || version(&second) == 6).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_server_stays_draining_after_a_restore() {
    let (stays, leaves) =
        (start_server("i-stays", GOOD).await, start_server("i-leaves", GOOD).await);
    let site = Site::start(&[(&stays, "app", "v1")]).await;
    list_with_sequence(&site.store, &leaves, "ready", 5);
    wait_until("the server is known", || has_server(&site, "i-leaves")).await;
    let snapshot = site.store.snapshot();
    list_with_sequence(&site.store, &leaves, "draining", 6);
    wait_until("the server is draining", || is_draining(&site, "i-leaves")).await;

    site.store.restore(&snapshot);
    wait_until("the entry noticed the restore", || site.entry.router.dump()["era"] == 1).await;

    assert!(is_draining(&site, "i-leaves"));
    list_with_sequence(&site.store, &leaves, "draining", 7);
    site.store.remove("servers", "i-leaves");
    wait_until("the server is gone", || !has_server(&site, "i-leaves")).await;
}

/// After the restore, the row of a server that has stopped exists again until the store expires it.
#[tokio::test(flavor = "multi_thread")]
async fn a_removed_server_is_not_used_while_a_restore_brings_its_row_back() {
    let (stays, gone) = (start_server("i-stays", GOOD).await, start_server("i-gone", GOOD).await);
    let site = Site::start(&[(&stays, "app", "v1"), (&gone, "app", "v1")]).await;
    let snapshot = site.store.snapshot();
    site.store.remove("servers", "i-gone");
    wait_until("the server is gone", || !has_server(&site, "i-gone")).await;

    site.store.restore(&snapshot);
    wait_until("the entry noticed the restore", || site.entry.router.dump()["era"] == 1).await;
    let was_listed = has_server(&site, "i-gone");
    site.store.remove("servers", "i-gone");
    list_server(&site.store, &stays, "app", "v2", "ready");
    wait_until("the feed has delivered later rows", || {
        site.entry.router.fleet.load().of_service("app").iter().any(|m| &*m.server.version == "v2")
    })
    .await;

    assert!(!was_listed && !has_server(&site, "i-gone"));
}

/// The row had only expired while the server was running, so it stays after the restore.
#[tokio::test(flavor = "multi_thread")]
async fn a_removed_server_is_used_again_if_its_restored_row_stays() {
    let server = start_server("i-1", GOOD).await;
    let site = Site::start(&[(&server, "app", "v1")]).await;
    let snapshot = site.store.snapshot();
    site.store.remove("servers", "i-1");
    wait_until("the server is gone", || !has_server(&site, "i-1")).await;

    site.store.restore(&snapshot);

    wait_until("the server is known again", || has_server(&site, "i-1")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_stays_evacuated_after_a_restore_until_the_operator_ends_it() {
    let server = start_server("i-1", GOOD).await;
    let site = Site::start(&[(&server, "app", "v1")]).await;
    let snapshot = site.store.snapshot();
    site.store.put("op", "evacuate/zone-a", &json!({}));
    wait_until("the evacuation is in force", || evacuated_zones(&site) == 1).await;

    site.store.restore(&snapshot);
    wait_until("the entry noticed the restore", || site.entry.router.dump()["era"] == 1).await;

    assert_eq!(evacuated_zones(&site), 1);
    assert_eq!(site.request("GET", "/safe/a", "").await.status, 503);
    site.store.put("op", "evacuate/zone-a", &json!({}));
    site.store.remove("op", "evacuate/zone-a");
    wait_until("the evacuation has ended", || evacuated_zones(&site) == 0).await;
}

fn state(site: &Site) -> String {
    let status = site.store.read("status", "rollout/app");
    status.and_then(|s| Some(s["state"].as_str()?.to_owned())).unwrap_or_default()
}

/// Orders a roll-out of a version that fails and sends requests until it is rolled back; returns the order.
async fn roll_back(site: &Site) -> Value {
    let order = json!({"service": "app", "to": "v2", "duration-s": 600.0});
    site.store.put("op", "rollout/app", &order);
    wait_until("the roll-out is in progress", || state(site) == "in_progress").await;
    for number in 0..4_000 {
        if state(site) == "rolled_back" {
            break;
        }
        site.request("GET", &format!("/safe/{number}"), "").await;
    }
    assert_eq!(state(site), "rolled_back");
    order
}

/// The restore loses the order, its `in_progress` status and the verdict. The operator writes the order again, and it
/// gets a version that was assigned before.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_stays_rolled_back_after_a_restore_and_the_verdict_is_rewritten() {
    let (old, new) = (start_server("i-1", GOOD).await, start_server("i-2", FAILS).await);
    let site = Site::start(&[(&old, "app", "v1"), (&new, "app", "v2")]).await;
    let snapshot = site.store.snapshot();
    let order = roll_back(&site).await;

    site.store.restore(&snapshot);
    site.store.put("op", "rollout/app", &order);
    wait_until("the verdict is written again", || state(&site) == "rolled_back").await;

    let before = new.requests().len();
    for number in 0..60 {
        site.request("GET", &format!("/safe/b{number}"), "").await;
    }
    assert_eq!(new.requests().len(), before);
}

/// The first attempt to write the verdict again fails because of another writer.
#[tokio::test(flavor = "multi_thread")]
async fn a_verdict_is_rewritten_after_a_restore_despite_a_write_conflict() {
    let (old, new) = (start_server("i-1", GOOD).await, start_server("i-2", FAILS).await);
    let site = Site::start(&[(&old, "app", "v1"), (&new, "app", "v2")]).await;
    let snapshot = site.store.snapshot();
    let order = roll_back(&site).await;

    site.store.set_fault(Fault::Contended);
    site.store.restore(&snapshot);
    site.store.put("op", "rollout/app", &order);
    let before = site.store.conflicts();
    wait_until("a write of the verdict has failed", || site.store.conflicts() > before).await;
    site.store.set_fault(Fault::None);

    wait_until("the verdict is written again", || state(&site) == "rolled_back").await;
}

/// The version of the new order is not greater than that of the lost order.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_order_with_a_reused_version_is_followed_after_a_restore() {
    let old = start_server("i-1", GOOD).await;
    let site = Site::start(&[(&old, "app", "v1")]).await;
    let snapshot = site.store.snapshot();
    for number in 0..5 {
        site.store.put("other", &format!("row-{number}"), &json!({}));
    }
    let order = |to: &str| json!({"service": "app", "to": to, "duration-s": 600.0});
    site.store.put("op", "rollout/app", &order("v2"));
    let to = || site.entry.router.dump()["roll_outs"][0]["to"].clone();
    wait_until("the order is known", || to() == "v2").await;

    site.store.restore(&snapshot);
    site.store.put("op", "rollout/app", &order("v3"));

    wait_until("the new order is known", || to() == "v3").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_across_a_restore_is_an_era_mismatch() {
    let store = Store::start().await;
    let client = StoreClient::new(HttpClient::default(), &store.address.to_string());
    let put = |expected: u64, text: &str| Put {
        table: Table::Own,
        key: "row".into(),
        expected,
        value: serde_json::to_vec(text).unwrap(),
    };
    let snapshot = store.snapshot();
    let WriteOutcome::Written(read) = client.write(&[put(0, "first")], 0).await.unwrap() else {
        panic!("the first write of a row must succeed");
    };
    store.restore(&snapshot);
    store.put("mintmoor", "row", &json!("another's, under the same version"));

    let outcome = client.write(&[put(read, "second")], 0).await.unwrap();

    assert_eq!(outcome, WriteOutcome::EraMismatch);
}

/// An entry that starts while the store is restored ends with the same configuration and servers as a running one.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_during_a_restore_agrees_with_the_others() {
    let (one, two) = (start_server("i-1", GOOD).await, start_server("i-2", GOOD).await);
    let store = crate::site::store_with_servers(&[(&one, "app", "v1")]).await;
    let first = Site::start_seed(store, None).await;
    first.wait_for_servers(1).await;
    let snapshot = first.store.snapshot();
    first.store.put("op", "config", &configuration_without_first_key(7));
    wait_until("the new configuration is in force", || version(&first) == 7).await;

    let starting = Site::start_follower(first.store.clone(), &first);
    let restoring = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        first.store.restore(&snapshot);
        list_server(&first.store, &two, "app", "v1", "ready");
    };
    let (second, ()) = tokio::join!(starting, restoring);

    for site in [&first, &second] {
        wait_until("the new server is known", || has_server(site, "i-2")).await;
        wait_until("the newest configuration is in force", || version(site) == 7).await;
    }
}
