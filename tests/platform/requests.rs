//! Requests with a single response: which servers are tried, and which response the caller gets.

use std::time::Duration;

use futures_util::future::join_all;
use mintmoor::policy::placement::hash_id;

use crate::{
    server::{Action, Server},
    site::{Site, request_bytes, start_server, start_server_with_first_act, wait_until},
};

const SUCCESS: Action = Action::Respond { status: 200, body: "good" };
const FAILURE: Action = Action::Respond { status: 500, body: "bad" };

/// Starts a site with these servers of one service.
async fn start_site(servers: &[&Server]) -> Site {
    let listed: Vec<_> = servers.iter().map(|s| (*s, "app", "v1")).collect();
    Site::start(&listed).await
}

/// Number of requests that these servers received.
fn request_count(servers: &[&Server]) -> usize {
    servers.iter().map(|server| server.requests().len()).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_is_forwarded_unchanged_with_its_signature() {
    let server = start_server("i-1", SUCCESS).await;
    let site = start_site(&[&server]).await;

    let answer = site.request("GET", "/safe/a?x=1", "X-Custom: kept\r\nX-Tenant: forged\r\n").await;

    assert_eq!((answer.status, &*answer.body, answer.is_whole), (200, "good", true));
    assert!(answer.head.contains("x-instance-stamp: s"));
    let request = server.requests().remove(0);
    assert_eq!(request.request_line, "GET /safe/a?x=1 HTTP/1.1");
    assert_eq!(request.header("x-tenant"), "org");
    assert_eq!(request.header("x-expect-instance"), "i-1");
    assert_eq!(request.header("x-custom"), "kept");
    assert_eq!(request.header("authorization"), "");
    let left: u64 = request.header("x-deadline-ms").parse().unwrap();
    assert!((1..=3_000).contains(&left), "the route allows 3 s, the caller 5 s; sent {left} ms");
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_each_get_their_own_response() {
    let delay = Duration::from_millis(20);
    let (one, two) = (
        start_server("i-1", Action::EchoIdAfter { delay }).await,
        start_server("i-2", Action::EchoIdAfter { delay }).await,
    );
    let site = start_site(&[&one, &two]).await;
    let paths: Vec<String> = (0..20).map(|i| format!("/safe/{i}")).collect();

    let answers = join_all(paths.iter().map(|path| site.request("GET", path, ""))).await;

    for (path, answer) in paths.iter().zip(answers) {
        assert_eq!((answer.status, answer.body), (200, format!("r-{path}")));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failed_idempotent_request_is_retried_on_another_server() {
    for first in [
        FAILURE,
        Action::CloseConnection,
        Action::Truncated,
        Action::WrongRequestId,
        Action::Unsigned,
        Action::Gzip,
    ] {
        let (fails_first, good) = (
            start_server_with_first_act("i-1", first, SUCCESS).await,
            start_server("i-2", SUCCESS).await,
        );
        let site = start_site(&[&fails_first, &good]).await;

        for _ in 0..4 {
            let answer = site.request("GET", "/safe/a", "").await;
            assert_eq!((answer.status, &*answer.body), (200, "good"));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn when_all_attempts_fail_the_error_response_is_forwarded_unchanged() {
    let (one, two) = (start_server("i-1", FAILURE).await, start_server("i-2", FAILURE).await);
    let site = start_site(&[&one, &two]).await;

    let answer = site.request("GET", "/safe/a", "").await;

    assert_eq!((answer.status, &*answer.body), (500, "bad"));
    assert!(answer.head.contains("x-instance-stamp: s"));
    assert_eq!(request_count(&[&one, &two]), 2, "the route allows two attempts");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_once_only_request_that_may_have_run_is_neither_retried_nor_reported_as_not_run() {
    for action in [
        Action::CloseConnection,
        Action::Truncated,
        Action::WrongRequestId,
        Action::Unsigned,
        Action::Hang,
    ] {
        let (one, two) =
            (start_server("i-1", action.clone()).await, start_server("i-2", action).await);
        let site = start_site(&[&one, &two]).await;

        let answer = site.request("POST", "/once/a", "").await;

        assert!([502, 504].contains(&answer.status), "status {}", answer.status);
        assert!(!answer.head.contains("x-instance-stamp"));
        assert_eq!(request_count(&[&one, &two]), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_once_only_request_that_provably_did_not_run_is_retried_on_another_server() {
    for action in [Action::NotExecuted, Action::Misrouted] {
        let (one, two) = (start_server("i-1", action).await, start_server("i-2", SUCCESS).await);
        let site = start_site(&[&one, &two]).await;

        for _ in 0..3 {
            let answer = site.request("POST", "/once/a", "").await;
            assert_eq!((answer.status, &*answer.body), (200, "good"));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_no_server_ran_gets_503_with_retry_after() {
    let server = start_server("i-1", Action::NotExecuted).await;
    let site = start_site(&[&server]).await;

    let answer = site.request("POST", "/once/a", "").await;

    assert_eq!(answer.status, 503);
    assert!(answer.head.contains("retry-after: 0."));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_refuses_connections_is_skipped() {
    let good = start_server("i-1", SUCCESS).await;
    let mut unreachable = start_server("i-2", SUCCESS).await;
    // Bound but not listening: connections are refused, and no other process gets the port during
    // the test.
    let closed = tokio::net::TcpSocket::new_v4().unwrap();
    closed.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    unreachable.address = closed.local_addr().unwrap();
    let site = start_site(&[&good, &unreachable]).await;

    for _ in 0..4 {
        assert_eq!(site.request("POST", "/once/a", "").await.status, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn servers_that_refuse_connections_use_up_neither_attempts_nor_retry_budget() {
    let good = start_server("i-good", SUCCESS).await;
    let mut closed = Vec::new();
    let mut unreachable: Vec<Server> = Vec::new();
    // Servers that are tried before the good one: costs are equal, so the hash of the id decides on
    // the order.
    let ids = (0..).map(|i| format!("i-{i}")).filter(|id| hash_id(id) < hash_id("i-good"));
    for id in ids.take(8) {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let mut server = good.clone();
        (server.address, server.id) = (socket.local_addr().unwrap(), id);
        unreachable.push(server);
        closed.push(socket);
    }
    let listed: Vec<_> = unreachable.iter().chain([&good]).map(|s| (s, "app", "v1")).collect();
    let site = Site::start_without_retries(&listed).await;

    let answer = site.request("POST", "/once/a", "").await;

    assert_eq!((answer.status, &*answer.body), (200, "good"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_returns_invalid_responses_is_ejected() {
    for action in [Action::WrongRequestId, Action::Unsigned] {
        let server = start_server("i-1", action).await;
        let site = start_site(&[&server]).await;

        for _ in 0..2 {
            site.request("POST", "/once/a", "").await;
        }

        assert_eq!(site.entry.router.dump()["servers"][0]["out"], true);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_close_delimited_response_is_complete_when_its_connection_closes_cleanly() {
    let server = start_server("i-1", Action::CloseDelimited).await;
    let site = start_site(&[&server]).await;

    let answer = site.request("GET", "/safe/a", "").await;

    assert_eq!((answer.status, &*answer.body, answer.is_whole), (200, "all of it", true));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_duplicate_response_is_discarded() {
    let server = start_server("i-1", Action::Duplicate).await;
    let site = start_site(&[&server]).await;

    for i in 0..6 {
        let answer = site.request("GET", &format!("/safe/{i}"), "").await;
        assert_eq!((answer.status, &*answer.body), (200, "once"));
        assert!(answer.head.contains(&format!("x-request-id: r-/safe/{i}\r\n")));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_rejected_before_anything_is_sent() {
    let server = start_server("i-1", SUCCESS).await;
    let site = start_site(&[&server]).await;
    let plain = request_bytes("GET", "/safe/a", "", "");
    let cases = [
        (request_bytes("GET", "/nowhere/a", "", ""), 404),
        (plain.replace("h.example", "other.example"), 404),
        (plain.replace("key-1", "key-9"), 401),
        (plain.replace("Authorization: Bearer key-1\r\n", ""), 401),
        (plain.replace("X-Request-Id: r-/safe/a\r\n", ""), 400),
        (request_bytes("POST", "/safe/a", "", &"x".repeat(70_000)), 413),
    ];

    for (bytes, status) in cases {
        assert_eq!(site.send(&bytes).await.status, status, "{}", &bytes[..bytes.len().min(200)]);
    }
    assert!(server.requests().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_smuggled_request_never_runs() {
    let server = start_server("i-1", SUCCESS).await;
    let site = start_site(&[&server]).await;
    let hidden = request_bytes("POST", "/once/hidden", "", "");
    let body = format!("0\r\n\r\n{hidden}");
    let outer = request_bytes("POST", "/once/outer", "Transfer-Encoding: chunked\r\n", &body);
    let outer = outer.replacen("Connection: close\r\n", "", 1);

    let answer = site.send(&outer).await;

    assert_eq!(answer.status, 200);
    let lines: Vec<String> =
        server.requests().into_iter().map(|request| request.request_line).collect();
    assert_eq!(lines, ["POST /once/outer HTTP/1.1"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chunked_request_body_reaches_the_server_whole() {
    let server = start_server("i-1", SUCCESS).await;
    let site = start_site(&[&server]).await;
    let head = request_bytes("POST", "/once/a", "Transfer-Encoding: chunked\r\n", "");
    let head = head.replace("Content-Length: 0\r\n", "");

    let answer = site.send(&format!("{head}3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")).await;

    assert_eq!(answer.status, 200);
    assert_eq!(server.requests()[0].body, b"abcde");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_server_connection_is_closed_when_the_caller_disconnects() {
    use tokio::io::AsyncWriteExt;
    let server = start_server("i-1", Action::Hang).await;
    let site = start_site(&[&server]).await;
    let mut stream = tokio::net::TcpStream::connect(site.caller).await.unwrap();
    stream.write_all(request_bytes("POST", "/once/a", "", "").as_bytes()).await.unwrap();
    wait_until("the server is handling the request", || server.active_requests() == 1).await;

    drop(stream);

    wait_until("the connection to the server is closed", || server.active_requests() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_serves_short_requests_and_refuses_long_ones() {
    let (app, llm) =
        (start_server("i-1", SUCCESS).await, start_server("i-2", Action::EndlessStream).await);
    let site = Site::start(&[(&app, "app", "v1"), (&llm, "llm", "v1")]).await;
    let (caller, readiness) = (site.caller, site.readiness);
    let router = site.entry.router.clone();
    assert!(router.is_ready());

    let stopping = tokio::spawn(site.entry.stop());
    wait_until("the entry is not ready", || !router.is_ready()).await;

    // Callers that connected before the load balancer noticed may retry elsewhere at once.
    let early = send_raw(caller, &request_bytes("POST", "/chat/a", "", "")).await;
    assert!(early.contains("retry-after: 0.050"), "{early}");
    // The shutdown grace is 4 s: a stream, which may take 4.9 s, is refused, and a short request is
    // served.
    assert_eq!(send_for_status(caller, &request_bytes("POST", "/chat/a", "", "")).await, 503);
    assert_eq!(send_for_status(caller, &request_bytes("POST", "/once/a", "", "")).await, 200);
    let ready = "GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    assert_eq!(send_for_status(readiness, ready).await, 503);
    assert_eq!(stopping.await.unwrap(), 0, "no request was cut off");
}

/// Sends raw bytes on a connection of its own and returns everything up to its end.
async fn send_raw(address: std::net::SocketAddr, bytes: &str) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    let mut raw = Vec::new();
    let read = stream.read_to_end(&mut raw);
    tokio::time::timeout(Duration::from_secs(10), read).await.unwrap().unwrap();
    String::from_utf8_lossy(&raw).into_owned()
}

/// Sends raw bytes and returns the status of the response.
async fn send_for_status(address: std::net::SocketAddr, bytes: &str) -> u16 {
    send_raw(address, bytes).await[9..12].parse().unwrap()
}

/// The last server of a service has terminated: its address refuses connections, and the entry must
/// not try it over and over while it waits for a server.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_tries_an_unreachable_server_only_once() {
    let server = start_server("i-1", Action::Crash { after_head: false }).await;
    let site = Site::start(&[(&server, "app", "v1")]).await;
    site.request("POST", "/once/a", "").await;
    server.wait_until_terminated(0).await;
    let refused = || {
        let rendered = site.entry.router.metrics.render();
        let lines = rendered
            .lines()
            .filter(|l| l.starts_with("mintmoor_attempts") && l.contains("refused"));
        lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum::<f64>()
    };
    let before = refused();

    let answer = site.request("GET", "/safe/a", "").await;

    assert_eq!(answer.status, 503);
    assert!(answer.head.contains("retry-after: "), "{}", answer.head);
    assert_eq!(refused() - before, 1.0, "one connection attempt");
}
