//! A pool of servers that crash on certain requests and restart after a delay, with several entries
//! in front of it.

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
    site::{
        Answer, Site, list_server_with_start_time, request_bytes_with_id, store_with_servers,
        wait_until,
    },
    store::Store,
};

/// Body of the request that crashes every server that begins to run it.
pub const CRASHING_BODY: &str = "ends whoever runs it";
/// Time from a server's crash to its restart.
pub const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Number of events in a complete response.
pub const EVENT_COUNT: u64 = 6;

/// Arrivals of the crashing request at the servers, and the crashes that it caused.
#[derive(Default)]
pub struct CrashRecord {
    /// When the crashing request arrived at a server, and its `X-Request-Id`.
    pub arrivals: Mutex<Vec<(Instant, String)>>,
    /// When a server crashed on it.
    pub crashed_at: Mutex<Vec<Instant>>,
}

impl CrashRecord {
    /// Number of arrivals of crashing requests more than `tolerance` after the crash with this number.
    pub fn arrivals_after_crash(&self, number: usize, tolerance: Duration) -> usize {
        let crashed_at = self.crashed_at.lock().unwrap();
        let Some(crash) = crashed_at.get(number - 1) else {
            return 0;
        };
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|(at, _)| *at > *crash + tolerance).count()
    }

    /// Number of distinct caller requests among the arrivals.
    pub fn distinct_requests(&self) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().map(|(_, id)| id).collect::<HashSet<_>>().len()
    }

    /// Number of crashes.
    pub fn crash_count(&self) -> usize {
        self.crashed_at.lock().unwrap().len()
    }
}

/// Servers, and the store that lists them.
pub struct Pool {
    pub store: Store,
    pub crash_record: Arc<CrashRecord>,
    pub servers: Vec<Server>,
    /// Tasks that restart crashed servers; they stop when the pool is dropped.
    _restarts: JoinSet<()>,
}

impl Pool {
    /// Starts servers of a service that respond with streams and crash on the crashing request.
    pub async fn start(service: &'static str, number: usize, after_head: bool) -> Self {
        let has_crashing_body =
            |request: &ReceivedRequest| request.body == CRASHING_BODY.as_bytes();
        Self::start_crashing_on(service, number, after_head, has_crashing_body).await
    }

    /// Like [`Pool::start`], with servers that crash on all requests for which `crashes` is true.
    pub async fn start_crashing_on(
        service: &'static str,
        number: usize,
        after_head: bool,
        crashes: impl Fn(&ReceivedRequest) -> bool + Clone + Send + Sync + 'static,
    ) -> Self {
        let crash_record = Arc::new(CrashRecord::default());
        let store = store_with_servers(&[]).await;
        let (mut servers, mut restarts) = (Vec::new(), JoinSet::new());
        for i in 0..number {
            let (record, crashes) = (crash_record.clone(), crashes.clone());
            let script = move |request: &ReceivedRequest| {
                if !crashes(request) {
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
            list_server_with_start_time(&store, &server, service, 1_000);
            restarts.spawn(restart_after_crashes(store.clone(), server.clone(), service));
            servers.push(server);
        }
        Self { store, crash_record, servers, _restarts: restarts }
    }

    /// A pool of servers that are already listed in the store; it does not restart them.
    pub fn with_servers(store: Store, servers: Vec<Server>) -> Self {
        Self { store, crash_record: Arc::default(), servers, _restarts: JoinSet::new() }
    }

    /// Starts entries in front of the pool, the first two of which are the seeds of all, and waits
    /// until each has the servers in view and all report to the seeds.
    pub async fn start_entries(&self, number: usize) -> Vec<Arc<Site>> {
        let seeds: Vec<_> = (0..2).map(|_| free_address()).collect();
        let mut sites = Vec::new();
        for i in 0..number {
            sites.push(Arc::new(self.start_entry(&seeds, seeds.get(i).copied()).await));
        }
        for site in &sites {
            site.wait_for_servers(self.servers.len()).await;
        }
        for site in sites.iter().skip(2) {
            let follows = || site.entry.router.dump()["follows_another_entry"] == true;
            wait_until("the entry follows a seed", follows).await;
        }
        for site in &sites {
            wait_until("all entries report", || site.entry.router.dump()["entries"] == number)
                .await;
        }
        sites
    }

    /// Starts entries whose only seed does not exist, so that they exchange nothing with each
    /// other.
    pub async fn start_isolated_entries(&self, number: usize) -> Vec<Arc<Site>> {
        let unused_seed = [free_address()];
        let mut sites = Vec::new();
        for _ in 0..number {
            let site = self.start_entry(&unused_seed, None).await;
            site.wait_for_servers(self.servers.len()).await;
            sites.push(Arc::new(site));
        }
        sites
    }

    /// Starts one entry with these seeds; `peer` is the address for other entries if it is itself a
    /// seed.
    pub async fn start_entry(&self, seeds: &[SocketAddr], peer: Option<SocketAddr>) -> Site {
        Site::start_with_settings(self.store.clone(), |host| {
            host.seed_peers = seeds.to_vec();
            host.peer_address = peer.or(host.peer_address);
        })
        .await
    }
}

/// An unused address for an entry whose address others need before it starts. Each is on a loopback
/// address of its own: on 127.0.0.1, an outgoing connection that is opened in the meantime may be
/// assigned the same port.
pub fn free_address() -> SocketAddr {
    static NEXT_HOST: AtomicUsize = AtomicUsize::new(0);
    let [.., high, low] = NEXT_HOST.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let host = std::net::Ipv4Addr::new(127, 1, high, low.max(1));
    std::net::TcpListener::bind((host, 0)).unwrap().local_addr().unwrap()
}

/// Restarts a server a while after each crash and lists its next incarnation.
async fn restart_after_crashes(store: Store, server: Server, service: &'static str) {
    let mut incarnation = 0;
    loop {
        server.terminated(incarnation).await;
        sleep(RESTART_DELAY).await;
        incarnation = server.restart();
        list_server_with_start_time(&store, &server, service, 1_000 + incarnation as u64);
    }
}

/// Sends a POST request with a new id.
pub async fn post(site: &Site, path: &str, body: &str) -> Answer {
    post_with_headers(site, path, "", body).await
}

/// Like [`post`], with further header lines.
pub async fn post_with_headers(site: &Site, path: &str, headers: &str, body: &str) -> Answer {
    static NEXT_ID: AtomicUsize = AtomicUsize::new(0);
    let id = format!("p-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
    let headers = format!("X-Model: small\r\n{headers}");
    site.send(&request_bytes_with_id(&id, "POST", path, &headers, body)).await
}

/// Sends the crashing request to the entries in turn, every 60 ms for this duration, without
/// waiting for responses.
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

/// Sends different, harmless requests to the entries in turn for this duration; returns how many
/// were sent and how many got a complete response.
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
