//! HTTP client for the platform, engines, backend services and the command line.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_rustls::{HttpsConnector, HttpsConnectorBuilder};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio_rustls::rustls::{ClientConfig, RootCertStore, crypto::ring};

use crate::platform::{Error, Result};

/// Maximum time to connect: several round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of TCP keepalive probes, which detect a dead peer during a long poll.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a connection with unacknowledged data is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes that all responses of a client may take while they are read; the largest tables take a few megabytes.
const MAX_READING: usize = 16 << 20;
/// Part of these bytes that one response may take, so that one without an end leaves room for others.
const RESPONSE_PART: f64 = 0.75;
/// Size of the blocks in which a response is stored while it is read, in bytes. One that grows would be copied, and take
/// twice the memory.
const BLOCK: usize = 64 << 10;

/// A complete response.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// HTTP client with a connection pool; clones share the pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpsConnector<HttpConnector>, Full<Bytes>>,
    /// Bytes of responses that may still be read.
    readable: Arc<Semaphore>,
    /// Maximum size of a response, in bytes.
    max_body: usize,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::with_root_certificates(RootCertStore::empty())
    }
}

impl HttpClient {
    /// Creates a client that trusts server certificates issued under `roots`.
    pub fn with_root_certificates(roots: RootCertStore) -> Self {
        let provider = Arc::new(ring::default_provider());
        let config = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .expect("the ring provider has the default protocol versions")
            .with_root_certificates(roots)
            .with_no_client_auth();
        let mut tcp = HttpConnector::new();
        tcp.set_nodelay(true);
        tcp.enforce_http(false);
        tcp.set_connect_timeout(Some(CONNECT_TIMEOUT));
        tcp.set_keepalive(Some(KEEPALIVE_INTERVAL));
        tcp.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        tcp.set_keepalive_retries(Some(1));
        tcp.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let connector = HttpsConnectorBuilder::new()
            .with_tls_config(config)
            .https_or_http()
            .enable_http1()
            .wrap_connector(tcp);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(30))
            .build(connector);
        Self { client, readable: Arc::new(Semaphore::new(0)), max_body: 0 }
            .reading_at_most(MAX_READING)
    }

    /// Limits the bytes of all responses that are read at a time, to less than the default.
    #[must_use]
    pub fn reading_at_most(mut self, bytes: usize) -> Self {
        let bytes = bytes.min(MAX_READING);
        self.readable = Arc::new(Semaphore::new(bytes));
        self.max_body = (bytes as f64 * RESPONSE_PART) as usize;
        self
    }

    /// Sends a request and returns when the response headers have arrived.
    ///
    /// # Errors
    /// [`Error::Refused`] when no connection could be made, [`Error::Unknown`] otherwise.
    pub async fn open(
        &self,
        method: Method,
        uri: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<http::Response<Incoming>> {
        let mut req = Request::builder()
            .method(method)
            .uri(uri)
            .body(Full::new(body))
            .map_err(|e| Error::Refused(e.to_string().into()))?;
        *req.headers_mut() = headers;
        self.client.request(req).await.map_err(|e| {
            let text = format!("{uri}: {e}").into();
            if e.is_connect() { Error::Refused(text) } else { Error::Unknown(text) }
        })
    }

    /// Sends a request and reads the complete response within `timeout`.
    ///
    /// # Errors
    /// Those of [`HttpClient::open`]; a timeout is [`Error::Unknown`].
    pub async fn call(
        &self,
        method: Method,
        uri: &str,
        headers: HeaderMap,
        body: Bytes,
        timeout: Duration,
    ) -> Result<HttpReply> {
        let lost = |e: String| Error::Unknown(format!("{uri}: {e}").into());
        let work = async {
            let res = self.open(method, uri, headers, body).await?;
            let (parts, body) = res.into_parts();
            let body = self.read_body(body).await.map_err(lost)?;
            Ok(HttpReply { status: parts.status, headers: parts.headers, body })
        };
        let Ok(reply) = tokio::time::timeout(timeout, work).await else {
            return Err(lost("timeout".into()));
        };
        reply
    }

    /// Reads a body up to the limits; the error says why it can't be read.
    async fn read_body(&self, mut body: Incoming) -> std::result::Result<Bytes, String> {
        let mut blocks: Vec<Vec<u8>> = Vec::new();
        let mut held: Option<SemaphorePermit<'_>> = None;
        let mut len = 0;
        while let Some(frame) = body.frame().await {
            // Trailers are of no use here.
            let Ok(data) = frame.map_err(|e| e.to_string())?.into_data() else { continue };
            len += data.len();
            if len > self.max_body {
                return Err(format!("the response has more than {} bytes", self.max_body));
            }
            let bytes = u32::try_from(data.len()).map_err(|e| e.to_string())?;
            let room = self.readable.try_acquire_many(bytes);
            let room = room.map_err(|_| "other responses take the memory for responses")?;
            match &mut held {
                Some(held) => held.merge(room),
                None => held = Some(room),
            }
            match blocks.last_mut() {
                Some(block) if block.capacity() - block.len() >= data.len() => {
                    block.extend_from_slice(&data);
                }
                _ => {
                    let mut block = Vec::with_capacity(BLOCK.max(data.len()));
                    block.extend_from_slice(&data);
                    blocks.push(block);
                }
            }
        }
        Ok(blocks.concat().into())
    }

    /// Sends a JSON request and parses a JSON response.
    ///
    /// # Errors
    /// Those of [`HttpClient::call`]. An unsuccessful status is [`Error::Refused`] if it is 503 or a 4xx,
    /// otherwise [`Error::Unknown`]. An invalid body is [`Error::Unreadable`].
    pub async fn call_json<Req: serde::Serialize, Res: serde::de::DeserializeOwned>(
        &self,
        method: Method,
        uri: &str,
        req: &Req,
        timeout: Duration,
    ) -> Result<Res> {
        let body = serde_json::to_vec(req).map_err(|e| Error::Refused(e.to_string().into()))?;
        let mut headers = HeaderMap::new();
        headers.insert("content-type", http::HeaderValue::from_static("application/json"));
        let reply = self.call(method, uri, headers, body.into(), timeout).await?;
        check_status(uri, &reply)?;
        serde_json::from_slice(&reply.body)
            .map_err(|e| Error::Unreadable(format!("{uri}: {e}").into()))
    }
}

/// Maps an unsuccessful status to an error that says whether the call may have had an effect.
pub(crate) fn check_status(uri: &str, reply: &HttpReply) -> Result<()> {
    if reply.status.is_success() {
        return Ok(());
    }
    let text = format!("{uri}: status {}", reply.status).into();
    let refused = [StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];
    if refused.contains(&reply.status) || reply.status.is_client_error() {
        return Err(Error::Refused(text));
    }
    Err(Error::Unknown(text))
}
