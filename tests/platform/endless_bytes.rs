//! Servers, and a store, that send bytes without an end: memory and time are bounded, the connection is closed, and the
//! caller has a true answer.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures_util::future::join_all;
use mintmoor::platform::HttpClient;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

use crate::{
    server::Action,
    site::{Site, request_bytes, start_server, wait_until},
};

/// Head and unit of each kind of response without an end.
const RESPONSES: [(&str, &str); 12] = [
    // A status line, a header, headers, and interim responses without an end.
    ("", "a"),
    ("HTTP/1.1 200 X\r\nA: ", "b"),
    ("HTTP/1.1 200 X\r\n", "A: b\r\n"),
    ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    // Chunk extensions, sizes, chunks and trailers without an end.
    ("HTTP/1.1 200 X\r\n{signed}Transfer-Encoding: chunked\r\n\r\n40;x=", "y"),
    ("HTTP/1.1 200 X\r\n{signed}Transfer-Encoding: chunked\r\n\r\n", "0"),
    ("HTTP/1.1 200 X\r\n{signed}Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"),
    ("HTTP/1.1 200 X\r\n{signed}Transfer-Encoding: chunked\r\n\r\n0\r\n", "T: x\r\n"),
    // Bodies without an end, of successes and failures.
    ("HTTP/1.1 200 X\r\n{signed}Content-Length: 1000000000000\r\n\r\n", "z"),
    ("HTTP/1.1 200 X\r\n{signed}\r\n", "z"),
    ("HTTP/1.1 500 X\r\n{signed}Content-Length: 1000000000000\r\n\r\n", "z"),
    ("HTTP/1.1 500 X\r\n{signed}\r\n", "z"),
];

/// Sends a request to a single server that responds in this way; returns the status that the caller gets and whether its
/// response is whole.
async fn ask(action: Action, route: &str) -> (u16, bool) {
    let server = start_server("i-1", action.clone()).await;
    let service = if ["/safe/", "/once/"].contains(&route) { "app" } else { "llm" };
    let site = Site::start(&[(&server, service, "v1")]).await;
    let request = request_bytes("POST", &format!("{route}a"), "", "");
    let request = request.replace("X-Deadline-Ms: 5000", "X-Deadline-Ms: 700");

    let answer = site.send(&request).await;

    let in_flight = &site.entry.router.metrics.in_flight;
    wait_until("the entry has finished the request", || in_flight.get() == 0).await;
    let is_idle = || server.active_requests() == 0;
    let closed = format!("the connections to the server are closed ({route} {action:?})");
    wait_until(&closed, is_idle).await;
    (answer.status, answer.is_whole)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_without_an_end_is_a_failure_or_broken_off() {
    for route in ["/safe/", "/once/", "/plain/", "/chat/"] {
        let cases = RESPONSES.map(|(head, unit)| Action::Endless { head, unit });
        let answers = join_all(cases.iter().map(|action| ask(action.clone(), route))).await;

        for (action, (status, is_whole)) in cases.iter().zip(answers) {
            let is_failure = status >= 500 && is_whole;
            let is_broken_off = !is_whole && ["/plain/", "/chat/"].contains(&route);
            assert!(is_failure || is_broken_off, "{route} {action:?}: {status} {is_whole}");
        }
    }
}

/// Guards against bytes after a response that are taken for the next one.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_an_end_after_a_response_belong_to_no_other_request() {
    let head = "HTTP/1.1 200 X\r\n{signed}Content-Length: 4\r\n\r\nbody";
    let server = start_server("i-1", Action::Endless { head, unit: "z" }).await;
    let site = Site::start(&[(&server, "app", "v1")]).await;

    for _ in 0..3 {
        let answer = site.request("GET", "/safe/a", "").await;

        assert_eq!((answer.status, &*answer.body), (200, "body"));
    }
    let is_idle = || server.active_requests() == 0;
    wait_until("the connections to the server are closed", is_idle).await;
}

/// Most bytes of one response of the store that may be read, with those that the sockets hold.
const MAX_STORE_BYTES: usize = 40 << 20;

#[tokio::test(flavor = "multi_thread")]
async fn a_response_of_the_store_without_an_end_is_read_up_to_a_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let counted = sent.clone();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4_096];
        assert!(stream.read(&mut request).await.unwrap() > 0);
        stream.write_all(b"HTTP/1.1 200 X\r\n\r\n").await.unwrap();
        let block = vec![b'z'; 1 << 20];
        while stream.write_all(&block).await.is_ok() && counted.load(Ordering::Relaxed) < 1 << 30 {
            counted.fetch_add(block.len(), Ordering::Relaxed);
        }
    });

    let client = HttpClient::default();
    let (method, headers) = (http::Method::GET, http::HeaderMap::new());
    let uri = format!("http://{address}/");
    let body = bytes::Bytes::new();
    let reply = client.call(method, &uri, headers, body, Duration::from_secs(10)).await;

    assert!(reply.is_err());
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent < MAX_STORE_BYTES, "{sent} bytes were read");
}
