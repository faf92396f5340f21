//! Client of the platform's list of Hosts, which lags behind the actual state.

use std::{fmt, io::Read, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use flate2::read::GzDecoder;
use http::{
    HeaderMap, HeaderValue, Method, StatusCode,
    header::{ACCEPT_ENCODING, CONTENT_ENCODING, ETAG, IF_NONE_MATCH},
};
use serde::{Deserialize, Serialize};

use crate::{
    ids::ServerId,
    platform::{
        Error, HttpClient, HttpReply, ReplyFuture, Result, http_client::check_status,
        json_parts::parse_list,
    },
    sync::Mutex,
    telemetry::event,
};

const TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of the decompressed list in bytes.
const MAX_LIST_BYTES: u64 = 64 << 20;

/// Whether a Host stays in service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    #[default]
    Live,
    /// About to be removed.
    Leaving,
}

/// What runs on a Host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry, which accepts callers' requests.
    Entry,
    /// An agent next to this BackendServer.
    Agent(ServerId),
}

/// A Host in the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the Host.
    pub name: Box<str>,
    /// Region of the Host.
    pub region: Box<str>,
    /// AvailabilityZone of the Host.
    pub zone: Box<str>,
    /// Address at which its process accepts links.
    pub address: SocketAddr,
    /// Process that runs on the Host.
    pub role: Role,
    /// Whether the Host stays in service.
    #[serde(default)]
    pub state: HostState,
}

/// Client of the service that lists the Hosts.
#[derive(Clone)]
pub struct HostsClient {
    send: Arc<dyn Fn() -> ReplyFuture<Option<Vec<Host>>> + Send + Sync>,
}

impl fmt::Debug for HostsClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("HostsClient")
    }
}

impl HostsClient {
    /// Creates a client whose calls go through `send`; tests pass a fake.
    pub fn new(send: impl Fn() -> ReplyFuture<Option<Vec<Host>>> + Send + Sync + 'static) -> Self {
        Self { send: Arc::new(send) }
    }

    /// Creates a client of the HTTP service at `base`. It sends the ETag of the last list, since at the size
    /// in `docs/CAPACITY.md` loading the full list on each poll would take a hundred times a node's budget.
    pub fn over_http(http: HttpClient, base: &str) -> Self {
        let uri: Arc<str> = format!("{base}/v1/hosts").into();
        let etag: Arc<Mutex<Option<HeaderValue>>> = Arc::default();
        Self::new(move || Box::pin(fetch(http.clone(), uri.clone(), etag.clone())))
    }

    /// Reads the list; `None` if it has not changed since the last call.
    ///
    /// # Errors
    /// When the service can't be reached or its reply is invalid.
    pub async fn poll(&self) -> Result<Option<Vec<Host>>> {
        (self.send)().await
    }
}

async fn fetch(
    http: HttpClient,
    uri: Arc<str>,
    etag: Arc<Mutex<Option<HeaderValue>>>,
) -> Result<Option<Vec<Host>>> {
    let mut headers = HeaderMap::new();
    headers.insert(ACCEPT_ENCODING, HeaderValue::from_static("gzip"));
    if let Some(etag) = etag.lock().clone() {
        headers.insert(IF_NONE_MATCH, etag);
    }
    let reply = http.call(Method::GET, &uri, headers, Bytes::new(), TIMEOUT).await?;
    if reply.status == StatusCode::NOT_MODIFIED {
        return Ok(None);
    }
    check_status(&uri, &reply)?;
    let body = decompress(&reply)?;
    let (hosts, unreadable) =
        parse_list(&body).ok_or_else(|| Error::Unreadable(format!("{uri}: not a list").into()))?;
    if unreadable > 0 {
        event::DOCUMENT_UNREADABLE.log(format_args!("cause=\"Hosts\" unreadable={unreadable}"));
    }
    *etag.lock() = reply.headers.get(ETAG).cloned();
    Ok(Some(hosts))
}

fn decompress(reply: &HttpReply) -> Result<Vec<u8>> {
    if reply.headers.get(CONTENT_ENCODING).is_none_or(|coding| coding != "gzip") {
        return Ok(reply.body.to_vec());
    }
    let mut body = Vec::new();
    GzDecoder::new(&*reply.body)
        .take(MAX_LIST_BYTES)
        .read_to_end(&mut body)
        .map_err(|e| Error::Unreadable(format!("gzip: {e}").into()))?;
    Ok(body)
}
