//! Simulated callers. Each sends requests on one connection until it ends, then connects to another entry.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::record::{Exchange, ODD_HEADER, Outcome, Record, RequestKind, WITHDRAWN_KEY};

/// Longest time that a caller waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Mean pause of a caller between two requests.
const MEAN_PAUSE_MS: u64 = 20;
/// Maximum number of requests that a caller sends on one connection.
const MAX_REQUESTS_PER_CONNECTION: u64 = 12;

/// Number of sessions that callers use: so many that an entry has not seen most of them recently.
const SESSION_COUNT: u32 = 400;

/// One request in this many is odd: the servers reject it with status 421.
const ODD_REQUEST_INTERVAL: u64 = 40;

/// Time between two sends of a repeated request.
const REPEAT_INTERVAL: Duration = Duration::from_millis(150);

/// Parameters of a sent request that are recorded with its outcome.
struct RequestInfo {
    id: String,
    kind: RequestKind,
    entry: usize,
    key: &'static str,
}

/// State shared by all callers.
pub struct Callers {
    pub record: Arc<Record>,
    /// Addresses at which the entries accept requests.
    pub entries: Vec<SocketAddr>,
    /// Whether the load balancer sends new connections to the entry, by entry.
    pub in_rotation: Vec<AtomicBool>,
    pub is_stopped: AtomicBool,
    pub next_id: AtomicU64,
}

impl Callers {
    /// Sends requests with the same body to random entries, without waiting for the answers.
    pub async fn repeat_request(self: &Arc<Self>, body: String, seed: u64, duration: Duration) {
        self.send_repeatedly(|_| body.clone(), None, seed, duration).await;
    }

    /// Sends requests that have a prompt part in common, no two alike, to random entries.
    pub async fn repeat_part(self: &Arc<Self>, part: &str, seed: u64, duration: Duration) {
        let body = |id: &str| format!("with a part {id}");
        self.send_repeatedly(body, Some(part), seed, duration).await;
    }

    /// Sends requests with this prompt part, whose body depends on their id.
    async fn send_repeatedly(
        self: &Arc<Self>,
        body: impl Fn(&str) -> String,
        part: Option<&str>,
        seed: u64,
        duration: Duration,
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut sends = JoinSet::new();
        let until = Instant::now() + duration;
        while Instant::now() < until {
            let entry = self.choose_entry(&mut rng);
            let id = format!("soak-{}", self.next_id.fetch_add(1, Ordering::SeqCst));
            let req = build_request(&id, RequestKind::Stream, "key-1", 0, &body(&id), part);
            let info = RequestInfo { id, kind: RequestKind::Stream, entry, key: "key-1" };
            let callers = self.clone();
            sends.spawn(async move { callers.send_on_new_connection(info, req).await });
            sleep(REPEAT_INTERVAL).await;
        }
        while sends.join_next().await.is_some() {}
    }

    /// Sends a request on a new connection.
    async fn send_on_new_connection(&self, info: RequestInfo, req: Request<Full<Bytes>>) {
        let connecting = TcpStream::connect(self.entries[info.entry]);
        let Ok(Ok(stream)) = timeout(Duration::from_secs(1), connecting).await else {
            return;
        };
        let Ok((mut sender, connection)) = handshake(TokioIo::new(stream)).await else {
            return;
        };
        // Errors of the connection show in the exchange.
        let connection = tokio::spawn(async move { drop(connection.await) });
        self.send_recorded(&mut sender, info, req).await;
        connection.abort();
    }

    /// Runs one caller until `is_stopped` is set.
    pub async fn run_caller(self: Arc<Self>, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        while !self.is_stopped.load(Ordering::SeqCst) {
            let entry = self.choose_entry(&mut rng);
            let Ok(Ok(stream)) =
                timeout(Duration::from_secs(1), TcpStream::connect(self.entries[entry])).await
            else {
                sleep(Duration::from_millis(MEAN_PAUSE_MS)).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let Ok((mut sender, connection)) = handshake(TokioIo::new(stream)).await else {
                continue;
            };
            // Errors of the connection show in the exchange.
            let connection = tokio::spawn(async move { drop(connection.await) });
            for _ in 0..rng.random_range(1..=MAX_REQUESTS_PER_CONNECTION) {
                if sender.ready().await.is_err() || self.is_stopped.load(Ordering::SeqCst) {
                    break;
                }
                let keeps_connection = self.send_random_request(&mut sender, entry, &mut rng).await;
                if !keeps_connection {
                    break;
                }
                sleep(Duration::from_millis(rng.random_range(0..2 * MEAN_PAUSE_MS))).await;
            }
            connection.abort();
        }
    }

    /// Draws an entry in rotation, or any entry if none is.
    fn choose_entry(&self, rng: &mut impl Rng) -> usize {
        let all: Vec<usize> = (0..self.entries.len()).collect();
        let ready: Vec<usize> = all
            .iter()
            .copied()
            .filter(|entry| self.in_rotation[*entry].load(Ordering::SeqCst))
            .collect();
        let from = if ready.is_empty() { all } else { ready };
        from[rng.random_range(0..from.len())]
    }

    /// Sends a random request; returns whether the connection stays open.
    async fn send_random_request(
        &self,
        sender: &mut SendRequest<Full<Bytes>>,
        entry: usize,
        rng: &mut impl Rng,
    ) -> bool {
        let kind = [RequestKind::Idempotent, RequestKind::NonIdempotent, RequestKind::Stream]
            [rng.random_range(0..3)];
        let key = if rng.random_range(0..10) == 0 { WITHDRAWN_KEY } else { "key-1" };
        let number = self.next_id.fetch_add(1, Ordering::SeqCst);
        let id = format!("soak-{number}");
        let session = rng.random_range(0..SESSION_COUNT);
        let mut req = build_request(&id, kind, key, session, "asked", None);
        if number.is_multiple_of(ODD_REQUEST_INTERVAL) {
            req.headers_mut().insert(ODD_HEADER, HeaderValue::from(number));
        }
        self.send_recorded(sender, RequestInfo { id, kind, entry, key }, req).await
    }

    /// Sends a request and records its outcome; returns whether the connection stays open.
    async fn send_recorded(
        &self,
        sender: &mut SendRequest<Full<Bytes>>,
        info: RequestInfo,
        req: Request<Full<Bytes>>,
    ) -> bool {
        let sent = Instant::now();
        let (outcome, keeps_connection) =
            match timeout(ANSWER_TIMEOUT, send_request(sender, req)).await {
                Ok(done) => done,
                // Nothing is promised beyond the deadline of the request, which is shorter.
                Err(_) => (Outcome::TimedOut, false),
            };
        let ended = Instant::now();
        let RequestInfo { id, kind, entry, key } = info;
        let exchange = Exchange { id, kind, entry, key, sent, ended, outcome };
        self.record.exchanges.lock().unwrap().push(exchange);
        keeps_connection
    }
}

fn build_request(
    id: &str,
    kind: RequestKind,
    key: &str,
    session: u32,
    body: &str,
    part: Option<&str>,
) -> Request<Full<Bytes>> {
    let (method, path) = match kind {
        RequestKind::Idempotent => ("GET", "/safe/a"),
        RequestKind::NonIdempotent => ("POST", "/once/a"),
        RequestKind::Stream => ("POST", "/chat/a"),
    };
    let body =
        if method == "POST" { Bytes::copy_from_slice(body.as_bytes()) } else { Bytes::new() };
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "h.example")
        .header("x-request-id", id)
        .header("authorization", format!("Bearer {key}"))
        .header("x-deadline-ms", "4000")
        .header("x-model", "*")
        .header("x-prefix-hash", format!("c0:100,{}:50,{id}:10", part.unwrap_or("5b")))
        .header("session", format!("s-{session}"))
        .body(Full::new(body))
        .unwrap()
}

/// Sends a request and reads the whole answer; returns the outcome and whether the connection stays open.
async fn send_request(
    sender: &mut SendRequest<Full<Bytes>>,
    req: Request<Full<Bytes>>,
) -> (Outcome, bool) {
    let mut res = match sender.try_send_request(req).await {
        Ok(res) => res,
        Err(mut e) => {
            // A request that raced with the entry's close of the connection was never sent.
            let is_unsent = e.take_message().is_some();
            return (if is_unsent { Outcome::NotSent } else { Outcome::NoAnswer }, false);
        }
    };
    let mut body = Vec::new();
    while let Some(frame) = res.body_mut().frame().await {
        match frame {
            Ok(frame) => body.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
            Err(_) => {
                let body = String::from_utf8_lossy(&body).into_owned();
                return (Outcome::Broken { body }, false);
            }
        }
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    let is_signed = res.headers().contains_key("x-instance-stamp");
    let closes = res.headers().get("connection").is_some_and(|value| value == "close");
    let status = StatusCode::as_u16(&res.status());
    (Outcome::Answered { status, body, is_signed }, !closes)
}
