//! Planned stops of an entry, where no process of its own is needed (tests/process/planned_stops.rs).

use std::time::{Duration, Instant};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{
    server::{Action, Server},
    site::{
        Answer, Site, events, request_bytes, start_server, start_server_with_first_act,
        store_with_servers, wait_until,
    },
};

/// Starts an entry with this grace and one server of a service.
async fn start_site(server: &Server, service: &str, grace: Duration) -> Site {
    let store = store_with_servers(&[(server, service, "v1")]).await;
    let site = Site::start_with_settings(store, |host| host.shutdown_grace = grace).await;
    site.wait_for_servers(1).await;
    site
}

/// Sends a request that may take longer than any grace here.
async fn begin(site: &Site, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(site.caller).await.unwrap();
    stream.write_all(request_bytes("POST", path, "", "").as_bytes()).await.unwrap();
    stream
}

/// Reads until the connection ends; returns the first and the last bytes.
async fn first_and_last(mut stream: TcpStream) -> (String, String) {
    let (mut first, mut last) = (Vec::new(), Vec::new());
    let mut chunk = vec![0; 64 << 10];
    while let Ok(n @ 1..) = stream.read(&mut chunk).await {
        first.extend(&chunk[..n.min(64 - first.len().min(64))]);
        last.extend(&chunk[..n]);
        last.drain(..last.len().saturating_sub(16));
    }
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (text(&first), text(&last))
}

/// Guards against servers that are ejected, and versions that are blamed, for what they had no time for.
#[tokio::test(flavor = "multi_thread")]
async fn what_a_stop_cuts_short_is_no_evidence_against_its_server() {
    let server = start_server("i-1", Action::Hang).await;
    let site = start_site(&server, "app", Duration::from_secs(1)).await;
    let callers = [begin(&site, "/once/a").await, begin(&site, "/once/b").await];
    wait_until("both are at work", || server.active_requests() == 2).await;
    let router = site.entry.router.clone();

    let cut = site.entry.stop().await;

    for caller in callers {
        assert!(first_and_last(caller).await.0.starts_with("HTTP/1.1 504"));
    }
    assert_eq!((cut, &router.dump()["servers"][0]["out"]), (0, &false.into()));
}

/// Guards against a stream that outlasts the stop because its server always has more to send.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_pauses_is_broken_off_at_the_end_of_a_stop() {
    let endless = Action::LargeStream { last_event: u64::MAX, event_bytes: 10_000 };
    let server = start_server("i-1", endless).await;
    let site = start_site(&server, "llm", Duration::from_secs(1)).await;
    let caller = tokio::spawn(first_and_last(begin(&site, "/plain/a").await));
    wait_until("it is at work", || server.active_requests() == 1).await;

    let cut = site.entry.stop().await;

    let (first, last) = caller.await.unwrap();
    assert!(first.starts_with("HTTP/1.1 200"), "{first}");
    assert!(!last.ends_with("0\r\n\r\n"), "looks complete: {last}");
    assert_eq!(cut, 0);
}

/// Guards against streams that are given up though there is time to resume them.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_breaks_off_early_in_a_stop_is_resumed() {
    let broken = Action::Stream { last_event: 2, is_complete: false, confidence: 90 };
    let delay = Duration::from_millis(300);
    let broken = Action::Delayed { delay, action: Box::new(broken) };
    let rest = Action::Stream { last_event: 4, is_complete: true, confidence: 90 };
    let server = start_server_with_first_act("i-1", broken, rest).await;
    let site = start_site(&server, "llm", Duration::from_secs(4)).await;
    let mut caller = begin(&site, "/chat/a").await;
    wait_until("it is at work", || server.active_requests() == 1).await;

    let stopping = tokio::spawn(site.entry.stop());
    let mut raw = Vec::new();
    caller.read_to_end(&mut raw).await.unwrap();

    let answer = Answer::parse(&raw);
    assert_eq!((answer.status, &*answer.body, answer.is_whole), (200, &*events(4), true));
    assert_eq!(stopping.await.unwrap(), 0);
}

/// Guards against a process that is killed because the load balancer's lag is longer than its grace.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_is_over_within_a_grace_that_is_shorter_than_the_readiness_lag() {
    let server = start_server("i-1", Action::Hang).await;
    let grace = Duration::from_secs(1);
    let site = start_site(&server, "app", grace).await;
    let _caller = begin(&site, "/safe/a").await;
    wait_until("it is at work", || server.active_requests() == 1).await;

    let started_at = Instant::now();
    site.entry.stop().await;

    assert!(started_at.elapsed() <= grace, "{:?}", started_at.elapsed());
}
