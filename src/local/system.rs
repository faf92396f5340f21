//! Starting entries, agents and stand-ins in one process.

use std::{
    collections::{BTreeMap, HashMap},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Mutex,
    time::Duration,
};

use eyre::{Result, eyre};
use http::{HeaderMap, HeaderValue, Method};
use serde_json::{Value, json};

use crate::{
    agent::{self, RunningAgent},
    entry::{self, RunningEntry},
    ids::{ObjectId, VersionId, partner_of},
    local::{
        Fleet, Keys, Platform, Process, ServerSetup, caller_key, operator_key,
        preset::{VERSIONS, standard_objects},
    },
    platform::{Host, HostState, HttpClient, Role},
    resources::Kind,
    settings::{AgentSettings, EntrySettings},
    standin::{
        Served,
        engine::{EngineSettings, EngineStandin, Stepping},
        serve,
        service::ServiceStandin,
        weights::WeightStore,
    },
    telemetry::log::{LogFormat, LogLevel},
};

const LINK_KEY: &str = "local-link-key-of-no-secrecy";
const SESSION_KEY: &str = "local-session-key-of-no-secrecy";
const ROOT_KEY: &str = "local-root-key-of-no-secrecy";
const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const TIMEOUT: Duration = Duration::from_secs(10);
const SERVICE_WORK: Duration = Duration::from_millis(5);

/// A system that runs in this process.
#[derive(Debug)]
pub struct LocalSystem {
    /// Stand-ins of the platform.
    pub platform: Platform,
    /// Engines by the name of their BackendServer.
    pub engines: BTreeMap<ObjectId, EngineStandin>,
    /// Plain services by the name of their BackendServer.
    pub services: BTreeMap<ObjectId, ServiceStandin>,
    /// Entries; none where one was killed.
    pub entries: Mutex<Vec<Option<Process<RunningEntry>>>>,
    /// Agents by the name of their BackendServer.
    pub agents: Mutex<BTreeMap<ObjectId, Process<RunningAgent>>>,
    /// URLs callers and operators use, one an entry.
    pub urls: Vec<(String, String)>,
    http: HttpClient,
    _backends: Vec<(Served, Option<Stepping>)>,
}

impl LocalSystem {
    /// Starts everything and waits until all entries serve.
    ///
    /// # Errors
    /// When a port can't be had or the preset is refused.
    pub async fn start(fleet: Fleet) -> Result<Self> {
        let platform = Platform::start(fleet.seed).await?;
        let mut system = Self {
            platform,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            entries: Mutex::default(),
            agents: Mutex::default(),
            urls: Vec::new(),
            http: HttpClient::default(),
            _backends: Vec::new(),
        };
        let mut hosts = Vec::new();
        for (i, server) in fleet.servers.iter().enumerate() {
            hosts.push(system.start_server(&fleet, server, i).await?);
        }
        hosts.extend(fleet.entries.iter().enumerate().map(|(i, at)| entry_host(i, at)));
        system.platform.hosts.set(hosts);
        for (i, (region, zone)) in fleet.entries.iter().enumerate() {
            let settings = system.entry_settings(&fleet, i, region, zone);
            let entry = Process::start(2, entry::start(settings, fleet.policy)).await?;
            let urls = (
                format!("http://{}", entry.addresses.caller),
                format!("http://{}", entry.addresses.operator),
            );
            system.urls.push(urls);
            system.entries.lock().expect("no panics under the lock").push(Some(entry));
        }
        system.declare(&fleet).await?;
        system.wait_until_linked(&fleet).await?;
        Ok(system)
    }

    async fn start_server(
        &mut self,
        fleet: &Fleet,
        server: &ServerSetup,
        index: usize,
    ) -> Result<Host> {
        let served = if server.versions.is_empty() {
            let service = ServiceStandin::new(SERVICE_WORK);
            let served = serve(service.router()).await?;
            self.services.insert(server.id.clone(), service);
            (served, None)
        } else {
            let engine = EngineStandin::new(engine_settings(fleet, server, index));
            let served = serve(engine.router()).await?;
            let stepping = engine.start();
            self.engines.insert(server.id.clone(), engine);
            (served, Some(stepping))
        };
        let settings = self.agent_settings(fleet, server, &served.0.url());
        self._backends.push(served);
        let agent = Process::start(1, agent::start(settings)).await?;
        let host = Host {
            name: agent.agent.settings.host.clone(),
            region: server.region.clone(),
            zone: server.zone.clone(),
            address: agent.addresses.link,
            role: Role::Agent(server.id.clone()),
            state: HostState::Live,
        };
        self.agents.lock().expect("no panics under the lock").insert(server.id.clone(), agent);
        Ok(host)
    }

    fn agent_settings(&self, fleet: &Fleet, server: &ServerSetup, url: &str) -> AgentSettings {
        AgentSettings {
            host: format!("host-of-{}", server.id.replace('/', "-")).into(),
            region: server.region.clone(),
            zone: server.zone.clone(),
            link: LOOPBACK,
            admin: LOOPBACK,
            platform: self.platform.settings(),
            link_key: LINK_KEY.into(),
            server: server.id.clone(),
            backend_url: url.into(),
            max_running: fleet.max_running,
            max_queued: fleet.max_queued,
            token_target: Duration::from_millis(80),
            heartbeat: fleet.heartbeat,
            max_waiting_charges: 100_000,
            entry_lost_after: fleet.entry_lost_after,
            grace: Duration::from_secs(20),
            log_level: LogLevel::default(),
            log_format: LogFormat::default(),
        }
    }

    fn entry_settings(&self, fleet: &Fleet, i: usize, region: &str, zone: &str) -> EntrySettings {
        EntrySettings {
            host: format!("entry-{}", i + 1).into(),
            region: region.into(),
            zone: zone.into(),
            caller: LOOPBACK,
            operator: LOOPBACK,
            admin: LOOPBACK,
            platform: self.platform.settings(),
            link_key: LINK_KEY.into(),
            session_key: SESSION_KEY.into(),
            root_key: Some(ROOT_KEY.into()),
            heartbeat: fleet.heartbeat,
            poll: Duration::from_millis(500),
            max_links: 64,
            max_in_flight: 10_000,
            max_body_bytes: 1 << 20,
            max_waiting_charges: 200_000,
            grace: Duration::from_secs(20),
            tls: None,
            log_level: LogLevel::default(),
            log_format: LogFormat::default(),
        }
    }

    async fn declare(&self, fleet: &Fleet) -> Result<()> {
        let servers: Vec<_> = fleet
            .servers
            .iter()
            .map(|s| (s.id.clone(), s.versions.clone(), s.versions.is_empty()))
            .collect();
        let mut objects = standard_objects(&servers);
        objects.extend(fleet.more_objects.iter().cloned());
        for (kind, id, spec) in objects {
            self.put(kind, &id, &spec).await?;
        }
        Ok(())
    }

    /// Declares an object as its owner's operator would.
    ///
    /// # Errors
    /// When the API refuses it.
    pub async fn put(&self, kind: Kind, id: &str, spec: &Value) -> Result<Value> {
        let partner = partner_of(id);
        let key = if kind == Kind::Partner { ROOT_KEY.into() } else { operator_key(partner) };
        let name = id.split_once('/').map_or(id, |(_, name)| name);
        self.operator_call(Method::PUT, &format!("{}/{name}", kind.as_str()), &key, spec).await
    }

    /// Calls the operator API of the first entry that runs.
    ///
    /// # Errors
    /// When the API refuses the call.
    pub async fn operator_call(
        &self,
        method: Method,
        path: &str,
        key: &str,
        body: &Value,
    ) -> Result<Value> {
        let running = {
            let entries = self.entries.lock().expect("no panics under the lock");
            entries.iter().position(Option::is_some).ok_or_else(|| eyre!("no entry runs"))?
        };
        let uri = format!("{}/api/v1/{path}", self.urls[running].1);
        let mut headers = HeaderMap::new();
        headers.insert("authorization", HeaderValue::from_str(&format!("Bearer {key}"))?);
        let body = serde_json::to_vec(body)?;
        let reply = self.http.call(method, &uri, headers, body.into(), TIMEOUT).await?;
        let text = String::from_utf8_lossy(&reply.body);
        if !reply.status.is_success() {
            return Err(eyre!("{path}: {} {text}", reply.status));
        }
        Ok(serde_json::from_str(&text).unwrap_or(json!({})))
    }

    async fn wait_until_linked(&self, fleet: &Fleet) -> Result<()> {
        for _ in 0..400 {
            if self.is_linked(fleet) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
        Err(eyre!("entries did not reach all agents"))
    }

    fn is_linked(&self, fleet: &Fleet) -> bool {
        let entries = self.entries.lock().expect("no panics under the lock");
        entries.iter().flatten().all(|running| {
            let entry = &running.entry;
            let links = entry.all_links();
            let wanted = fleet.servers.len().min(entry.settings.max_links);
            let up_to_date = links.iter().filter(|link| {
                link.beat().revision >= entry.config.revision()
                    && (!link.loaded().is_empty() || self.services.contains_key(&link.server))
            });
            entry.is_ready() && up_to_date.count() >= wanted
        })
    }

    /// Admin URLs of all processes, by name.
    pub fn admin_urls(&self) -> BTreeMap<Box<str>, String> {
        let entries = self.entries.lock().expect("no panics under the lock");
        let agents = self.agents.lock().expect("no panics under the lock");
        let url = |address: SocketAddr| format!("http://{address}");
        let of_entries = entries
            .iter()
            .flatten()
            .map(|e| (e.entry.settings.host.clone(), url(e.addresses.admin)));
        let of_agents = agents.iter().map(|(name, a)| (name.clone(), url(a.addresses.admin)));
        of_entries.chain(of_agents).collect()
    }

    /// Keys by who holds them.
    pub fn keys(&self) -> Keys {
        let organisations =
            ["ricarica/tills", "ricarica/kiosks", "majlis/clerks", "majlis/advocates"];
        let mut keys: Keys =
            organisations.into_iter().map(|name| (name.into(), caller_key(name))).collect();
        for partner in ["ricarica", "majlis"] {
            keys.insert(format!("operator:{partner}").into(), operator_key(partner));
        }
        keys.insert("root".into(), ROOT_KEY.into());
        keys
    }

    /// Ends one agent as a crash of its process would; the engine stays.
    pub fn kill_agent(&self, server: &str) -> bool {
        let agent = self.agents.lock().expect("no panics under the lock").remove(server);
        agent.map(|agent| agent.kill()).is_some()
    }

    /// Ends one entry as a crash of its process would.
    pub fn kill_entry(&self, index: usize) -> bool {
        let entry = {
            let mut entries = self.entries.lock().expect("no panics under the lock");
            entries.get_mut(index).and_then(Option::take)
        };
        entry.map(|entry| entry.kill()).is_some()
    }

    /// Stops everything as planned; returns the requests cut off.
    pub async fn stop(self) -> usize {
        let entries = std::mem::take(&mut *self.entries.lock().expect("no panics under the lock"));
        let agents = std::mem::take(&mut *self.agents.lock().expect("no panics under the lock"));
        let mut cut = 0;
        for entry in entries.into_iter().flatten() {
            let (running, _runtime) = entry.into_running();
            cut += running.stop(std::future::pending()).await;
        }
        for agent in agents.into_values() {
            let (running, _runtime) = agent.into_running();
            cut += running.stop(std::future::pending()).await;
        }
        cut
    }
}

fn entry_host(i: usize, (region, zone): &(Box<str>, Box<str>)) -> Host {
    Host {
        name: format!("entry-{}", i + 1).into(),
        region: region.clone(),
        zone: zone.clone(),
        address: LOOPBACK,
        role: Role::Entry,
        state: HostState::Live,
    }
}

fn engine_settings(fleet: &Fleet, server: &ServerSetup, index: usize) -> EngineSettings {
    let quality: HashMap<VersionId, f64> =
        VERSIONS.iter().map(|(id, _, _, quality)| ((*id).into(), *quality)).collect();
    EngineSettings {
        model: fleet.model,
        cache_blocks: fleet.cache_blocks,
        lag: Duration::from_millis(500),
        event_gaps: 0.05,
        checks_fencing: true,
        versions: server.versions.clone(),
        quality,
        weights: WeightStore::new(2, Duration::from_millis(300)),
        seed: fleet.seed.wrapping_mul(1_000).wrapping_add(index as u64),
    }
}
