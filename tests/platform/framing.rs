//! Framing of responses: the caller's message is framed by what is sent to the caller, whatever framed the server's
//! (docs/incidents/0023).

use std::time::Duration;

use futures_util::future::join_all;

use crate::{
    kept_caller::{KeptCaller, StrictResponse},
    server::{Action, CHUNKED, ReceivedRequest, Server, chunk},
    site::{Answer, Site, events},
};

const OK: &str = "HTTP/1.1 200 X";
const STREAM_HEADERS: &str = "Content-Type: text/event-stream\r\nX-Confidence: 90\r\n";

/// Prefixes of the routes: idempotent, once-only, stream and resumable stream.
const ROUTES: [&str; 4] = ["/safe/", "/once/", "/plain/", "/chat/"];

/// A body of four events, which buffered routes pass on as well.
pub fn body() -> String {
    events(4)
}

fn length_header(bytes: usize) -> String {
    format!("Content-Length: {bytes}\r\n")
}

/// The body in two chunks, and the last chunk.
fn chunked_body() -> String {
    let (head, tail) = (events(2), body()[events(2).len()..].to_owned());
    chunk(&head) + &chunk(&tail) + "0\r\n\r\n"
}

/// A response with these header lines and this body, after which the connection stays open.
pub fn kept(headers: &str, body: impl Into<String>) -> Action {
    raw(OK, headers, body.into(), true)
}

pub fn raw(
    status_line: &'static str,
    headers: &str,
    body: String,
    keeps_connection: bool,
) -> Action {
    let headers = format!("{STREAM_HEADERS}{headers}");
    Action::Raw { status_line, headers, body, keeps_connection }
}

/// Starts a server that gives this response to the paths that end in `/x`, and a good one with a length to all others.
async fn start_server(id: &str, action: Action) -> Server {
    Server::start(id, move |request: &ReceivedRequest| {
        if request.request_line.contains("/x ") {
            return action.clone();
        }
        kept(&length_header(body().len()), body())
    })
    .await
}

/// Sends a request to which the server responds in this form, and right after its response another one on the same
/// connection, if it is still open. Returns the first response; panics unless the second one is whole.
async fn exchange_with_next(action: Action, method: &str, route: &str) -> StrictResponse {
    let app = start_server("i-app", action.clone()).await;
    let llm = start_server("i-llm", action.clone()).await;
    let site = Site::start(&[(&app, "app", "v1"), (&llm, "llm", "v1")]).await;
    let mut caller = KeptCaller::connect(&site).await;
    let what = format!("{method} {route} {action:?}");

    let response = caller.exchange(method, &format!("{route}x")).await;
    let response = response.unwrap_or_else(|e| panic!("{what}: {e}"));
    if response.values("connection") == ["close"] {
        return response;
    }
    let next = caller.exchange("POST", &format!("{route}next")).await;
    let next = next.unwrap_or_else(|e| panic!("the request after {what}: {e}"));

    assert_eq!((next.status, next.body), (200, body()), "the request after {what}");
    response
}

/// Guards against a whole response that the caller takes for complete before its end, and whose rest follows where the
/// next response is due: a `Content-Length` beside chunks does not describe the body.
#[tokio::test(flavor = "multi_thread")]
async fn a_length_beside_chunks_is_not_passed_on() {
    let length = body().len();
    let lengths = [
        length_header(5),
        length_header(0),
        length_header(length),
        length_header(length + 100),
        length_header(5) + &length_header(6),
        "content-LENGTH: 5\r\n".into(),
        "Content-Length: 5, 9\r\n".into(),
        "Content-Length: +5\r\n".into(),
        "Content-Length: five\r\n".into(),
    ];
    for length in lengths {
        for headers in [format!("{length}{CHUNKED}"), format!("{CHUNKED}{length}")] {
            for route in ROUTES {
                let response =
                    exchange_with_next(kept(&headers, chunked_body()), "POST", route).await;

                assert_eq!((response.status, response.body), (200, body()), "{route} {headers}");
            }
        }
    }
}

/// The failure of a server is passed on like a success, on the last attempt that is allowed.
#[tokio::test(flavor = "multi_thread")]
async fn a_length_beside_the_chunks_of_a_failure_is_not_passed_on() {
    let headers = length_header(5) + CHUNKED;
    for route in ROUTES {
        let failure = raw("HTTP/1.1 500 X", &headers, chunked_body(), true);

        let response = exchange_with_next(failure, "POST", route).await;

        assert_eq!((response.status, response.body), (500, body()), "{route}");
    }
}

/// Guards against the length of one server's response around events of two servers.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_stream_does_not_keep_the_length_of_its_first_server() {
    let whole = body();
    for (headers, breaks) in [
        (length_header(whole.len()), events(2)),
        (length_header(5) + CHUNKED, chunk(&events(2))),
        (CHUNKED.to_owned() + &length_header(5), chunk(&(events(2) + "id: 3\n"))),
    ] {
        let breaks = raw(OK, &headers, breaks, false);
        let server = Server::start("i-1", move |request: &ReceivedRequest| {
            match (request.request_line.contains("/x "), request.header("last-event-id")) {
                (true, "2") => kept(CHUNKED, chunk(&body()[events(2).len()..]) + "0\r\n\r\n"),
                (true, _) => breaks.clone(),
                (false, _) => kept(&length_header(body().len()), body()),
            }
        })
        .await;
        let site = Site::start(&[(&server, "llm", "v1")]).await;
        let mut caller = KeptCaller::connect(&site).await;

        let response = caller.exchange("POST", "/chat/x").await.unwrap();
        let next = caller.exchange("POST", "/chat/next").await.unwrap();

        assert_eq!((response.status, response.body), (200, whole.clone()), "{headers}");
        assert_eq!((next.status, next.body), (200, whole.clone()), "{headers}");
    }
}

/// Guards against the length of one model's answer around another's.
#[tokio::test(flavor = "multi_thread")]
async fn an_escalated_answer_does_not_keep_the_length_of_the_smaller_model() {
    let server = Server::start("i-1", |request: &ReceivedRequest| {
        let (headers, body) = match request.header("x-model") {
            "small" => ("X-Confidence: 10\r\n", chunk(&events(1)) + "0\r\n\r\n"),
            _ => ("X-Confidence: 90\r\n", chunked_body()),
        };
        let headers = format!("{headers}{}{CHUNKED}", length_header(5));
        Action::Raw { status_line: OK, headers, body, keeps_connection: true }
    })
    .await;
    let site = Site::start(&[(&server, "llm", "v1")]).await;
    let mut caller = KeptCaller::connect(&site).await;

    for path in ["/chat/a", "/chat/b"] {
        let response = caller.exchange("POST", path).await.unwrap();
        assert_eq!((response.status, response.body), (200, body()), "{path}");
    }
}

/// The response to a HEAD request has no body; its length is that of the response to a GET request.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_to_head_states_a_length_only_if_the_server_does() {
    let length = body().len().to_string();
    let cases = [
        (length_header(body().len()), vec![length.as_str()]),
        (format!("Content-Length: {length}, {length}\r\n"), vec![length.as_str()]),
        (length_header(5) + CHUNKED, vec![]),
        ("Content-Length: +5\r\n".into(), vec![]),
        (CHUNKED.into(), vec![]),
        (String::new(), vec![]),
    ];
    for (headers, lengths) in cases {
        for route in ROUTES {
            let response = exchange_with_next(kept(&headers, ""), "HEAD", route).await;

            assert_eq!((response.status, &*response.body), (200, ""), "{route} {headers}");
            assert_eq!(response.values("content-length"), lengths, "{route} {headers}");
        }
    }
}

/// Statuses without a body end with their head, whatever they state about a body.
#[tokio::test(flavor = "multi_thread")]
async fn a_status_without_a_body_is_passed_on_without_a_length() {
    for status_line in ["HTTP/1.1 204 X", "HTTP/1.1 304 X"] {
        for headers in [
            "",
            "Content-Length: 64\r\n",
            CHUNKED,
            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        ] {
            for route in ROUTES {
                let response = exchange_with_next(
                    raw(status_line, headers, String::new(), true),
                    "POST",
                    route,
                )
                .await;

                assert!(status_line.contains(&response.status.to_string()), "{route} {headers}");
                assert_eq!(response.values("content-length"), [""; 0], "{route} {headers}");
            }
        }
    }
}

/// What the caller must get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    /// The response with the whole body.
    Whole,
    /// A failure of the entry's own: the response can't be read, or isn't one to the request.
    Failure,
}

/// A form of response: its status line, header lines and body, and what the caller must get.
type Form = (&'static str, String, String, Expected);

async fn check_forms(forms: &[Form]) {
    for (status_line, headers, text, expected) in forms {
        for route in ROUTES {
            for keeps_connection in [true, false] {
                // A server that closes the connection unannounced may lose the next request.
                let close = if keeps_connection { "" } else { "Connection: close\r\n" };
                let headers = format!("{headers}{close}");
                let action = raw(status_line, &headers, text.clone(), keeps_connection);
                let response = exchange_with_next(action, "POST", route).await;

                let what =
                    format!("{route} {status_line} {headers} {keeps_connection}: {response:?}");
                match expected {
                    Expected::Whole => {
                        assert_eq!((response.status, response.body), (200, body()), "{what}")
                    }
                    Expected::Failure => assert_eq!(response.status, 502, "{what}"),
                }
            }
        }
    }
}

/// A response in each of these transfer codings, with a body that is chunked as the last one says.
fn in_codings(codings: &[&str], expected: Expected) -> Vec<Form> {
    let form = |lines: &&str| {
        let headers =
            lines.split('|').map(|line| format!("Transfer-Encoding: {line}\r\n")).collect();
        (OK, headers, chunked_body(), expected)
    };
    codings.iter().map(form).collect()
}

/// Guards against a body in a coding that the caller isn't told of: gzip under the chunks, or chunks in chunks. A body
/// whose last coding isn't chunked ends with its connection, and a crash would look like its end.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_in_a_coding_other_than_chunked_is_rejected() {
    let codings = [
        "gzip, chunked",
        "gzip|chunked",
        "chunked, chunked",
        "chunked|chunked",
        "gzip",
        "chunked, gzip",
        "identity",
        "x, chunked",
    ];
    check_forms(&in_codings(&codings, Expected::Failure)).await;
    check_forms(&in_codings(&["chunked", "Chunked", " chunked "], Expected::Whole)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_length_that_differs_or_is_unreadable_is_rejected() {
    let length = body().len();
    for value in ["+64", "-64", "0x40", "64, 65", "64;", "", "99999999999999999999", "6 4"] {
        let headers = format!("Content-Length: {value}\r\n");
        check_forms(&[(OK, headers, body(), Expected::Failure)]).await;
    }
    let differing = length_header(length) + &length_header(length - 1);
    check_forms(&[(OK, differing, body(), Expected::Failure)]).await;
    for same in [
        length_header(length) + &length_header(length),
        format!("Content-Length: {length}, {length}\r\n"),
        format!("Content-Length: 0{length}\r\n"),
    ] {
        check_forms(&[(OK, same, body(), Expected::Whole)]).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn interim_responses_are_not_passed_on() {
    let length = length_header(body().len());
    for status_lines in [
        "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 X",
        "HTTP/1.1 103 X\r\nLink: </a>\r\nContent-Length: 5\r\n\r\nHTTP/1.1 200 X",
        "HTTP/1.1 102 X\r\n\r\nHTTP/1.1 199 X\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 X",
    ] {
        check_forms(&[
            (status_lines, length.clone(), body(), Expected::Whole),
            (status_lines, CHUNKED.into(), chunked_body(), Expected::Whole),
        ])
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn responses_of_the_former_protocol_version_are_framed_anew() {
    let (old, length) = ("HTTP/1.0 200 X", body().len());
    check_forms(&[
        (old, length_header(length), body(), Expected::Whole),
        (old, length_header(length) + "Connection: keep-alive\r\n", body(), Expected::Whole),
        (old, CHUNKED.into(), chunked_body(), Expected::Failure),
        (old, CHUNKED.to_owned() + &length_header(length), body(), Expected::Failure),
    ])
    .await;
}

/// Trailers describe the message on the server's connection; the caller has not asked for any.
#[tokio::test(flavor = "multi_thread")]
async fn trailers_are_not_passed_on() {
    let text = chunk(&body()) + "0\r\nContent-Length: 5\r\nX-Sum: 1\r\n\r\n";
    let headers = format!("{CHUNKED}Trailer: Content-Length, X-Sum\r\n");
    check_forms(&[(OK, headers, text, Expected::Whole)]).await;
}

/// Bytes after the end of a response belong to no request.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_after_a_response_reach_nobody() {
    let length = length_header(body().len());
    let second =
        format!("HTTP/1.1 200 X\r\nX-Instance-Stamp: s\r\n{length}\r\n{}", body().to_uppercase());
    for extra in ["x", "\r\n", "0\r\n\r\n", &body(), &second] {
        check_forms(&[
            (OK, length.clone(), body() + extra, Expected::Whole),
            (OK, CHUNKED.into(), chunked_body() + extra, Expected::Whole),
        ])
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_ends_early_is_rejected() {
    let short = &body()[..20];
    for (headers, text) in [
        (length_header(body().len()), short.to_owned()),
        (CHUNKED.into(), chunk(short)),
        (CHUNKED.into(), format!("40\r\n{short}")),
        (CHUNKED.into(), chunk(short) + "0\r\n"),
        (CHUNKED.into(), chunk(short) + "zz\r\n"),
        (CHUNKED.into(), chunk(short) + "-1\r\n\r\n0\r\n\r\n"),
        (CHUNKED.into(), format!("5\r\n{short}\r\n0\r\n\r\n")),
    ] {
        for route in ["/safe/", "/once/"] {
            let action = raw(OK, &headers, text.clone(), false);
            let response = exchange_with_next(action, "POST", route).await;
            assert_eq!(response.status, 502, "{route} {headers} {text:?}");
        }
    }
}

/// Guards against a caller whose connection changes to another protocol.
#[tokio::test(flavor = "multi_thread")]
async fn a_protocol_switch_that_nobody_asked_for_is_rejected() {
    let switch = "HTTP/1.1 101 X";
    for headers in
        ["", "Upgrade: websocket\r\nConnection: upgrade\r\n", CHUNKED, "Content-Length: 64\r\n"]
    {
        check_forms(&[(switch, headers.into(), body(), Expected::Failure)]).await;
    }
}

/// Guards against a success without its signature: `Connection` names headers that end at the next hop.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_whose_signature_concerns_only_the_connection_is_rejected() {
    let length = length_header(body().len());
    for named in ["X-Instance-Stamp", "close, x-instance-stamp", "x-request-id,X-INSTANCE-STAMP"] {
        let headers = format!("Connection: {named}\r\n{length}");
        check_forms(&[(OK, headers, body(), Expected::Failure)]).await;
    }
    for named in ["X-Other", "content-length", "Keep-Alive"] {
        let headers = format!("Connection: {named}\r\nX-Other: 1\r\n{length}");
        check_forms(&[(OK, headers, body(), Expected::Whole)]).await;
    }
}

/// Sends a request with these header lines and this body on a connection of its own.
async fn send_request(site: &Site, headers: &str, body: &str) -> Answer {
    let request = format!(
        "POST /once/a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r-1\r\nAuthorization: Bearer key-1\r\nX-Deadline-Ms: 5000\r\nConnection: close\r\n{headers}\r\n{body}"
    );
    site.send(&request).await
}

/// Guards against a coded body that reaches a server as a plain one.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_in_a_coding_other_than_chunked_is_rejected() {
    let server = start_server("i-1", kept(&length_header(0), "")).await;
    let site = Site::start(&[(&server, "app", "v1")]).await;

    for coding in ["gzip, chunked", "chunked, chunked", "gzip\r\nTransfer-Encoding: chunked"] {
        let headers = format!("Transfer-Encoding: {coding}\r\n");
        let answer = send_request(&site, &headers, &(chunk("coded") + "0\r\n\r\n")).await;
        assert_eq!(answer.status, 501, "{coding}");
    }

    assert!(server.requests().is_empty());
}

/// The request to the server is framed by the body that was read, without the caller's trailers.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_in_chunks_reaches_its_server_with_a_length() {
    let server = start_server("i-1", kept(&length_header(0), "")).await;
    let site = Site::start(&[(&server, "app", "v1")]).await;

    for headers in [
        CHUNKED,
        "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\nTE: trailers\r\nExpect: 100-continue\r\n",
    ] {
        let body = chunk("two ") + &chunk("chunks") + "0\r\nX-Sum: 1\r\n\r\n";
        let answer = send_request(&site, headers, &body).await;
        assert!(answer.head.contains(" 200 ") || answer.head.contains(" 100 "), "{answer:?}");
    }

    for request in server.requests() {
        assert_eq!(request.body, b"two chunks");
        assert_eq!(request.header("content-length"), "10");
        for name in ["transfer-encoding", "trailer", "te", "expect", "x-sum"] {
            assert_eq!(request.header(name), "", "{name}");
        }
    }
    assert_eq!(server.requests().len(), 2);
}

/// Guards against an interrupted stream that looks complete to a caller whose protocol version has no chunks.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_without_chunks_gets_the_whole_stream_with_a_length_or_a_failure() {
    for (is_complete, status) in [(false, 502), (true, 200)] {
        let action = Action::Stream { last_event: 4, is_complete, confidence: 90 };
        let server = crate::site::start_server("i-1", action).await;
        let site = Site::start(&[(&server, "llm", "v1")]).await;
        let request = "POST /plain/a HTTP/1.0\r\nHost: h.example\r\nX-Request-Id: r-1\r\nAuthorization: Bearer key-1\r\nX-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n";

        let answer = site.send(request).await;

        assert_eq!((answer.status, answer.is_whole), (status, true), "{answer:?}");
        assert!(!is_complete || answer.body == body(), "{answer:?}");
    }
}

/// Many callers at once, some of whose responses have a wrong length: each gets its own whole responses, one after the
/// other.
#[tokio::test(flavor = "multi_thread")]
async fn responses_with_a_wrong_length_reach_many_kept_connections_whole() {
    let with = |lines, action| Action::WithHeaders { lines, action: Box::new(action) };
    let server = Server::start("i-1", move |request: &ReceivedRequest| {
        let echo = Action::EchoIdAfter { delay: Duration::from_millis(1) };
        let id = request.header("x-request-id");
        if id.ends_with('0') {
            return with("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", echo);
        }
        echo
    })
    .await;
    let site = Site::start(&[(&server, "app", "v1")]).await;
    let send_all = || async {
        let mut caller = KeptCaller::connect(&site).await;
        for number in 1..=30 {
            let response = caller.exchange("POST", "/once/a").await.unwrap();
            assert_eq!((response.status, response.body), (200, format!("r-{number}")));
        }
    };

    join_all((0..8).map(|_| send_all())).await;
}
