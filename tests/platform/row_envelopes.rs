//! Rows that can't be read, in the store's replies: each harms only itself, in every table that is read.

use std::time::Duration;

use mintmoor::{
    ids::StoreVersion,
    platform::{
        HttpClient,
        store::{FeedReply, Row, StoreClient, Table},
    },
};
use serde_json::json;

use crate::{
    row_values::{odd_rows, odd_values},
    server::Action,
    site::{Site, configuration, list_server, start_server, store_with_servers, wait_until},
    store::Store,
};

const GOOD: Action = Action::Respond { status: 200, body: "good" };
/// All tables that are read, with their names in the store.
const TABLES: [(Table, &str); 5] = [
    (Table::Servers, "servers"),
    (Table::Orders, "op"),
    (Table::Status, "status"),
    (Table::Own, "mintmoor"),
    (Table::Duties, "mintmoor-duties"),
];

fn client(store: &Store) -> StoreClient {
    StoreClient::new(HttpClient::default(), &store.address.to_string())
}

/// Keys of the rows that have a document.
fn sound_keys(rows: &[Row]) -> Vec<&str> {
    rows.iter().filter(|row| row.value == b"{\"sound\":true}").map(|row| &*row.key).collect()
}

async fn read(store: &Store, table: Table) -> Result<Vec<Row>, String> {
    client(store).read_table(table).await.map(|read| read.rows).map_err(|e| e.to_string())
}

/// All changes so far as the feed returns them.
async fn changes(store: &Store, table: Table) -> Result<Vec<Row>, String> {
    let reply = client(store).poll_changes(table, StoreVersion::default(), Duration::ZERO).await;
    match reply.map_err(|e| e.to_string())? {
        FeedReply::Changes(read) => Ok(read.rows),
        FeedReply::ResyncRequired => Err("resync".into()),
    }
}

/// A store with a sound row of this table before and after the key `m`.
async fn store_of_two(table: &str) -> Store {
    let store = Store::start().await;
    for key in ["a", "z"] {
        store.put(table, key, &json!({"sound": true}));
    }
    store
}

/// Asserts that the two sound rows are read, and returns the others' keys and documents.
fn beside_sound(what: &str, read: Result<Vec<Row>, String>) -> Vec<(Box<str>, Vec<u8>)> {
    let rows = read.unwrap_or_else(|e| panic!("{what}: {e}"));
    assert_eq!(sound_keys(&rows), ["a", "z"], "{what}");
    let others = rows.into_iter().filter(|row| row.value != b"{\"sound\":true}");
    others.map(|row| (row.key, row.value)).collect()
}

#[tokio::test]
async fn a_value_that_cannot_be_read_leaves_its_row_without_a_document_and_the_others_whole() {
    for (table, name) in TABLES {
        let store = store_of_two(name).await;
        for (what, value) in odd_values() {
            store.put_raw(name, "m", &value);

            let full = beside_sound(what, read(&store, table).await);
            let fed = beside_sound(what, changes(&store, table).await);

            assert_eq!(full, [("m".into(), Vec::new())], "{what}");
            assert_eq!(fed.last(), Some(&("m".into(), Vec::new())), "{what}");
        }
    }
}

#[tokio::test]
async fn a_row_whose_envelope_is_odd_harms_no_other_row() {
    for (table, name) in TABLES {
        let store = store_of_two(name).await;
        for (what, row) in odd_rows(name) {
            store.put_raw_row(name, "m", &row);

            beside_sound(&what, read(&store, table).await);
            beside_sound(&what, changes(&store, table).await);
        }
    }
}

#[tokio::test]
async fn every_page_is_read_whatever_the_last_row_of_a_page_is() {
    for (what, row) in odd_rows("servers") {
        let store = store_of_two("servers").await;
        store.put_raw_row("servers", "m", &row);
        store.set_page_size(2);

        beside_sound(&what, read(&store, Table::Servers).await);
    }
}

/// Keys with characters that are special in a URL.
const SPECIAL_KEYS: [&str; 8] =
    ["b&to=a", "c#d", "e%41", "f g", "hé", "i+j", "k\u{10ffff}", "l\"\\\n"];

#[tokio::test]
async fn keys_that_are_special_in_a_url_end_a_page_and_are_read_alone() {
    let store = store_of_two("servers").await;
    for key in SPECIAL_KEYS {
        store.put("servers", key, &json!({"sound": key}));
    }
    store.set_page_size(1);

    let all = beside_sound("special keys", read(&store, Table::Servers).await);

    assert_eq!(all.len(), SPECIAL_KEYS.len());
    for key in SPECIAL_KEYS {
        let alone = client(&store).read_row(Table::Servers, key).await.unwrap().rows;
        assert_eq!(alone.iter().map(|row| &*row.key).collect::<Vec<_>>(), [key]);
    }
}

#[tokio::test]
async fn a_page_of_rows_without_keys_is_an_error_and_not_the_end_of_the_list() {
    let store = store_of_two("servers").await;
    store.put_raw_row("servers", "b", b"{}");
    store.put_raw_row("servers", "c", b"{}");
    store.set_page_size(1);

    assert!(read(&store, Table::Servers).await.is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_follower_of_an_entry_learns_of_changes_after_each_odd_row() {
    let server = start_server("i-1", GOOD).await;
    let late = start_server("i-2", GOOD).await;
    let store = store_with_servers(&[(&server, "app", "v1")]).await;
    let first = Site::start_seed(store.clone(), None).await;
    let second = Site::start_follower(store.clone(), &first).await;
    second.wait_for_servers(1).await;

    for (i, (_, value)) in odd_values().into_iter().enumerate() {
        store.put_raw("servers", &format!("odd-{i}"), &value);
        store.put_raw("op", &format!("odd-{i}"), &value);
    }
    list_server(&store, &late, "app", "v1", "ready");
    store.put("op", "config", &configuration(2));

    second.wait_for_servers(2).await;
    wait_until("the configuration is known", || {
        second.entry.router.metrics.config_revision.get() == 2
    })
    .await;
    assert!(second.entry.router.metrics.render().contains("mintmoor_rows_unreadable 14"));
}

#[tokio::test]
async fn rows_without_a_readable_key_are_counted() {
    let store = store_of_two("servers").await;
    store.put_raw_row("servers", "m", b"7");
    store.put_raw_row("servers", "n", b"{}");
    let client = client(&store);

    client.read_table(Table::Servers).await.unwrap();

    assert_eq!((client.take_skipped_rows(), client.take_skipped_rows()), (2, 0));
}
