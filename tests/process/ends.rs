//! Ends of a process: panics, threads that end, signals.

use std::{fs::OpenOptions, os::unix::process::ExitStatusExt, process::Stdio, time::Duration};

use rustix::process::{Resource, Signal};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{
    harness::{CALLER_PORT, Host, Process, ask},
    server::{Action, Server},
    site::{
        configuration, list_server, list_server_with_start_time, request_bytes, server_row,
        start_server,
    },
    store::Store,
};

const GOOD: Action = Action::Respond { status: 200, body: "good" };
/// Changes of a configuration, restarts of all servers, and the time between requests meanwhile.
const CONFIGURATIONS: u64 = 8;
const RESTARTS: u64 = 5;
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// Smallest limit of memory of all deployments, in bytes.
const MEMORY_LIMIT: u64 = 88 << 20;

/// A store whose configuration has one server, which answers all requests.
async fn store_with_server() -> (Store, Server) {
    let (store, server) = (Store::start().await, start_server("i-1", GOOD).await);
    store.put("op", "config", &configuration(1));
    list_server_with_start_time(&store, &server, "app", 1);
    (store, server)
}

/// A Host on such a store, with a process that is ready.
async fn host_with_process() -> (Host, Process, Server) {
    let (store, server) = store_with_server().await;
    let host = Host::new(store.address);
    let process = host.spawn();
    host.wait_until_ready().await;
    (host, process, server)
}

async fn request(host: &Host) -> String {
    ask(host.address(CALLER_PORT), &request_bytes("GET", "/safe/a", "", "")).await
}

/// Asserts that the process still has its server answer requests.
async fn assert_serves(host: &Host, process: &mut Process) {
    host.wait_until("served", async || request(host).await.starts_with("HTTP/1.1 200")).await;
    process.assert_lives(host);
}

#[tokio::test]
async fn a_closed_standard_output_does_not_end_a_process() {
    let (store, _server) = store_with_server().await;
    let host = Host::new(store.address);
    // Nobody reads what it writes: each write is a broken pipe.
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);

    let mut process = host.spawn_with(writer.try_clone().unwrap().into(), writer.into());
    host.wait_until_ready().await;

    assert_serves(&host, &mut process).await;
    process.signal(Signal::TERM);
    assert!(process.wait().await.success());
}

#[tokio::test]
async fn a_full_standard_output_does_not_end_a_process() {
    let (store, _server) = store_with_server().await;
    let host = Host::new(store.address);
    let full = || Stdio::from(OpenOptions::new().write(true).open("/dev/full").unwrap());

    let mut process = host.spawn_with(full(), full());
    host.wait_until_ready().await;

    assert_serves(&host, &mut process).await;
    process.signal(Signal::TERM);
    assert!(process.wait().await.success());
}

#[tokio::test]
async fn a_full_standard_error_does_not_change_the_code_of_a_wrong_use() {
    let (store, _server) = store_with_server().await;
    let host = Host::new(store.address);
    host.write_policy("no policy");
    let full = OpenOptions::new().write(true).open("/dev/full").unwrap();

    let mut process = host.spawn_with(Stdio::null(), full.into());

    assert_eq!(process.wait().await.code(), Some(2));
}

#[tokio::test]
async fn callers_that_go_away_do_not_end_a_process() {
    let (host, mut process, _server) = host_with_process().await;

    for _ in 0..20 {
        let mut stream = TcpStream::connect(host.address(CALLER_PORT)).await.unwrap();
        let bytes = request_bytes("GET", "/safe/a", "", "");
        stream.write_all(bytes.repeat(4).as_bytes()).await.unwrap();
        // Resets the connection.
        stream.set_zero_linger().unwrap();
    }

    assert_serves(&host, &mut process).await;
}

#[tokio::test]
async fn signals_that_nobody_means_as_an_end_do_not_end_a_process() {
    let (host, mut process, _server) = host_with_process().await;

    for signal in [Signal::USR1, Signal::USR2, Signal::ALARM, Signal::PIPE, Signal::XFSZ] {
        process.signal(signal);
        assert_serves(&host, &mut process).await;
    }
}

#[tokio::test]
async fn a_log_file_at_its_size_limit_does_not_end_a_process() {
    let (host, mut process, _server) = host_with_process().await;

    process.limit(Resource::Fsize, Some(1));
    for _ in 0..5 {
        process.signal(Signal::HUP);
        assert_serves(&host, &mut process).await;
    }
}

#[tokio::test]
async fn signals_that_mean_an_end_at_once_end_a_process_by_themselves() {
    for signal in [Signal::QUIT, Signal::ABORT, Signal::XCPU, Signal::KILL] {
        let (_host, mut process, _server) = host_with_process().await;
        process.limit(Resource::Core, Some(0));

        process.signal(signal);

        assert_eq!(process.wait().await.signal(), Some(signal.as_raw()));
    }
}

#[tokio::test]
async fn a_second_signal_to_stop_changes_nothing() {
    let (host, mut process, _server) = host_with_process().await;

    process.signal(Signal::TERM);
    host.wait_until("leaving", async || host.log().contains("PROCESS_LEAVING")).await;
    for signal in [Signal::TERM, Signal::INT, Signal::HUP] {
        process.signal(signal);
    }

    assert!(process.wait().await.success());
    assert!(host.log().contains("PROCESS_STOPPED"), "{}", host.log());
}

#[tokio::test]
async fn a_stream_at_work_when_the_grace_ends_is_broken_off_and_logged() {
    let (store, server) = (Store::start().await, start_server("i-1", Action::EndlessStream).await);
    store.put("op", "config", &configuration(1));
    list_server(&store, &server, "llm", "v1", "ready");
    let host = Host::new(store.address);
    let mut process = host.spawn();
    host.wait_until_ready().await;
    let mut caller = TcpStream::connect(host.address(CALLER_PORT)).await.unwrap();
    let bytes = request_bytes("POST", "/plain/a", "", "");
    caller.write_all(bytes.as_bytes()).await.unwrap();
    host.wait_until("in flight", async || server.active_requests() == 1).await;

    process.signal(Signal::TERM);

    assert!(process.wait().await.success(), "{}", host.log());
    assert!(host.log().contains("STREAM_BROKEN"), "{}", host.log());
    assert!(host.log().contains("PROCESS_STOPPED cut=0"), "{}", host.log());
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).await.unwrap();
    assert!(answer.starts_with(b"HTTP/1.1 200") && !answer.ends_with(b"0\r\n\r\n"));
}

#[tokio::test]
async fn a_process_without_descriptors_lives_and_serves_again() {
    let (host, mut process, _server) = host_with_process().await;

    process.limit(Resource::Nofile, Some(1));
    let _waiting = TcpStream::connect(host.address(CALLER_PORT)).await;
    host.wait_until("out of descriptors", async || host.log().contains("ACCEPT_FAILED")).await;
    process.limit(Resource::Nofile, Some(1_024));

    assert_serves(&host, &mut process).await;
}

#[tokio::test]
async fn an_allocation_that_fails_ends_a_process_by_sigabrt() {
    let (host, mut process, _server) = host_with_process().await;
    process.limit(Resource::Core, Some(0));

    process.limit(Resource::As, Some(1));
    let upload = request_bytes("POST", "/safe/a", "", &"x".repeat(60_000));
    let mut connections = Vec::new();
    while process.ended().is_none() {
        if let Ok(mut stream) = TcpStream::connect(host.address(CALLER_PORT)).await {
            let _ = timeout(Duration::from_millis(20), stream.write_all(upload.as_bytes())).await;
            connections.push(stream);
        }
    }

    assert_eq!(process.wait().await.signal(), Some(Signal::ABORT.as_raw()));
    assert!(host.log().contains("memory allocation of"), "{}", host.log());
}

/// A configuration with the test's routes and this many others, and this many Organisations.
fn large_configuration(version: u64, routes: usize, organisations: usize) -> Value {
    let mut config = configuration(version);
    let all = config["routes"].as_array_mut().unwrap();
    all.extend((0..routes).map(|i| {
        json!({"name": format!("route-{i}"), "host": format!("h{i}.example"),
               "prefix": format!("/v{version}/"), "route-kind": "safe", "timeout-ms": 3000,
               "target-latency-ms": 300, "max-attempts": 2, "service": "app"})
    }));
    let all = config["tenants"].as_array_mut().unwrap();
    all.extend(
        (0..organisations).map(
            |i| json!({"name": format!("org-{i}"), "api-keys": [format!("key-{version}-{i}")]}),
        ),
    );
    config
}

/// Sends requests for as long as it is polled.
async fn send_requests(host: &Host) {
    loop {
        request(host).await;
        sleep(REQUEST_INTERVAL).await;
    }
}

/// Changes the configuration and restarts all servers of a list, again and again.
async fn change_all(store: &Store, host: &Host) {
    for version in 2..2 + CONFIGURATIONS {
        store.put("op", "config", &large_configuration(version, 2_000, 500));
        let line = format!("CONFIG_ADVANCED version={version} ");
        host.wait_until("in force", async || host.log().contains(&line)).await;
    }
    for life in 1..=RESTARTS {
        for i in 0..300 {
            let mut row = server_row(host.address(9), "other", "v1", "ready");
            row["born"] = json!(life);
            store.put("servers", &format!("i-other-{i}"), &row);
        }
        host.wait_until("known", async || {
            let first = "servers=301 ".to_owned();
            let later = format!("server=i-other-299 born=Some({life})");
            host.log().contains(if life == 1 { &first } else { &later })
        })
        .await;
    }
}

#[tokio::test]
async fn large_configurations_and_restarts_of_all_servers_stay_within_the_memory() {
    let (store, _server) = store_with_server().await;
    let host = Host::new(store.address);
    let mut process = host.spawn();
    host.wait_until_ready().await;

    tokio::select! {
        () = send_requests(&host) => {}
        () = change_all(&store, &host) => {}
    }

    assert_serves(&host, &mut process).await;
    assert!(process.peak_memory() < MEMORY_LIMIT, "{}", process.peak_memory());
}
