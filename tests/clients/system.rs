//! One entry as a process, with its store and two servers in the test process, and ordinary callers.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{Mutex, MutexGuard},
    time::{sleep, timeout},
};

use crate::{
    crowd::{Behaviour, Crowd},
    process::{Limits, Log, Process},
    server::{Action, ReceivedRequest, Server},
    site::{events, list_server, request_bytes, request_bytes_with_id, store_with_servers},
    store::Store,
};

/// Size of a large response: below the largest that is served, 4 MB.
pub const LARGE_BODY: usize = 3 << 20;
/// Size of an ordinary request's body, below the largest that the configuration allows, 64 KB.
const ORDINARY_BODY: usize = 30 << 10;
/// Requests that a server runs at a time, as its row in the store says.
const SLOTS: usize = 8;
/// Events of an ordinary stream.
const ORDINARY_EVENTS: u64 = 3;
/// Stops a test that hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(90);
/// Pause of an ordinary caller before it asks again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Longest wait of an ordinary caller for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// Rounds of ordinary requests beside a crowd.
const ROUNDS: usize = 3;

/// Limits of a small machine.
pub const SMALL_MACHINE: Limits = Limits { memory_mb: 48, max_fds: 4_200, grace_s: 4 };

/// Only one test runs at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// A running system.
pub struct System {
    pub process: Process,
    _servers: [Server; 2],
    _store: Store,
    _turn: MutexGuard<'static, ()>,
}

/// Plays a crowd on the address of callers, and checks what must hold beside it and after it.
pub async fn play_crowd(limits: Limits, size: usize, behaviour: Behaviour) {
    let mut system = System::start(limits).await;

    let crowd = Crowd::start(system.caller(), size, &behaviour);
    crowd.settle(size).await;
    system.assert_ordinary_callers_are_served().await;
    system.process.assert_within_limits();
    drop(crowd);

    system.assert_largest_request_is_served().await;
    system.process.assert_within_limits();
}

impl System {
    /// Starts a system and waits until it serves.
    pub async fn start(limits: Limits) -> Self {
        Self::start_with_log(limits, Log::File).await
    }

    /// Like [`System::start`], with a log that goes there.
    pub async fn start_with_log(limits: Limits, log: Log) -> Self {
        let turn = ONE_AT_A_TIME.lock().await;
        let app = Server::start("i-app", respond).await;
        let llm = Server::start("i-llm", respond).await;
        for server in [&app, &llm] {
            server.limit_slots(SLOTS);
        }
        let store = store_with_servers(&[(&app, "app", "v1")]).await;
        list_server(&store, &llm, "llm", "v1", "ready");
        let process = Process::start(store.address, limits, log);
        let system = Self { process, _servers: [app, llm], _store: store, _turn: turn };
        system.assert_ordinary_callers_are_served().await;
        system
    }

    pub fn caller(&self) -> SocketAddr {
        self.process.caller
    }

    /// Asserts that each kind of ordinary request is answered in full, several times. A caller that is refused or cut
    /// off asks again.
    pub async fn assert_ordinary_callers_are_served(&self) {
        for _ in 0..ROUNDS {
            let body = "x".repeat(ORDINARY_BODY);
            self.assert_served("GET", &request_bytes("GET", "/safe/a", "", ""), "good").await;
            self.assert_served("POST", &request_bytes("POST", "/once/a", "", &body), "good").await;
            let stream = request_bytes("POST", "/chat/a", "X-Model: small\r\n", "");
            let last = format!("data: e{ORDINARY_EVENTS}\n\n\r\n0\r\n\r\n");
            self.assert_served("stream", &stream, &last).await;
        }
    }

    /// Asserts that the largest body and the largest response that the limits allow are served.
    pub async fn assert_largest_request_is_served(&self) {
        let body = "x".repeat(64 << 10);
        let request = request_bytes_with_id("largest", "POST", "/safe/a", "", &body);
        let answer = self.assert_served("largest", &request, "x").await;
        assert!(answer.len() > 4_000_000, "an answer of {} bytes", answer.len());
    }

    async fn assert_served(&self, what: &str, request: &str, end: &str) -> String {
        let caller = self.caller();
        let work = async {
            loop {
                let answer =
                    timeout(ANSWER_TIMEOUT, ask(caller, request)).await.unwrap_or_default();
                if answer.starts_with("HTTP/1.1 200") && answer.ends_with(end) {
                    return answer;
                }
                sleep(RETRY_PAUSE).await;
            }
        };
        let served = timeout(HANG_TIMEOUT, work).await;
        served.unwrap_or_else(|_| panic!("an ordinary {what} request is not served"))
    }
}

/// Sends a request on a connection of its own and reads until it ends.
async fn ask(caller: SocketAddr, request: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(caller).await else {
        return String::new();
    };
    if stream.write_all(request.as_bytes()).await.is_err() {
        return String::new();
    }
    let mut raw = Vec::new();
    // What arrived before a reset is no whole answer.
    let _ = stream.read_to_end(&mut raw).await;
    String::from_utf8_lossy(&raw).into_owned()
}

/// What a server does, by the id of the request.
fn respond(request: &ReceivedRequest) -> Action {
    let is_stream =
        request.request_line.contains("/chat/") || request.request_line.contains("/plain/");
    let id = request.header("x-request-id");
    match id.split('#').next().unwrap_or(id) {
        "whole" => large_response("HTTP/1.1 200 X", LARGE_BODY),
        "failure" => large_response("HTTP/1.1 500 X", LARGE_BODY),
        "largest" => large_response("HTTP/1.1 200 X", 4_000_000),
        "huge-events" => Action::LargeStream { last_event: 3, event_bytes: 900 << 10 },
        "large-events" => Action::LargeStream { last_event: 60, event_bytes: 50 << 10 },
        "endless" => Action::LargeStream { last_event: u64::MAX, event_bytes: 200 },
        _ if is_stream => Action::Raw {
            status_line: "HTTP/1.1 200 X",
            headers: "Content-Type: text/event-stream\r\nX-Confidence: 90\r\nTransfer-Encoding: chunked\r\n".into(),
            body: chunked_events(),
            keeps_connection: true,
        },
        _ => Action::Respond { status: 200, body: "good" },
    }
}

fn large_response(status_line: &'static str, bytes: usize) -> Action {
    let headers = format!("Content-Length: {bytes}\r\n");
    Action::Raw { status_line, headers, body: "x".repeat(bytes), keeps_connection: true }
}

fn chunked_events() -> String {
    let text = events(ORDINARY_EVENTS);
    format!("{:x}\r\n{text}\r\n0\r\n\r\n", text.len())
}
