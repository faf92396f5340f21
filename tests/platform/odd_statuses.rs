//! Responses whose status is none of HTTP: a failure of the server that no caller gets as an answer (RFC 9110,
//! section 15).

use futures_util::future::join_all;
use serde_json::json;

use crate::{
    pool::post_with_headers,
    roll_outs::send_until_state,
    server::{Action, ReceivedRequest, Server},
    site::{Answer, Site, events, start_server, start_server_with_first_act, wait_until},
};

/// Status lines with a status that is none of HTTP.
const ODD: [&str; 10] = [
    "HTTP/1.1 000 X",
    "HTTP/1.1 099 X",
    "HTTP/1.1 1000 X",
    "HTTP/1.1 20 X",
    "HTTP/1.1 007 X",
    "HTTP/1.1 -1 X",
    "HTTP/1.1 2OO X",
    "HTTP/1.1 600 X",
    "HTTP/1.1 999 X",
    "HTTP/1.1  X",
];
/// Prefixes of the routes, each with its service.
const ROUTES: [(&str, &str); 4] =
    [("/safe/", "app"), ("/once/", "app"), ("/plain/", "llm"), ("/chat/", "llm")];
const STREAM: &str = "Content-Type: text/event-stream\r\nX-Confidence: 90\r\n";
const GOOD: Action = Action::Stream { last_event: 3, is_complete: true, confidence: 90 };

/// A complete response with this status line and these header lines besides its length.
fn odd(status_line: &'static str, headers: &str) -> Action {
    let body = events(3);
    let headers = format!("{STREAM}{headers}Content-Length: {}\r\n", body.len());
    Action::Raw { status_line, headers, body, keeps_connection: true }
}

/// Asks an entry whose only server gives this response; returns the answer and how many requests the server got.
async fn ask(action: Action, (route, service): (&str, &str)) -> (Answer, usize) {
    let server = start_server("i-1", action).await;
    let site = Site::start(&[(&server, service, "v1")]).await;

    let answer = post_with_headers(&site, &format!("{route}a"), "", "a body").await;

    (answer, server.requests().len())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_with_an_odd_status_is_not_passed_on() {
    for status_line in ODD {
        let answers = ROUTES.map(|route| ask(odd(status_line, ""), route));
        for ((answer, requests), route) in join_all(answers).await.into_iter().zip(ROUTES) {
            assert_eq!((answer.status, answer.is_whole), (502, true), "{status_line} {route:?}");
            assert!(requests == 1 || route.0 != "/once/", "{status_line}: {requests} requests");
        }
    }
}

/// Guards against a request that runs twice since a response that can't be read says that it did not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_with_an_odd_status_proves_nothing_about_a_request() {
    for status_line in ODD {
        let (answer, requests) =
            ask(odd(status_line, "X-Not-Executed: 1\r\n"), ("/once/", "app")).await;

        assert_eq!((answer.status, requests), (502, 1), "{status_line}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_be_repeated_is_answered_after_an_odd_status() {
    for status_line in ODD {
        for (route, service) in [("/safe/", "app"), ("/chat/", "llm")] {
            let server = start_server_with_first_act("i-1", odd(status_line, ""), GOOD).await;
            let site = Site::start(&[(&server, service, "v1")]).await;

            let answer = post_with_headers(&site, &format!("{route}a"), "", "a body").await;

            assert_eq!((answer.status, answer.body), (200, events(3)), "{status_line} {route}");
        }
    }
}

/// Guards against a larger model's response with an odd status that replaces the answer of the smaller one.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_status_of_a_larger_model_is_not_passed_on() {
    for status_line in ODD {
        let server = Server::start("i-1", move |request: &ReceivedRequest| {
            match request.header("x-model") {
                "small" => Action::Stream { last_event: 2, is_complete: true, confidence: 10 },
                _ => odd(status_line, ""),
            }
        })
        .await;
        let site = Site::start(&[(&server, "llm", "v1")]).await;
        let headers = "X-Model: *\r\nX-Token-Usage: 100,50\r\nX-Prefix-Hash: aa:80,bb:20\r\n";

        let answer = site.request("POST", "/chat/a", headers).await;

        assert_eq!((answer.status, answer.body), (200, events(2)), "{status_line}");
    }
}

/// Guards against a crashing request that is cleared by a response that can't be read.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_status_clears_no_suspicion() {
    for status_line in ["HTTP/1.1 600 X", "HTTP/1.1 999 X"] {
        let crash = Action::Crash { after_head: false };
        let one = start_server("i-1", crash).await;
        let site = Site::start(&[(&one, "llm", "v1")]).await;
        let prompt = "X-Prefix-Hash: a1:100,a2:50\r\n";
        post_with_headers(&site, "/plain/a", prompt, "a body").await;
        let cases = || site.entry.router.dump()["quarantine"].as_array().unwrap().clone();
        wait_until("the request and its part are suspected", || cases().len() == 2).await;
        let two = start_server("i-2", odd(status_line, "")).await;
        crate::site::list_server(&site.store, &two, "llm", "v1", "ready");
        site.wait_for_servers(2).await;

        post_with_headers(&site, "/plain/a", prompt, "a body").await;

        assert!(!two.requests().is_empty());
        assert!(cases().iter().all(|case| case["answered"] == false), "{status_line}");
        assert_eq!(cases().len(), 2, "{status_line}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_with_odd_statuses_is_rolled_back() {
    let old = start_server("i-1", Action::Respond { status: 200, body: "good" }).await;
    let new = start_server("i-2", odd("HTTP/1.1 600 X", "")).await;
    let site = Site::start(&[(&old, "app", "v1"), (&new, "app", "v2")]).await;
    let order = json!({"service": "app", "to": "v2", "duration-s": 600.0});
    site.store.put("op", "rollout/app", &order);

    send_until_state(&site, "rolled_back").await;

    assert!(new.requests().len() < 30, "{} requests", new.requests().len());
}
