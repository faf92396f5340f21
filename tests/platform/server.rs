//! A scripted mock of a BackendServer. It writes raw bytes, so that it can also send responses that
//! violate the protocol or break off.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time::sleep,
};

/// A request as the server received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub received_at: Instant,
    pub request_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// Value of the header with this lower-case name; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// How the server reacts to one request.
#[derive(Clone, Debug)]
pub enum Action {
    /// Sends a complete response.
    Respond { status: u16, body: &'static str },
    /// Sends a complete response after a delay.
    RespondAfter { body: &'static str, delay: Duration },
    /// Sends a complete response after a delay, with the request's id as its body.
    EchoIdAfter { delay: Duration },
    /// Carries out another action after a delay.
    Delayed { delay: Duration, action: Box<Action> },
    /// Sends less of the body than `Content-Length` says, then closes the connection.
    Truncated,
    /// Sends 503 with `X-Not-Executed`: the request was not run.
    NotExecuted,
    /// Sends 503 with `X-Not-Executed` and `Retry-After`: the server asks for a pause.
    NotExecutedRetryAfter { retry_after: String },
    /// Sends 421 with the id of another server: the address now belongs to that one.
    Misrouted,
    /// Sends a response without a signature and without a body: the request was not run.
    Reject { status: u16, headers: String },
    /// Sends a complete response with the id of another request.
    WrongRequestId,
    /// Sends a response without the signature header `X-Instance-Stamp`.
    Unsigned,
    /// Sends a response with `Content-Encoding: gzip`, which the request did not accept.
    Gzip,
    /// Closes the connection after it has read the request.
    CloseConnection,
    /// Sends no response and keeps the connection open.
    Hang,
    /// Sends all events after `Last-Event-Id` up to `last_event` at once, then ends the stream
    /// properly or breaks off inside a further event.
    Stream { last_event: u64, is_complete: bool, confidence: u8 },
    /// Sends a complete stream, with a pause after each event.
    PacedStream { last_event: u64, interval: Duration },
    /// Sends a complete stream of large events as fast as they are taken.
    LargeStream { last_event: u64, event_bytes: usize },
    /// Sends events, with a pause after each, until the connection is closed.
    EndlessStream,
    /// Like `EndlessStream`, with this value of `X-Confidence`.
    EndlessStreamWithConfidence { confidence: u8 },
    /// Sends a response without a length, which ends when the connection is closed.
    CloseDelimited,
    /// Like `CloseDelimited`, with this HTTP version, these header lines and this body. The connection ends because
    /// the server closes it, or because the whole process terminates.
    CloseDelimitedBody { version: &'static str, headers: &'static str, body: String, crashes: bool },
    /// Sends this status line, the headers that identify the response, these header lines and this body as they are.
    Raw { status_line: &'static str, headers: String, body: String, keeps_connection: bool },
    /// Sends the response of another action with these header lines. A body with a length is sent in chunks instead if
    /// one of them is [`CHUNKED`].
    WithHeaders { lines: &'static str, action: Box<Action> },
    /// Sends `head`, in which `{signed}` stands for the headers that identify the response, then `unit` again and again
    /// until the connection is closed.
    Endless { head: &'static str, unit: &'static str },
    /// Sends what a `Raw` response would send, without its last `missing` bytes, then closes or resets the connection.
    Cut { missing: usize, resets: bool, status_line: &'static str, headers: String, body: String },
    /// Sends the same complete response twice.
    Duplicate,
    /// Terminates the whole process, either after it has sent the response head of a stream or
    /// without any response.
    Crash { after_head: bool },
}

/// Header line of a body in chunks.
pub const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";
/// Value of `X-Confidence` at which an answer is not escalated to a larger model.
const CONFIDENT: u8 = 90;
/// Bytes of one write of a response without an end.
const ENDLESS_WRITE: usize = 16 << 10;
/// Pause between the events of a stream without an end.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);

/// Longest wait for the end of a server. It only stops tests that hang: no test measures time by it.
const CRASH_TIMEOUT: Duration = Duration::from_secs(20);

/// Chooses the reaction to each request.
type Script = Arc<dyn Fn(&ReceivedRequest) -> Action + Send + Sync>;

/// State of the simulated server process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    Running,
    /// The listener is about to be closed; open connections are closed next, as when a process
    /// exits.
    Terminating,
    Terminated,
}

/// Handle of a mock server; clones share its state.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    active_requests: Arc<AtomicUsize>,
    most_active_requests: Arc<AtomicUsize>,
    /// Values of the `Server-Limit` header lines in its responses: the requests per second that it
    /// accepts.
    limit_headers: Arc<Mutex<Vec<String>>>,
    /// Header lines added to all its responses.
    extra_headers: Arc<Mutex<Vec<String>>>,
    /// Requests that it can run at a time; further ones wait.
    slots: Arc<Semaphore>,
    /// While this is set, the server rejects every request with this `Retry-After`.
    retry_after: Arc<Mutex<Option<String>>>,
    /// Number of the current incarnation, from 0, and its state.
    process: Arc<watch::Sender<(usize, ProcessState)>>,
    /// Listener of the incarnation that is being started.
    next_listener: Arc<Mutex<Option<std::net::TcpListener>>>,
}

/// A loopback address that no listener of another server or entry uses. On a shared one, while a server is down after a
/// crash, a listener that is bound to any free port may be given its port.
fn unique_ip() -> Ipv4Addr {
    static STARTED: AtomicUsize = AtomicUsize::new(0);
    let [.., run] = std::process::id().to_be_bytes();
    let [.., high, low] = STARTED.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    Ipv4Addr::new(127, 128 + run % 64, high, low.max(1))
}

impl Server {
    /// Starts a server on a free port of a loopback address of its own.
    pub async fn start(
        id: &str,
        script: impl Fn(&ReceivedRequest) -> Action + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind((unique_ip(), 0)).await.unwrap();
        let server = Self {
            id: id.into(),
            address: listener.local_addr().unwrap(),
            requests: Arc::default(),
            active_requests: Arc::default(),
            most_active_requests: Arc::default(),
            limit_headers: Arc::default(),
            extra_headers: Arc::default(),
            slots: Arc::new(Semaphore::new(Semaphore::MAX_PERMITS)),
            retry_after: Arc::default(),
            process: Arc::new(watch::Sender::new((0, ProcessState::Running))),
            next_listener: Arc::default(),
        };
        let script: Script = Arc::new(script);
        tokio::spawn(server.clone().serve(listener, script));
        server
    }

    /// Accepts connections, in one incarnation after the other.
    async fn serve(self, mut listener: TcpListener, script: Script) {
        loop {
            let incarnation = self.process.borrow().0;
            let accept = async {
                while let Ok((stream, _)) = listener.accept().await {
                    let (server, script) = (self.clone(), script.clone());
                    tokio::spawn(async move {
                        tokio::select! {
                            () = server.serve_connection(stream, script) => {}
                            () = server.terminated(incarnation) => {}
                        }
                    });
                }
            };
            tokio::select! {
                () = accept => return,
                () = self.wait_until(|state| state.1 != ProcessState::Running) => {}
            }
            // Between two incarnations the port is closed, so connections are refused.
            drop(listener);
            self.process.send_modify(|state| state.1 = ProcessState::Terminated);
            let mut states = self.process.subscribe();
            if states.wait_for(|state| state.1 == ProcessState::Running).await.is_err() {
                return;
            }
            let next = self.next_listener.lock().unwrap().take().expect("`restart` has bound it");
            listener = TcpListener::from_std(next).unwrap();
        }
    }

    /// Waits until this incarnation has terminated; panics if it does not within [`CRASH_TIMEOUT`].
    pub async fn wait_until_terminated(&self, incarnation: usize) {
        let terminated = tokio::time::timeout(CRASH_TIMEOUT, self.terminated(incarnation)).await;
        assert!(terminated.is_ok(), "{} did not end in incarnation {incarnation}", self.id);
    }

    /// Waits until this incarnation has terminated, however long it runs.
    pub async fn terminated(&self, incarnation: usize) {
        self.wait_until(|state| state.0 > incarnation || state.1 == ProcessState::Terminated).await;
    }

    /// Waits until the incarnation and its state satisfy a condition.
    async fn wait_until(&self, condition: impl Fn(&(usize, ProcessState)) -> bool) {
        let mut states = self.process.subscribe();
        states.wait_for(condition).await.expect("the server handle holds the sender");
    }

    /// Limits the requests that it runs at a time.
    #[allow(dead_code, reason = "used by tests/clients only")]
    pub fn limit_slots(&self, slots: usize) {
        self.slots.forget_permits(Semaphore::MAX_PERMITS - slots);
    }

    /// Adds a `Server-Limit` header line for each of these values to all further responses; an empty
    /// slice removes the header.
    pub fn advertise_limit(&self, lines: &[&str]) {
        *self.limit_headers.lock().unwrap() = lines.iter().map(|line| (*line).to_owned()).collect();
    }

    /// Adds these header lines, instead of earlier ones, to all further responses.
    pub fn set_extra_headers(&self, lines: &[&str]) {
        *self.extra_headers.lock().unwrap() = lines.iter().map(|line| (*line).to_owned()).collect();
    }

    /// Announces in all further responses that it is draining; its row in the store does not
    /// change.
    pub fn announce_draining(&self) {
        self.set_extra_headers(&["Server-Leaving: 1"]);
    }

    /// Rejects all further requests with this `Retry-After`; `None` ends that.
    pub fn set_retry_after(&self, retry_after: Option<&str>) {
        *self.retry_after.lock().unwrap() = retry_after.map(Into::into);
    }

    /// Current header lines for a rate limit and announcements.
    fn header_lines(&self) -> String {
        let limit = self.limit_headers.lock().unwrap();
        let limit = limit.iter().map(|line| format!("Server-Limit: {line}\r\n"));
        let extra = self.extra_headers.lock().unwrap();
        limit.chain(extra.iter().map(|line| format!("{line}\r\n"))).collect()
    }

    /// Terminates the current incarnation and all its connections at once.
    pub fn crash(&self) {
        self.process.send_modify(|state| state.1 = ProcessState::Terminating);
    }

    /// Starts the next incarnation, which listens from now on, and returns its number.
    pub fn restart(&self) -> usize {
        let listener = std::net::TcpListener::bind(self.address).unwrap();
        listener.set_nonblocking(true).unwrap();
        *self.next_listener.lock().unwrap() = Some(listener);
        self.process.send_modify(|state| *state = (state.0 + 1, ProcessState::Running));
        self.process.borrow().0
    }

    /// All requests received so far.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().unwrap().clone()
    }

    /// Number of requests that it is handling.
    pub fn active_requests(&self) -> usize {
        self.active_requests.load(Ordering::SeqCst)
    }

    /// The most requests that it has handled at a time.
    #[allow(dead_code, reason = "used by tests/platform only")]
    pub fn most_active_requests(&self) -> usize {
        self.most_active_requests.load(Ordering::SeqCst)
    }

    /// Handles the requests of one connection, one after the other.
    async fn serve_connection(&self, mut stream: TcpStream, script: Script) {
        while let Some(request) = read_request(&mut stream).await {
            self.requests.lock().unwrap().push(request.clone());
            let active = self.active_requests.fetch_add(1, Ordering::SeqCst) + 1;
            self.most_active_requests.fetch_max(active, Ordering::SeqCst);
            let slot = self.slots.acquire().await.expect("the semaphore is never closed");
            let retry_after = self.retry_after.lock().unwrap().clone();
            let action = match retry_after {
                Some(retry_after) => Action::NotExecutedRetryAfter { retry_after },
                None => script(&request),
            };
            let crashes = matches!(
                action,
                Action::Crash { .. } | Action::CloseDelimitedBody { crashes: true, .. }
            );
            let keeps_connection =
                respond(&mut stream, &request, action, &self.header_lines()).await;
            drop(slot);
            if crashes {
                let incarnation = self.process.borrow().0;
                self.crash();
                self.terminated(incarnation).await;
            }
            self.active_requests.fetch_sub(1, Ordering::SeqCst);
            if !keeps_connection {
                return;
            }
        }
    }
}

/// Reads one request with its body; `None` when the connection has ended.
async fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut buf = Vec::new();
    let end = loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break end + 4;
        }
        let mut chunk = [0; 4096];
        let n = stream.read(&mut chunk).await.ok().filter(|n| *n > 0)?;
        buf.extend_from_slice(&chunk[..n]);
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let request_line = lines.next()?.to_owned();
    let headers: HashMap<String, String> = lines
        .filter_map(|l| l.split_once(": "))
        .map(|(name, value)| (name.to_lowercase(), value.to_owned()))
        .collect();
    let length: usize = headers.get("content-length").map_or(0, |v| v.parse().unwrap());
    let mut body = buf[end..].to_vec();
    while body.len() < length {
        let mut chunk = [0; 4096];
        let n = stream.read(&mut chunk).await.ok().filter(|n| *n > 0)?;
        body.extend_from_slice(&chunk[..n]);
    }
    Some(ReceivedRequest { received_at: Instant::now(), request_line, headers, body })
}

/// Waits as long as an action delays its response.
async fn delay_response(action: &Action) {
    if let Action::RespondAfter { delay, .. } | Action::EchoIdAfter { delay } = action {
        sleep(*delay).await;
    }
}

/// A complete response, with a length unless the headers say that the body is chunked.
fn reply(status: u16, headers: &str, body: &str) -> String {
    if headers.contains(CHUNKED) {
        return format!("HTTP/1.1 {status} X\r\n{headers}\r\n{}0\r\n\r\n", chunk(body));
    }
    format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Carries out an action; returns whether the connection stays open for further requests.
async fn respond(
    stream: &mut TcpStream,
    request: &ReceivedRequest,
    action: Action,
    lines: &str,
) -> bool {
    let id = request.header("x-request-id");
    let signed = format!("X-Request-Id: {id}\r\nX-Instance-Stamp: s\r\n{lines}");
    delay_response(&action).await;
    let (bytes, keeps_connection) = match action {
        Action::RespondAfter { body, .. } => (reply(200, &signed, body), true),
        Action::EchoIdAfter { .. } => (reply(200, &signed, id), true),
        Action::Delayed { delay, action } => {
            sleep(delay).await;
            return Box::pin(respond(stream, request, *action, lines)).await;
        }
        Action::WithHeaders { lines: more, action } => {
            return Box::pin(respond(stream, request, *action, &format!("{lines}{more}"))).await;
        }
        Action::Respond { status, body } => (reply(status, &signed, body), true),
        Action::Truncated => {
            (format!("HTTP/1.1 200 X\r\n{signed}Content-Length: 100\r\n\r\nhalf"), false)
        }
        Action::NotExecuted => (reply(503, &format!("X-Not-Executed: 1\r\n{lines}"), ""), true),
        Action::NotExecutedRetryAfter { retry_after } => {
            let head = format!("X-Not-Executed: 1\r\nRetry-After: {retry_after}\r\n{lines}");
            (reply(503, &head, ""), true)
        }
        Action::Misrouted => (reply(421, &format!("X-Instance-Id: i-other\r\n{lines}"), ""), true),
        Action::Reject { status, headers } => {
            (reply(status, &format!("X-Request-Id: {id}\r\n{headers}{lines}"), ""), true)
        }
        Action::WrongRequestId => {
            let head = format!("X-Request-Id: other\r\nX-Instance-Stamp: s\r\n{lines}");
            (reply(200, &head, "no"), true)
        }
        Action::Unsigned => (reply(200, &format!("X-Request-Id: {id}\r\n{lines}"), "no"), true),
        Action::Gzip => (reply(200, &format!("{signed}Content-Encoding: gzip\r\n"), "no"), true),
        Action::CloseConnection | Action::Crash { after_head: false } => (String::new(), false),
        Action::Crash { after_head: true } => return send_stream_head(stream, &signed).await,
        Action::Hang => return hang(stream).await,
        Action::CloseDelimited => (format!("HTTP/1.1 200 X\r\n{signed}\r\nall of it"), false),
        Action::CloseDelimitedBody { version, headers, body, .. } => {
            (format!("HTTP/{version} 200 X\r\n{signed}{headers}\r\n{body}"), false)
        }
        Action::Raw { status_line, headers, body, keeps_connection } => {
            (format!("{status_line}\r\n{signed}{headers}\r\n{body}"), keeps_connection)
        }
        Action::Endless { head, unit } => return send_endless(stream, &signed, head, unit).await,
        Action::Cut { missing, resets, status_line, headers, body } => {
            let whole = format!("{status_line}\r\n{signed}{headers}\r\n{body}");
            return send_cut(stream, &whole, missing, resets).await;
        }
        Action::Duplicate => {
            let once = reply(200, &signed, "once");
            (format!("{once}{once}"), true)
        }
        action => return respond_with_stream(stream, request, action, &signed).await,
    };
    stream.write_all(bytes.as_bytes()).await.is_ok() && keeps_connection
}

/// Carries out an action that sends a stream.
async fn respond_with_stream(
    stream: &mut TcpStream,
    request: &ReceivedRequest,
    action: Action,
    signed: &str,
) -> bool {
    match action {
        Action::Stream { last_event, is_complete, confidence } => {
            send_burst(stream, request, signed, last_event, is_complete, confidence).await
        }
        Action::PacedStream { last_event, interval } => {
            send_paced(stream, signed, last_event, interval, CONFIDENT).await
        }
        Action::LargeStream { last_event, event_bytes } => {
            send_large(stream, signed, last_event, event_bytes).await
        }
        Action::EndlessStream => {
            send_paced(stream, signed, u64::MAX, EVENT_INTERVAL, CONFIDENT).await
        }
        Action::EndlessStreamWithConfidence { confidence } => {
            send_paced(stream, signed, u64::MAX, EVENT_INTERVAL, confidence).await
        }
        action => unreachable!("{action:?} is no stream"),
    }
}

/// Sends a head and then a unit again and again, until the connection is closed.
async fn send_endless(stream: &mut TcpStream, signed: &str, head: &str, unit: &str) -> bool {
    let units = unit.repeat(ENDLESS_WRITE / unit.len());
    let mut sent = stream.write_all(head.replace("{signed}", signed).as_bytes()).await;
    while sent.is_ok() {
        sent = stream.write_all(units.as_bytes()).await;
    }
    false
}

/// Sends a response without its last bytes, then resets the connection or leaves it to be closed.
async fn send_cut(stream: &mut TcpStream, whole: &str, missing: usize, resets: bool) -> bool {
    if resets {
        SockRef::from(&*stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
    let sent = &whole[..whole.len().saturating_sub(missing)];
    let _ = stream.write_all(sent.as_bytes()).await;
    false
}

/// Sends the head of a stream, and waits until it has reached the entry.
async fn send_stream_head(stream: &mut TcpStream, signed: &str) -> bool {
    let sent = stream.write_all(stream_head(signed, CONFIDENT).as_bytes()).await.is_ok();
    sleep(EVENT_INTERVAL).await;
    sent
}

/// Waits until the entry closes the connection.
async fn hang(stream: &mut TcpStream) -> bool {
    let mut rest = [0; 16];
    let _ = stream.read(&mut rest).await;
    false
}

/// Response head of an event stream.
fn stream_head(signed: &str, confidence: u8) -> String {
    format!(
        "HTTP/1.1 200 X\r\n{signed}X-Confidence: {confidence}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

/// One chunk in chunked transfer encoding.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Sends the events after `Last-Event-Id` up to `last_event` at once, and the end of the stream or
/// half an event.
async fn send_burst(
    stream: &mut TcpStream,
    request: &ReceivedRequest,
    signed: &str,
    last_event: u64,
    is_complete: bool,
    confidence: u8,
) -> bool {
    let last_received: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let head = stream_head(signed, confidence);
    let mut out = head;
    for event in last_received + 1..=last_event {
        out += &chunk(&format!("id: {event}\ndata: e{event}\n\n"));
    }
    out += if is_complete { "0\r\n\r\n" } else { "9\r\nid: 99\nda\r\n" };
    stream.write_all(out.as_bytes()).await.is_ok() && is_complete
}

/// Sends events of this size up to `last_event`, and the end of the stream.
async fn send_large(
    stream: &mut TcpStream,
    signed: &str,
    last_event: u64,
    event_bytes: usize,
) -> bool {
    if stream.write_all(stream_head(signed, CONFIDENT).as_bytes()).await.is_err() {
        return false;
    }
    let data = "x".repeat(event_bytes);
    for event in 1..=last_event {
        let text = chunk(&format!("id: {event}\ndata: {data}\n\n"));
        if stream.write_all(text.as_bytes()).await.is_err() {
            return false;
        }
    }
    stream.write_all(b"0\r\n\r\n").await.is_ok()
}

/// Sends the events up to `last_event` with a pause after each, and the end of the stream.
async fn send_paced(
    stream: &mut TcpStream,
    signed: &str,
    last_event: u64,
    interval: Duration,
    confidence: u8,
) -> bool {
    let head = stream_head(signed, confidence);
    if stream.write_all(head.as_bytes()).await.is_err() {
        return false;
    }
    for event in 1..=last_event {
        let text = chunk(&format!("id: {event}\ndata: e{event}\n\n"));
        if stream.write_all(text.as_bytes()).await.is_err() {
            return false;
        }
        sleep(interval).await;
    }
    stream.write_all(b"0\r\n\r\n").await.is_ok()
}
