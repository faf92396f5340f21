//! Servers that answer with a status that promises that the request did not run, without proof of that.

use serde_json::json;

use crate::{
    server::{Action, CHUNKED, ReceivedRequest, Server},
    site::{Answer, Site, configuration, events, server_row, start_server},
    store::Store,
};

/// Statuses that promise that the request did not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Prefixes of the routes whose requests may run only once, each with its service.
const ONCE_ONLY: [(&str, &str); 2] = [("/once/", "app"), ("/plain/", "llm")];

/// A complete and signed response of a server that has run the request.
fn promise(status: u16) -> Action {
    Action::Respond { status, body: "it ran" }
}

/// Asks an entry whose only server gives this response; returns the answer and how many requests the server got.
async fn ask(action: Action, (route, service): (&str, &str)) -> (Answer, usize) {
    let server = start_server("i-1", action).await;
    let site = Site::start(&[(&server, service, "v1")]).await;

    let answer = site.request("POST", &format!("{route}a"), "").await;

    (answer, server.requests().len())
}

/// Guards against an answer that makes the caller send a request again which has run.
fn assert_promises_nothing(answer: &Answer, case: &str) {
    assert_eq!((answer.status, answer.is_whole), (502, true), "{case}");
    assert!(!answer.head.contains("x-instance-stamp"), "{case}: {}", answer.head);
    assert!(!answer.head.contains("retry-after"), "{case}: {}", answer.head);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_promise_without_proof_is_not_passed_on_for_a_once_only_request() {
    for status in PROMISES {
        for route in ONCE_ONLY {
            for lines in ["Retry-After: 1\r\n", CHUNKED] {
                let action = Action::WithHeaders { lines, action: promise(status).into() };

                let (answer, requests) = ask(action, route).await;

                assert_promises_nothing(&answer, &format!("{status} {route:?} {lines}"));
                assert_eq!(requests, 1, "{status} {route:?}");
            }
        }
    }
}

/// Guards against a promise whose body is cut: its head says nothing more than that of a whole one.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_promise_without_proof_is_not_passed_on() {
    for status_line in ["HTTP/1.1 503 X", "HTTP/1.1 429 X"] {
        for route in ONCE_ONLY {
            let headers = "Content-Length: 6\r\n".into();
            let body = "it ran".into();
            let action = Action::Cut { missing: 3, resets: false, status_line, headers, body };

            let (answer, requests) = ask(action, route).await;

            assert_promises_nothing(&answer, &format!("{status_line} {route:?}"));
            assert_eq!(requests, 1, "{status_line} {route:?}");
        }
    }
}

/// Guards against a proved rejection by one server that covers an unproved one by the next.
#[tokio::test(flavor = "multi_thread")]
async fn a_rejection_before_it_proves_nothing_about_a_promise() {
    for status in PROMISES {
        let (full, failing) = (
            start_server("i-1", Action::NotExecuted).await,
            start_server("i-2", promise(status)).await,
        );
        let site = Site::start(&[(&full, "app", "v1"), (&failing, "app", "v1")]).await;
        while failing.requests().is_empty() {
            let answer = site.request("POST", "/once/a", "").await;

            if !failing.requests().is_empty() {
                assert_promises_nothing(&answer, &status.to_string());
            }
        }
        assert_eq!(failing.requests().len(), 1, "{status}");
    }
}

/// Guards against a promise of a larger model that replaces the answer of the smaller one, which ran.
#[tokio::test(flavor = "multi_thread")]
async fn a_promise_of_a_larger_model_is_not_passed_on_for_a_once_only_stream() {
    let rejection = |status| match status {
        0 => Action::NotExecuted,
        status => promise(status),
    };
    for status in [0].into_iter().chain(PROMISES) {
        let server = Server::start("i-1", move |request: &ReceivedRequest| {
            match request.header("x-model") {
                "small" => Action::Stream { last_event: 2, is_complete: true, confidence: 10 },
                _ => rejection(status),
            }
        })
        .await;
        let store = Store::start().await;
        let mut config = configuration(1);
        config["routes"][3]["sizes"] = json!(["small", "large"]);
        store.put("op", "config", &config);
        store.put("servers", "i-1", &server_row(server.address, "llm", "v1", "ready"));
        let site = Site::start_with_store(store).await;
        site.wait_for_servers(1).await;
        let headers = "X-Model: *\r\nX-Token-Usage: 100,50\r\nX-Prefix-Hash: aa:80,bb:20\r\n";

        let answer = site.request("POST", "/plain/a", headers).await;

        assert_eq!((answer.status, answer.body), (200, events(2)), "{status}");
    }
}

/// Guards against a client that repeats a request which the entry sent on and gave up at its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_once_only_request_that_is_given_up_promises_nothing() {
    for route in ONCE_ONLY {
        let server = start_server("i-1", Action::Hang).await;
        let site = Site::start(&[(&server, route.1, "v1")]).await;

        let answer = site.request("POST", &format!("{}a", route.0), "").await;

        assert!([502, 504].contains(&answer.status), "{route:?}: {}", answer.status);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_promise_with_proof_is_given_for_a_once_only_request() {
    for route in ONCE_ONLY {
        let (answer, _) = ask(Action::NotExecuted, route).await;

        assert_eq!((answer.status, answer.is_whole), (503, true), "{route:?}");
        assert!(answer.head.contains("retry-after"), "{route:?}: {}", answer.head);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failure_of_a_request_that_may_be_repeated_is_passed_on_unchanged() {
    for status in PROMISES {
        for route in [("/safe/", "app"), ("/chat/", "llm")] {
            let (answer, _) = ask(promise(status), route).await;

            assert_eq!((answer.status, &*answer.body), (status, "it ran"), "{route:?}");
            assert!(answer.head.contains("x-instance-stamp"), "{status} {route:?}");
        }
    }
}
