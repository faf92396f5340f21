//! Servers, a store and another entry that send bytes without an end: the process lives within its memory, and answers
//! requests to sound servers beside them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::future::join_all;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    harness::{CALLER_PORT, Host, Process, WAIT_TIMEOUT, ask},
    server::{Action, ReceivedRequest, Server},
    site::{configuration, list_server, request_bytes_with_id},
    store::Store,
};

/// Memory of a small machine, in MB.
const MEMORY_MB: u64 = 48;
/// Requests to a faulty server at a time, on all routes together.
const REQUESTS: usize = 64;
/// Deadline of a request to a faulty server, in ms.
const DEADLINE_MS: u64 = 700;
/// Time for which a faulty store or entry is met.
const STAY: Duration = Duration::from_secs(4);
/// Pause before a caller asks again.
const RETURN_PAUSE: Duration = Duration::from_millis(100);
/// Bytes of one write of what has no end.
const WRITE: usize = 64 << 10;

/// Heads and units of responses without an end, as [`Action::Endless`] sends them.
const RESPONSES: [(&str, &str); 21] = [
    // A status line, a header, many headers, and interim responses.
    ("", "a"),
    ("HTTP/1.1 2", "0"),
    ("HTTP/1.1 200 ", "x"),
    ("HTTP/1.1 200 X\r\nA: ", "b"),
    ("HTTP/1.1 200 X\r\n", "A: b\r\n"),
    ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    ("", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
    // Chunk sizes, extensions, chunks and trailers.
    ("HTTP/1.1 200 X\r\n{signed}Transfer-Encoding: chunked\r\n\r\n", "0"),
    ("HTTP/1.1 200 X\r\n{signed}Transfer-Encoding: chunked\r\n\r\n40;x=", "y"),
    ("HTTP/1.1 200 X\r\n{signed}Transfer-Encoding: chunked\r\n\r\n", "1;x=yyyyyyyy\r\na\r\n"),
    ("HTTP/1.1 200 X\r\n{signed}Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"),
    ("HTTP/1.1 200 X\r\n{signed}Transfer-Encoding: chunked\r\n\r\n0\r\nT: ", "x"),
    ("HTTP/1.1 200 X\r\n{signed}Transfer-Encoding: chunked\r\n\r\n0\r\n", "T: x\r\n"),
    // Bodies of successes and failures, and one event.
    ("HTTP/1.1 200 X\r\n{signed}Content-Length: 1000000000000\r\n\r\n", "z"),
    ("HTTP/1.1 200 X\r\n{signed}\r\n", "z"),
    ("HTTP/1.1 500 X\r\n{signed}Content-Length: 1000000000000\r\n\r\n", "z"),
    ("HTTP/1.1 500 X\r\n{signed}\r\n", "z"),
    (
        "HTTP/1.1 200 X\r\n{signed}Content-Type: text/event-stream\r\nX-Confidence: 90\r\n\r\nid: 1\ndata: ",
        "z",
    ),
    (
        "HTTP/1.1 200 X\r\n{signed}Content-Type: text/event-stream\r\nX-Confidence: 90\r\n\r\n",
        "id: 1\n",
    ),
    (
        "HTTP/1.1 200 X\r\n{signed}Content-Type: text/event-stream\r\nX-Confidence: 90\r\n\r\n",
        ": c\n\n",
    ),
    // What follows a complete response.
    ("HTTP/1.1 200 X\r\n{signed}Content-Length: 4\r\n\r\nbody", "z"),
];

/// [`configuration`] with the same routes again, below `/bad`, to services of their own.
fn configuration_with_bad_services() -> Value {
    let mut config = configuration(1);
    for (list, keys) in [("routes", ["name", "service"].as_slice()), ("services", &["name"])] {
        let mut copies = config[list].as_array().unwrap().clone();
        for copy in &mut copies {
            for key in keys {
                copy[key] = json!(format!("bad-{}", copy[key].as_str().unwrap()));
            }
            if let Some(prefix) = copy["prefix"].as_str() {
                copy["prefix"] = json!(format!("/bad{prefix}"));
            }
        }
        config[list].as_array_mut().unwrap().extend(copies);
    }
    config
}

/// A store with a sound server for each service, and these that are faulty.
struct Platform {
    store: Store,
    _sound: [Server; 2],
}

impl Platform {
    async fn start(faulty: &[(&Server, &str)]) -> Self {
        let store = Store::start().await;
        store.put("op", "config", &configuration_with_bad_services());
        let app = Server::start("i-app", |_: &ReceivedRequest| Action::Respond {
            status: 200,
            body: "good",
        })
        .await;
        let llm = Server::start("i-llm", |_: &ReceivedRequest| Action::Stream {
            last_event: 3,
            is_complete: true,
            confidence: 90,
        })
        .await;
        list_server(&store, &app, "app", "v1", "ready");
        list_server(&store, &llm, "llm", "v1", "ready");
        for (server, service) in faulty {
            list_server(&store, server, service, "v1", "ready");
        }
        Self { store, _sound: [app, llm] }
    }
}

/// Starts a process of a small machine that uses this store, and waits until it serves.
async fn start(store: SocketAddr, seeds: &[SocketAddr]) -> (Host, Process) {
    let host = Host::new(store);
    let seeds: String = seeds.iter().map(|seed| format!("  - \"{seed}\"\n")).collect();
    let settings = host.settings(store);
    let settings = settings.replace("memory-mb: 110", &format!("memory-mb: {MEMORY_MB}"));
    host.write_settings(&settings.replace("limits:\n", &format!("{seeds}limits:\n")));
    let process = host.spawn();
    host.wait_until_ready().await;
    assert_sound_servers_answer(&host).await;
    (host, process)
}

/// Asserts that a request of each kind to sound servers is answered. A caller that is cut off asks again.
async fn assert_sound_servers_answer(host: &Host) {
    for (method, path, end) in
        [("GET", "/safe/a", "good"), ("POST", "/once/a", "good"), ("POST", "/chat/a", "0\r\n\r\n")]
    {
        let request = request_bytes_with_id(path, method, path, "X-Model: small\r\n", "");
        host.wait_until(&format!("answered: {path}"), async || {
            let answer = ask(host.address(CALLER_PORT), &request).await;
            answer.starts_with("HTTP/1.1 200") && answer.ends_with(end)
        })
        .await;
    }
}

fn assert_lives_within(process: &mut Process, host: &Host, what: &str) {
    process.assert_lives(host);
    let peak = process.peak_memory() >> 10;
    println!("peak memory {peak} KB of {} after {what}", MEMORY_MB << 10);
    assert!(peak <= MEMORY_MB << 10, "{peak} KB of memory at {MEMORY_MB} MB after {what}");
}

/// Sends requests on all routes to faulty servers, all at a time, and sound ones beside them.
async fn meet_faulty_servers(host: &Host) {
    let routes = ["/bad/safe/", "/bad/once/", "/bad/chat/", "/bad/plain/"];
    let requests = (0..REQUESTS).map(async |number| {
        let path = format!("{}{number}", routes[number % routes.len()]);
        let request = request_bytes_with_id(&path, "POST", &path, "X-Model: small\r\n", "");
        let deadline = format!("X-Deadline-Ms: {DEADLINE_MS}");
        ask(host.address(CALLER_PORT), &request.replace("X-Deadline-Ms: 5000", &deadline)).await
    });
    tokio::join!(join_all(requests), assert_sound_servers_answer(host));
}

#[tokio::test(flavor = "multi_thread")]
async fn servers_that_send_without_an_end_leave_memory_for_others() {
    for (head, unit) in RESPONSES {
        let act = move |_: &ReceivedRequest| Action::Endless { head, unit };
        let (app, llm) = (Server::start("b-app", act).await, Server::start("b-llm", act).await);
        let platform = Platform::start(&[(&app, "bad-app"), (&llm, "bad-llm")]).await;
        let (host, mut process) = start(platform.store.address, &[]).await;

        meet_faulty_servers(&host).await;

        assert!(app.requests().len() + llm.requests().len() > REQUESTS / 4, "{head}{unit}");
        assert_lives_within(&mut process, &host, &format!("{head:?} {unit:?}"));
    }
}

/// Sends a head and then a unit again and again until the connection ends.
async fn send_endless(mut stream: TcpStream, head: &str, unit: &str) {
    let mut request = [0; 4 << 10];
    let _ = stream.read(&mut request).await;
    let units = unit.repeat(WRITE / unit.len());
    let mut sent = stream.write_all(head.as_bytes()).await;
    while sent.is_ok() {
        sent = stream.write_all(units.as_bytes()).await;
    }
}

/// What a store sends to each request.
type EndlessReply = Option<(&'static str, &'static str)>;

/// Starts a front of a store, which passes everything on as long as it has no endless reply of its own.
async fn start_front(store: SocketAddr) -> (SocketAddr, watch::Sender<EndlessReply>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, replies) = watch::channel::<EndlessReply>(None);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut replies = replies.clone();
            tokio::spawn(async move {
                let reply = *replies.borrow_and_update();
                let serve = async {
                    match reply {
                        Some((head, unit)) => send_endless(stream, head, unit).await,
                        None => {
                            let mut other = TcpStream::connect(store).await.unwrap();
                            let _ = copy_bidirectional(&mut stream, &mut other).await;
                        }
                    }
                };
                tokio::select! {
                    () = serve => {}
                    _ = replies.changed() => {}
                }
            });
        }
    });
    (address, sender)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_sends_without_an_end_leaves_memory_for_others() {
    let replies = [
        ("", "a"),
        ("HTTP/1.1 200 X\r\nA: ", "b"),
        ("HTTP/1.1 200 X\r\n", "A: b\r\n"),
        ("HTTP/1.1 200 X\r\n\r\n", "z"),
        ("HTTP/1.1 200 X\r\nContent-Length: 1000000000000\r\n\r\n{\"rows\":[", "[],"),
        ("HTTP/1.1 500 X\r\n\r\n", "z"),
        ("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\n[\r\n"),
    ];
    let platform = Platform::start(&[]).await;
    let (front, reply) = start_front(platform.store.address).await;
    let (host, mut process) = start(front, &[]).await;
    for (head, unit) in replies {
        reply.send_replace(Some((head, unit)));
        sleep(STAY).await;

        assert_sound_servers_answer(&host).await;
        assert_lives_within(&mut process, &host, &format!("{head:?} {unit:?}"));
    }
    reply.send_replace(None);
    sleep(RETURN_PAUSE).await;
    assert_sound_servers_answer(&host).await;
}

/// How another entry sends without an end.
#[derive(Clone, Copy, Debug)]
enum Entry {
    /// Bytes in place of a handshake.
    NoHandshake,
    /// One message, after a handshake.
    OneMessage,
    /// Many small messages, after a handshake.
    Messages,
}

/// Starts another entry that sends without an end.
async fn start_entry(entry: Entry) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                if let Entry::NoHandshake = entry {
                    return send_endless(stream, "HTTP/1.1 101 X\r\nA: ", "b").await;
                }
                let Ok(mut socket) = tokio_tungstenite::accept_async(stream).await else { return };
                // A binary message of 2^40 bytes, or messages of 125 bytes.
                let (head, unit) = match entry {
                    Entry::OneMessage => (vec![0x82, 127, 0, 0, 1, 0, 0, 0, 0, 0], vec![0; WRITE]),
                    _ => (
                        Vec::new(),
                        [[0x82, 125].as_slice(), &[0; 125]].concat().repeat(WRITE / 127),
                    ),
                };
                let stream = socket.get_mut();
                let mut sent = stream.write_all(&head).await;
                while sent.is_ok() {
                    sent = stream.write_all(&unit).await;
                }
            });
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn other_entries_that_send_without_an_end_leave_memory_for_others() {
    for entry in [Entry::NoHandshake, Entry::OneMessage, Entry::Messages] {
        let platform = Platform::start(&[]).await;
        let entries = join_all([entry; 4].map(start_entry)).await;
        let (host, mut process) = start(platform.store.address, &entries).await;
        sleep(STAY).await;

        assert_sound_servers_answer(&host).await;
        assert_lives_within(&mut process, &host, &format!("{entry:?}"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_the_address_for_entries_that_send_without_an_end_leave_memory_for_others() {
    let platform = Platform::start(&[]).await;
    let handshake = "GET / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    let (host, mut process) = start(platform.store.address, &[]).await;
    for head in ["", "GET / HTTP/1.1\r\nA: ", handshake] {
        let peer = host.address(crate::harness::PEER_PORT);
        let senders = (0..REQUESTS).map(async |_| {
            if let Ok(stream) = timeout(WAIT_TIMEOUT, TcpStream::connect(peer)).await.unwrap() {
                send_unasked(stream, head).await;
            }
        });
        let senders = timeout(STAY, join_all(senders));
        let (_, ()) = tokio::join!(senders, assert_sound_servers_answer(&host));

        assert_lives_within(&mut process, &host, &format!("{head:?}"));
    }
}

/// Like [`send_endless`], without waiting for a request.
async fn send_unasked(mut stream: TcpStream, head: &str) {
    let units: Arc<str> = "a".repeat(WRITE).into();
    let mut sent = stream.write_all(head.as_bytes()).await;
    while sent.is_ok() {
        sent = stream.write_all(units.as_bytes()).await;
    }
}
