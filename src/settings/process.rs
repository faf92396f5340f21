//! Settings of the `entry` and `agent` processes.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

use crate::{
    ids::ServerId,
    settings::{SettingsError, reader::Reader},
    telemetry::log::{LogFormat, LogLevel},
};

const LOOPBACK_ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const EXPECTED_ADDRESS: &str = "an IP address and port such as `10.0.0.1:7000`";
const EXPECTED_URL: &str = "a base URL such as `http://10.0.0.1:7000`";
const EXPECTED_MILLISECONDS: &str = "a whole number of milliseconds above 0";
const MIN_KEY_BYTES: usize = 16;

/// Base URLs of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Table service.
    pub table: Box<str>,
    /// Object store.
    pub objects: Box<str>,
    /// Host list service.
    pub hosts: Box<str>,
    /// Rating service.
    pub ratings: Box<str>,
}

/// TLS certificate and private key of the addresses for callers and operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsSettings {
    /// PEM file of the certificate chain.
    pub certificate: PathBuf,
    /// PEM file of the private key.
    pub key: PathBuf,
}

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Host name, as in the host list.
    pub host: Box<str>,
    /// Region of the Host.
    pub region: Box<str>,
    /// AvailabilityZone of the Host.
    pub zone: Box<str>,
    /// Listen address for callers.
    pub caller: SocketAddr,
    /// Listen address for operators.
    pub operator: SocketAddr,
    /// Listen address for health checks, metrics and the state dump.
    pub admin: SocketAddr,
    /// Services of the platform.
    pub platform: PlatformSettings,
    /// Secret key that entries and agents share to authenticate their links.
    pub link_key: Box<str>,
    /// Key that signs session tokens.
    pub session_key: Box<str>,
    /// Key of the operator who may declare partners. Without it, no partner can be declared.
    pub root_key: Option<Box<str>>,
    /// Interval between heartbeats.
    pub heartbeat: Duration,
    /// Interval between polls of the latest configuration revision.
    pub poll: Duration,
    /// Maximum number of links to agents.
    pub max_links: usize,
    /// Maximum number of requests in flight; further requests are rejected.
    pub max_in_flight: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Maximum number of charge records kept in memory while the object store is unavailable.
    pub max_waiting_charges: usize,
    /// Maximum duration of a planned stop.
    pub grace: Duration,
    /// TLS for callers and operators; plain HTTP if absent.
    pub tls: Option<TlsSettings>,
    /// Minimum level that is logged.
    pub log_level: LogLevel,
    /// Format of the log lines.
    pub log_format: LogFormat,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Host name, as in the host list.
    pub host: Box<str>,
    /// Region of the Host.
    pub region: Box<str>,
    /// AvailabilityZone of the Host.
    pub zone: Box<str>,
    /// Listen address for links from entries.
    pub link: SocketAddr,
    /// Listen address for health checks, metrics and the state dump.
    pub admin: SocketAddr,
    /// Services of the platform.
    pub platform: PlatformSettings,
    /// Secret key that entries and agents share to authenticate their links.
    pub link_key: Box<str>,
    /// Full name (`partner/server`) of the BackendServer that this agent runs beside.
    pub server: ServerId,
    /// Base URL of the BackendServer.
    pub backend_url: Box<str>,
    /// Maximum number of attempts running on the BackendServer at a time.
    pub max_running: u32,
    /// Maximum number of queued attempts.
    pub max_queued: usize,
    /// Target time between tokens; above it, the adaptive concurrency limit is lowered.
    pub token_target: Duration,
    /// Interval between heartbeats.
    pub heartbeat: Duration,
    /// Maximum number of copies of charge records kept until their entry confirms them.
    pub max_waiting_charges: usize,
    /// Time after its disconnect at which an entry counts as lost.
    pub entry_lost_after: Duration,
    /// Maximum duration of a planned stop.
    pub grace: Duration,
    /// Minimum level that is logged.
    pub log_level: LogLevel,
    /// Format of the log lines.
    pub log_format: LogFormat,
}

/// Reads the settings of an entry.
///
/// # Errors
/// All problems of the text.
pub fn load_entry(file: &str, text: &str) -> Result<EntrySettings, SettingsError> {
    let mut r = Reader::parse(file, text)?;
    let host = get_name(&mut r, "process.host");
    let region = get_name(&mut r, "process.region");
    let zone = get_name(&mut r, "process.zone");
    let caller = r.get("listen.caller", EXPECTED_ADDRESS, None);
    let operator = r.get("listen.operator", EXPECTED_ADDRESS, None);
    let admin = r.get("listen.admin", EXPECTED_ADDRESS, Some(LOOPBACK_ANY_PORT));
    let platform = read_platform(&mut r);
    let link_key = read_key(&mut r, "keys.link");
    let session_key = read_key(&mut r, "keys.session");
    let root_key = read_optional_key(&mut r, "keys.root");
    let heartbeat = get_duration(&mut r, "control.heartbeat_ms", 2_000);
    let poll = get_duration(&mut r, "control.poll_ms", 1_000);
    let max_links = get_count(&mut r, "control.max_links", 40);
    let max_in_flight = get_count(&mut r, "limits.max_in_flight", 4_096);
    let max_body_bytes = get_count(&mut r, "limits.max_body_bytes", 1 << 20);
    let max_waiting_charges = get_count(&mut r, "limits.max_waiting_charges", 200_000);
    let grace = get_duration(&mut r, "stop.grace_ms", 30_000);
    let tls = read_tls(&mut r);
    let (log_level, log_format) = read_log(&mut r);
    r.finish()?;
    Ok(EntrySettings {
        host,
        region,
        zone,
        caller: expect_present(caller),
        operator: expect_present(operator),
        admin: expect_present(admin),
        platform,
        link_key,
        session_key,
        root_key,
        heartbeat,
        poll,
        max_links,
        max_in_flight,
        max_body_bytes,
        max_waiting_charges,
        grace,
        tls,
        log_level,
        log_format,
    })
}

/// Reads the settings of an agent.
///
/// # Errors
/// All problems of the text.
pub fn load_agent(file: &str, text: &str) -> Result<AgentSettings, SettingsError> {
    let mut r = Reader::parse(file, text)?;
    let host = get_name(&mut r, "process.host");
    let region = get_name(&mut r, "process.region");
    let zone = get_name(&mut r, "process.zone");
    let link = r.get("listen.link", EXPECTED_ADDRESS, None);
    let admin = r.get("listen.admin", EXPECTED_ADDRESS, Some(LOOPBACK_ANY_PORT));
    let platform = read_platform(&mut r);
    let link_key = read_key(&mut r, "keys.link");
    let server = get_name(&mut r, "backend.server");
    if !server.is_empty() && server.matches('/').count() != 1 {
        r.add_problem_at_key("backend.server", "expected a full name `partner/server`");
    }
    let backend_url = get_url(&mut r, "backend.url");
    let max_running = r.get("backend.max_running", "a whole number above 0", Some(16));
    let max_queued = get_count(&mut r, "limits.max_queued", 256);
    let token_target = get_duration(&mut r, "backend.token_target_ms", 80);
    let heartbeat = get_duration(&mut r, "control.heartbeat_ms", 2_000);
    let max_waiting_charges = get_count(&mut r, "limits.max_waiting_charges", 100_000);
    let entry_lost_after = get_duration(&mut r, "control.entry_lost_after_ms", 20_000);
    let grace = get_duration(&mut r, "stop.grace_ms", 30_000);
    let (log_level, log_format) = read_log(&mut r);
    r.finish()?;
    Ok(AgentSettings {
        host,
        region,
        zone,
        link: expect_present(link),
        admin: expect_present(admin),
        platform,
        link_key,
        server,
        backend_url,
        max_running: expect_present(max_running).max(1),
        max_queued,
        token_target,
        heartbeat,
        max_waiting_charges,
        entry_lost_after,
        grace,
        log_level,
        log_format,
    })
}

/// Returns a required value. The caller has returned the error of `Reader::finish` if it is missing.
fn expect_present<T>(value: Option<T>) -> T {
    value.expect("finish returned an error for a missing value")
}

fn get_name(r: &mut Reader<'_>, key: &str) -> Box<str> {
    let name: String = r.get(key, "a name", None).unwrap_or_default();
    name.into()
}

fn get_url(r: &mut Reader<'_>, key: &str) -> Box<str> {
    let text: Option<String> = r.get(key, EXPECTED_URL, None);
    let Some(text) = text else {
        return Box::default();
    };
    let is_http = text.starts_with("http://") || text.starts_with("https://");
    if !is_http || text.parse::<http::Uri>().is_err() {
        r.add_problem_at_key(key, &format!("invalid value `{text}`; expected {EXPECTED_URL}"));
    }
    text.trim_end_matches('/').into()
}

fn get_duration(r: &mut Reader<'_>, key: &str, default_ms: u64) -> Duration {
    let ms = r.get(key, EXPECTED_MILLISECONDS, Some(default_ms)).unwrap_or(default_ms);
    if ms == 0 {
        r.add_problem_at_key(key, &format!("expected {EXPECTED_MILLISECONDS}"));
    }
    Duration::from_millis(ms)
}

fn get_count(r: &mut Reader<'_>, key: &str, default: usize) -> usize {
    let count = r.get(key, "a whole number above 0", Some(default)).unwrap_or(default);
    if count == 0 {
        r.add_problem_at_key(key, "expected a whole number above 0");
    }
    count
}

fn read_platform(r: &mut Reader<'_>) -> PlatformSettings {
    PlatformSettings {
        table: get_url(r, "platform.table"),
        objects: get_url(r, "platform.objects"),
        hosts: get_url(r, "platform.hosts"),
        ratings: get_url(r, "platform.ratings"),
    }
}

fn read_tls(r: &mut Reader<'_>) -> Option<TlsSettings> {
    let certificate: Option<PathBuf> =
        r.get_optional("tls.certificate_file", "the path of a PEM file");
    let key: Option<PathBuf> = r.get_optional("tls.key_file", "the path of a PEM file");
    match (certificate, key) {
        (Some(certificate), Some(key)) => Some(TlsSettings { certificate, key }),
        (None, None) => None,
        _ => {
            r.add_problem_at_key("tls", "set both `certificate_file` and `key_file`, or neither");
            None
        }
    }
}

fn read_log(r: &mut Reader<'_>) -> (LogLevel, LogFormat) {
    let level = r.get("log.level", "error, warn, info or debug", Some(LogLevel::default()));
    let format = r.get("log.format", "text or json", Some(LogFormat::default()));
    (level.unwrap_or_default(), format.unwrap_or_default())
}

fn read_key(r: &mut Reader<'_>, key: &str) -> Box<str> {
    match read_optional_key(r, key) {
        Some(value) => value,
        None => {
            r.add_problem_at_key(key, &format!("missing; set `{key}_file` to the path of a file that contains the key, or set the environment variable of `{key}`"));
            Box::default()
        }
    }
}

/// Reads a secret key from the environment variable of `key` or from the file that `key_file` names.
/// Settings files never contain secret keys themselves.
fn read_optional_key(r: &mut Reader<'_>, key: &str) -> Option<Box<str>> {
    let file_key = format!("{key}_file");
    let variable = format!("MINTMOOR_{}", key.replace('.', "_").to_uppercase());
    let from_env = std::env::var(variable).ok();
    let file: Option<PathBuf> =
        r.get_optional(&file_key, "the path of a file that contains the key");
    let text = match (from_env, file) {
        (Some(text), _) => text,
        (None, Some(path)) => match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(e) => {
                r.add_problem_at_key(&file_key, &format!("cannot read the key file: {e}"));
                return Some(Box::default());
            }
        },
        (None, None) => return None,
    };
    let text = text.trim();
    if text.len() < MIN_KEY_BYTES {
        r.add_problem_at_key(
            &file_key,
            &format!("the key must have at least {MIN_KEY_BYTES} bytes"),
        );
    }
    Some(text.into())
}
