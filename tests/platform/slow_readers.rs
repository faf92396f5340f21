//! Callers that read their responses slowly or stop, and callers that send their requests slowly: they must not hold up
//! servers or other callers, nor use up the memory of an entry.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::sleep,
};

use crate::{
    server::Action,
    site::{Site, request_bytes, request_bytes_with_id, start_server, wait_until},
};

/// Receive buffer of a caller that reads slowly, in bytes, so that little of a response is on its way.
const SMALL_BUFFER: u32 = 4 << 10;
/// More than the sockets between a server and a caller that does not read take in, and less than an entry holds for one
/// response.
const LARGE: Action = Action::LargeStream { last_event: 50, event_bytes: 4 << 10 };
const ENDLESS: Action = Action::LargeStream { last_event: u64::MAX, event_bytes: 4 << 10 };

/// Sends a request on a connection from which nothing is read.
async fn send_unread(caller: SocketAddr, request: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SMALL_BUFFER).unwrap();
    let mut stream = socket.connect(caller).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

fn chat_request(id: usize) -> String {
    request_bytes_with_id(&format!("slow-{id}"), "POST", "/chat/a", "X-Model: small\r\n", "")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_finishes_while_its_caller_reads_slowly() {
    let server = start_server("i-1", LARGE).await;
    let site = Site::start(&[(&server, "llm", "v1")]).await;

    let mut caller = send_unread(site.caller, &chat_request(0)).await;
    wait_until("the server has the request", || server.requests().len() == 1).await;
    wait_until("the server has finished", || server.active_requests() == 0).await;

    let mut response = Vec::new();
    caller.read_to_end(&mut response).await.unwrap();
    assert!(response.ends_with(b"0\r\n\r\n"), "the response is not complete");
    assert!(response.len() > 50 * (4 << 10));
    assert_eq!(server.requests().len(), 1, "the stream was resumed");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_stops_reading_is_cut_off_and_its_server_stops() {
    let server = start_server("i-1", ENDLESS).await;
    let site = Site::start(&[(&server, "llm", "v1")]).await;

    let _caller = send_unread(site.caller, &chat_request(0)).await;
    wait_until("the server has the request", || server.requests().len() == 1).await;

    wait_until("the server has stopped", || server.active_requests() == 0).await;
    wait_until("the request has ended", || site.entry.router.in_flight() == 0).await;
    assert_eq!(server.requests().len(), 1, "the stream was resumed");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_memory_for_many_stopped_readers_is_bounded_and_others_are_served() {
    let endless = start_server("i-1", ENDLESS).await;
    let site = Site::start_with_memory(&[(&endless, "llm", "v1")], 4 << 20).await;
    let app = start_server("i-2", Action::Respond { status: 200, body: "good" }).await;
    crate::site::list_server(&site.store, &app, "app", "v1", "ready");
    site.wait_for_servers(2).await;

    let mut callers = Vec::new();
    for id in 0..40 {
        callers.push(send_unread(site.caller, &chat_request(id)).await);
    }
    wait_until("all requests are at work", || site.entry.router.in_flight() == 40).await;

    for _ in 0..20 {
        assert!(site.entry.router.held_bytes() <= 1 << 20, "more than a quarter of the memory");
        assert_eq!(site.request("GET", "/safe/a", "").await.status, 200);
        sleep(Duration::from_millis(20)).await;
    }
    drop(callers);
    wait_until("everything is given back", || site.entry.router.held_bytes() == 0).await;
}

/// Bodies that arrive slowly count as soon as part of them is there.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_does_not_fit_is_refused_at_once() {
    let server = start_server("i-1", Action::Respond { status: 200, body: "good" }).await;
    let site = Site::start_with_memory(&[(&server, "app", "v1")], 256 << 10).await;
    let body = "x".repeat(40 << 10);
    let whole = request_bytes("POST", "/once/a", "", &body);
    let mut callers = Vec::new();
    for _ in 0..2 {
        let mut caller = TcpStream::connect(site.caller).await.unwrap();
        // All of the body but its last byte.
        caller.write_all(&whole.as_bytes()[..whole.len() - 1]).await.unwrap();
        callers.push(caller);
        // One after the other: two at once may each hold half of the memory, and both are refused.
        wait_until("most of a body has arrived", || site.entry.router.held_bytes() > 30 << 10)
            .await;
    }

    let refused = site.send(&whole).await;
    drop(callers);
    wait_until("everything is given back", || site.entry.router.held_bytes() == 0).await;
    let served = site.send(&whole).await;

    assert_eq!(refused.status, 503);
    assert!(refused.head.contains("retry-after"), "{}", refused.head);
    assert_eq!(served.status, 200);
}
