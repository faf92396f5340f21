//! The platform's lagging list of Hosts.

use std::{
    fmt,
    io::Read,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use flate2::read::GzDecoder;
use http::{
    HeaderMap, HeaderValue, Method, StatusCode,
    header::{ACCEPT_ENCODING, CONTENT_ENCODING, ETAG, IF_NONE_MATCH},
};
use serde::{Deserialize, Serialize};

use crate::{
    ids::ServerId,
    platform::{Error, HttpClient, HttpReply, Reply, Result, http_client::check_status},
};

const TIMEOUT: Duration = Duration::from_secs(2);
/// Largest list read, bytes.
const MAX_LIST: u64 = 64 << 20;

/// Whether a Host stays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    #[default]
    Live,
    /// About to be taken away.
    Leaving,
}

/// What runs on a Host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry.
    Entry,
    /// An agent beside the BackendServer named.
    Agent(ServerId),
}

/// One Host in the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub name: Box<str>,
    /// Region.
    pub region: Box<str>,
    /// AvailabilityZone.
    pub zone: Box<str>,
    /// Where the process on it takes links.
    pub address: SocketAddr,
    /// What runs on it.
    pub role: Role,
    /// Live or leaving.
    #[serde(default)]
    pub state: HostState,
}

/// Client of the host list.
#[derive(Clone)]
pub struct HostsClient {
    send: Arc<dyn Fn() -> Reply<Option<Vec<Host>>> + Send + Sync>,
}

impl fmt::Debug for HostsClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("HostsClient")
    }
}

impl HostsClient {
    /// A client whose calls go through `send`; tests pass a fake.
    pub fn new(send: impl Fn() -> Reply<Option<Vec<Host>>> + Send + Sync + 'static) -> Self {
        Self { send: Arc::new(send) }
    }

    /// A client of the service at `base`, which is asked for changes only: at the size of
    /// `docs/CAPACITY.md` the whole list each time would be a hundred times a node's budget.
    pub fn over_http(http: HttpClient, base: &str) -> Self {
        let uri: Arc<str> = format!("{base}/v1/hosts").into();
        let tag: Arc<Mutex<Option<HeaderValue>>> = Arc::default();
        Self::new(move || Box::pin(fetch(http.clone(), uri.clone(), tag.clone())))
    }

    /// Reads the list; nothing when it has not changed since the last call.
    ///
    /// # Errors
    /// When the service gives no answer.
    pub async fn poll(&self) -> Result<Option<Vec<Host>>> {
        (self.send)().await
    }
}

async fn fetch(
    http: HttpClient,
    uri: Arc<str>,
    tag: Arc<Mutex<Option<HeaderValue>>>,
) -> Result<Option<Vec<Host>>> {
    let mut headers = HeaderMap::new();
    headers.insert(ACCEPT_ENCODING, HeaderValue::from_static("gzip"));
    if let Some(tag) = tag.lock().expect("no panics under the lock").clone() {
        headers.insert(IF_NONE_MATCH, tag);
    }
    let reply = http.call(Method::GET, &uri, headers, Bytes::new(), TIMEOUT).await?;
    if reply.status == StatusCode::NOT_MODIFIED {
        return Ok(None);
    }
    check_status(&uri, &reply)?;
    let body = unpack(&reply)?;
    let hosts = serde_json::from_slice(&body)
        .map_err(|e| Error::Unreadable(format!("{uri}: {e}").into()))?;
    *tag.lock().expect("no panics under the lock") = reply.headers.get(ETAG).cloned();
    Ok(Some(hosts))
}

fn unpack(reply: &HttpReply) -> Result<Vec<u8>> {
    if reply.headers.get(CONTENT_ENCODING).is_none_or(|coding| coding != "gzip") {
        return Ok(reply.body.to_vec());
    }
    let mut body = Vec::new();
    GzDecoder::new(&*reply.body)
        .take(MAX_LIST)
        .read_to_end(&mut body)
        .map_err(|e| Error::Unreadable(format!("gzip: {e}").into()))?;
    Ok(body)
}
