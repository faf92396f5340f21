//! Responses with neither a length nor chunks, which end with their connection (docs/incidents/0022).

use crate::{
    pool::post_with_headers,
    server::{Action, Server},
    site::{Answer, Site, events, start_server, start_server_with_first_act, wait_until},
};

const STREAM: &str = "Content-Type: text/event-stream\r\nX-Confidence: 90\r\n";
const PROMPT: &str = "X-Prefix-Hash: a1:100,a2:50\r\n";

fn closes(headers: &'static str, body: String) -> Action {
    Action::CloseDelimitedBody { version: "1.1", headers, body, crashes: false }
}

fn crashes(headers: &'static str, body: String) -> Action {
    Action::CloseDelimitedBody { version: "1.1", headers, body, crashes: true }
}

fn whole_stream(last_event: u64) -> Action {
    Action::Stream { last_event, is_complete: true, confidence: 90 }
}

async fn ask(servers: &[&Server], service: &str, path: &str) -> Answer {
    let listed: Vec<_> = servers.iter().map(|server| (*server, service, "v1")).collect();
    let site = Site::start(&listed).await;
    post_with_headers(&site, path, PROMPT, "a body").await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_complete_when_its_connection_closes_after_an_event() {
    let headers = "Content-Type: text/event-stream\r\nConnection: close\r\nX-Confidence: 90\r\n";
    for (version, headers) in [("1.1", STREAM), ("1.1", headers), ("1.0", STREAM)] {
        let body = events(4);
        let action = Action::CloseDelimitedBody { version, headers, body, crashes: false };
        let server = start_server("i-1", action).await;

        let answer = ask(&[&server], "llm", "/chat/a").await;

        assert_eq!((answer.status, answer.is_whole), (200, true), "{version} {headers}");
        assert_eq!(answer.body, events(4));
        assert_eq!(server.requests().len(), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_closes_inside_an_event_is_resumed_or_broken_off() {
    for (path, is_whole) in [("/chat/a", true), ("/plain/a", false)] {
        let breaks = closes(STREAM, events(2) + "id: 3\ndata: e");
        let server = start_server_with_first_act("i-1", breaks, whole_stream(4)).await;

        let answer = ask(&[&server], "llm", path).await;

        assert_eq!(answer.is_whole, is_whole, "{path}");
        assert_eq!(answer.body, events(if is_whole { 4 } else { 2 }));
    }
}

/// Guards against streams of crashed servers that look complete: the last event was whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_with_its_server_between_events_is_resumed_or_broken_off() {
    for sent in [0, 2] {
        let dies = || crashes(STREAM, events(sent));
        let (one, two) = (start_server("i-1", dies()).await, start_server("i-2", dies()).await);
        let three = start_server("i-3", whole_stream(4)).await;
        let site =
            Site::start(&[(&one, "llm", "v1"), (&two, "llm", "v1"), (&three, "llm", "v1")]).await;

        for (path, is_resumable) in [("/plain/a", false), ("/plain/b", false), ("/chat/a", true)] {
            let answer = post_with_headers(&site, path, PROMPT, path).await;

            assert!(answer.is_whole || !is_resumable, "{sent} {path}: {answer:?}");
            assert!(!answer.is_whole || answer.body == events(4), "{sent} {path}: {answer:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_any_event_is_resumed() {
    let server =
        start_server_with_first_act("i-1", closes(STREAM, String::new()), whole_stream(3)).await;

    let answer = ask(&[&server], "llm", "/chat/a").await;

    assert_eq!((answer.is_whole, answer.body), (true, events(3)));
}

/// Guards against answers of crashed servers that look complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_ends_with_its_server_is_not_passed_on() {
    let half = || crashes("", "half of i".into());
    let whole = Action::Respond { status: 200, body: "all of it" };
    let (one, two) = (
        start_server_with_first_act("i-1", half(), whole.clone()).await,
        start_server_with_first_act("i-2", half(), whole.clone()).await,
    );
    let three = start_server("i-3", whole).await;
    let listed = [(&one, "app", "v1"), (&two, "app", "v1"), (&three, "app", "v1")];
    let site = Site::start(&listed).await;

    for path in ["/safe/a", "/safe/b", "/once/a", "/once/b", "/once/c"] {
        let answer = post_with_headers(&site, path, "", path).await;
        match answer.status {
            200 => assert_eq!(answer.body, "all of it", "{path}"),
            status => assert_eq!(status, 502, "{path}"),
        }
    }
}

/// Guards against a crashing part that is cleared by the cut answer of the server that it crashed.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_ends_with_its_server_clears_no_part() {
    let server = start_server("i-1", crashes(STREAM, events(2))).await;
    let site = Site::start(&[(&server, "llm", "v1")]).await;

    post_with_headers(&site, "/plain/a", PROMPT, "a body").await;

    let cases = || site.entry.router.dump()["quarantine"].as_array().unwrap().clone();
    wait_until("the request and its part are suspected", || cases().len() == 2).await;
    assert!(cases().iter().all(|case| case["answered"] == false));
}

/// The smaller model's answer, not confident enough, is followed by the largest model's, which ends with its connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_cascade_passes_on_a_stream_that_ends_with_its_connection() {
    let server = Server::start("i-1", |request| match request.header("x-model") {
        "small" => closes(
            "Content-Type: text/event-stream\r\nX-Confidence: 10\r\n",
            "id: 1\ndata: small\n\n".into(),
        ),
        _ => closes(STREAM, events(3)),
    })
    .await;
    let site = Site::start(&[(&server, "llm", "v1")]).await;

    let headers = "X-Model: *\r\nX-Token-Usage: 100,50\r\nX-Prefix-Hash: aa:80,bb:20\r\n";
    let answer = site.request("POST", "/chat/a", headers).await;

    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert_eq!(answer.body, events(3));
}
