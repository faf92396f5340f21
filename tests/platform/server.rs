//! A stand-in of a BackendServer on the platform that answers as its script says, byte by byte.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

/// A request as it reached the server.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub received_at: Instant,
    pub request_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// What the server does with one request.
#[derive(Clone, Debug)]
pub enum Action {
    /// A whole answer.
    Respond { status: u16, body: &'static str },
    /// A whole answer after a while.
    RespondAfter { body: &'static str, delay: Duration },
    /// A whole answer after a while that repeats the request's id.
    EchoIdAfter { delay: Duration },
    /// An answer in one piece that breaks off.
    Truncated,
    /// Says that it did not run it.
    NotExecuted,
    /// Says that it did not run it, and asks for a pause.
    NotExecutedRetryAfter { retry_after: String },
    /// Says that another server is meant.
    Misrouted,
    /// Answers another request.
    WrongRequestId,
    /// An answer without a signature.
    Unsigned,
    /// A body with an encoding nobody asked for.
    Gzip,
    /// Ends the connection once the request is here.
    CloseConnection,
    /// Never answers.
    Hang,
    /// Events from after the caller's last to `to`; ends whole, or breaks off inside an event.
    Stream { last_event: u64, is_complete: bool, confidence: u8 },
    /// A whole stream whose events come one by one after a pause.
    PacedStream { last_event: u64, interval: Duration },
    /// Events without an end, each after a pause.
    EndlessStream,
    /// The same from a model that has this opinion of them.
    EndlessStreamWithConfidence { confidence: u8 },
    /// An answer without a length that ends with its connection.
    CloseDelimited,
    /// A whole answer, and a second one after it.
    Duplicate,
    /// The whole process ends as it begins to run the request, with the head of a stream's answer or
    /// without any.
    Crash { after_head: bool },
}

/// Opinion of an answer that is asked again of no larger model.
const CONFIDENT: u8 = 90;
/// Pause of a stream without an end.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);

type Script = Arc<dyn Fn(&ReceivedRequest) -> Action + Send + Sync>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    Running,
    /// Nobody listens any more; its connections end next, as those of a process that is gone.
    Terminating,
    Terminated,
}

/// The stand-in.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    active_requests: Arc<AtomicUsize>,
    /// Requests a second that it advertises in its answers, as it writes them.
    limit_headers: Arc<Mutex<Vec<String>>>,
    /// Header lines that all its answers have now.
    extra_headers: Arc<Mutex<Vec<String>>>,
    /// `Retry-After` of its rejections; it rejects everything while there is one.
    retry_after: Arc<Mutex<Option<String>>>,
    /// Number of its present life, from 0, and how far that got.
    process: Arc<watch::Sender<(usize, ProcessState)>>,
}

impl Server {
    pub async fn start(
        id: &str,
        script: impl Fn(&ReceivedRequest) -> Action + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self {
            id: id.into(),
            address: listener.local_addr().unwrap(),
            requests: Arc::default(),
            active_requests: Arc::default(),
            limit_headers: Arc::default(),
            extra_headers: Arc::default(),
            retry_after: Arc::default(),
            process: Arc::new(watch::Sender::new((0, ProcessState::Running))),
        };
        let script: Script = Arc::new(script);
        tokio::spawn(server.clone().serve(listener, script));
        server
    }

    /// Takes connections, life after life.
    async fn serve(self, mut listener: TcpListener, script: Script) {
        loop {
            let incarnation = self.process.borrow().0;
            let accept = async {
                while let Ok((stream, _)) = listener.accept().await {
                    let (server, script) = (self.clone(), script.clone());
                    tokio::spawn(async move {
                        tokio::select! {
                            () = server.serve_connection(stream, script) => {}
                            () = server.wait_until_terminated(incarnation) => {}
                        }
                    });
                }
            };
            tokio::select! {
                () = accept => return,
                () = self.wait_until(|state| state.1 != ProcessState::Running) => {}
            }
            // Nobody listens between two lives: connections are refused.
            drop(listener);
            self.process.send_modify(|state| state.1 = ProcessState::Terminated);
            let mut states = self.process.subscribe();
            if states.wait_for(|state| state.1 == ProcessState::Running).await.is_err() {
                return;
            }
            listener = TcpListener::bind(self.address).await.unwrap();
        }
    }

    /// Waits until a life has ended.
    pub async fn wait_until_terminated(&self, incarnation: usize) {
        self.wait_until(|state| state.0 > incarnation || state.1 == ProcessState::Terminated).await;
    }

    async fn wait_until(&self, condition: impl Fn(&(usize, ProcessState)) -> bool) {
        let mut states = self.process.subscribe();
        states.wait_for(condition).await.expect("the server is still here");
    }

    /// Names a limit in its answers from now on, on a line for each of these; none ends it.
    pub fn advertise_limit(&self, lines: &[&str]) {
        *self.limit_headers.lock().unwrap() = lines.iter().map(|line| (*line).to_owned()).collect();
    }

    /// Has these header lines in all its answers from now on.
    pub fn set_extra_headers(&self, lines: &[&str]) {
        *self.extra_headers.lock().unwrap() = lines.iter().map(|line| (*line).to_owned()).collect();
    }

    /// Announces in its answers that it is draining; its row stays as it is.
    pub fn announce_draining(&self) {
        self.set_extra_headers(&["Server-Leaving: 1"]);
    }

    /// Rejects all requests with this `Retry-After`, or none any more.
    pub fn set_retry_after(&self, retry_after: Option<&str>) {
        *self.retry_after.lock().unwrap() = retry_after.map(Into::into);
    }

    /// Header lines of an answer that it writes now.
    fn header_lines(&self) -> String {
        let limit = self.limit_headers.lock().unwrap();
        let limit = limit.iter().map(|line| format!("Server-Limit: {line}\r\n"));
        let extra = self.extra_headers.lock().unwrap();
        limit.chain(extra.iter().map(|line| format!("{line}\r\n"))).collect()
    }

    /// Ends its life at once, with all its connections.
    pub fn crash(&self) {
        self.process.send_modify(|state| state.1 = ProcessState::Terminating);
    }

    /// Begins its next life, and gives its number.
    pub fn restart(&self) -> usize {
        self.process.send_modify(|state| *state = (state.0 + 1, ProcessState::Running));
        self.process.borrow().0
    }

    /// Requests that reached it.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().unwrap().clone()
    }

    /// Requests it is at work on.
    pub fn active_requests(&self) -> usize {
        self.active_requests.load(Ordering::SeqCst)
    }

    async fn serve_connection(&self, mut stream: TcpStream, script: Script) {
        while let Some(request) = read_request(&mut stream).await {
            self.requests.lock().unwrap().push(request.clone());
            self.active_requests.fetch_add(1, Ordering::SeqCst);
            let retry_after = self.retry_after.lock().unwrap().clone();
            let action = match retry_after {
                Some(retry_after) => Action::NotExecutedRetryAfter { retry_after },
                None => script(&request),
            };
            let crashes = matches!(action, Action::Crash { .. });
            let keeps_connection =
                respond(&mut stream, &request, action, &self.header_lines()).await;
            if crashes {
                let incarnation = self.process.borrow().0;
                self.crash();
                self.wait_until_terminated(incarnation).await;
            }
            self.active_requests.fetch_sub(1, Ordering::SeqCst);
            if !keeps_connection {
                return;
            }
        }
    }
}

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

/// Does it; whether the connection goes on.
async fn respond(
    stream: &mut TcpStream,
    request: &ReceivedRequest,
    action: Action,
    lines: &str,
) -> bool {
    let id = request.header("x-request-id");
    let signed = format!("X-Request-Id: {id}\r\nX-Instance-Stamp: s\r\n{lines}");
    let reply = |status: u16, headers: &str, body: &str| {
        format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
    };
    if let Action::RespondAfter { delay, .. } | Action::EchoIdAfter { delay } = &action {
        sleep(*delay).await;
    }
    let (bytes, keeps_connection) = match action {
        Action::RespondAfter { body, .. } => (reply(200, &signed, body), true),
        Action::EchoIdAfter { .. } => (reply(200, &signed, id), true),
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
        Action::WrongRequestId => {
            let head = format!("X-Request-Id: other\r\nX-Instance-Stamp: s\r\n{lines}");
            (reply(200, &head, "no"), true)
        }
        Action::Unsigned => (reply(200, &format!("X-Request-Id: {id}\r\n{lines}"), "no"), true),
        Action::Gzip => (reply(200, &format!("{signed}Content-Encoding: gzip\r\n"), "no"), true),
        Action::CloseConnection | Action::Crash { after_head: false } => (String::new(), false),
        Action::Crash { after_head: true } => {
            let sent = stream.write_all(stream_head(&signed, CONFIDENT).as_bytes()).await.is_ok();
            // The head is on its way before the process ends.
            sleep(EVENT_INTERVAL).await;
            return sent;
        }
        Action::Hang => {
            // Until the entry gives up on the connection.
            let mut rest = [0; 16];
            let _ = stream.read(&mut rest).await;
            return false;
        }
        Action::CloseDelimited => (format!("HTTP/1.1 200 X\r\n{signed}\r\nall of it"), false),
        Action::Duplicate => {
            let once = reply(200, &signed, "once");
            (format!("{once}{once}"), true)
        }
        Action::Stream { last_event, is_complete, confidence } => {
            return send_burst(stream, request, &signed, last_event, is_complete, confidence).await;
        }
        Action::PacedStream { last_event, interval } => {
            return send_paced(stream, &signed, last_event, interval, CONFIDENT).await;
        }
        Action::EndlessStream => {
            return send_paced(stream, &signed, u64::MAX, EVENT_INTERVAL, CONFIDENT).await;
        }
        Action::EndlessStreamWithConfidence { confidence } => {
            return send_paced(stream, &signed, u64::MAX, EVENT_INTERVAL, confidence).await;
        }
    };
    stream.write_all(bytes.as_bytes()).await.is_ok() && keeps_connection
}

/// Head of a stream's answer.
fn stream_head(signed: &str, confidence: u8) -> String {
    format!(
        "HTTP/1.1 200 X\r\n{signed}X-Confidence: {confidence}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

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
