//! Stand-in for the host list, which lags behind what is true.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use axum::{Json, Router, extract::State, routing::get};

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
    /// Fault controls.
    pub faults: FaultControl,
}

impl HostsStandin {
    /// A list that shows each change `lag` late.
    pub fn new(seed: u64, lag: Duration) -> Self {
        Self {
            lag,
            lists: Arc::default(),
            faults: FaultControl::new(seed),
        }
    }

    /// Sets the true list.
    pub fn set(&self, hosts: Vec<Host>) {
        let mut lists = self.lists.lock().expect("no panics under the lock");
        let at = if lists.is_empty() {
            Instant::now()
        } else {
            Instant::now() + self.lag
        };
        lists.push_back((at, hosts));
    }

    /// Marks one host as leaving.
    pub fn mark_leaving(&self, name: &str) {
        let newest = self
            .lists
            .lock()
            .expect("no panics under the lock")
            .back()
            .cloned();
        let Some((_, mut hosts)) = newest else { return };
        for host in hosts.iter_mut().filter(|host| &*host.name == name) {
            host.state = HostState::Leaving;
        }
        self.set(hosts);
    }

    /// What the list shows now.
    pub fn shown(&self) -> Vec<Host> {
        let mut lists = self.lists.lock().expect("no panics under the lock");
        while lists.get(1).is_some_and(|(at, _)| *at <= Instant::now()) {
            lists.pop_front();
        }
        lists
            .front()
            .map(|(_, hosts)| hosts.clone())
            .unwrap_or_default()
    }

    /// The HTTP face.
    pub fn router(&self) -> Router {
        let router = Router::new()
            .route("/v1/hosts", get(show).put(replace))
            .with_state(self.clone());
        self.faults.wrap(router)
    }
}

async fn show(State(hosts): State<HostsStandin>) -> Json<Vec<Host>> {
    Json(hosts.shown())
}

async fn replace(State(standin): State<HostsStandin>, Json(hosts): Json<Vec<Host>>) {
    standin.set(hosts);
}
