//! Servers that hang within a response: the caller has a final answer by its deadline (docs/incidents/0024).

use futures_util::future::join_all;

use crate::{
    server::{Action, CHUNKED, chunk},
    site::{Site, events, request_bytes, start_server, wait_until},
};

/// A response of which only this much is sent; the connection stays open.
fn hangs_after(status_line: &'static str, headers: &str, body: &str) -> Action {
    let headers = format!("Content-Type: text/event-stream\r\nX-Confidence: 90\r\n{headers}");
    Action::Raw { status_line, headers, body: body.into(), keeps_connection: true }
}

/// Each point of a response at which a server may hang, for this status.
fn hanging_responses(status_line: &'static str) -> Vec<Action> {
    let length = "Content-Length: 100\r\n";
    let event = events(1);
    vec![
        hangs_after(status_line, length, ""),
        hangs_after(status_line, length, &event),
        hangs_after(status_line, CHUNKED, ""),
        hangs_after(status_line, CHUNKED, &chunk(&event)),
        hangs_after(status_line, CHUNKED, &chunk(&event[..5])),
        hangs_after(status_line, CHUNKED, "40\r\nid: 1"),
        hangs_after(status_line, CHUNKED, &(chunk(&event) + "0\r\n")),
        hangs_after(status_line, CHUNKED, &(chunk(&event) + "0\r\nX-Sum: ")),
    ]
}

/// Sends a request to a single server that responds in this way; returns the status that the caller gets and whether
/// its response is whole.
async fn ask(action: Action, route: &str) -> (u16, bool) {
    let app = start_server("i-app", action.clone()).await;
    let llm = start_server("i-llm", action.clone()).await;
    let site = Site::start(&[(&app, "app", "v1"), (&llm, "llm", "v1")]).await;
    let request = request_bytes("POST", &format!("{route}a"), "", "");
    let request = request.replace("X-Deadline-Ms: 5000", "X-Deadline-Ms: 700");

    let answer = site.send(&request).await;

    let in_flight = &site.entry.router.metrics.in_flight;
    wait_until("the entry has finished the request", || in_flight.get() == 0).await;
    (answer.status, answer.is_whole)
}

/// Guards against requests that are never answered: the failure of a stream was read without a deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_that_hangs_is_answered_by_the_deadline() {
    for status_line in ["HTTP/1.1 500 X", "HTTP/1.1 503 X", "HTTP/1.1 400 X", "HTTP/1.1 302 X"] {
        for route in ["/safe/", "/once/", "/plain/", "/chat/"] {
            let cases = hanging_responses(status_line);
            let answers = join_all(cases.iter().map(|action| ask(action.clone(), route))).await;

            // A once-only request is given up at the head of a 503, which is not passed on, whatever follows.
            let is_given_up_early =
                status_line.contains("503") && ["/once/", "/plain/"].contains(&route);
            let status = if is_given_up_early { 502 } else { 504 };
            for (action, answer) in cases.iter().zip(answers) {
                assert_eq!(answer, (status, true), "{route} {action:?}");
            }
        }
    }
}

/// A success that hangs is answered by the deadline as well: with a failure, or as a stream that is broken off.
#[tokio::test(flavor = "multi_thread")]
async fn a_success_that_hangs_is_ended_by_the_deadline() {
    for route in ["/safe/", "/once/", "/plain/", "/chat/"] {
        let mut cases = hanging_responses("HTTP/1.1 200 X");
        cases.push(Action::Hang);
        let answers = join_all(cases.iter().map(|action| ask(action.clone(), route))).await;

        for (action, (status, is_whole)) in cases.iter().zip(answers) {
            let is_failure = status == 504 && is_whole;
            let is_broken_off =
                status == 200 && !is_whole && ["/plain/", "/chat/"].contains(&route);
            assert!(is_failure || is_broken_off, "{route} {action:?}: {status}");
        }
    }
}
