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
pub struct Seen {
    pub at: Instant,
    pub line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Seen {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// What the server does with one request.
#[derive(Clone, Debug)]
pub enum Act {
    /// A whole answer.
    Answer { status: u16, body: &'static str },
    /// A whole answer after a while.
    Late { body: &'static str, after: Duration },
    /// A whole answer after a while that repeats the request's id.
    Echo { after: Duration },
    /// An answer in one piece that breaks off.
    CutAnswer,
    /// Says that it did not run it.
    Shed,
    /// Says that it did not run it, and asks for a pause.
    Pause { retry_after: String },
    /// Says that another server is meant.
    OtherServer,
    /// Answers another request.
    WrongId,
    /// An answer without a signature.
    Unsigned,
    /// A body with an encoding nobody asked for.
    Encoded,
    /// Ends the connection once the request is here.
    Close,
    /// Never answers.
    Hang,
    /// Events from after the caller's last to `to`; ends whole, or breaks off inside an event.
    Stream { to: u64, is_whole: bool, confidence: u8 },
    /// A whole stream whose events come one by one after a pause.
    Paced { to: u64, pause: Duration },
    /// Events without an end, each after a pause.
    Endless,
    /// The same from a model that has this opinion of them.
    Trickle { confidence: u8 },
    /// An answer without a length that ends with its connection.
    Unframed,
    /// A whole answer, and a second one after it.
    Twice,
    /// The whole process ends as it begins to run the request, with the head of a stream's answer or
    /// without any.
    Crash { has_begun: bool },
}

/// Opinion of an answer that is asked again of no larger model.
const SURE: u8 = 90;
/// Pause of a stream without an end.
const OFTEN: Duration = Duration::from_millis(10);

type Script = Arc<dyn Fn(&Seen) -> Act + Send + Sync>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Alive,
    /// Nobody listens any more; its connections end next, as those of a process that is gone.
    Ending,
    Over,
}

/// The stand-in.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
    open: Arc<AtomicUsize>,
    /// Requests a second that it advertises in its answers, as it writes them.
    limit: Arc<Mutex<Vec<String>>>,
    /// Header lines that all its answers have now.
    announced: Arc<Mutex<Vec<String>>>,
    /// `Retry-After` of its rejections; it rejects everything while there is one.
    pause: Arc<Mutex<Option<String>>>,
    /// Number of its present life, from 0, and how far that got.
    life: Arc<watch::Sender<(usize, Life)>>,
}

impl Server {
    pub async fn start(id: &str, script: impl Fn(&Seen) -> Act + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self {
            id: id.into(),
            address: listener.local_addr().unwrap(),
            seen: Arc::default(),
            open: Arc::default(),
            limit: Arc::default(),
            announced: Arc::default(),
            pause: Arc::default(),
            life: Arc::new(watch::Sender::new((0, Life::Alive))),
        };
        let script: Script = Arc::new(script);
        tokio::spawn(server.clone().live(listener, script));
        server
    }

    /// Takes connections, life after life.
    async fn live(self, mut listener: TcpListener, script: Script) {
        loop {
            let life = self.life.borrow().0;
            let accept = async {
                while let Ok((stream, _)) = listener.accept().await {
                    let (server, script) = (self.clone(), script.clone());
                    tokio::spawn(async move {
                        tokio::select! {
                            () = server.talk(stream, script) => {}
                            () = server.until_ended(life) => {}
                        }
                    });
                }
            };
            tokio::select! {
                () = accept => return,
                () = self.until(|state| state.1 != Life::Alive) => {}
            }
            // Nobody listens between two lives: connections are refused.
            drop(listener);
            self.life.send_modify(|state| state.1 = Life::Over);
            let mut lives = self.life.subscribe();
            if lives.wait_for(|state| state.1 == Life::Alive).await.is_err() {
                return;
            }
            listener = TcpListener::bind(self.address).await.unwrap();
        }
    }

    /// Waits until a life has ended.
    pub async fn until_ended(&self, life: usize) {
        self.until(|state| state.0 > life || state.1 == Life::Over).await;
    }

    async fn until(&self, holds: impl Fn(&(usize, Life)) -> bool) {
        let mut lives = self.life.subscribe();
        lives.wait_for(holds).await.expect("the server is still here");
    }

    /// Names a limit in its answers from now on, on a line for each of these; none ends it.
    pub fn advertise_limit(&self, lines: &[&str]) {
        *self.limit.lock().unwrap() = lines.iter().map(|line| (*line).to_owned()).collect();
    }

    /// Has these header lines in all its answers from now on.
    pub fn announce(&self, lines: &[&str]) {
        *self.announced.lock().unwrap() = lines.iter().map(|line| (*line).to_owned()).collect();
    }

    /// Announces in its answers that it is draining; its row stays as it is.
    pub fn drain(&self) {
        self.announce(&["Server-Leaving: 1"]);
    }

    /// Rejects all requests with this `Retry-After`, or none any more.
    pub fn ask_for_pause(&self, retry_after: Option<&str>) {
        *self.pause.lock().unwrap() = retry_after.map(Into::into);
    }

    /// Header lines of an answer that it writes now.
    fn lines(&self) -> String {
        let limit = self.limit.lock().unwrap();
        let limit = limit.iter().map(|line| format!("Server-Limit: {line}\r\n"));
        let announced = self.announced.lock().unwrap();
        limit.chain(announced.iter().map(|line| format!("{line}\r\n"))).collect()
    }

    /// Ends its life at once, with all its connections.
    pub fn crash(&self) {
        self.life.send_modify(|state| state.1 = Life::Ending);
    }

    /// Begins its next life, and gives its number.
    pub fn start_again(&self) -> usize {
        self.life.send_modify(|state| *state = (state.0 + 1, Life::Alive));
        self.life.borrow().0
    }

    /// Requests that reached it.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    /// Requests it is at work on.
    pub fn at_work(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    async fn talk(&self, mut stream: TcpStream, script: Script) {
        while let Some(seen) = read_request(&mut stream).await {
            self.seen.lock().unwrap().push(seen.clone());
            self.open.fetch_add(1, Ordering::SeqCst);
            let pause = self.pause.lock().unwrap().clone();
            let act = match pause {
                Some(retry_after) => Act::Pause { retry_after },
                None => script(&seen),
            };
            let ends = matches!(act, Act::Crash { .. });
            let goes_on = answer(&mut stream, &seen, act, &self.lines()).await;
            if ends {
                let life = self.life.borrow().0;
                self.crash();
                self.until_ended(life).await;
            }
            self.open.fetch_sub(1, Ordering::SeqCst);
            if !goes_on {
                return;
            }
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<Seen> {
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
    let line = lines.next()?.to_owned();
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
    Some(Seen { at: Instant::now(), line, headers, body })
}

/// Does it; whether the connection goes on.
async fn answer(stream: &mut TcpStream, seen: &Seen, act: Act, lines: &str) -> bool {
    let id = seen.header("x-request-id");
    let signed = format!("X-Request-Id: {id}\r\nX-Instance-Stamp: s\r\n{lines}");
    let whole = |status: u16, headers: &str, body: &str| {
        format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
    };
    if let Act::Late { after, .. } | Act::Echo { after } = &act {
        sleep(*after).await;
    }
    let (bytes, goes_on) = match act {
        Act::Late { body, .. } => (whole(200, &signed, body), true),
        Act::Echo { .. } => (whole(200, &signed, id), true),
        Act::Answer { status, body } => (whole(status, &signed, body), true),
        Act::CutAnswer => {
            (format!("HTTP/1.1 200 X\r\n{signed}Content-Length: 100\r\n\r\nhalf"), false)
        }
        Act::Shed => (whole(503, &format!("X-Not-Executed: 1\r\n{lines}"), ""), true),
        Act::Pause { retry_after } => {
            let head = format!("X-Not-Executed: 1\r\nRetry-After: {retry_after}\r\n{lines}");
            (whole(503, &head, ""), true)
        }
        Act::OtherServer => (whole(421, &format!("X-Instance-Id: i-other\r\n{lines}"), ""), true),
        Act::WrongId => {
            let head = format!("X-Request-Id: other\r\nX-Instance-Stamp: s\r\n{lines}");
            (whole(200, &head, "no"), true)
        }
        Act::Unsigned => (whole(200, &format!("X-Request-Id: {id}\r\n{lines}"), "no"), true),
        Act::Encoded => (whole(200, &format!("{signed}Content-Encoding: gzip\r\n"), "no"), true),
        Act::Close | Act::Crash { has_begun: false } => (String::new(), false),
        Act::Crash { has_begun: true } => {
            let sent = stream.write_all(stream_head(&signed, SURE).as_bytes()).await.is_ok();
            // The head is on its way before the process ends.
            sleep(OFTEN).await;
            return sent;
        }
        Act::Hang => {
            // Until the entry gives up on the connection.
            let mut rest = [0; 16];
            let _ = stream.read(&mut rest).await;
            return false;
        }
        Act::Unframed => (format!("HTTP/1.1 200 X\r\n{signed}\r\nall of it"), false),
        Act::Twice => {
            let one = whole(200, &signed, "once");
            (format!("{one}{one}"), true)
        }
        Act::Stream { to, is_whole, confidence } => {
            return send_events(stream, seen, &signed, to, is_whole, confidence).await;
        }
        Act::Paced { to, pause } => return send_paced(stream, &signed, to, pause, SURE).await,
        Act::Endless => return send_paced(stream, &signed, u64::MAX, OFTEN, SURE).await,
        Act::Trickle { confidence } => {
            return send_paced(stream, &signed, u64::MAX, OFTEN, confidence).await;
        }
    };
    stream.write_all(bytes.as_bytes()).await.is_ok() && goes_on
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

async fn send_events(
    stream: &mut TcpStream,
    seen: &Seen,
    signed: &str,
    to: u64,
    is_whole: bool,
    confidence: u8,
) -> bool {
    let from: u64 = seen.header("last-event-id").parse().unwrap_or(0);
    let head = stream_head(signed, confidence);
    let mut out = head;
    for event in from + 1..=to {
        out += &chunk(&format!("id: {event}\ndata: e{event}\n\n"));
    }
    out += if is_whole { "0\r\n\r\n" } else { "9\r\nid: 99\nda\r\n" };
    stream.write_all(out.as_bytes()).await.is_ok() && is_whole
}

async fn send_paced(
    stream: &mut TcpStream,
    signed: &str,
    to: u64,
    pause: Duration,
    confidence: u8,
) -> bool {
    let head = stream_head(signed, confidence);
    if stream.write_all(head.as_bytes()).await.is_err() {
        return false;
    }
    for event in 1..=to {
        let text = chunk(&format!("id: {event}\ndata: e{event}\n\n"));
        if stream.write_all(text.as_bytes()).await.is_err() {
            return false;
        }
        sleep(pause).await;
    }
    stream.write_all(b"0\r\n\r\n").await.is_ok()
}
