//! A server's response that is cut after each byte, by a close and by a reset: never a success that looks whole, and the
//! caller's connection serves the next request.

use std::sync::atomic::{AtomicUsize, Ordering};

use futures_util::future::join_all;

use crate::{
    kept_caller::KeptCaller,
    server::{Action, CHUNKED, ReceivedRequest, Server, chunk},
    site::Site,
};

/// Status line, headers and body of each kind of response that is cut.
fn responses() -> Vec<(&'static str, String, String)> {
    let stream = "Content-Type: text/event-stream\r\nX-Confidence: 90\r\n";
    let event = "id: 1\ndata: e\n\n";
    vec![
        ("HTTP/1.1 200 OK", "Content-Length: 5\r\n".into(), "whole".into()),
        ("HTTP/1.1 200 OK", CHUNKED.into(), chunk("whole") + "0\r\n\r\n"),
        ("HTTP/1.1 200 OK", format!("{stream}{CHUNKED}"), chunk(event) + "0\r\n\r\n"),
        ("HTTP/1.1 500 X", "Content-Length: 5\r\n".into(), "wrong".into()),
    ]
}

/// Least length of the headers that identify a response.
const SIGNED_LENGTH: usize = 40;

/// Sends requests on this route to a server that cuts each response one byte earlier than the one before.
async fn check_cuts(
    route: &str,
    resets: bool,
    (status_line, headers, body): (&'static str, String, String),
) {
    let length = status_line.len() + headers.len() + body.len() + SIGNED_LENGTH;
    let cuts = AtomicUsize::new(0);
    let script = move |_: &ReceivedRequest| {
        let missing = 1 + cuts.fetch_add(1, Ordering::Relaxed);
        let (headers, body) = (headers.clone(), body.clone());
        Action::Cut { missing, resets, status_line, headers, body }
    };
    let server = Server::start("i-1", script).await;
    let service = if ["/safe/", "/once/"].contains(&route) { "app" } else { "llm" };
    let site = Site::start(&[(&server, service, "v1")]).await;
    let mut caller = KeptCaller::connect(&site).await;
    for i in 0..length {
        let response = caller.exchange("POST", &format!("{route}{i}")).await;

        match response {
            Ok(response) => assert!(response.status >= 500, "{route} {resets} {i}: {response:?}"),
            Err(e) => {
                assert_eq!(service, "llm", "{route} {resets} {i}: {e}");
                caller = KeptCaller::connect(&site).await;
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_is_cut_is_never_a_whole_success() {
    for response in responses() {
        let checks = ["/safe/", "/once/", "/plain/", "/chat/"].into_iter().flat_map(|route| {
            [false, true].map(|resets| check_cuts(route, resets, response.clone()))
        });
        join_all(checks).await;
    }
}
