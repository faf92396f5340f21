//! Requests answered in one piece: what is tried where, and what the caller may be told.

use std::time::Duration;

use futures_util::future::join_all;
use mintmoor::policy::placement::hash_id;

use crate::{
    server::{Act, Server},
    site::{Site, request_bytes, start_server, start_server_with_first_act, wait_until},
};

const GOOD: Act = Act::Answer { status: 200, body: "good" };
const FAILS: Act = Act::Answer { status: 500, body: "bad" };

async fn site_of(servers: &[&Server]) -> Site {
    let listed: Vec<_> = servers.iter().map(|s| (*s, "app", "v1")).collect();
    Site::start(&listed).await
}

fn runs(servers: &[&Server]) -> usize {
    servers.iter().map(|server| server.seen().len()).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_passed_on_unchanged_with_its_signature() {
    let server = start_server("i-1", GOOD).await;
    let site = site_of(&[&server]).await;

    let answer = site.request("GET", "/safe/a?x=1", "X-Custom: kept\r\nX-Tenant: forged\r\n").await;

    assert_eq!((answer.status, &*answer.body, answer.is_whole), (200, "good", true));
    assert!(answer.head.contains("x-instance-stamp: s"));
    let seen = server.seen().remove(0);
    assert_eq!(seen.line, "GET /safe/a?x=1 HTTP/1.1");
    assert_eq!(seen.header("x-tenant"), "org");
    assert_eq!(seen.header("x-expect-instance"), "i-1");
    assert_eq!(seen.header("x-custom"), "kept");
    assert_eq!(seen.header("authorization"), "");
    let left: u64 = seen.header("x-deadline-ms").parse().unwrap();
    assert!((1..=3_000).contains(&left), "the route allows 3 s, the caller 5 s; sent {left} ms");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_at_the_same_time_get_each_their_own_answer() {
    let after = Duration::from_millis(20);
    let (one, two) = (
        start_server("i-1", Act::Echo { after }).await,
        start_server("i-2", Act::Echo { after }).await,
    );
    let site = site_of(&[&one, &two]).await;
    let paths: Vec<String> = (0..20).map(|i| format!("/safe/{i}")).collect();

    let answers = join_all(paths.iter().map(|path| site.request("GET", path, ""))).await;

    for (path, answer) in paths.iter().zip(answers) {
        assert_eq!((answer.status, answer.body), (200, format!("r-{path}")));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failed_idempotent_request_is_asked_elsewhere() {
    for first in [FAILS, Act::Close, Act::CutAnswer, Act::WrongId, Act::Unsigned, Act::Encoded] {
        let (fails_once, good) = (
            start_server_with_first_act("i-1", first, GOOD).await,
            start_server("i-2", GOOD).await,
        );
        let site = site_of(&[&fails_once, &good]).await;

        for _ in 0..4 {
            let answer = site.request("GET", "/safe/a", "").await;
            assert_eq!((answer.status, &*answer.body), (200, "good"));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failure_everywhere_is_passed_on_as_the_server_gave_it() {
    let (one, two) = (start_server("i-1", FAILS).await, start_server("i-2", FAILS).await);
    let site = site_of(&[&one, &two]).await;

    let answer = site.request("GET", "/safe/a", "").await;

    assert_eq!((answer.status, &*answer.body), (500, "bad"));
    assert!(answer.head.contains("x-instance-stamp: s"));
    assert_eq!(runs(&[&one, &two]), 2, "the route allows two attempts");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_once_only_request_that_may_have_run_is_not_sent_again_nor_called_not_run() {
    for act in [Act::Close, Act::CutAnswer, Act::WrongId, Act::Unsigned, Act::Hang] {
        let (one, two) = (start_server("i-1", act.clone()).await, start_server("i-2", act).await);
        let site = site_of(&[&one, &two]).await;

        let answer = site.request("POST", "/once/a", "").await;

        assert!([502, 504].contains(&answer.status), "told {}", answer.status);
        assert!(!answer.head.contains("x-instance-stamp"));
        assert_eq!(runs(&[&one, &two]), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_once_only_request_that_provably_did_not_run_is_sent_elsewhere() {
    for act in [Act::Shed, Act::OtherServer] {
        let (one, two) = (start_server("i-1", act).await, start_server("i-2", GOOD).await);
        let site = site_of(&[&one, &two]).await;

        for _ in 0..3 {
            let answer = site.request("POST", "/once/a", "").await;
            assert_eq!((answer.status, &*answer.body), (200, "good"));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_nobody_ran_is_refused_with_a_time_to_come_back() {
    let server = start_server("i-1", Act::Shed).await;
    let site = site_of(&[&server]).await;

    let answer = site.request("POST", "/once/a", "").await;

    assert_eq!(answer.status, 503);
    assert!(answer.head.contains("retry-after: 0."));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_listens_no_more_is_passed_over() {
    let good = start_server("i-1", GOOD).await;
    let mut gone = start_server("i-2", GOOD).await;
    // Bound for as long as the test lasts, so that nobody else gets the port, but not listening.
    let deaf = tokio::net::TcpSocket::new_v4().unwrap();
    deaf.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    gone.address = deaf.local_addr().unwrap();
    let site = site_of(&[&good, &gone]).await;

    for _ in 0..4 {
        assert_eq!(site.request("POST", "/once/a", "").await.status, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn servers_that_listen_no_more_cost_neither_attempts_nor_budget() {
    let good = start_server("i-good", GOOD).await;
    let mut deaf = Vec::new();
    let mut gone: Vec<Server> = Vec::new();
    // All that are tried before the good one: costs are equal, so the order is that of the ids.
    let ids = (0..).map(|i| format!("i-{i}")).filter(|id| hash_id(id) < hash_id("i-good"));
    for id in ids.take(8) {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let mut server = good.clone();
        (server.address, server.id) = (socket.local_addr().unwrap(), id);
        gone.push(server);
        deaf.push(socket);
    }
    let listed: Vec<_> = gone.iter().chain([&good]).map(|s| (s, "app", "v1")).collect();
    let site = Site::start_without_retries(&listed).await;

    let answer = site.request("POST", "/once/a", "").await;

    assert_eq!((answer.status, &*answer.body), (200, "good"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_gives_answers_of_others_is_taken_out() {
    for act in [Act::WrongId, Act::Unsigned] {
        let server = start_server("i-1", act).await;
        let site = site_of(&[&server]).await;

        for _ in 0..2 {
            site.request("POST", "/once/a", "").await;
        }

        assert_eq!(site.entry.router.dump()["servers"][0]["out"], true);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_a_length_is_whole_when_its_connection_ends_well() {
    let server = start_server("i-1", Act::Unframed).await;
    let site = site_of(&[&server]).await;

    let answer = site.request("GET", "/safe/a", "").await;

    assert_eq!((answer.status, &*answer.body, answer.is_whole), (200, "all of it", true));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_answer_to_one_request_reaches_nobody() {
    let server = start_server("i-1", Act::Twice).await;
    let site = site_of(&[&server]).await;

    for i in 0..6 {
        let answer = site.request("GET", &format!("/safe/{i}"), "").await;
        assert_eq!((answer.status, &*answer.body), (200, "once"));
        assert!(answer.head.contains(&format!("x-request-id: r-/safe/{i}\r\n")));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn routes_keys_and_lengths_are_checked_before_anything_is_sent() {
    let server = start_server("i-1", GOOD).await;
    let site = site_of(&[&server]).await;
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
    assert!(server.seen().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_hidden_behind_another_never_runs() {
    let server = start_server("i-1", GOOD).await;
    let site = site_of(&[&server]).await;
    let hidden = request_bytes("POST", "/once/hidden", "", "");
    let body = format!("0\r\n\r\n{hidden}");
    let outer = request_bytes("POST", "/once/outer", "Transfer-Encoding: chunked\r\n", &body);
    let outer = outer.replacen("Connection: close\r\n", "", 1);

    let answer = site.send(&outer).await;

    assert_eq!(answer.status, 200);
    let lines: Vec<String> = server.seen().into_iter().map(|seen| seen.line).collect();
    assert_eq!(lines, ["POST /once/outer HTTP/1.1"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chunked_body_arrives_whole() {
    let server = start_server("i-1", GOOD).await;
    let site = site_of(&[&server]).await;
    let head = request_bytes("POST", "/once/a", "Transfer-Encoding: chunked\r\n", "");
    let head = head.replace("Content-Length: 0\r\n", "");

    let answer = site.send(&format!("{head}3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")).await;

    assert_eq!(answer.status, 200);
    assert_eq!(server.seen()[0].body, b"abcde");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_is_let_off_when_the_caller_leaves() {
    use tokio::io::AsyncWriteExt;
    let server = start_server("i-1", Act::Hang).await;
    let site = site_of(&[&server]).await;
    let mut stream = tokio::net::TcpStream::connect(site.caller).await.unwrap();
    stream.write_all(request_bytes("POST", "/once/a", "", "").as_bytes()).await.unwrap();
    wait_until("the server is at work", || server.at_work() == 1).await;

    drop(stream);

    wait_until("the server is let off", || server.at_work() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_finishes_what_runs_and_turns_long_requests_away() {
    let (app, llm) = (start_server("i-1", GOOD).await, start_server("i-2", Act::Endless).await);
    let site = Site::start(&[(&app, "app", "v1"), (&llm, "llm", "v1")]).await;
    let (caller, readiness) = (site.caller, site.readiness);
    let router = site.entry.router.clone();
    assert!(router.is_ready());

    let stopping = tokio::spawn(site.entry.stop());
    wait_until("the entry is unready", || !router.is_ready()).await;

    // Callers that connected before the balancer knew may go elsewhere at once.
    let early = raw(caller, &request_bytes("POST", "/chat/a", "", "")).await;
    assert!(early.contains("retry-after: 0.050"), "{early}");
    // With a grace of 4 s a stream, which may take 4.9 s, is turned away; a short one is served.
    assert_eq!(status_of(caller, &request_bytes("POST", "/chat/a", "", "")).await, 503);
    assert_eq!(status_of(caller, &request_bytes("POST", "/once/a", "", "")).await, 200);
    let ready = "GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    assert_eq!(status_of(readiness, ready).await, 503);
    assert_eq!(stopping.await.unwrap(), 0, "nothing was cut off");
}

async fn raw(address: std::net::SocketAddr, bytes: &str) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    let mut raw = Vec::new();
    let read = stream.read_to_end(&mut raw);
    tokio::time::timeout(Duration::from_secs(10), read).await.unwrap().unwrap();
    String::from_utf8_lossy(&raw).into_owned()
}

async fn status_of(address: std::net::SocketAddr, bytes: &str) -> u16 {
    raw(address, bytes).await[9..12].parse().unwrap()
}

/// The last server of a service is gone: nobody listens at its address, and no second look within a moment
/// finds anybody.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_can_not_be_reached_is_asked_once_by_a_request() {
    let server = start_server("i-1", Act::Crash { has_begun: false }).await;
    let site = Site::start(&[(&server, "app", "v1")]).await;
    site.request("POST", "/once/a", "").await;
    server.until_ended(0).await;
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
    assert_eq!(refused() - before, 1.0, "asked once");
}
