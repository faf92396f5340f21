//! The platform's lagging list of Hosts.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use http::Method;
use serde::{Deserialize, Serialize};

use crate::{
    ids::ServerId,
    platform::{HttpClient, Reply},
};

const TIMEOUT: Duration = Duration::from_secs(2);

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
    send: Arc<dyn Fn() -> Reply<Vec<Host>> + Send + Sync>,
}

impl fmt::Debug for HostsClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("HostsClient")
    }
}

impl HostsClient {
    /// A client whose calls go through `send`; tests pass a fake.
    pub fn new(send: impl Fn() -> Reply<Vec<Host>> + Send + Sync + 'static) -> Self {
        Self {
            send: Arc::new(send),
        }
    }

    /// A client of the service at `base`.
    pub fn over_http(http: HttpClient, base: &str) -> Self {
        let uri: Arc<str> = format!("{base}/v1/hosts").into();
        Self::new(move || {
            let (http, uri) = (http.clone(), uri.clone());
            Box::pin(async move { http.call_json(Method::GET, &uri, &(), TIMEOUT).await })
        })
    }

    /// Reads the list.
    ///
    /// # Errors
    /// When the service gives no answer.
    pub async fn list(&self) -> super::Result<Vec<Host>> {
        (self.send)().await
    }
}
