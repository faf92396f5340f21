//! A pool of servers that end under some requests and start again a while later, and several entries
//! before it.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    server::{Action, ReceivedRequest, Server},
    site::{Answer, Site, list_life, request_with_id, store_with, until},
    store::Store,
};

/// Body of the request that ends every server that begins to run it.
pub const CRASHING_BODY: &str = "ends whoever runs it";
/// Time from a server's end to its next life.
pub const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Events of a whole answer.
pub const EVENT_COUNT: u64 = 6;

/// What reached the servers, and their ends.
#[derive(Default)]
pub struct CrashRecord {
    /// When the crashing request reached a server, and under which id.
    pub arrivals: Mutex<Vec<(Instant, String)>>,
    /// When a server ended under it.
    pub crashed_at: Mutex<Vec<Instant>>,
}

impl CrashRecord {
    /// Arrivals of the crashing request later than this after the third server had ended under it.
    pub fn arrivals_after_third_crash(&self, tolerance: Duration) -> usize {
        let crashed_at = self.crashed_at.lock().unwrap();
        let Some(third) = crashed_at.get(2) else {
            return 0;
        };
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|(at, _)| *at > *third + tolerance).count()
    }

    /// How many tries of callers all arrivals belong to.
    pub fn distinct_requests(&self) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().map(|(_, id)| id).collect::<HashSet<_>>().len()
    }

    pub fn crash_count(&self) -> usize {
        self.crashed_at.lock().unwrap().len()
    }
}

/// The servers and the store that lists them.
pub struct Pool {
    pub store: Store,
    pub crash_record: Arc<CrashRecord>,
    pub servers: Vec<Server>,
    /// Ends with the pool.
    _restarts: JoinSet<()>,
}

impl Pool {
    /// Servers of a service, each of which answers streams and ends under the crashing request.
    pub async fn start(service: &'static str, number: usize, after_head: bool) -> Self {
        let crash_record = Arc::new(CrashRecord::default());
        let store = store_with(&[]).await;
        let (mut servers, mut restarts) = (Vec::new(), JoinSet::new());
        for i in 0..number {
            let record = crash_record.clone();
            let script = move |request: &ReceivedRequest| {
                if request.body != CRASHING_BODY.as_bytes() {
                    return Action::PacedStream {
                        last_event: EVENT_COUNT,
                        interval: Duration::from_millis(15),
                    };
                }
                let id = request.header("x-request-id").to_owned();
                record.arrivals.lock().unwrap().push((Instant::now(), id));
                record.crashed_at.lock().unwrap().push(Instant::now());
                Action::Crash { after_head }
            };
            let server = Server::start(&format!("i-{i}"), script).await;
            list_life(&store, &server, service, 1_000);
            restarts.spawn(restart_after_crashes(store.clone(), server.clone(), service));
            servers.push(server);
        }
        Self { store, crash_record, servers, _restarts: restarts }
    }

    /// Servers that are in a store already, and are not started again by the pool.
    pub fn with_servers(store: Store, servers: Vec<Server>) -> Self {
        Self { store, crash_record: Arc::default(), servers, _restarts: JoinSet::new() }
    }

    /// Entries before the pool, of which the first two are seeds for all.
    pub async fn start_entries(&self, number: usize) -> Vec<Arc<Site>> {
        let seeds: Vec<_> = (0..2).map(|_| free_address()).collect();
        let mut sites = Vec::new();
        for i in 0..number {
            sites.push(Arc::new(self.start_entry(&seeds, seeds.get(i).copied()).await));
        }
        for site in &sites {
            site.until_in_view(self.servers.len()).await;
        }
        for site in sites.iter().skip(2) {
            let follows = || site.entry.router.dump()["follows_another_entry"] == true;
            until("it follows a seed", follows).await;
        }
        for site in &sites {
            until("all report", || site.entry.router.dump()["entries"] == number).await;
        }
        sites
    }

    /// Entries that know of no seed that lives: none hears from another one.
    pub async fn start_isolated_entries(&self, number: usize) -> Vec<Arc<Site>> {
        let unused_seed = [free_address()];
        let mut sites = Vec::new();
        for _ in 0..number {
            let site = self.start_entry(&unused_seed, None).await;
            site.until_in_view(self.servers.len()).await;
            sites.push(Arc::new(site));
        }
        sites
    }

    /// One entry with these seeds, at this address for other entries if it is to be one of them.
    pub async fn start_entry(&self, seeds: &[SocketAddr], peer: Option<SocketAddr>) -> Site {
        Site::with(self.store.clone(), |host| {
            host.seed_peers = seeds.to_vec();
            host.peer_address = peer.or(host.peer_address);
        })
        .await
    }
}

/// An address that nobody listens at, for an entry that others have to know before it starts. It is on a host
/// address of its own: on the usual one, a connection that is opened meanwhile may be given its port.
pub fn free_address() -> SocketAddr {
    static NEXT_HOST: AtomicUsize = AtomicUsize::new(0);
    let [.., high, low] = NEXT_HOST.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let host = std::net::Ipv4Addr::new(127, 1, high, low.max(1));
    std::net::TcpListener::bind((host, 0)).unwrap().local_addr().unwrap()
}

/// Lists a server's next life a while after each end.
async fn restart_after_crashes(store: Store, server: Server, service: &'static str) {
    let mut incarnation = 0;
    loop {
        server.wait_until_terminated(incarnation).await;
        sleep(RESTART_DELAY).await;
        incarnation = server.restart();
        list_life(&store, &server, service, 1_000 + incarnation as u64);
    }
}

/// Sends a body on a path under a new id.
pub async fn post(site: &Site, path: &str, body: &str) -> Answer {
    static NEXT_ID: AtomicUsize = AtomicUsize::new(0);
    let id = format!("p-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
    site.send(&request_with_id(&id, "POST", path, "X-Model: small\r\n", body)).await
}

/// Asks for the crashing request over and over, at one entry after the other, without waiting for
/// answers.
pub async fn send_crashing_requests(sites: &[Arc<Site>], path: &'static str, duration: Duration) {
    let mut requests = JoinSet::new();
    let end = Instant::now() + duration;
    for site in sites.iter().cycle() {
        if Instant::now() >= end {
            break;
        }
        let site = site.clone();
        requests.spawn(async move { post(&site, path, CRASHING_BODY).await });
        sleep(Duration::from_millis(60)).await;
    }
    while requests.join_next().await.is_some() {}
}

/// Asks for other requests meanwhile, each of its own; how many were asked and how many served whole.
pub async fn send_other_requests(sites: &[Arc<Site>], duration: Duration) -> (usize, usize) {
    let mut requests = JoinSet::new();
    let end = Instant::now() + duration;
    for (i, site) in sites.iter().cycle().enumerate() {
        if Instant::now() >= end {
            break;
        }
        let site = site.clone();
        requests.spawn(async move {
            let answer = post(&site, "/chat/other", &format!("other {i}")).await;
            answer.status == 200 && answer.is_whole
        });
        sleep(Duration::from_millis(20)).await;
    }
    let answers = requests.join_all().await;
    (answers.len(), answers.iter().filter(|is_whole| **is_whole).count())
}
