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
    server::{Act, Seen, Server},
    site::{
        Answer, Site, list_server_with_start_time, request_bytes_with_id, store_with_servers,
        wait_until,
    },
    store::Store,
};

/// Body of the request that ends every server that begins to run it.
pub const CRASHING: &str = "ends whoever runs it";
/// Time from a server's end to its next life.
pub const DOWN: Duration = Duration::from_millis(600);
/// Events of a whole answer.
pub const EVENTS: u64 = 6;

/// What reached the servers, and their ends.
#[derive(Default)]
pub struct Witness {
    /// When the crashing request reached a server, and under which id.
    pub arrivals: Mutex<Vec<(Instant, String)>>,
    /// When a server ended under it.
    pub ends: Mutex<Vec<Instant>>,
}

impl Witness {
    /// Arrivals of the crashing request later than this after the third server had ended under it.
    pub fn arrivals_after_third(&self, slack: Duration) -> usize {
        let ends = self.ends.lock().unwrap();
        let Some(third) = ends.get(2) else {
            return 0;
        };
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|(at, _)| *at > *third + slack).count()
    }

    /// How many tries of callers all arrivals belong to.
    pub fn tries(&self) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().map(|(_, id)| id).collect::<HashSet<_>>().len()
    }

    pub fn ends(&self) -> usize {
        self.ends.lock().unwrap().len()
    }
}

/// The servers and the store that lists them.
pub struct Pool {
    pub store: Store,
    pub witness: Arc<Witness>,
    pub servers: Vec<Server>,
    /// Ends with the pool.
    _lives: JoinSet<()>,
}

impl Pool {
    /// Servers of a service, each of which answers streams and ends under the crashing request.
    pub async fn start(service: &'static str, number: usize, has_begun: bool) -> Self {
        let witness = Arc::new(Witness::default());
        let store = store_with_servers(&[]).await;
        let (mut servers, mut lives) = (Vec::new(), JoinSet::new());
        for i in 0..number {
            let seen_by = witness.clone();
            let script = move |seen: &Seen| {
                if seen.body != CRASHING.as_bytes() {
                    return Act::Paced { to: EVENTS, pause: Duration::from_millis(15) };
                }
                let id = seen.header("x-request-id").to_owned();
                seen_by.arrivals.lock().unwrap().push((Instant::now(), id));
                seen_by.ends.lock().unwrap().push(Instant::now());
                Act::Crash { has_begun }
            };
            let server = Server::start(&format!("i-{i}"), script).await;
            list_server_with_start_time(&store, &server, service, 1_000);
            lives.spawn(live_again(store.clone(), server.clone(), service));
            servers.push(server);
        }
        Self { store, witness, servers, _lives: lives }
    }

    /// Servers that are in a store already, and are not started again by the pool.
    pub fn of(store: Store, servers: Vec<Server>) -> Self {
        Self { store, witness: Arc::default(), servers, _lives: JoinSet::new() }
    }

    /// Entries before the pool, of which the first two are seeds for all.
    pub async fn entries(&self, number: usize) -> Vec<Arc<Site>> {
        let seeds: Vec<_> = (0..2).map(|_| free_address()).collect();
        let mut sites = Vec::new();
        for i in 0..number {
            sites.push(Arc::new(self.entry(&seeds, seeds.get(i).copied()).await));
        }
        for site in &sites {
            site.wait_for_servers(self.servers.len()).await;
        }
        for site in sites.iter().skip(2) {
            let follows = || site.entry.router.dump()["follows_another_entry"] == true;
            wait_until("it follows a seed", follows).await;
        }
        for site in &sites {
            wait_until("all report", || site.entry.router.dump()["entries"] == number).await;
        }
        sites
    }

    /// Entries that know of no seed that lives: none hears from another one.
    pub async fn entries_apart(&self, number: usize) -> Vec<Arc<Site>> {
        let nobody = [free_address()];
        let mut sites = Vec::new();
        for _ in 0..number {
            let site = self.entry(&nobody, None).await;
            site.wait_for_servers(self.servers.len()).await;
            sites.push(Arc::new(site));
        }
        sites
    }

    /// One entry with these seeds, at this address for other entries if it is to be one of them.
    pub async fn entry(&self, seeds: &[SocketAddr], peer: Option<SocketAddr>) -> Site {
        Site::start_with_settings(self.store.clone(), |host| {
            host.seed_peers = seeds.to_vec();
            host.peer_address = peer.or(host.peer_address);
        })
        .await
    }
}

/// An address that nobody listens at, for an entry that others have to know before it starts. It is on a host
/// address of its own: on the usual one, a connection that is opened meanwhile may be given its port.
pub fn free_address() -> SocketAddr {
    static GIVEN: AtomicUsize = AtomicUsize::new(0);
    let [.., high, low] = GIVEN.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let host = std::net::Ipv4Addr::new(127, 1, high, low.max(1));
    std::net::TcpListener::bind((host, 0)).unwrap().local_addr().unwrap()
}

/// Lists a server's next life a while after each end.
async fn live_again(store: Store, server: Server, service: &'static str) {
    let mut life = 0;
    loop {
        server.until_ended(life).await;
        sleep(DOWN).await;
        life = server.start_again();
        list_server_with_start_time(&store, &server, service, 1_000 + life as u64);
    }
}

/// Sends a body on a path under a new id.
pub async fn ask(site: &Site, path: &str, body: &str) -> Answer {
    static ASKED: AtomicUsize = AtomicUsize::new(0);
    let id = format!("p-{}", ASKED.fetch_add(1, Ordering::Relaxed));
    site.send(&request_bytes_with_id(&id, "POST", path, "X-Model: small\r\n", body)).await
}

/// Asks for the crashing request over and over, at one entry after the other, without waiting for
/// answers.
pub async fn insist(sites: &[Arc<Site>], path: &'static str, lasts: Duration) {
    let mut asking = JoinSet::new();
    let until = Instant::now() + lasts;
    for site in sites.iter().cycle() {
        if Instant::now() >= until {
            break;
        }
        let site = site.clone();
        asking.spawn(async move { ask(&site, path, CRASHING).await });
        sleep(Duration::from_millis(60)).await;
    }
    while asking.join_next().await.is_some() {}
}

/// Asks for other requests meanwhile, each of its own; how many were asked and how many served whole.
pub async fn ask_others(sites: &[Arc<Site>], lasts: Duration) -> (usize, usize) {
    let mut asking = JoinSet::new();
    let until = Instant::now() + lasts;
    for (i, site) in sites.iter().cycle().enumerate() {
        if Instant::now() >= until {
            break;
        }
        let site = site.clone();
        asking.spawn(async move {
            let answer = ask(&site, "/chat/other", &format!("other {i}")).await;
            answer.status == 200 && answer.is_whole
        });
        sleep(Duration::from_millis(20)).await;
    }
    let answers = asking.join_all().await;
    (answers.len(), answers.iter().filter(|is_whole| **is_whole).count())
}
