//! Runs a soak: entries as processes, and stand-ins for the store and the servers.

use std::{
    path::PathBuf,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Mutex,
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{
    callers::Callers,
    duty_service::DutyService,
    faults::{Disruption, draw_disruption},
    idle_clients,
    process::{DUTY_LEASE_MS, Entry, loopback_host},
    proxy::Proxy,
    record::{
        CONTACT_BOUND, CRASHING_BODY_PREFIX, CRASHING_PART_PREFIX, EVENTS_PER_STREAM, Execution,
        NEW_VERSION, ODD_HEADER, OLD_VERSION, OrderedRollOut, ROLLED_OUT_SERVICE, RateLimitSpan,
        Record,
    },
    restarts,
    server::{Action, ReceivedRequest, Server},
    site::{configuration, server_row},
    store::Store,
    unavailable::{RETRY_AFTER, Rejection, run_unavailability},
};

/// Default number of entries; a run by hand at the machine's limits has up to 200.
const ENTRIES: u8 = 4;
/// Environment variable that replaces [`ENTRIES`].
const ENTRIES_VARIABLE: &str = "MINTMOOR_SOAK_ENTRIES";
/// Servers of each service with the old version.
const SERVERS_PER_SERVICE: usize = 4;
/// Servers of the new version of the roll-out; no disruption affects them.
const NEW_VERSION_SERVERS: usize = 3;
/// Callers for each entry; a caller may use any entry.
const CALLERS_PER_ENTRY: u64 = 3;
/// Maximum number of disruptions at the same time.
const MAX_CONCURRENT_DISRUPTIONS: usize = 3;
/// Time after the last fault until all entries must be ready again: the bound of the first sites.
const RECOVERY_BOUND: Duration = Duration::from_secs(12);
/// Time from a server's crash until it starts again.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Interval and timeout of the load balancer's health checks, and the number of failed checks in a row after which
/// it takes an entry out of rotation.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(500);
const MAX_FAILED_HEALTH_CHECKS: u32 = 2;

/// A length beside the chunks of some streams, which it doesn't describe.
const WRONG_LENGTH: &str = "Content-Length: 5\r\n";
/// The same for bodies that otherwise have a length instead of chunks.
const WRONG_LENGTH_AND_CHUNKS: &str = "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n";

/// AvailabilityZone of every second server; no entry is in it.
pub const OTHER_ZONE: &str = "zone-b";

/// A server behind a proxy.
pub struct Backend {
    /// The server at the address of the proxy, as it is listed in the store.
    listed: Server,
    /// The same server at its own address.
    server: Server,
    service: &'static str,
    version: &'static str,
    /// Number among the servers of its service and version.
    number: usize,
    /// Proxy between the entries and the server.
    pub link: Proxy,
    /// Start time in its row, which identifies the server's current incarnation.
    born: AtomicU64,
    /// Whether the server advertises a rate limit.
    is_rate_limited: AtomicBool,
    /// Whether the server rejects all requests and asks for a pause.
    pub is_rejecting: Arc<AtomicBool>,
    /// When the current incarnation started.
    started_at: std::sync::Mutex<Instant>,
    /// Held while a disruption changes the server's row.
    pub row_lock: Mutex<()>,
}

impl Backend {
    pub fn id(&self) -> &str {
        &self.listed.id
    }

    /// Returns the zone; every second server is in another zone than the entries.
    pub fn zone(&self) -> &'static str {
        if self.number.is_multiple_of(2) { "zone-a" } else { OTHER_ZONE }
    }

    /// Writes the server's row with the given state.
    pub fn list(&self, store: &Store, state: &str) {
        let mut row = server_row(self.listed.address, self.service, self.version, state);
        row["zone"] = json!(self.zone());
        row["born"] = json!(self.born.load(Ordering::SeqCst));
        store.put("servers", self.id(), &row);
    }

    /// Restarts the server after each crash, without end.
    async fn restart_after_crashes(&self, store: &Store) {
        let mut incarnation = 0;
        loop {
            self.server.terminated(incarnation).await;
            self.stop_rate_limit();
            sleep(RESTART_DELAY).await;
            incarnation = self.server.restart();
            // Disruptions of the row wait until the server is listed again.
            let _lock = self.row_lock.lock().await;
            self.restart(store);
        }
    }

    /// Advertises a rate limit for the given duration or until the server crashes.
    async fn advertise_rate_limit(&self, rate: &str, duration: Duration) {
        self.server.advertise_limit(&[rate]);
        self.is_rate_limited.store(true, Ordering::SeqCst);
        let from = Instant::now();
        while self.is_rate_limited.load(Ordering::SeqCst) && from.elapsed() < duration {
            sleep(Duration::from_millis(20)).await;
        }
        self.stop_rate_limit();
    }

    fn stop_rate_limit(&self) {
        self.server.advertise_limit(&[]);
        self.is_rate_limited.store(false, Ordering::SeqCst);
    }

    /// Announces in the answers that the server is draining.
    pub fn announce_drain(&self) {
        self.server.announce_draining();
    }

    /// Ends the server after it has drained.
    pub fn exit(&self) {
        self.server.crash();
    }

    /// Returns whether the current incarnation started after a time.
    pub fn has_started_since(&self, at: Instant) -> bool {
        *self.started_at.lock().unwrap() > at
    }

    /// Lists a new incarnation under the same id. Requests of the old one are lost; the new one neither advertises a
    /// rate limit nor drains.
    pub fn restart(&self, store: &Store) {
        self.stop_rate_limit();
        self.server.set_extra_headers(&[]);
        *self.started_at.lock().unwrap() = Instant::now();
        self.born.fetch_add(1_000, Ordering::SeqCst);
        self.list(store, "ready");
    }
}

/// The store, servers, entries and callers of a soak, and the record of what they observe.
pub struct System {
    pub store: Store,
    duties: DutyService,
    pub entries: Vec<Mutex<Entry>>,
    pub servers: Vec<Backend>,
    /// Servers of the new version.
    new_servers: Vec<Backend>,
    pub record: Arc<Record>,
    /// The callers, set once they have been created.
    pub callers: OnceLock<Arc<Callers>>,
    /// Number of distinct crashing requests so far.
    pub crashing_requests: AtomicU64,
    /// Latest version of the configuration.
    pub config_version: AtomicU64,
    dir: PathBuf,
}

impl System {
    /// Starts the store, the servers and the entries.
    async fn start(seed: u64) -> Self {
        let dir = std::env::temp_dir().join(format!("mintmoor-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let record = Arc::new(Record::default());
        let store = Store::start().await;
        store.put("op", "config", &configuration(1));
        let mut servers = Vec::new();
        for number in 0..SERVERS_PER_SERVICE {
            servers.push(start_server(&record, "app", OLD_VERSION, number, seed).await);
            servers.push(start_server(&record, "llm", OLD_VERSION, number, seed).await);
        }
        let mut new_servers = Vec::new();
        for number in 0..NEW_VERSION_SERVERS {
            new_servers
                .push(start_server(&record, ROLLED_OUT_SERVICE, NEW_VERSION, number, seed).await);
        }
        servers.iter().for_each(|server| server.list(&store, "ready"));
        let mut entries = Vec::new();
        let duties = DutyService::start(Duration::from_millis(DUTY_LEASE_MS)).await;
        let number_of_entries =
            std::env::var(ENTRIES_VARIABLE).map_or(ENTRIES, |text| text.parse().unwrap());
        for number in 0..number_of_entries {
            let store_proxy = Proxy::start(store.address).await;
            entries.push(Mutex::new(Entry::start(number, store_proxy, duties.address, &dir)));
        }
        let config_version = AtomicU64::new(1);
        let (callers, crashing_requests) = (OnceLock::new(), AtomicU64::new(0));
        Self {
            store,
            duties,
            entries,
            servers,
            new_servers,
            record,
            callers,
            crashing_requests,
            config_version,
            dir,
        }
    }

    /// Orders the roll-out and lists the servers of the new version.
    fn order_roll_out(&self, within: Duration) {
        let roll_out = OrderedRollOut { at: Instant::now(), within };
        *self.record.roll_out.lock().unwrap() = Some(roll_out);
        let order = json!({"service": ROLLED_OUT_SERVICE, "to": NEW_VERSION, "duration-s": within.as_secs_f64()});
        self.store.put("op", &format!("rollout/{ROLLED_OUT_SERVICE}"), &order);
        self.new_servers.iter().for_each(|server| server.list(&self.store, "ready"));
    }

    /// Returns whether an entry answers the load balancer's health check.
    async fn is_ready(&self, number: usize) -> bool {
        let check = async {
            let address = std::net::SocketAddr::new(
                loopback_host(number as u8),
                crate::process::READINESS_PORT,
            );
            let mut stream = TcpStream::connect(address).await.ok()?;
            let request = "GET /-/readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
            stream.write_all(request.as_bytes()).await.ok()?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.ok()?;
            answer.starts_with("HTTP/1.1 200").then_some(())
        };
        matches!(timeout(HEALTH_CHECK_INTERVAL, check).await, Ok(Some(())))
    }

    /// Waits until all entries are ready; returns whether they are within [`RECOVERY_BOUND`].
    async fn wait_until_ready(&self) -> bool {
        let all = async {
            for entry in 0..self.entries.len() {
                while !self.is_ready(entry).await {
                    sleep(Duration::from_millis(50)).await;
                }
            }
        };
        timeout(RECOVERY_BOUND, all).await.is_ok()
    }
}

/// Starts a server that records its requests and answers them as [`draw_act`] says, unless they crash it, it rejects
/// requests or it has the new version.
async fn start_server(
    record: &Arc<Record>,
    service: &'static str,
    version: &'static str,
    number: usize,
    seed: u64,
) -> Backend {
    let id = format!("i-{service}-{version}-{number}");
    let (record, server_id) = (record.clone(), id.clone());
    let rng = std::sync::Mutex::new(ChaCha8Rng::seed_from_u64(seed ^ number as u64));
    let is_rejecting = Arc::new(AtomicBool::default());
    let is_rejecting_now = is_rejecting.clone();
    let script = move |request: &ReceivedRequest| {
        record.arrivals.lock().unwrap().push((server_id.clone(), request.received_at));
        if is_rejecting_now.load(Ordering::SeqCst) {
            let id = request.header("x-request-id").into();
            let rejection = Rejection { server: server_id.clone(), id, at: request.received_at };
            record.rejections.lock().unwrap().push(rejection);
            return Action::NotExecutedRetryAfter { retry_after: RETRY_AFTER.into() };
        }
        let crash_cause = crash_cause(request);
        let act = match crash_cause {
            Some(_) => Action::Crash { after_head: true },
            None if is_odd(request) => reject_odd(request, &server_id),
            None if version == NEW_VERSION => Action::EchoIdAfter { delay: NEW_VERSION_DELAY },
            None => draw_act(&mut rng.lock().unwrap(), service),
        };
        if !matches!(act, Action::NotExecuted | Action::Reject { .. }) {
            let execution = Execution {
                id: request.header("x-request-id").into(),
                session: request.header("session").into(),
                server: server_id.clone(),
                service,
                version,
                at: Instant::now(),
                breaks_answer: matches!(
                    act,
                    Action::Stream { is_complete: false, .. } | Action::Crash { .. }
                ),
                crash_cause,
            };
            record.executions.lock().unwrap().push(execution);
        }
        act
    };
    let mut listed = Server::start(&id, script).await;
    let link = Proxy::start(listed.address).await;
    let server = listed.clone();
    listed.address = link.address;
    let (born, is_rate_limited, row_lock) =
        (AtomicU64::new(1_000), AtomicBool::default(), Mutex::default());
    let started_at = std::sync::Mutex::new(Instant::now());
    Backend {
        listed,
        server,
        service,
        version,
        number,
        link,
        born,
        is_rate_limited,
        is_rejecting,
        started_at,
        row_lock,
    }
}

/// Time that a server of the new version takes for a request. The new version never fails: with randomly failing
/// answers as in the old version, three of its first eighteen failed, and the roll-out was rightly rolled back.
const NEW_VERSION_DELAY: Duration = Duration::from_millis(20);

/// Whether a request is one that the servers don't take.
fn is_odd(request: &ReceivedRequest) -> bool {
    !request.header(ODD_HEADER).is_empty()
}

/// Rejects a request with 421. The response names the server, declares that the request did not run, or says neither.
fn reject_odd(request: &ReceivedRequest, server: &str) -> Action {
    let number: usize = request.header(ODD_HEADER).parse().unwrap();
    let headers = match number % 3 {
        0 => format!("X-Instance-Id: {server}\r\n"),
        1 => "X-Not-Executed: 1\r\n".into(),
        _ => String::new(),
    };
    Action::Reject { status: 421, headers }
}

/// What makes a request crash servers, if it does: its body or a part of its prompt.
fn crash_cause(request: &ReceivedRequest) -> Option<String> {
    let body = String::from_utf8_lossy(&request.body);
    if body.starts_with(CRASHING_BODY_PREFIX) {
        return Some(body.into_owned());
    }
    let mut parts = request.header("x-prefix-hash").split(',');
    parts.find(|part| part.starts_with(CRASHING_PART_PREFIX)).map(str::to_owned)
}

/// Draws what a server of the old version does with a request; in most cases it answers correctly.
fn draw_act(rng: &mut ChaCha8Rng, service: &str) -> Action {
    let draw = rng.random_range(0..100);
    if draw < 3 {
        return Action::NotExecuted;
    }
    match service {
        "app" if draw < 5 => Action::Respond { status: 500, body: "failed" },
        // A failure that promises, without proof, that the request did not run.
        "app" if draw < 6 => Action::Respond { status: 503, body: "failed" },
        "app" => {
            let delay = Duration::from_millis(rng.random_range(1..60));
            match draw {
                6..10 => with_headers(WRONG_LENGTH_AND_CHUNKS, Action::EchoIdAfter { delay }),
                _ => Action::EchoIdAfter { delay },
            }
        }
        _ if draw < 6 => {
            Action::Stream { last_event: EVENTS_PER_STREAM / 2, is_complete: false, confidence: 90 }
        }
        _ if draw < 20 => {
            Action::Stream { last_event: EVENTS_PER_STREAM, is_complete: true, confidence: 10 }
        }
        _ => {
            let stream =
                Action::Stream { last_event: EVENTS_PER_STREAM, is_complete: true, confidence: 90 };
            match draw {
                20..24 => with_headers(WRONG_LENGTH, stream),
                _ => stream,
            }
        }
    }
}

fn with_headers(lines: &'static str, action: Action) -> Action {
    Action::WithHeaders { lines, action: Box::new(action) }
}

/// Runs the soak under one seed, with or without requests whose prompts have a part that crashes servers; returns the
/// broken promises and the directory of the logs.
pub async fn run_soak(
    seed: u64,
    duration: Duration,
    has_crashing_part: bool,
) -> (Vec<String>, PathBuf) {
    let system = Arc::new(System::start(seed).await);
    assert!(system.wait_until_ready().await, "the entries were not ready in time");
    let mut addresses = Vec::new();
    for entry in &system.entries {
        addresses.push(entry.lock().await.caller());
    }
    let callers = Arc::new(Callers {
        record: system.record.clone(),
        in_rotation: addresses.iter().map(|_| AtomicBool::new(true)).collect(),
        entries: addresses,
        is_stopped: AtomicBool::new(false),
        next_id: AtomicU64::new(0),
    });
    let _ = system.callers.set(callers.clone());
    let mut restarts = JoinSet::new();
    for number in 0..system.servers.len() {
        let system = system.clone();
        restarts.spawn(
            async move { system.servers[number].restart_after_crashes(&system.store).await },
        );
    }
    let mut caller_tasks = JoinSet::new();
    for number in 0..CALLERS_PER_ENTRY * system.entries.len() as u64 {
        caller_tasks.spawn(callers.clone().run_caller(seed * 1_000 + number));
    }
    let idle_clients = idle_clients::start(seed, &callers.entries);
    let balancer = tokio::spawn(run_health_checks(system.clone(), callers.clone()));
    system.order_roll_out(duration);
    let (mut violations, ..) = tokio::join!(
        restarts::run(&system, seed, duration),
        run_disruptions(&system, seed, duration),
        run_rate_limits(&system, seed),
        run_unavailability(&system, seed),
        run_crashing_part(&callers, seed, duration * u32::from(has_crashing_part))
    );
    drop(idle_clients);
    violations.extend(check_recovery(&system, &callers).await);
    repeat_crashing_requests(&system, &callers).await;
    run_crashing_part(&callers, seed, FINAL_REPEAT_DURATION * u32::from(has_crashing_part)).await;
    callers.is_stopped.store(true, Ordering::SeqCst);
    while caller_tasks.join_next().await.is_some() {}
    balancer.abort();
    for (number, entry) in system.entries.iter().enumerate() {
        let mut entry = entry.lock().await;
        if entry.has_exited() {
            violations.push(format!("entry {number} exited by itself"));
        }
        entry.kill().await;
    }
    violations.extend(system.record.violations());
    violations.extend(system.duties.violations());
    if system.duties.reported_windows() == 0 {
        violations.push("no usage was reported".into());
    }
    println!("seed {seed}: {}", system.record.summary());
    (violations, system.dir.clone())
}

/// Takes entries that fail the health check out of rotation, as a load balancer does, until it is aborted.
async fn run_health_checks(system: Arc<System>, callers: Arc<Callers>) {
    let mut failed_checks = vec![0; system.entries.len()];
    loop {
        for (entry, failures) in failed_checks.iter_mut().enumerate() {
            *failures = if system.is_ready(entry).await { 0 } else { *failures + 1 };
            callers.in_rotation[entry]
                .store(*failures < MAX_FAILED_HEALTH_CHECKS, Ordering::SeqCst);
        }
        sleep(HEALTH_CHECK_INTERVAL).await;
    }
}

/// Runs random disruptions, some of them concurrently, and waits until all have been reverted.
async fn run_disruptions(system: &Arc<System>, seed: u64, duration: Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let disruptions = Disruption::for_seed(seed);
    let until = Instant::now() + duration;
    let mut running = JoinSet::new();
    while Instant::now() < until {
        let (disruption, entry, server, time) = draw_disruption(&mut rng, &disruptions, system);
        running.spawn(disruption.run(system.clone(), entry, server, time));
        if running.len() >= MAX_CONCURRENT_DISRUPTIONS {
            running.join_next().await;
        }
        sleep(Duration::from_millis(rng.random_range(50..400))).await;
    }
    while running.join_next().await.is_some() {}
}

/// Number of servers that are rate-limited under a seed.
const RATE_LIMITED_SERVERS: usize = 2;
/// Rate limits that they advertise, in requests per second.
const RATES: [&str; 4] = ["0.5", "1.9", "2.4", "6"];
/// Time for which they are rate-limited: longer than a window plus the time until all entries must know the limit.
const RATE_LIMIT_DURATION: Duration = Duration::from_secs(8);

/// Makes some servers advertise a rate limit for a while. Draws from a generator of its own, so that the disruptions
/// under a seed stay the same.
async fn run_rate_limits(system: &System, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(!seed);
    let first = rng.random_range(0..system.servers.len());
    let limits = (0..RATE_LIMITED_SERVERS).map(|number| {
        let server = &system.servers[(first + number) % system.servers.len()];
        let rate = RATES[rng.random_range(0..RATES.len())];
        let delay = Duration::from_millis(rng.random_range(100..1_500));
        run_rate_limit(system, server, rate, delay)
    });
    futures_util::future::join_all(limits.collect::<Vec<_>>()).await;
}

/// Makes a server advertise a rate limit after a delay and records the span.
async fn run_rate_limit(system: &System, server: &Backend, rate: &str, delay: Duration) {
    sleep(delay).await;
    let from = Instant::now();
    server.advertise_rate_limit(rate, RATE_LIMIT_DURATION).await;
    let (to, rate) = (Instant::now(), rate.parse().unwrap());
    let span = RateLimitSpan { server: server.id().into(), rate, from, to };
    system.record.rate_limit_spans.lock().unwrap().push(span);
}

/// Sends requests with a prompt part that crashes every server that begins to answer them.
async fn run_crashing_part(callers: &Arc<Callers>, seed: u64, duration: Duration) {
    callers.repeat_part(&format!("{CRASHING_PART_PREFIX}{seed:x}"), seed, duration).await;
}

/// Time for which each crashing request is repeated after the last disruption.
const FINAL_REPEAT_DURATION: Duration = Duration::from_secs(1);

/// Repeats all crashing requests: entries must still refuse them after the disruptions.
async fn repeat_crashing_requests(system: &System, callers: &Arc<Callers>) {
    sleep(CONTACT_BOUND).await;
    let crashing_requests = system.crashing_requests.load(Ordering::SeqCst);
    let again = (0..crashing_requests).map(|number| {
        callers.repeat_request(
            format!("{CRASHING_BODY_PREFIX} {number}"),
            number,
            FINAL_REPEAT_DURATION,
        )
    });
    futures_util::future::join_all(again).await;
}

/// Checks that every entry is ready and serves at least half of its requests again after the last fault.
async fn check_recovery(system: &System, callers: &Callers) -> Vec<String> {
    if !system.wait_until_ready().await {
        return vec!["an entry was not ready again in time".into()];
    }
    sleep(Duration::from_secs(2)).await;
    let from = Instant::now();
    sleep(Duration::from_secs(1)).await;
    let exchanges = callers.record.exchanges.lock().unwrap();
    let mut violations = Vec::new();
    for entry in 0..system.entries.len() {
        let last: Vec<_> = exchanges.iter().filter(|e| e.entry == entry && e.sent > from).collect();
        let served = last.iter().filter(|e| e.is_served()).count();
        if served * 2 < last.len() || last.is_empty() {
            violations.push(format!("entry {entry} served {served} of {} at the end", last.len()));
        }
    }
    violations
}
