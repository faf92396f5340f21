//! Settings files with values of another type or out of range: the process starts and reloads with the other values.

use futures_util::future::join_all;
use rustix::process::Signal;

use crate::{
    harness::{Host, WAIT_TIMEOUT},
    site::configuration,
    store::Store,
};

/// Optional values that can't be used, each with what stands in its place in complete settings, and the key that the log
/// names.
const UNUSABLE: [(&str, &str, &str); 13] = [
    ("memory-mb: 110", "memory-mb: -1", "limits.memory-mb"),
    ("memory-mb: 110", "memory-mb: 1e400", "limits.memory-mb"),
    ("memory-mb: 110", "memory-mb: [110]", "limits.memory-mb"),
    ("memory-mb: 110", "memory-mb: .nan", "limits.memory-mb"),
    ("max-fds: 4100", "max-fds: many", "limits.max-fds"),
    ("retry-extra: 52", "retry-extra: [52]", "bounds.retry-extra"),
    ("retry-ratio: 4.0", "retry-ratio: .nan", "bounds.retry-ratio"),
    ("contact-ms: 3000", "contact-ms: -5", "bounds.contact-ms"),
    ("zone: \"zone-a\"", "zones: 7", "zones"),
    ("zone: \"zone-a\"", "contracts: \"x\"", "contracts"),
    ("zone: \"zone-a\"", "cloud: [\"usage\"]", "cloud"),
    ("limits:\n  memory-mb: 110\n  max-fds: 4100\n", "limits: 7\n", "limits"),
    ("zone: \"zone-a\"", "zone: {a: b}", "zone"),
];

/// A store with a configuration and no servers.
async fn store() -> Store {
    let store = Store::start().await;
    store.put("op", "config", &configuration(1));
    store
}

/// A Host whose complete settings have `to` in place of `from`.
fn host_with(store: &Store, from: &str, to: &str) -> Host {
    let host = Host::new(store.address);
    let settings = host.settings(store.address);
    assert!(settings.contains(from), "{from}");
    host.write_settings(&settings.replace(from, to));
    host
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_starts_without_an_optional_value_that_it_can_not_use() {
    let store = store().await;
    let checks = UNUSABLE.map(async |(from, to, key)| {
        let host = host_with(&store, from, to);
        let mut process = host.spawn();

        host.wait_until(to, async || host.is_ready().await || process.ended().is_some()).await;

        process.assert_lives(&host);
        let lines = host.log().matches(&format!("SETTING_IGNORED key={key} ")).count();
        assert_eq!(lines, 1, "{to}\n{}", host.log());
    });
    join_all(checks).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_number_is_taken_whole_or_not_and_as_text() {
    let store = store().await;
    let checks = ["110.0", "110.5", "\"110\"", "\"110.5\"", "1.1e2"].map(async |number| {
        let host = host_with(&store, "memory-mb: 110", &format!("memory-mb: {number}"));
        let mut process = host.spawn();

        host.wait_until(number, async || host.is_ready().await || process.ended().is_some()).await;

        process.assert_lives(&host);
        assert!(!host.log().contains("SETTING_IGNORED"), "{number}\n{}", host.log());
    });
    join_all(checks).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reload_takes_the_other_values_beside_one_that_it_can_not_use() {
    let store = store().await;
    for (from, to, key) in UNUSABLE {
        let host = Host::new(store.address);
        let settings = host.settings(store.address);
        let mut process = host.spawn();
        host.wait_until_ready().await;

        host.write_settings(&settings.replace("edge-1", "edge-2").replace(from, to));
        process.signal(Signal::HUP);

        let reloaded = async || host.log().contains("SETTINGS_RELOADED host=edge-2");
        host.wait_until(&format!("reloaded with {to} within {WAIT_TIMEOUT:?}"), reloaded).await;
        process.assert_lives(&host);
        assert!(host.log().contains(&format!("SETTING_IGNORED key={key} ")), "{}", host.log());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_waits_for_an_address_that_callers_need_and_names_its_key() {
    let store = store().await;
    let checks = [("frontend", "listen.frontend"), ("readiness", "listen.readiness")];
    for (name, key) in checks {
        for value in ["7", "[x]", "nowhere", "null"] {
            let host = Host::new(store.address);
            let settings = host.settings(store.address);
            let line = settings.lines().find(|line| line.contains(name)).unwrap();
            host.write_settings(&settings.replace(line, &format!("  {name}: {value}")));

            let mut process = host.spawn();
            host.wait_until(&format!("named: {key}"), async || host.log().contains(key)).await;
            process.assert_lives(&host);
            process.signal(Signal::TERM);

            assert!(process.wait().await.success(), "{key} {value}\n{}", host.log());
        }
    }
}
