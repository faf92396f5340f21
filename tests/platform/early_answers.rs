//! Servers that answer an upload before they have read it.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use serde_json::json;
use socket2::SockRef;
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::{
    site::{Answer, Site, configuration, events, request_bytes_with_id, server_row},
    store::Store,
};

/// Size of an upload, more than the sockets on its way hold.
const UPLOAD: usize = 3 << 20;
/// Pause of a caller before it comes back.
const RETURN_PAUSE: Duration = Duration::from_millis(100);
/// Prefixes of the routes, each with its service.
const ROUTES: [(&str, &str); 4] =
    [("/safe/", "app"), ("/once/", "app"), ("/plain/", "llm"), ("/chat/", "llm")];

/// What a server does with each connection once it has read the head of a request on it.
#[derive(Clone, Copy, Debug)]
enum Then {
    /// Closes it after a pause, with the upload unread.
    Close(Duration),
    /// Resets it after a pause.
    Reset(Duration),
    /// Reads the upload, and then further requests.
    Read,
    /// Keeps it open and reads nothing.
    Keep,
}

/// A server that sends a response as soon as it has read the head of a request.
#[derive(Clone)]
struct EarlyServer {
    /// Status line, header lines and body, as they are sent.
    response: Arc<str>,
    then: Then,
    /// Request lines in the order in which they came.
    request_lines: Arc<Mutex<Vec<String>>>,
}

impl EarlyServer {
    /// Starts a server and an entry that knows it.
    async fn start(response: &str, then: Then, service: &str) -> (Self, Site) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let store = Store::start().await;
        let mut config = configuration(1);
        config["limits"]["max-body-bytes"] = json!(2 * UPLOAD);
        store.put("op", "config", &config);
        let row = server_row(listener.local_addr().unwrap(), service, "v1", "ready");
        store.put("servers", "i-1", &row);
        let server = Self { response: response.into(), then, request_lines: Arc::default() };
        let accepting = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(accepting.clone().serve(stream));
            }
        });
        let site = Site::start_with_store(store).await;
        site.wait_for_servers(1).await;
        (server, site)
    }

    async fn serve(self, stream: TcpStream) -> Option<()> {
        let mut stream = BufReader::new(stream);
        loop {
            let (id, length) = self.read_head(&mut stream).await?;
            let response = self.response.replace("{id}", &id);
            stream.get_mut().write_all(response.as_bytes()).await.ok()?;
            match self.then {
                Then::Close(pause) => {
                    sleep(pause).await;
                    return None;
                }
                Then::Reset(pause) => {
                    sleep(pause).await;
                    SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
                    return None;
                }
                Then::Read => {
                    let mut upload = vec![0; length];
                    stream.read_exact(&mut upload).await.ok()?;
                }
                Then::Keep => return std::future::pending().await,
            }
        }
    }

    /// Reads the head of a request; returns its id and the length of its body.
    async fn read_head(&self, stream: &mut BufReader<TcpStream>) -> Option<(String, usize)> {
        let (mut id, mut length, mut line) = (String::new(), 0, String::new());
        let mut is_first = true;
        loop {
            line.clear();
            stream.read_line(&mut line).await.ok().filter(|read| *read > 0)?;
            let line = line.trim_end();
            if std::mem::take(&mut is_first) {
                self.request_lines.lock().unwrap().push(line.to_owned());
            }
            match line.split_once(": ") {
                Some((name, value)) if name.eq_ignore_ascii_case("x-request-id") => {
                    id = value.to_owned();
                }
                Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                    length = value.parse().ok()?;
                }
                _ if line.is_empty() => return Some((id, length)),
                _ => {}
            }
        }
    }
}

/// Head of a response with these header lines.
fn head(version: &str, headers: &str) -> String {
    format!(
        "HTTP/{version} 200 X\r\nX-Request-Id: {{id}}\r\nX-Instance-Stamp: s\r\nContent-Type: text/event-stream\r\nX-Confidence: 90\r\n{headers}\r\n"
    )
}

/// Sends an upload, on another connection if one is closed unread, as an entry does that lacks processor time.
async fn upload(site: &Site, path: &str) -> Answer {
    let request = request_bytes_with_id(path, "POST", path, "", &"u".repeat(UPLOAD));
    loop {
        let mut stream = TcpStream::connect(site.caller).await.unwrap();
        let mut raw = Vec::new();
        if stream.write_all(request.as_bytes()).await.is_ok() {
            // After a reset, what arrived before it counts as a part.
            let _ = stream.read_to_end(&mut raw).await;
            return Answer::parse(&raw);
        }
        sleep(RETURN_PAUSE).await;
    }
}

/// Whether the caller of an upload gets a part of a response as a whole success.
async fn gets_part(response: &str, then: Then, (route, service): (&str, &str)) -> bool {
    let (server, site) = EarlyServer::start(response, then, service).await;

    let answer = upload(&site, &format!("{route}a")).await;

    let runs = server.request_lines.lock().unwrap().len();
    assert!(runs == 1 || route != "/once/", "{runs} runs: {route} {then:?}");
    answer.status == 200 && answer.is_whole
}

/// Guards against a part of a response that a caller gets as a complete one: the server ended while the upload was
/// written.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_of_an_early_answer_is_never_a_whole_one() {
    let part = events(2) + "id: 3\nda";
    let length = format!("Content-Length: {}\r\n", events(9).len());
    let responses =
        [head("1.1", "") + &part, head("1.0", "") + &part, head("1.1", &length) + &part];
    for pause in [0, 30, 300].map(Duration::from_millis) {
        for then in [Then::Close(pause), Then::Reset(pause)] {
            for response in &responses {
                for route in ROUTES {
                    let is_whole = gets_part(response, then, route).await;

                    assert!(!is_whole, "{route:?} {then:?} {response}");
                }
            }
        }
    }
}

/// Guards against a server whose reset is taken for the end of its response, between two events.
#[tokio::test(flavor = "multi_thread")]
async fn an_early_answer_without_a_length_that_is_reset_is_never_whole() {
    for pause in [0, 30, 300].map(Duration::from_millis) {
        for version in ["1.1", "1.0"] {
            let response = head(version, "") + &events(2);
            for route in ROUTES {
                let is_whole = gets_part(&response, Then::Reset(pause), route).await;

                assert!(!is_whole, "{route:?} {pause:?} {version}");
            }
        }
    }
}

/// Guards against the rest of an upload that reaches another request, and against an answer that is lost for it.
#[tokio::test(flavor = "multi_thread")]
async fn a_complete_early_answer_is_passed_on_and_its_upload_harms_no_other_request() {
    let body = events(4);
    let response = head("1.1", &format!("Content-Length: {}\r\n", body.len())) + &body;
    for (then, requests) in [(Then::Read, 3), (Then::Keep, 1)] {
        for (route, service) in ROUTES {
            let (server, site) = EarlyServer::start(&response, then, service).await;

            for number in 0..requests {
                let answer = upload(&site, &format!("{route}{number}")).await;

                let got = (answer.status, answer.is_whole, &*answer.body);
                assert_eq!(got, (200, true, &*body), "{then:?} {route}");
            }
            let lines = server.request_lines.lock().unwrap().clone();
            let expected = (0..requests).map(|number| format!("POST {route}{number} HTTP/1.1"));
            assert_eq!(lines, expected.collect::<Vec<_>>(), "{then:?}");
        }
    }
}
