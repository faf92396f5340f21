//! Test fixtures: a cluster of real processes, and helpers.

#![allow(dead_code)]

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use mintmoor::{
    load::{ChatCall, Client},
    local::{Platform, caller_key, operator_key, standard_objects},
    platform::{Host, HostState, HttpClient, Role},
    standin::{
        Served,
        engine::{EngineModel, EngineSettings, EngineStandin, Stepping},
        serve,
        service::ServiceStandin,
        weights::WeightStore,
    },
};
use serde_json::Value;
use tempfile::TempDir;

pub const ROOT_KEY: &str = "root-key-of-the-tests-0001";
/// Time limit for conditions and HTTP calls.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until a condition holds; panics after [`TIMEOUT`].
pub async fn wait_until<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    while !condition().await {
        assert!(tokio::time::Instant::now() < deadline, "timed out waiting for: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns a chat call of one of the preset organisations.
pub fn chat(organisation: &str, model: &str, user: &str) -> ChatCall {
    ChatCall {
        key: caller_key(organisation),
        model: model.into(),
        system: "you help tobacconists".into(),
        user: user.into(),
        max_tokens: 40,
        ..ChatCall::default()
    }
}

/// A child process that is killed when dropped.
pub struct Process {
    child: Child,
    /// Listening addresses by name, as the process prints them at startup.
    pub addresses: Value,
}

impl Process {
    /// Starts a command of the program with the given settings and waits until it has printed its addresses. The
    /// settings and the log are written to `dir` under `name`.
    pub fn start(dir: &Path, command: &str, settings: &str, name: &str) -> Process {
        let file = dir.join(format!("{name}.toml"));
        std::fs::write(&file, settings).unwrap();
        let log = std::fs::File::create(dir.join(format!("{name}.log"))).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_mintmoor"))
            .args([command, "--settings", file.to_str().unwrap()])
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let addresses = serde_json::from_str(&line).unwrap();
        Process { child, addresses }
    }

    /// Returns the URL of a listener.
    pub fn url(&self, name: &str) -> String {
        format!("http://{}", self.addresses[name].as_str().unwrap())
    }

    /// Returns the address of a listener.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name].as_str().unwrap().parse().unwrap()
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Sends a signal by name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &id]).status().unwrap();
        assert!(status.success());
    }

    /// Requests a graceful stop and waits for the exit.
    pub async fn stop(&mut self) -> ExitStatus {
        self.signal("TERM");
        self.wait().await
    }

    /// Waits until the process has exited.
    pub async fn wait(&mut self) -> ExitStatus {
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Entries and agents as separate processes, with the platform, the engines and the service in the test process.
pub struct Cluster {
    pub dir: TempDir,
    pub platform: Platform,
    pub engines: Vec<EngineStandin>,
    pub service: ServiceStandin,
    pub entries: Vec<Process>,
    pub agents: Vec<Process>,
    pub http: HttpClient,
    /// Kept so that the backends run until the cluster is dropped.
    _backends: Vec<(Served, Option<Stepping>)>,
}

impl Cluster {
    /// Starts two entries and three agents: two for engines with `swift@1` and `swift@2`, one for a service.
    pub async fn start() -> Cluster {
        Cluster::start_with_entry_settings("").await
    }

    /// Starts the same cluster with additional lines in the entries' settings.
    pub async fn start_with_entry_settings(entry_lines: &str) -> Cluster {
        let platform = Platform::start(7).await.unwrap();
        let dir = tempfile::tempdir().unwrap();
        for (name, key) in [
            ("link", "link-key-of-the-tests-1"),
            ("session", "session-key-of-tests"),
            ("root", ROOT_KEY),
        ] {
            std::fs::write(dir.path().join(format!("{name}.key")), key).unwrap();
        }
        let mut cluster = Cluster {
            dir,
            platform,
            engines: Vec::new(),
            service: ServiceStandin::new(Duration::from_millis(100)),
            entries: Vec::new(),
            agents: Vec::new(),
            http: HttpClient::default(),
            _backends: Vec::new(),
        };
        cluster.start_backends().await;
        for i in 0..2 {
            let settings = cluster.entry_settings(i, entry_lines);
            let entry = Process::start(cluster.path(), "entry", &settings, &format!("entry-{i}"));
            cluster.entries.push(entry);
        }
        cluster.create_objects().await;
        cluster.wait_until_linked().await;
        cluster
    }

    /// Returns the directory of the settings, keys and logs.
    pub fn path(&self) -> &Path {
        self.dir.path()
    }

    /// Starts the engines and the service, an agent for each, and lists the agents' hosts in the platform.
    async fn start_backends(&mut self) {
        for i in 0..2 {
            let engine = EngineStandin::new(engine_settings(i));
            let stepping = engine.start();
            let served = serve(engine.router()).await.unwrap();
            self.start_agent(&format!("engine-{}", i + 1), &served.url());
            self.engines.push(engine);
            self._backends.push((served, Some(stepping)));
        }
        let served = serve(self.service.router()).await.unwrap();
        self.start_agent("confirm", &served.url());
        self._backends.push((served, None));
        let hosts = self.agents.iter().zip(["engine-1", "engine-2", "confirm"]);
        let hosts = hosts.map(|(agent, name)| host(name, agent.address("link"))).collect();
        self.platform.hosts.set(hosts);
    }

    fn start_agent(&mut self, server: &str, backend: &str) {
        let settings = format!(
            "{}\n[listen]\nlink = \"127.0.0.1:0\"\n[backend]\nserver = \"ricarica/{server}\"\n\
             url = \"{backend}\"\n[control]\nheartbeat_ms = 200\nentry_lost_after_ms = 2000\n\
             [stop]\ngrace_ms = 15000\n",
            self.common_settings(&format!("host-{server}"))
        );
        let agent = Process::start(self.path(), "agent", &settings, &format!("agent-{server}"));
        self.agents.push(agent);
    }

    fn common_settings(&self, host: &str) -> String {
        let platform = self.platform.settings();
        let key_file = |name: &str| self.path().join(format!("{name}.key"));
        format!(
            "[process]\nhost = \"{host}\"\nregion = \"sicily\"\nzone = \"sicily-1\"\n\
             [platform]\ntable = \"{}\"\nobjects = \"{}\"\nhosts = \"{}\"\nratings = \"{}\"\n\
             [log]\nformat = \"json\"\n[keys]\nlink_file = {:?}\n",
            platform.table,
            platform.objects,
            platform.hosts,
            platform.ratings,
            key_file("link")
        )
    }

    /// Returns the settings file of an entry, ending with the lines in `more`.
    pub fn entry_settings(&self, i: usize, more: &str) -> String {
        let key_file = |name: &str| self.path().join(format!("{name}.key"));
        format!(
            "{}session_file = {:?}\nroot_file = {:?}\n[listen]\ncaller = \"127.0.0.1:0\"\n\
             operator = \"127.0.0.1:0\"\n[control]\nheartbeat_ms = 200\npoll_ms = 200\n\
             [stop]\ngrace_ms = 15000\n{more}\n",
            self.common_settings(&format!("entry-{i}")),
            key_file("session"),
            key_file("root"),
        )
    }

    /// Creates the standard objects through the operator API.
    async fn create_objects(&self) {
        let versions: Vec<Box<str>> = vec!["ricarica/swift@1".into(), "ricarica/swift@2".into()];
        let servers = [
            ("ricarica/engine-1".into(), versions.clone(), false),
            ("ricarica/engine-2".into(), versions, false),
            ("ricarica/confirm".into(), Vec::new(), true),
        ];
        for (kind, id, spec) in standard_objects(&servers) {
            let (partner, name) = id.split_once('/').unwrap();
            let key = match kind.as_str() {
                "partner" => ROOT_KEY.into(),
                _ => operator_key(partner),
            };
            let path = format!("{}/{name}", kind.as_str());
            let (status, body) = self.call_operator_api("PUT", 0, &path, &key, &spec).await;
            assert_eq!(status, 200, "{path}: {body}");
        }
    }

    /// Calls the operator API of an entry; returns the status and the body.
    pub async fn call_operator_api(
        &self,
        method: &str,
        entry: usize,
        path: &str,
        key: &str,
        body: &Value,
    ) -> (u16, Value) {
        let uri = format!("{}/api/v1/{path}", self.entries[entry].url("operator"));
        let mut headers = http::HeaderMap::new();
        headers.insert("authorization", format!("Bearer {key}").parse().unwrap());
        let body = body.to_string().into();
        let method = method.parse().unwrap();
        let reply = self.http.call(method, &uri, headers, body, TIMEOUT).await.unwrap();
        (reply.status.as_u16(), serde_json::from_slice(&reply.body).unwrap_or_default())
    }

    /// Returns the state dump of a process, or null if the call fails.
    pub async fn state_dump(&self, process: &Process) -> Value {
        let uri = format!("{}/debug/state", process.url("admin"));
        let headers = http::HeaderMap::new();
        let reply =
            self.http.call(http::Method::GET, &uri, headers, bytes::Bytes::new(), TIMEOUT).await;
        reply.map(|reply| serde_json::from_slice(&reply.body).unwrap()).unwrap_or_default()
    }

    /// Waits until both entries are ready and linked to three agents with the current configuration.
    async fn wait_until_linked(&self) {
        wait_until("all entries linked to all agents with the current configuration", || async {
            for entry in &self.entries {
                let state = self.state_dump(entry).await;
                let servers = &state["servers_by_version"]["ricarica/swift@2"];
                let link_count = state["links"].as_array().map_or(0, Vec::len);
                if state["ready"] != true || link_count < 3 || servers != 2 {
                    return false;
                }
                let links = state["links"].as_array().unwrap();
                let newest_revision = &state["config_revision"];
                if links.iter().any(|link| &link["heartbeat"]["c"] != newest_revision) {
                    return false;
                }
            }
            true
        })
        .await;
    }

    /// Returns a client of an entry's caller API.
    pub fn client(&self, entry: usize) -> Client {
        Client::new(&self.entries[entry].url("caller"))
    }

    /// Returns the log of a process so far.
    pub fn read_log(&self, name: &str) -> String {
        let file: PathBuf = self.path().join(format!("{name}.log"));
        std::fs::read_to_string(file).unwrap_or_default()
    }
}

/// Returns the host record of an agent.
fn host(server: &str, address: SocketAddr) -> Host {
    Host {
        name: format!("host-{server}").into(),
        region: "sicily".into(),
        zone: "sicily-1".into(),
        address,
        role: Role::Agent(format!("ricarica/{server}").into()),
        state: HostState::Live,
    }
}

/// Returns the settings of an engine that is slow enough for faults to hit requests in flight.
pub fn engine_settings(seed: u64) -> EngineSettings {
    EngineSettings {
        model: EngineModel { step_base: Duration::from_millis(25), ..EngineModel::default() },
        cache_blocks: 1024,
        lag: Duration::from_millis(200),
        event_gaps: 0.0,
        checks_fencing: true,
        versions: vec!["ricarica/swift@1".into(), "ricarica/swift@2".into()],
        quality: Default::default(),
        weights: WeightStore::new(2, Duration::from_millis(50)),
        seed,
    }
}
