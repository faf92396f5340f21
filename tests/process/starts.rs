//! Starts while something is missing that may still come: a free address, a complete settings file.

use rustix::process::Signal;

use crate::{
    harness::{CALLER_PORT, Host, METRICS_PORT, PEER_PORT, READINESS_PORT, ask},
    server::Action,
    site::{request_bytes, start_server, store_with_servers},
    store::Store,
};

/// Address that no machine of the tests has (RFC 5737).
const FOREIGN_IP: &str = "192.0.2.7";

/// A store with a configuration that lists one server.
async fn store() -> Store {
    let server = start_server("i-1", Action::Respond { status: 200, body: "ok" }).await;
    store_with_servers(&[(&server, "app", "v1")]).await
}

/// Asserts that a caller's request is answered by the server.
async fn assert_callers_are_served(host: &Host) {
    let request = request_bytes("GET", "/safe/x", "", "");
    let response = ask(host.address(CALLER_PORT), &request).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}\n{}", host.log());
}

/// The log line on an address that can't be bound yet.
fn waits(purpose: &str, address: impl std::fmt::Display) -> String {
    format!("LISTEN_WAITS purpose={purpose} address={address} cause=")
}

/// A process whose address for one purpose is in use lives, names the address, and serves it once it is free.
async fn assert_waits_for_address(purpose: &str, port: u16) {
    let host = Host::new(store().await.address);
    let occupant = host.occupy(port);

    let mut process = host.spawn();
    host.wait_until_logged(&waits(purpose, host.address(port))).await;
    process.assert_lives(&host);
    drop(occupant);

    host.wait_until_served(port).await;
    host.wait_until_logged(&format!("LISTENING purpose={purpose} address=")).await;
    host.wait_until_ready().await;
    assert_callers_are_served(&host).await;
    process.assert_lives(&host);
    process.assert_stops(&host).await;
}

/// A process without a usable settings file lives, logs that, and starts once the file is complete.
async fn assert_waits_for_settings(unusable: impl FnOnce(&Host, &str)) {
    let store = store().await;
    let host = Host::new(store.address);
    let settings = host.settings(store.address);
    unusable(&host, &settings);

    let mut process = host.spawn();
    host.wait_until_logged("SETTINGS_UNREADABLE").await;
    process.signal(Signal::HUP);
    process.assert_lives(&host);
    host.write_settings(&settings);

    host.wait_until_ready().await;
    process.assert_stops(&host).await;
}

/// A process that can't start before a person has changed something ends with code 2 and names it.
async fn assert_refuses(
    host: &Host,
    named: &str,
    change: impl FnOnce(&mut tokio::process::Command),
) {
    let mut process = host.spawn_changed(change);
    let ended = process.wait().await;

    assert_eq!(ended.code(), Some(2), "{}", host.log());
    assert!(host.log().contains(named), "{}", host.log());
}

#[tokio::test]
async fn a_process_serves_and_ends_with_code_0_when_it_is_asked_to_stop() {
    let host = Host::new(store().await.address);

    let mut process = host.spawn();
    host.wait_until_ready().await;

    process.assert_lives(&host);
    assert!(host.get(METRICS_PORT, "/metrics").await.contains("mintmoor_in_flight 0"));
    assert!(process.peak_memory() < 110 << 20);
    process.assert_stops(&host).await;
}

#[tokio::test]
async fn a_process_waits_for_the_address_for_callers() {
    assert_waits_for_address("callers", CALLER_PORT).await;
}

#[tokio::test]
async fn a_process_waits_for_the_address_of_the_readiness_check() {
    assert_waits_for_address("readiness", READINESS_PORT).await;
}

#[tokio::test]
async fn a_process_waits_for_the_address_for_other_entries() {
    assert_waits_for_address("entries", PEER_PORT).await;
}

#[tokio::test]
async fn a_process_waits_for_the_address_for_metrics() {
    assert_waits_for_address("metrics", METRICS_PORT).await;
}

#[tokio::test]
async fn callers_are_served_while_other_addresses_are_in_use() {
    let host = Host::new(store().await.address);
    let _occupants = [host.occupy(PEER_PORT), host.occupy(METRICS_PORT)];

    let mut process = host.spawn();
    host.wait_until_ready().await;

    assert_callers_are_served(&host).await;
    process.assert_stops(&host).await;
}

#[tokio::test]
async fn a_process_is_not_ready_before_it_listens_to_callers() {
    let host = Host::new(store().await.address);
    let occupant = host.occupy(CALLER_PORT);

    let _process = host.spawn();
    host.wait_until_logged("PROCESS_READY").await;

    let unready = host.get(READINESS_PORT, "/-/readyz").await;
    assert!(unready.starts_with("HTTP/1.1 503"), "{unready}");
    drop(occupant);
    host.wait_until_ready().await;
    assert_callers_are_served(&host).await;
}

#[tokio::test]
async fn a_process_that_waits_for_all_of_its_addresses_ends_with_code_0_when_it_is_asked_to_stop() {
    let host = Host::new(store().await.address);
    let ports = [CALLER_PORT, READINESS_PORT, PEER_PORT, METRICS_PORT];
    let _occupants = ports.map(|port| host.occupy(port));

    let mut process = host.spawn();
    for (purpose, port) in ["callers", "readiness", "entries", "metrics"].into_iter().zip(ports) {
        host.wait_until_logged(&waits(purpose, host.address(port))).await;
    }

    process.assert_stops(&host).await;
}

#[tokio::test]
async fn a_process_waits_for_addresses_that_the_machine_does_not_have_yet() {
    let store = store().await;
    let host = Host::new(store.address);
    let at = |port| format!("{}:{port}", host.ip);
    let foreign = |port| format!("{FOREIGN_IP}:{port}");
    let settings = host.settings(store.address);
    host.write_settings(&settings.replace(&at(CALLER_PORT), &foreign(CALLER_PORT)));

    let mut process = host.spawn();
    host.wait_until_logged(&waits("callers", foreign(CALLER_PORT))).await;
    host.wait_until_logged(&waits("metrics", foreign(METRICS_PORT))).await;

    host.wait_until_served(PEER_PORT).await;
    let unready = host.get(READINESS_PORT, "/-/readyz").await;
    assert!(unready.starts_with("HTTP/1.1 503"), "{unready}");
    process.assert_stops(&host).await;
}

#[tokio::test]
async fn callers_are_served_while_the_machine_lacks_the_address_for_other_entries() {
    let store = store().await;
    let host = Host::new(store.address);
    let foreign = format!("{FOREIGN_IP}:{PEER_PORT}");
    let settings = host.settings(store.address);
    host.write_settings(&settings.replace(&format!("{}:{PEER_PORT}", host.ip), &foreign));

    let mut process = host.spawn();
    host.wait_until_logged(&waits("entries", foreign)).await;

    host.wait_until_ready().await;
    assert_callers_are_served(&host).await;
    process.assert_stops(&host).await;
}

#[tokio::test]
async fn a_process_that_waits_for_an_address_uses_the_one_of_reloaded_settings() {
    let store = store().await;
    let host = Host::new(store.address);
    let settings = host.settings(store.address);
    host.write_settings(&settings.replace(&host.ip.to_string(), FOREIGN_IP));
    let mut process = host.spawn();
    host.wait_until_logged(&waits("readiness", format!("{FOREIGN_IP}:{READINESS_PORT}"))).await;

    host.write_settings(&settings);

    host.wait_until_ready().await;
    assert_callers_are_served(&host).await;
    process.assert_stops(&host).await;
}

#[tokio::test]
async fn a_successor_that_starts_within_the_grace_of_its_former_process_takes_over() {
    let host = Host::new(store().await.address);
    let mut former = host.spawn();
    host.wait_until_ready().await;

    former.signal(Signal::TERM);
    let mut successor = host.spawn();
    assert!(former.wait().await.success(), "{}", host.log());

    host.wait_until_ready().await;
    successor.assert_lives(&host);
    assert_callers_are_served(&host).await;
    host.wait_until_served(METRICS_PORT).await;
    assert!(host.get(METRICS_PORT, "/metrics").await.contains("mintmoor_in_flight 0"));
    successor.assert_stops(&host).await;
}

#[tokio::test]
async fn a_process_waits_for_a_settings_file_that_is_empty() {
    assert_waits_for_settings(|host, _| host.write_settings("")).await;
}

#[tokio::test]
async fn a_process_waits_for_a_settings_file_that_is_half_written() {
    assert_waits_for_settings(|host, whole| host.write_settings(&whole[..whole.len() / 2])).await;
}

#[tokio::test]
async fn a_process_waits_for_a_settings_file_that_is_missing() {
    assert_waits_for_settings(|host, _| std::fs::remove_file(host.settings_file()).unwrap()).await;
}

#[tokio::test]
async fn a_process_without_usable_settings_ends_with_code_0_when_it_is_asked_to_stop() {
    let host = Host::new(store().await.address);
    host.write_settings("");

    let mut process = host.spawn();
    host.wait_until_logged("SETTINGS_UNREADABLE").await;

    process.assert_stops(&host).await;
}

#[tokio::test]
async fn a_missing_path_of_the_settings_file_ends_the_process() {
    let host = Host::new(store().await.address);

    assert_refuses(&host, "MINTMOOR_CONFIG", |command| {
        command.env_remove("MINTMOOR_CONFIG");
    })
    .await;
}

#[tokio::test]
async fn an_unknown_option_ends_the_process() {
    let host = Host::new(store().await.address);

    assert_refuses(&host, "--no-such-option", |command| {
        command.arg("--no-such-option");
    })
    .await;
}

#[tokio::test]
async fn a_policy_file_with_an_unknown_key_ends_the_process() {
    let host = Host::new(store().await.address);
    std::fs::write(host.policy_file(), "[listen]\nno_such_key = 1\n").unwrap();

    assert_refuses(&host, "listen.no_such_key", |_| {}).await;
}

#[tokio::test]
async fn a_policy_file_that_is_missing_ends_the_process() {
    let host = Host::new(store().await.address);
    std::fs::remove_file(host.policy_file()).unwrap();

    assert_refuses(&host, &host.policy_file().display().to_string(), |_| {}).await;
}

#[tokio::test]
async fn signals_that_come_during_the_start_are_handled() {
    let host = Host::new(store().await.address);
    let mut process = host.spawn();

    host.wait_until("handling SIGHUP", async || process.handles(Signal::HUP)).await;
    process.signal(Signal::HUP);

    process.assert_lives(&host);
    process.assert_stops(&host).await;
}
