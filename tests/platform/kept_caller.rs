//! A caller that keeps its connection and objects to whatever RFC 9112 does not allow.

use std::time::Duration;

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::TcpStream,
    time::timeout,
};

use crate::site::Site;

/// Longest wait for a response. It only stops tests that hang: no test measures time by it.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// A caller that keeps its connection and reads responses strictly by RFC 9112.
pub struct KeptCaller {
    stream: BufReader<TcpStream>,
    /// Number of requests sent.
    sent: usize,
}

/// A response as a strict reader takes it.
#[derive(Debug)]
pub struct StrictResponse {
    pub status: u16,
    /// Header lines, with their names in lower case.
    headers: Vec<(String, String)>,
    pub body: String,
}

impl StrictResponse {
    /// Values of the header lines with this lower-case name.
    pub fn values(&self, name: &str) -> Vec<&str> {
        let named = self.headers.iter().filter(|(n, _)| n == name);
        named.map(|(_, value)| value.as_str()).collect()
    }
}

impl KeptCaller {
    pub async fn connect(site: &Site) -> Self {
        let stream = BufReader::new(TcpStream::connect(site.caller).await.unwrap());
        Self { stream, sent: 0 }
    }

    /// Sends a request and reads its response; the error says what a strict reader objects to.
    pub async fn exchange(&mut self, method: &str, path: &str) -> Result<StrictResponse, String> {
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
