//! Numbers in rows of the store that nobody means: they harm no task and no request.

use std::collections::BTreeSet;

use futures_util::future::join_all;
use serde_json::{Value, json};

use crate::{
    server::Action,
    site::{Site, configuration, server_row, start_server, store_with_servers, wait_until},
};

const GOOD: Action = Action::Respond { status: 200, body: "good" };

/// Number of entries to which the variants of a configuration are shown at the same time.
const ENTRIES: usize = 8;

/// Numbers at the ends of what a row can hold.
fn odd_numbers() -> [Value; 6] {
    [json!(0), json!(-1), json!(u64::MAX), json!(1e300), json!(5e-324), json!(u32::MAX)]
}

/// Keys of a document whose values are numbers.
fn numeric_keys(doc: &Value, keys: &mut BTreeSet<String>) {
    match doc {
        Value::Object(fields) => {
            for (key, value) in fields {
                if value.is_number() {
                    keys.insert(key.clone());
                }
                numeric_keys(value, keys);
            }
        }
        Value::Array(values) => values.iter().for_each(|value| numeric_keys(value, keys)),
        _ => {}
    }
}

/// Replaces all numbers under a key.
fn replace(doc: &mut Value, key: &str, number: &Value) {
    match doc {
        Value::Object(fields) => {
            for (name, value) in fields {
                if name == key && value.is_number() {
                    *value = number.clone();
                }
                replace(value, key, number);
            }
        }
        Value::Array(values) => values.iter_mut().for_each(|value| replace(value, key, number)),
        _ => {}
    }
}

/// The document with each of the odd numbers under each of its keys, but for those to keep.
fn variants(doc: &Value, kept: &[&str]) -> Vec<Value> {
    let mut keys = BTreeSet::new();
    numeric_keys(doc, &mut keys);
    let keys = keys.into_iter().filter(|key| !kept.contains(&key.as_str()));
    let changed = keys.flat_map(|key| {
        odd_numbers().map(|number| {
            let mut doc = doc.clone();
            replace(&mut doc, &key, &number);
            doc
        })
    });
    changed.collect()
}

/// An entry with a server, whose rows have all fields.
struct Odd {
    site: Site,
    version: u64,
}

impl Odd {
    async fn start() -> Self {
        let server = start_server("i-1", GOOD).await;
        let store = store_with_servers(&[(&server, "app", "v1")]).await;
        let site = Site::start_with_store(store).await;
        site.wait_for_servers(1).await;
        Self { site, version: 1 }
    }

    /// Puts a row, waits until a later configuration is in force, and sends a request of each kind.
    async fn show(&mut self, table: &str, key: &str, row: &Value) {
        self.site.store.put(table, key, row);
        self.version += 1;
        self.site.store.put("op", "config", &configuration(self.version));
        let router = &self.site.entry.router;
        wait_until("a later configuration is in force", || {
            router.table.load().as_ref().as_ref().is_some_and(|t| t.version == self.version)
        })
        .await;
        self.send(row).await;
    }

    async fn send(&self, row: &Value) {
        for path in ["/safe/a", "/once/a", "/plain/a"] {
            let answer = self.site.request("GET", path, "").await;
            assert_ne!(answer.status, 500, "{path} {row}");
        }
        let rendered = self.site.entry.router.metrics.render();
        assert!(!rendered.contains("tasks_restarted_total{"), "{row}\n{rendered}");
    }
}

/// Shows a part of the variants of a configuration to an entry of their own.
async fn show_configurations(variants: Vec<Value>) {
    let mut odd = Odd::start().await;
    for mut variant in variants {
        odd.version += 1;
        variant["version"] = json!(odd.version);
        odd.site.store.put("op", "config", &variant);
        // After it has applied the row, the entry asks again.
        let calls = odd.site.store.calls();
        wait_until("the row is read", || odd.site.store.calls() > calls).await;
        odd.send(&variant).await;
    }
    odd.show("op", "config", &configuration(odd.version)).await;
}

#[tokio::test]
async fn odd_numbers_in_a_configuration_harm_no_task_and_no_request() {
    let mut config = configuration(1);
    for service in config["services"].as_array_mut().unwrap() {
        service["cold-per-s"] = json!(2.0);
        service["cold-start-s"] = json!(0.5);
    }
    config["tenants"][0]["priority"] = json!(1);
    config["routes"][0]["priority"] = json!(1);

    let variants = variants(&config, &["version"]);
    let parts = variants.chunks(variants.len().div_ceil(ENTRIES)).map(<[Value]>::to_vec);

    join_all(parts.map(show_configurations)).await;
}

#[tokio::test]
async fn odd_numbers_in_the_row_of_a_server_harm_no_task_and_no_request() {
    let mut odd = Odd::start().await;
    let mut row = server_row("127.0.0.1:9".parse().unwrap(), "app", "v1", "ready");
    row["born"] = json!(1);

    for (i, variant) in variants(&row, &[]).into_iter().enumerate() {
        odd.show("servers", &format!("i-odd-{i}"), &variant).await;
    }
}

#[tokio::test]
async fn odd_numbers_in_a_roll_out_harm_no_task_and_no_request() {
    let mut odd = Odd::start().await;
    let order = json!({"service": "app", "to": "v2", "duration-s": 600.0});
    for variant in variants(&order, &[]) {
        odd.show("op", "rollout/app", &variant).await;
    }
    odd.show("op", "rollout/app", &order).await;
    wait_until("the start is stored", || odd.site.store.read("mintmoor", "rollout/app").is_some())
        .await;

    let row = odd.site.store.read("mintmoor", "rollout/app").unwrap();
    for variant in variants(&row, &[]) {
        odd.show("mintmoor", "rollout/app", &variant).await;
    }
}
