//! Servers that reject requests with status 421: because of the request, or because another server has the address.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{
    limited_pool::{arrival_times, responses_under_load, run_load, start_pool},
    server::{Action, ReceivedRequest, Server},
    site::{Site, configuration, server_row, start_server, wait_until},
    store::Store,
};

/// Header line of the requests that the servers don't take.
const ODD: &str = "X-Odd: 1\r\n";
/// Header lines of a rejection: without anything, with the declaration that the request did not run, with the id of the
/// server itself.
const REJECTIONS: [&str; 3] = ["", "X-Not-Executed: 1\r\n", "X-Instance-Id: i-{n}\r\n"];
/// Number of odd requests, as many as there are servers.
const ODD_REQUESTS: usize = 6;
/// Longest time for which a server is left alone after another one answered at its address, and some time more for the
/// request that finds out.
const MAX_CLOSURE: Duration = Duration::from_secs(10);

/// What a server does with ordinary requests.
fn serve() -> Action {
    Action::PacedStream { last_event: 4, interval: Duration::from_millis(10) }
}

/// A rejection with status 421.
fn misdirected(headers: &str) -> Action {
    Action::Reject { status: 421, headers: headers.into() }
}

/// Starts model servers that reject odd requests with status 421 and these headers.
async fn start_choosy_servers(number: usize, headers: &str) -> Vec<Server> {
    let mut servers = Vec::new();
    for n in 0..number {
        let headers = headers.replace("{n}", &n.to_string());
        let script = move |request: &ReceivedRequest| match request.header("x-odd") {
            "" => serve(),
            _ => misdirected(&headers),
        };
        servers.push(Server::start(&format!("i-{n}"), script).await);
    }
    servers
}

/// Starts an entry before model servers.
async fn start_site(servers: &[Server]) -> Site {
    let listed: Vec<_> = servers.iter().map(|server| (server, "llm", "v1")).collect();
    Site::start(&listed).await
}

/// A server that behaves as another one, with this answer, while the switch is on.
async fn start_replaceable_server(id: &str, other: Action) -> (Server, Arc<AtomicBool>) {
    let is_replaced = Arc::new(AtomicBool::new(true));
    let switch = is_replaced.clone();
    let script = move |_: &ReceivedRequest| match switch.load(Ordering::SeqCst) {
        true => other.clone(),
        false => serve(),
    };
    (Server::start(id, script).await, is_replaced)
}

/// A field of each server in an entry's state dump.
fn dumped(site: &Site, field: &str) -> Vec<Value> {
    let dump = site.entry.router.dump();
    let servers = dump["servers"].as_array().unwrap();
    servers.iter().map(|server| server[field].clone()).collect()
}

/// Guards against one caller's odd requests that end a service for all: each 421 closed its server for good (review/8).
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_all_servers_reject_as_misdirected_close_no_server() {
    for headers in REJECTIONS {
        for path in ["/plain/a", "/chat/a"] {
            let servers = start_choosy_servers(ODD_REQUESTS, headers).await;
            let site = start_site(&servers).await;
            for _ in 0..ODD_REQUESTS {
                let odd = site.request("POST", path, ODD).await;

                assert!([421, 503].contains(&odd.status), "{path} {headers}: {}", odd.status);
            }

            for _ in 0..ODD_REQUESTS {
                let answer = site.request("POST", path, "").await;

                assert_eq!((answer.status, answer.is_whole), (200, true), "{path} {headers}");
            }
        }
    }
}

/// Guards against a rejected request that is sent from server to server at the cost of the others' retries.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_two_servers_reject_themselves_is_sent_to_no_third() {
    let servers = start_choosy_servers(ODD_REQUESTS, "X-Instance-Id: i-{n}\r\n").await;
    let site = start_site(&servers).await;

    let odd = site.request("POST", "/plain/a", ODD).await;

    let arrivals: usize = servers.iter().map(|server| server.requests().len()).sum();
    assert_eq!((odd.status, odd.is_whole, arrivals), (421, true, 2));
    assert!(!odd.head.contains("retry-after"), "{}", odd.head);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_the_only_server_rejects_itself_is_sent_to_it_once() {
    let servers = start_choosy_servers(1, "X-Instance-Id: i-{n}\r\n").await;
    let site = start_site(&servers).await;

    let odd = site.request("POST", "/plain/a", ODD).await;

    assert_eq!((odd.status, servers[0].requests().len()), (421, 1));
}

/// Guards against a rejection that is taken for another server's although the server has signed a response on the same
/// connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_rejection_on_a_connection_with_signed_responses_is_of_the_server_itself() {
    let servers = start_choosy_servers(1, "").await;
    let site = start_site(&servers).await;
    for _ in 0..ODD_REQUESTS {
        let answer = site.request("POST", "/plain/a", "").await;
        assert_eq!(answer.status, 200);

        let odd = site.request("POST", "/plain/a", ODD).await;

        assert_eq!(odd.status, 421);
        assert_eq!(dumped(&site, "unidentified"), [false]);
        assert_eq!(dumped(&site, "idle_connections"), [1], "the connection is not kept");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_one_server_rejects_is_served_by_another() {
    let rejecting = start_server("i-0", misdirected("X-Instance-Id: i-0\r\n")).await;
    let other = start_server("i-1", serve()).await;
    let site = start_site(&[rejecting.clone(), other]).await;
    for _ in 0..10 * ODD_REQUESTS {
        let answer = site.request("POST", "/plain/a", "").await;

        assert_eq!((answer.status, answer.is_whole), (200, true));
    }
    assert!(rejecting.requests().len() >= ODD_REQUESTS, "the server is not used any more");
}

/// Guards against requests that go from server to server though none can take them.
#[tokio::test(flavor = "multi_thread")]
async fn a_model_that_the_cascade_does_not_have_is_rejected_at_once() {
    let servers = start_choosy_servers(1, "").await;
    let site = start_site(&servers).await;
    for model in ["huge", "", "**", "\u{ff}"] {
        let answer = site.request("POST", "/chat/a", &format!("X-Model: {model}\r\n")).await;

        assert_eq!((answer.status, answer.is_whole), (421, true), "{model:?}");
    }
    assert!(servers[0].requests().is_empty());
    for headers in ["X-Model: *\r\n", "X-Model: small\r\n", "X-Model: large\r\n", ""] {
        let answer = site.request("POST", "/chat/a", headers).await;

        assert_eq!(answer.status, 200, "{headers:?}");
    }
    let answer = site.request("POST", "/plain/a", "X-Model: huge\r\n").await;
    assert_eq!(answer.status, 200, "a route without a cascade takes any model");
}

/// Guards against 421 to a caller who left the choice of the model to the entry: it asks again elsewhere at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_cascade_that_no_server_has_is_refused_with_a_time_to_return() {
    let server = start_server("i-0", misdirected("X-Instance-Id: i-0\r\n")).await;
    let store = Store::start().await;
    let mut config = configuration(1);
    config["routes"][2]["sizes"] = json!(["unloaded"]);
    store.put("op", "config", &config);
    store.put("servers", "i-0", &server_row(server.address, "llm", "v1", "ready"));
    let site = Site::start_with_store(store).await;
    site.wait_for_servers(1).await;

    let answer = site.request("POST", "/chat/a", "X-Model: *\r\n").await;

    assert_eq!(answer.status, 503);
    assert!(answer.head.contains("retry-after"), "{}", answer.head);
}

/// Guards against odd requests at one of two entries that cost ordinary ones at either anything.
#[tokio::test(flavor = "multi_thread")]
async fn odd_requests_beside_load_cost_the_others_nothing() {
    for headers in REJECTIONS {
        let servers = start_choosy_servers(ODD_REQUESTS, headers).await;
        let pool = start_pool(&servers.iter().collect::<Vec<_>>()).await;
        let sites = pool.start_entries(2).await;
        let mut odd = JoinSet::new();
        for _ in 0..2 {
            let site = sites[0].clone();
            odd.spawn(async move {
                loop {
                    site.request("POST", "/plain/a", ODD).await;
                    sleep(Duration::from_millis(20)).await;
                }
            });
        }

        let (sent, served) = run_load(&sites, Duration::from_secs(3)).await;

        assert_eq!(served, sent, "{headers}");
        assert_eq!(dumped(&sites[1], "unidentified"), [false; ODD_REQUESTS], "{headers}");
        for site in &sites {
            assert_eq!(dumped(site, "replaced_ms"), vec![Value::Null; ODD_REQUESTS]);
        }
    }
}

/// Guards against a server that is given up for good, or that keeps rejecting requests, while another has its address.
#[tokio::test(flavor = "multi_thread")]
async fn a_replaced_server_is_left_alone_and_used_again_when_it_is_back() {
    let (server, is_replaced) = start_replaceable_server("i-0", Action::Misrouted).await;
    let other = start_server("i-1", serve()).await;
    let pool = start_pool(&[&server, &other]).await;
    let sites = pool.start_isolated_entries(1).await;
    let (sent, served) = run_load(&sites, Duration::from_secs(4)).await;
    assert_eq!(served, sent);
    let rejected = server.requests().len();
    // One at first, beside a few that were on their way.
    assert!((1..=4).contains(&rejected), "{rejected} of {sent} requests were rejected");

    is_replaced.store(false, Ordering::SeqCst);
    let back_at = Instant::now();
    let (sent, served) = run_load(&sites, MAX_CLOSURE).await;

    assert_eq!(served, sent);
    let first = arrival_times(&server, back_at).first().copied().expect("it is not used again");
    println!("used again after {:?}", first - back_at);
    assert!(arrival_times(&server, back_at).len() > 10, "it gets too few requests");
}

/// Guards against 421 to proper callers, which tells them nothing about the time to return.
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_are_all_replaced_at_once_are_used_again_when_they_are_back() {
    for other in [Action::Misrouted, misdirected(""), misdirected("X-Not-Executed: 1\r\n")] {
        let (first, is_first_replaced) = start_replaceable_server("i-0", other.clone()).await;
        let (second, is_second_replaced) = start_replaceable_server("i-1", other.clone()).await;
        let pool = start_pool(&[&first, &second]).await;
        let sites = pool.start_isolated_entries(1).await;

        for (answer, _) in responses_under_load(&sites, Duration::from_secs(1)).await {
            assert_eq!(answer.status, 503, "{other:?}: {answer:?}");
            assert!(answer.head.contains("retry-after"), "{other:?}: {answer:?}");
        }
        is_first_replaced.store(false, Ordering::SeqCst);
        is_second_replaced.store(false, Ordering::SeqCst);
        let served = timeout(MAX_CLOSURE, wait_until_served(&sites[0])).await;

        assert!(served.is_ok(), "{other:?}: nothing is served");
        let (sent, served) = run_load(&sites, Duration::from_secs(1)).await;
        assert_eq!(served, sent, "{other:?}");
    }
}

/// Sends requests until one is served.
async fn wait_until_served(site: &Site) {
    while site.request("POST", "/plain/a", "").await.status != 200 {
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against rejections, which may be of another server, that count as health, load or limit of a server.
#[tokio::test(flavor = "multi_thread")]
async fn a_rejection_says_nothing_else_about_the_server() {
    let headers =
        "X-Instance-Load: 8,90,8\r\nRetry-After: 60\r\nServer-Leaving: 1\r\nServer-Limit: 1\r\n";
    let servers = start_choosy_servers(1, headers).await;
    let site = start_site(&servers).await;
    for _ in 0..ODD_REQUESTS {
        site.request("POST", "/plain/a", ODD).await;
    }

    wait_until("no request is in flight", || dumped(&site, "load") == [0.0]).await;
    assert_eq!(dumped(&site, "paused_ms"), [0]);
    assert_eq!(dumped(&site, "draining_ms"), [Value::Null]);
    assert_eq!(dumped(&site, "failure_rate"), [0.0]);
    assert_eq!(site.request("POST", "/plain/a", "").await.status, 200);
}

/// Guards against a failing server that looks healthy because of requests that it doesn't run.
#[tokio::test(flavor = "multi_thread")]
async fn rejected_requests_between_failed_ones_do_not_make_a_server_healthy() {
    for status in [400, 429] {
        let script = move |request: &ReceivedRequest| match request.header("x-odd") {
            "" => Action::Respond { status: 500, body: "failed" },
            _ => Action::Reject { status, headers: "X-Not-Executed: 1\r\n".into() },
        };
        let server = Server::start("i-0", script).await;
        let site = start_site(std::slice::from_ref(&server)).await;

        for headers in ["", ODD, "", ODD] {
            site.request("POST", "/plain/a", headers).await;
        }

        assert_eq!(dumped(&site, "out"), [true], "{status}");
    }
}
