//! Stand-in for the host list, which lags behind what is true.

use std::{
    collections::VecDeque,
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use axum::{
    Json, Router,
    extract::State,
    http::{
        HeaderMap, StatusCode,
        header::{CONTENT_ENCODING, ETAG, IF_NONE_MATCH},
    },
    response::{IntoResponse, Response},
    routing::get,
};
use flate2::{Compression, write::GzEncoder};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    platform::{Host, HostState},
    standin::faults::FaultControl,
};

/// A list and when it begins to show.
type Dated = (Instant, Vec<Host>);

/// The stand-in list.
#[derive(Clone, Debug)]
pub struct HostsStandin {
    lag: Duration,
    lists: Arc<Mutex<VecDeque<Dated>>>,
    sent_bytes: Arc<AtomicU64>,
    /// Fault controls.
    pub faults: FaultControl,
}

impl HostsStandin {
    /// A list that shows each change `lag` late.
    pub fn new(seed: u64, lag: Duration) -> Self {
        Self {
            lag,
            lists: Arc::default(),
            sent_bytes: Arc::default(),
            faults: FaultControl::new(seed),
        }
    }

    /// Sets the true list.
    pub fn set(&self, hosts: Vec<Host>) {
        let mut lists = self.lists.lock().expect("no panics under the lock");
        let at = if lists.is_empty() { Instant::now() } else { Instant::now() + self.lag };
        lists.push_back((at, hosts));
    }

    /// Marks one host as leaving.
    pub fn mark_leaving(&self, name: &str) {
        let newest = self.lists.lock().expect("no panics under the lock").back().cloned();
        let Some((_, mut hosts)) = newest else { return };
        for host in hosts.iter_mut().filter(|host| &*host.name == name) {
            host.state = HostState::Leaving;
        }
        self.set(hosts);
    }

    /// Bytes of lists sent so far, packed.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// What the list shows now.
    pub fn shown(&self) -> Vec<Host> {
        let mut lists = self.lists.lock().expect("no panics under the lock");
        while lists.get(1).is_some_and(|(at, _)| *at <= Instant::now()) {
            lists.pop_front();
        }
        lists.front().map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }

    /// The HTTP face.
    pub fn router(&self) -> Router {
        let router =
            Router::new().route("/v1/hosts", get(show).put(replace)).with_state(self.clone());
        self.faults.wrap(router)
    }
}

/// Answers with the list, packed, or says that the caller has it already.
async fn show(State(hosts): State<HostsStandin>, headers: HeaderMap) -> Response {
    let body = serde_json::to_vec(&hosts.shown()).unwrap_or_default();
    let tag = format!("\"{:016x}\"", xxh3_64(&body));
    if headers.get(IF_NONE_MATCH).is_some_and(|held| held == tag.as_str()) {
        return StatusCode::NOT_MODIFIED.into_response();
    }
    let mut packer = GzEncoder::new(Vec::new(), Compression::default());
    let packed = packer.write_all(&body).and_then(|()| packer.finish());
    let Ok(packed) = packed else {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    let sent = packed.len() as u64;
    hosts.sent_bytes.fetch_add(sent, Ordering::Relaxed);
    ([(ETAG, tag.as_str()), (CONTENT_ENCODING, "gzip")], packed).into_response()
}

async fn replace(State(standin): State<HostsStandin>, Json(hosts): Json<Vec<Host>>) {
    standin.set(hosts);
}
