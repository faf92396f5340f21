//! An entry with servers that is asked to stop, and what its callers get meanwhile.

use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep_until, timeout},
};

use crate::{
    harness::{CALLER_PORT, Host, METRICS_PORT, Process, WAIT_TIMEOUT},
    server::Server,
    site::{Answer, configuration, list_server, request_bytes},
    store::Store,
};

/// Grace of [`Host::settings`].
pub const GRACE: Duration = Duration::from_secs(4);
/// Timeout of routes and callers that outlasts every grace of the tests, in milliseconds.
pub const LONG_MS: u64 = 20_000;

/// The interim response to `Expect: 100-continue`.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// An entry as a process, its servers, and the SIGTERM that it gets.
pub struct StoppingEntry {
    pub host: Host,
    process: Process,
    servers: Vec<Server>,
    _store: Store,
    grace: Duration,
    stop_at: Instant,
}

impl StoppingEntry {
    /// Starts an entry with this grace and this timeout of all routes, and waits until it knows the servers, each with
    /// its service.
    pub async fn start(servers: &[(&Server, &str)], grace: Duration, timeout_ms: u64) -> Self {
        let store = Store::start().await;
        let mut config = configuration(1);
        for route in config["routes"].as_array_mut().unwrap() {
            route["timeout-ms"] = json!(timeout_ms);
            route["target-latency-ms"] = json!(timeout_ms);
        }
        store.put("op", "config", &config);
        for (server, service) in servers {
            list_server(&store, server, service, "v1", "ready");
        }
        let host = Host::new(store.address);
        let grace_line = format!("grace-s: {}", grace.as_secs());
        host.write_settings(&host.settings(store.address).replace("grace-s: 4", &grace_line));
        let process = host.spawn();
        host.wait_until_ready().await;
        let listed: Vec<Server> = servers.iter().map(|(server, _)| (*server).clone()).collect();
        let stop_at = Instant::now();
        let entry = Self { host, process, servers: listed, _store: store, grace, stop_at };
        entry.wait_for_servers().await;
        entry
    }

    async fn wait_for_servers(&self) {
        let knows_all = async || {
            let state = self.host.get(METRICS_PORT, "/debug/state").await;
            self.servers.iter().all(|server| state.contains(&format!("\"{}\"", server.id)))
        };
        self.host.wait_until("aware of its servers", knows_all).await;
    }

    /// Sends SIGTERM.
    pub fn begin_stop(&mut self) {
        self.stop_at = Instant::now();
        self.process.signal(Signal::TERM);
    }

    /// Waits until this percentage of the grace is over.
    pub async fn wait_for_percent(&self, percent: u32) {
        sleep_until(self.stop_at + self.grace * percent / 100).await;
    }

    /// Waits until the process has ended, and asserts that it did so by itself within its grace, with nothing cut.
    pub async fn assert_ends_in_order(&mut self) {
        let status = self.process.wait().await;
        let took = self.stop_at.elapsed();
        assert!(status.success(), "{status}\n{}", self.host.log());
        assert!(took <= self.grace, "{took:?}\n{}", self.host.log());
    }

    /// Number of requests with this path that servers received.
    pub fn received(&self, path: &str) -> usize {
        let requests = self.servers.iter().flat_map(Server::requests);
        requests.filter(|request| request.request_line.contains(&format!("{path} "))).count()
    }

    /// Waits until a server has received a request with this path.
    pub async fn wait_until_received(&self, path: &str) {
        self.host.wait_until("sent on", async || self.received(path) > 0).await;
    }

    /// Opens a connection; none if it is refused.
    pub async fn connect(&self) -> Option<Caller> {
        let stream = TcpStream::connect(self.host.address(CALLER_PORT)).await.ok()?;
        Some(Caller { stream })
    }

    /// Sends bytes on a connection of their own.
    pub async fn send(&self, bytes: &str) -> Caller {
        let mut caller = self.connect().await.expect("the entry listens");
        caller.write(bytes).await;
        caller
    }

    /// Sends a request without a body on a connection of its own.
    pub async fn request(&self, path: &str) -> Caller {
        self.send(&request(path, "", "")).await
    }

    /// Asserts that a request that the process has read was answered, and that the answer is true.
    pub fn assert_answered(&self, path: &str, answer: &Answer) {
        let seen = format!("{path}: {} whole={}", answer.status, answer.is_whole);
        let is_begun_stream = is_stream(path) && answer.status == 200;
        assert!(answer.is_whole || is_begun_stream, "{seen}\n{}", self.host.log());
        self.assert_true(path, answer);
    }

    /// Asserts that an answer is true, or that a request without one was not sent on.
    pub fn assert_true(&self, path: &str, answer: &Answer) {
        let received = self.received(path);
        let seen = format!("{path}: {}, sent {received} times", answer.status);
        match answer.status {
            503 => assert!(received == 0 && answer.head.contains("retry-after: "), "{seen}"),
            0 => assert_eq!(received, 0, "{seen}"),
            status => assert!([200, 502, 504].contains(&status) && received > 0, "{seen}"),
        }
        assert!(received <= 1 || !path.starts_with("/once/"), "{seen}");
    }
}

/// Whether a path belongs to a route of streams.
pub fn is_stream(path: &str) -> bool {
    path.starts_with("/chat/") || path.starts_with("/plain/")
}

/// A caller's connection.
pub struct Caller {
    stream: TcpStream,
}

impl Caller {
    /// Sends bytes; the entry may have closed the connection, which the answer shows.
    pub async fn write(&mut self, bytes: &str) {
        let _ = self.stream.write_all(bytes.as_bytes()).await;
    }

    /// Reads the answer until the connection ends; empty if there is none.
    pub async fn answer(mut self) -> Answer {
        let mut raw = Vec::new();
        // What arrived before an error counts.
        let read = timeout(WAIT_TIMEOUT, self.stream.read_to_end(&mut raw)).await;
        let _ = read.expect("the connection did not end");
        Answer::parse(raw.strip_prefix(CONTINUE).unwrap_or(&raw))
    }

    /// Reads until this text has arrived; false if the connection ends before.
    pub async fn read_until(&mut self, text: &str) -> bool {
        let mut raw = String::new();
        while !raw.contains(text) {
            let mut chunk = [0; 4096];
            let read = timeout(WAIT_TIMEOUT, self.stream.read(&mut chunk)).await;
            let Ok(n @ 1..) = read.expect("no more bytes in time") else {
                return false;
            };
            raw += &String::from_utf8_lossy(&chunk[..n]);
        }
        true
    }
}

/// A request whose caller waits longer than any grace, with `Connection: close`.
pub fn request(path: &str, headers: &str, body: &str) -> String {
    let deadline = format!("X-Deadline-Ms: {LONG_MS}");
    request_bytes("POST", path, headers, body).replace("X-Deadline-Ms: 5000", &deadline)
}

/// Like [`request`], on a connection that is kept.
pub fn kept_request(path: &str) -> String {
    request(path, "", "").replace("Connection: close\r\n", "")
}
