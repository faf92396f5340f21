//! Streams: only complete events are passed on, broken streams are resumed where the route allows it, and answers of
//! low confidence are repeated with a larger model.

use std::time::Duration;

use crate::{
    server::{Action, ReceivedRequest, Server},
    site::{Site, events, request_bytes, start_server, start_server_with_first_act, wait_until},
};

const WHOLE: Action = Action::Stream { last_event: 5, is_complete: true, confidence: 90 };

async fn start_with_servers(servers: &[&Server]) -> Site {
    let listed: Vec<_> = servers.iter().map(|s| (*s, "llm", "v1")).collect();
    Site::start(&listed).await
}

fn prompt_headers() -> &'static str {
    "X-Model: *\r\nX-Token-Usage: 100,50\r\nX-Prefix-Hash: aa:80,bb:20\r\n"
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_passed_on_event_by_event() {
    let server = start_server("i-1", WHOLE).await;
    let site = start_with_servers(&[&server]).await;

    let answer = site.request("POST", "/chat/a", prompt_headers()).await;

    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert_eq!(answer.body, events(5));
    assert_eq!(server.requests()[0].header("x-model"), "small");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_resumes_at_another_server_without_loss_or_repeat() {
    let breaks = Action::Stream { last_event: 3, is_complete: false, confidence: 90 };
    let (one, two) = (
        start_server_with_first_act("i-1", breaks.clone(), WHOLE).await,
        start_server_with_first_act("i-2", breaks, WHOLE).await,
    );
    let site = start_with_servers(&[&one, &two]).await;

    let answer = site.request("POST", "/chat/a", prompt_headers()).await;

    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert_eq!(answer.body, events(5));
    let resumed: Vec<ReceivedRequest> = [one.requests(), two.requests()].concat();
    assert!(resumed.iter().any(|request| request.header("last-event-id") == "3"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_that_may_not_be_resumed_ends_incomplete() {
    let server =
        start_server("i-1", Action::Stream { last_event: 3, is_complete: false, confidence: 90 })
            .await;
    let site = start_with_servers(&[&server]).await;

    let answer = site.request("POST", "/plain/a", "X-Model: small\r\n").await;

    assert_eq!((answer.status, answer.is_whole), (200, false));
    assert_eq!(
        answer.body,
        events(3),
        "an incomplete event was passed on, or a complete one was not"
    );
    assert_eq!(server.requests().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_not_resumed_beyond_the_allowed_attempts() {
    let breaks = |last_event| Action::Stream { last_event, is_complete: false, confidence: 90 };
    let (one, two) = (start_server("i-1", breaks(1)).await, start_server("i-2", breaks(1)).await);
    let site = start_with_servers(&[&one, &two]).await;

    let answer = site.request("POST", "/chat/a", prompt_headers()).await;

    assert!(!answer.is_whole);
    assert_eq!(one.requests().len() + two.requests().len(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_stream_is_kept_when_no_retry_is_allowed() {
    let slow = Action::PacedStream { last_event: 2, interval: Duration::from_millis(2_000) };
    let (one, two) = (start_server("i-1", slow.clone()).await, start_server("i-2", slow).await);
    let site = Site::start_without_retries(&[(&one, "llm", "v1"), (&two, "llm", "v1")]).await;

    let answer = site.request("POST", "/chat/a", prompt_headers()).await;

    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert_eq!(answer.body, events(2));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumed_at_the_wrong_event_is_broken_off() {
    let breaks = Action::Stream { last_event: 2, is_complete: false, confidence: 90 };
    let server = start_server_with_first_act("i-1", breaks, Action::EndlessStream).await;
    let site = start_with_servers(&[&server]).await;

    let answer = site.request("POST", "/chat/a", prompt_headers()).await;

    // Event 3 is due, but `Endless` starts again at event 1: none of its events may be passed on.
    assert!(!answer.is_whole);
    assert_eq!(answer.body, events(2));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_of_low_confidence_is_repeated_with_the_largest_model() {
    let server = Server::start("i-1", |request: &ReceivedRequest| {
        let confidence = if request.header("x-model") == "small" { 10 } else { 95 };
        Action::Stream { last_event: 2, is_complete: true, confidence }
    })
    .await;
    let site = start_with_servers(&[&server]).await;

    let answer = site.request("POST", "/chat/a", prompt_headers()).await;

    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert!(answer.head.contains("x-confidence: 95"));
    let models: Vec<String> =
        server.requests().iter().map(|request| request.header("x-model").to_owned()).collect();
    assert_eq!(models, ["small", "large"]);
}

/// Starts a server whose small model answers with low confidence and whose large model acts as given.
async fn start_server_with_large_model_act(large: Action) -> Server {
    Server::start("i-1", move |request: &ReceivedRequest| match request.header("x-model") {
        "small" => Action::Stream { last_event: 4, is_complete: true, confidence: 10 },
        _ => large.clone(),
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn the_smaller_models_answer_is_sent_when_the_largest_model_fails() {
    let nothing = [
        Action::Hang,
        Action::NotExecuted,
        Action::CloseConnection,
        Action::Respond { status: 500, body: "no" },
    ];
    for large in nothing {
        let server = start_server_with_large_model_act(large.clone()).await;
        let site = start_with_servers(&[&server]).await;

        let answer = site.request("POST", "/chat/a", prompt_headers()).await;

        assert_eq!((answer.status, answer.is_whole), (200, true), "{large:?}");
        assert_eq!(answer.body, events(4), "{large:?}");
        let kept = "outcome=\"kept\"} 1";
        assert!(site.entry.router.metrics.render().contains(kept), "{large:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_smaller_models_stream_is_cancelled_once_the_larger_model_has_begun() {
    let server =
        Server::start("i-1", |request: &ReceivedRequest| match request.header("x-model") {
            "small" => Action::EndlessStreamWithConfidence { confidence: 10 },
            _ => Action::PacedStream { last_event: 8, interval: Duration::from_millis(400) },
        })
        .await;
    let site = start_with_servers(&[&server]).await;

    let (answer, ()) = tokio::join!(site.request("POST", "/chat/a", prompt_headers()), async {
        wait_until("both models run", || server.most_active_requests() == 2).await;
        wait_until("only the larger model runs", || server.active_requests() == 1).await;
    });

    assert_eq!((answer.is_whole, answer.body), (true, events(8)));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_model_named_by_the_caller_is_not_replaced_by_a_larger_one() {
    let server =
        start_server("i-1", Action::Stream { last_event: 2, is_complete: true, confidence: 10 })
            .await;
    let site = start_with_servers(&[&server]).await;

    let answer = site.request("POST", "/chat/a", "X-Model: small\r\n").await;

    assert_eq!(answer.status, 200);
    assert_eq!(server.requests().len(), 1);
    assert_eq!(server.requests()[0].header("x-model"), "small");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_cancelled_at_the_server_when_the_caller_disconnects() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let server = start_server("i-1", Action::EndlessStream).await;
    let site = start_with_servers(&[&server]).await;
    let mut stream = tokio::net::TcpStream::connect(site.caller).await.unwrap();
    stream
        .write_all(request_bytes("POST", "/chat/a", prompt_headers(), "").as_bytes())
        .await
        .unwrap();
    let mut some = [0; 64];
    stream.read_exact(&mut some).await.unwrap();

    drop(stream);

    wait_until("the server stops", || server.active_requests() == 0).await;
    wait_until("nothing is in flight", || site.entry.router.in_flight() == 0).await;
}
