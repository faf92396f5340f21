//! Lists of the platform with an element that can't be read: the others are used.

use std::net::SocketAddr;

use axum::{Router, routing::get};
use base64::{Engine, engine::general_purpose::STANDARD};
use mintmoor::platform::{HostsClient, HttpClient, ObjectsClient};
use tokio::net::TcpListener;

use crate::{
    crashes::until_refused,
    pool::{CRASHING_BODY, Pool, post},
    site::wait_until,
};

/// Elements that belong to none of the lists.
const ODD: [&str; 7] =
    ["7", "null", "{}", "1e400", "\"\\ud800\"", "[[]]", "{\"fingerprint\":1e400}"];

/// A list with each odd element before and after the sound ones.
fn beside_odd(sound: &str) -> String {
    let odd = ODD.join(",");
    format!("[{odd},{sound},{odd}]")
}

/// Serves this text on all paths.
async fn start_service(text: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let app = Router::new().fallback(get(move || async { text }));
    tokio::spawn(async move { axum::serve(listener, app).await.unwrap() });
    address
}

#[tokio::test]
async fn an_odd_host_does_not_hide_the_others() {
    let sound = r#"{"name":"n","region":"r","zone":"z","address":"10.0.0.1:7","role":"entry"}"#;
    let odd_port = sound.replace(":7\"", ":70000\"");
    let list = beside_odd(&format!("{odd_port},{sound}"));
    let address = start_service(list).await;

    let hosts = HostsClient::over_http(HttpClient::default(), &format!("http://{address}"));

    let hosts = hosts.poll().await.unwrap().unwrap();
    assert_eq!(hosts.iter().map(|host| &*host.name).collect::<Vec<_>>(), ["n"]);
}

#[tokio::test]
async fn an_odd_name_of_an_object_does_not_hide_the_others() {
    let address = start_service(beside_odd("\"a\",\"b\"")).await;

    let objects = ObjectsClient::over_http(HttpClient::default(), &format!("http://{address}"));

    assert_eq!(objects.list("").await.unwrap(), ["a".into(), "b".into()]);
}

#[tokio::test]
async fn a_list_that_is_cut_is_an_error_and_not_a_shorter_list() {
    let address = start_service("[\"a\",\"b\"".into()).await;

    let objects = ObjectsClient::over_http(HttpClient::default(), &format!("http://{address}"));

    assert!(objects.list("").await.is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_that_restart_refuse_a_quarantined_request_beside_odd_cases() {
    let pool = Pool::start("llm", 6, true).await;
    let sites = pool.start_entries(2).await;
    until_refused(&sites[0], "/chat/a").await;
    let row = || pool.store.read("mintmoor", "quarantine");
    wait_until("the quarantine is in the store", || row().is_some()).await;
    drop(sites);
    let cases = row().unwrap()["cases"].to_string();
    let cases = beside_odd(cases.trim_start_matches('[').trim_end_matches(']'));
    let document = STANDARD.encode(format!("{{\"cases\":{cases}}}"));
    pool.store.put_raw("mintmoor", "quarantine", format!("\"{document}\"").as_bytes());
    let arrivals = || pool.crash_record.arrivals.lock().unwrap().len();
    let before = arrivals();

    let sites = pool.start_entries(2).await;

    for site in &sites {
        assert_eq!(post(site, "/chat/a", CRASHING_BODY).await.status, 503);
    }
    assert_eq!(arrivals(), before);
}
