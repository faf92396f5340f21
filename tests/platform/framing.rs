//! Framing of responses: the caller's message is framed by what is sent to the caller, whatever framed the server's
//! (docs/incidents/0023).

use std::time::Duration;

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::TcpStream,
    time::timeout,
};

use crate::{
    server::{Action, ReceivedRequest, Server, chunk},
    site::{Site, events},
};

/// Longest wait for a response. It only stops tests that hang: no test measures time by it.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

const OK: &str = "HTTP/1.1 200 X";
const STREAM_HEADERS: &str = "Content-Type: text/event-stream\r\nX-Confidence: 90\r\n";
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";

/// Prefixes of the routes: idempotent, once-only, stream and resumable stream.
const ROUTES: [&str; 4] = ["/safe/", "/once/", "/plain/", "/chat/"];

/// A body of four events, which buffered routes pass on as well.
fn body() -> String {
    events(4)
}

fn length_header(bytes: usize) -> String {
    format!("Content-Length: {bytes}\r\n")
}

/// The body in two chunks, and the last chunk.
fn chunked_body() -> String {
    let (head, tail) = (events(2), body()[events(2).len()..].to_owned());
    chunk(&head) + &chunk(&tail) + "0\r\n\r\n"
}

/// A response with these header lines and this body, after which the connection stays open.
fn kept(headers: &str, body: impl Into<String>) -> Action {
    raw(OK, headers, body.into(), true)
}

fn raw(status_line: &'static str, headers: &str, body: String, keeps_connection: bool) -> Action {
    let headers = format!("{STREAM_HEADERS}{headers}");
    Action::Raw { status_line, headers, body, keeps_connection }
}

/// A caller that keeps its connection and reads responses strictly by RFC 9112.
struct KeptCaller {
    stream: BufReader<TcpStream>,
    /// Number of requests sent.
    sent: usize,
}

/// A response as a strict reader takes it.
#[derive(Debug)]
struct StrictResponse {
    status: u16,
    /// Header lines, with their names in lower case.
    headers: Vec<(String, String)>,
    body: String,
}

impl StrictResponse {
    fn values(&self, name: &str) -> Vec<&str> {
        let named = self.headers.iter().filter(|(n, _)| n == name);
        named.map(|(_, value)| value.as_str()).collect()
    }
}

impl KeptCaller {
    async fn connect(site: &Site) -> Self {
        let stream = BufReader::new(TcpStream::connect(site.caller).await.unwrap());
        Self { stream, sent: 0 }
    }

    /// Sends a request and reads its response; the error says what a strict reader objects to.
    async fn exchange(&mut self, method: &str, path: &str) -> Result<StrictResponse, String> {
        self.sent += 1;
        let number = self.sent;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r-{number}\r\nAuthorization: Bearer key-1\r\nX-Deadline-Ms: 5000\r\nX-Prefix-Hash: a1:100,a2:50\r\nContent-Length: 0\r\n\r\n"
        );
        self.stream.get_mut().write_all(request.as_bytes()).await.map_err(|e| e.to_string())?;
        let read = timeout(RESPONSE_TIMEOUT, self.read_response(method));
        read.await.map_err(|_| "no complete response".to_owned())?
    }

    async fn read_line(&mut self) -> Result<String, String> {
        let mut line = String::new();
        self.stream.read_line(&mut line).await.map_err(|e| e.to_string())?;
        line.strip_suffix("\r\n").map(Into::into).ok_or(format!("the connection ended: {line:?}"))
    }

    async fn read_exact(&mut self, bytes: usize) -> Result<String, String> {
        let mut body = vec![0; bytes];
        self.stream.read_exact(&mut body).await.map_err(|e| e.to_string())?;
        String::from_utf8(body).map_err(|e| e.to_string())
    }

    async fn read_response(&mut self, method: &str) -> Result<StrictResponse, String> {
        let status_line = self.read_line().await?;
        let status = status_line.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3));
        let status: u16 = status
            .and_then(|s| s.parse().ok())
            .ok_or(format!("no status line: {status_line:?}"))?;
        let mut headers = Vec::new();
        loop {
            let line = self.read_line().await?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(": ").ok_or(format!("no header: {line:?}"))?;
            headers.push((name.to_lowercase(), value.to_owned()));
        }
        let mut response = StrictResponse { status, headers, body: String::new() };
        response.body = self.read_body(&response, method).await?;
        Ok(response)
    }

    async fn read_body(
        &mut self,
        response: &StrictResponse,
        method: &str,
    ) -> Result<String, String> {
        let framing = (response.values("content-length"), response.values("transfer-encoding"));
        let has_no_body = method == "HEAD" || matches!(response.status, 204 | 304);
        match (&framing.0[..], &framing.1[..]) {
            ([], []) if has_no_body => Ok(String::new()),
            ([_], []) if has_no_body && response.status != 204 => Ok(String::new()),
            ([length], []) if length.bytes().all(|b| b.is_ascii_digit()) => {
                self.read_exact(length.parse().map_err(|_| "length too large")?).await
            }
            ([], ["chunked"]) => self.read_chunks().await,
            _ => Err(format!("{}: ambiguous framing {framing:?}", response.status)),
        }
    }

    async fn read_chunks(&mut self) -> Result<String, String> {
        let mut body = String::new();
        loop {
            let line = self.read_line().await?;
            let size = usize::from_str_radix(&line, 16).map_err(|_| format!("chunk {line:?}"))?;
            let data = self.read_exact(size + 2).await?;
            body += data.strip_suffix("\r\n").ok_or("a chunk without its end")?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
}

/// Starts a server that gives this response to the paths that end in `/x`, and a good one with a length to all others.
async fn start_server(id: &str, action: Action) -> Server {
    Server::start(id, move |request: &ReceivedRequest| {
        if request.request_line.contains("/x ") {
            return action.clone();
        }
        kept(&length_header(body().len()), body())
    })
    .await
}

/// Sends a request to which the server responds in this form, and right after its response another one on the same
/// connection, if it is still open. Returns the first response; panics unless the second one is whole.
async fn exchange_with_next(action: Action, method: &str, route: &str) -> StrictResponse {
    let app = start_server("i-app", action.clone()).await;
    let llm = start_server("i-llm", action.clone()).await;
    let site = Site::start(&[(&app, "app", "v1"), (&llm, "llm", "v1")]).await;
    let mut caller = KeptCaller::connect(&site).await;
    let what = format!("{method} {route} {action:?}");

    let response = caller.exchange(method, &format!("{route}x")).await;
    let response = response.unwrap_or_else(|e| panic!("{what}: {e}"));
    if response.values("connection") == ["close"] {
        return response;
    }
    let next = caller.exchange("POST", &format!("{route}next")).await;
    let next = next.unwrap_or_else(|e| panic!("the request after {what}: {e}"));

    assert_eq!((next.status, next.body), (200, body()), "the request after {what}");
    response
}

/// Guards against a whole response that the caller takes for complete before its end, and whose rest follows where the
/// next response is due: a `Content-Length` beside chunks does not describe the body.
#[tokio::test(flavor = "multi_thread")]
async fn a_length_beside_chunks_is_not_passed_on() {
    let length = body().len();
    let lengths = [
        length_header(5),
        length_header(0),
        length_header(length),
        length_header(length + 100),
        length_header(5) + &length_header(6),
        "content-LENGTH: 5\r\n".into(),
        "Content-Length: 5, 9\r\n".into(),
        "Content-Length: +5\r\n".into(),
        "Content-Length: five\r\n".into(),
    ];
    for length in lengths {
        for headers in [format!("{length}{CHUNKED}"), format!("{CHUNKED}{length}")] {
            for route in ROUTES {
                let response =
                    exchange_with_next(kept(&headers, chunked_body()), "POST", route).await;

                assert_eq!((response.status, response.body), (200, body()), "{route} {headers}");
            }
        }
    }
}

/// The failure of a server is passed on like a success, on the last attempt that is allowed.
#[tokio::test(flavor = "multi_thread")]
async fn a_length_beside_the_chunks_of_a_failure_is_not_passed_on() {
    let headers = length_header(5) + CHUNKED;
    for route in ROUTES {
        let failure = raw("HTTP/1.1 500 X", &headers, chunked_body(), true);

        let response = exchange_with_next(failure, "POST", route).await;

        assert_eq!((response.status, response.body), (500, body()), "{route}");
    }
}

/// Guards against the length of one server's response around events of two servers.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_stream_does_not_keep_the_length_of_its_first_server() {
    let whole = body();
    for (headers, breaks) in [
        (length_header(whole.len()), events(2)),
        (length_header(5) + CHUNKED, chunk(&events(2))),
        (CHUNKED.to_owned() + &length_header(5), chunk(&(events(2) + "id: 3\n"))),
    ] {
        let breaks = raw(OK, &headers, breaks, false);
        let server = Server::start("i-1", move |request: &ReceivedRequest| {
            match (request.request_line.contains("/x "), request.header("last-event-id")) {
                (true, "2") => kept(CHUNKED, chunk(&body()[events(2).len()..]) + "0\r\n\r\n"),
                (true, _) => breaks.clone(),
                (false, _) => kept(&length_header(body().len()), body()),
            }
        })
        .await;
        let site = Site::start(&[(&server, "llm", "v1")]).await;
        let mut caller = KeptCaller::connect(&site).await;

        let response = caller.exchange("POST", "/chat/x").await.unwrap();
        let next = caller.exchange("POST", "/chat/next").await.unwrap();

        assert_eq!((response.status, response.body), (200, whole.clone()), "{headers}");
        assert_eq!((next.status, next.body), (200, whole.clone()), "{headers}");
    }
}

/// Guards against the length of one model's answer around another's.
#[tokio::test(flavor = "multi_thread")]
async fn an_escalated_answer_does_not_keep_the_length_of_the_smaller_model() {
    let server = Server::start("i-1", |request: &ReceivedRequest| {
        let (headers, body) = match request.header("x-model") {
            "small" => ("X-Confidence: 10\r\n", chunk(&events(1)) + "0\r\n\r\n"),
            _ => ("X-Confidence: 90\r\n", chunked_body()),
        };
        let headers = format!("{headers}{}{CHUNKED}", length_header(5));
        Action::Raw { status_line: OK, headers, body, keeps_connection: true }
    })
    .await;
    let site = Site::start(&[(&server, "llm", "v1")]).await;
    let mut caller = KeptCaller::connect(&site).await;

    for path in ["/chat/a", "/chat/b"] {
        let response = caller.exchange("POST", path).await.unwrap();
        assert_eq!((response.status, response.body), (200, body()), "{path}");
    }
}

/// The response to a HEAD request has no body; its length is that of the response to a GET request.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_to_head_states_a_length_only_if_the_server_does() {
    let length = body().len().to_string();
    let cases = [
        (length_header(body().len()), vec![length.as_str()]),
        (format!("Content-Length: {length}, {length}\r\n"), vec![length.as_str()]),
        (length_header(5) + CHUNKED, vec![]),
        ("Content-Length: +5\r\n".into(), vec![]),
        (CHUNKED.into(), vec![]),
        (String::new(), vec![]),
    ];
    for (headers, lengths) in cases {
        for route in ROUTES {
            let response = exchange_with_next(kept(&headers, ""), "HEAD", route).await;

            assert_eq!((response.status, &*response.body), (200, ""), "{route} {headers}");
            assert_eq!(response.values("content-length"), lengths, "{route} {headers}");
        }
    }
}

/// Statuses without a body end with their head, whatever they state about a body.
#[tokio::test(flavor = "multi_thread")]
async fn a_status_without_a_body_is_passed_on_without_a_length() {
    for status_line in ["HTTP/1.1 204 X", "HTTP/1.1 304 X"] {
        for headers in [
            "",
            "Content-Length: 64\r\n",
            CHUNKED,
            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        ] {
            for route in ROUTES {
                let response = exchange_with_next(
                    raw(status_line, headers, String::new(), true),
                    "POST",
                    route,
                )
                .await;

                assert!(status_line.contains(&response.status.to_string()), "{route} {headers}");
                assert_eq!(response.values("content-length"), [""; 0], "{route} {headers}");
            }
        }
    }
}
