//! Parses the settings file that the platform writes for a process on one of its Hosts.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use serde::Deserialize;

use crate::routing::Region;

/// Environment variable with the path of the file.
pub const SETTINGS_VARIABLE: &str = "MINTMOOR_CONFIG";

/// Settings of a process on a Host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// Name of the Host.
    pub host: Box<str>,
    /// AvailabilityZone of the Host.
    pub zone: Box<str>,
    /// Region of each AvailabilityZone.
    pub regions: HashMap<Box<str>, Region>,
    /// Address at which callers connect.
    pub caller_address: SocketAddr,
    /// Address of the readiness endpoint that the load balancer polls.
    pub readiness_address: SocketAddr,
    /// Address at which other entries connect; `None` if the role has none.
    pub peer_address: Option<SocketAddr>,
    /// Peer addresses of some entries; may be stale.
    pub seed_peers: Vec<SocketAddr>,
    /// Address of the platform's store, `IP:PORT`.
    pub store_address: Box<str>,
    /// Time between the request to stop and the kill signal.
    pub shutdown_grace: Duration,
    /// Time for which a server keeps serving after it announced that it drains.
    pub drain_time: Duration,
    /// Time within which a Host has to catch up after a disruption.
    pub catch_up_time: Duration,
    /// Retry budget: retries allowed per request.
    pub retry_ratio: f64,
    /// Retries allowed in a window on top of that ratio, over all entries.
    pub retry_extra: f64,
    /// Window over which both are counted.
    pub retry_window: Duration,
    /// Share of all requests of its service that a bad version may get during its roll-out, 0 to 1.
    pub exposure_share: f64,
    /// Requests that a version under roll-out may get, over all entries, beside its share of all requests.
    pub exposure_tolerance: f64,
    /// Memory that the process may use, in bytes.
    pub memory_limit: u64,
    /// File descriptors that the process may use.
    pub descriptor_limit: usize,
    /// The duty that one entry at a time performs for the platform; `None` if there is none.
    pub duties: Option<DutySettings>,
    /// Whether callers are expected to compete for too little capacity, so that overload control is needed.
    pub expects_overload: bool,
}

/// The duty to report the usage of Organisations, which one entry at a time performs by calls to the platform's duty
/// service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DutySettings {
    /// Address of the duty service.
    pub address: SocketAddr,
    /// Calls per second that the service accepts from all entries together.
    pub calls_per_second: f64,
    /// Time within which calls of two holders must not alternate.
    pub lease: Duration,
    /// Length of the windows by which usage is reported.
    pub usage_window: Duration,
    /// Time after the end of a window within which its report is due.
    pub usage_delay: Duration,
}

/// Why the settings file is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HostSettingsError {
    /// The file can't be parsed.
    #[error("can't be parsed: {0}")]
    Syntax(Box<str>),
    /// Required values that are missing and values that are invalid; lists all of them.
    #[error("{}", .0.join("; "))]
    Values(Vec<String>),
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Doc {
    #[serde(default)]
    node_name: Box<str>,
    #[serde(default)]
    zone: Box<str>,
    /// Region of each zone.
    #[serde(default)]
    zones: HashMap<Box<str>, Region>,
    #[serde(default)]
    listen: ListenDoc,
    #[serde(default)]
    seeds: Vec<Box<str>>,
    /// Parts of the platform's rules that are in force.
    #[serde(default)]
    contracts: Vec<Box<str>>,
    #[serde(default)]
    limits: LimitsDoc,
    #[serde(default)]
    bounds: BoundsDoc,
    #[serde(default)]
    platform: PlatformDoc,
    /// The duty service; missing if the deployment has no duties.
    cloud: Option<DutiesDoc>,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ListenDoc {
    /// Address at which callers connect.
    frontend: Option<Box<str>>,
    readiness: Option<Box<str>>,
    /// Address that the platform reserves for traffic between entries.
    control_plane: Option<Box<str>>,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct BoundsDoc {
    grace_s: Option<f64>,
    drain_ms: Option<f64>,
    /// Time after a disruption from which the platform enforces all bounds again.
    contact_ms: Option<f64>,
    retry_ratio: Option<f64>,
    retry_extra: Option<f64>,
    retry_window_s: Option<f64>,
    exposure_share: Option<f64>,
    exposure_tolerance: Option<f64>,
    lease_ms: Option<f64>,
    /// Length of a usage window.
    report_window_s: Option<f64>,
    usage_delay_s: Option<f64>,
}

/// The duty service.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct DutiesDoc {
    address: Option<Box<str>>,
    #[serde(default)]
    duties: Vec<Box<str>>,
    duty_per_s: Option<f64>,
}

/// Limits of the process.
#[derive(Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct LimitsDoc {
    memory_mb: Option<u64>,
    max_fds: Option<usize>,
}

#[derive(Default, Deserialize)]
struct PlatformDoc {
    /// Address of the store.
    address: Option<Box<str>>,
}

// Defaults for bounds that the file omits: the values of the first two deployments.
const DEFAULT_GRACE_S: f64 = 8.0;
const DEFAULT_DRAIN_MS: f64 = 2_000.0;
const DEFAULT_CONTACT_MS: f64 = 3_000.0;
const DEFAULT_RETRY_RATIO: f64 = 0.1;
const DEFAULT_RETRY_EXTRA: f64 = 20.0;
const DEFAULT_RETRY_WINDOW_S: f64 = 10.0;
const DEFAULT_EXPOSURE_SHARE: f64 = 0.15;
const DEFAULT_EXPOSURE_TOLERANCE: f64 = 30.0;
const DEFAULT_MEMORY_MB: u64 = 256;
const DEFAULT_MAX_FDS: usize = 4_096;
const DEFAULT_LEASE_MS: f64 = 3_000.0;
const DEFAULT_USAGE_WINDOW_S: f64 = 5.0;
const DEFAULT_USAGE_DELAY_S: f64 = 10.0;
const DEFAULT_DUTY_CALLS_PER_S: f64 = 50.0;

/// Name of the duty to report the usage of Organisations.
const USAGE_DUTY: &str = "usage";
/// Part of the rules under which callers compete for capacity.
const PRESSURE_CONTRACT: &str = "pressure";
/// Longest duration in the file, in seconds; larger numbers are mistakes.
const MAX_SECONDS: f64 = 86_400.0;

/// Parses the text of the settings file.
///
/// # Errors
/// Reports all missing and invalid values together.
pub fn parse(text: &str) -> Result<HostSettings, HostSettingsError> {
    let doc: Doc = serde_saphyr::from_str(text)
        .map_err(|e| HostSettingsError::Syntax(e.to_string().into()))?;
    let mut problems = Vec::new();
    let caller_address =
        parse_address("listen.frontend", doc.listen.frontend.as_deref(), &mut problems);
    let readiness_address =
        parse_address("listen.readiness", doc.listen.readiness.as_deref(), &mut problems);
    if doc.platform.address.is_none() {
        problems.push("platform.address is missing".into());
    }
    let duties = parse_duties(doc.cloud, &doc.bounds, &mut problems);
    let (Some(caller_address), Some(readiness_address), Some(store_address)) =
        (caller_address, readiness_address, doc.platform.address)
    else {
        return Err(HostSettingsError::Values(problems));
    };
    let bounds = doc.bounds;
    let mut seconds = |key: &str, value: Option<f64>, default: f64, unit: f64| {
        let value = value.unwrap_or(default);
        if (0.0..=MAX_SECONDS / unit).contains(&value) {
            return Duration::from_secs_f64(value * unit);
        }
        problems.push(format!("bounds.{key} is {value}; expected a time of at most a day"));
        Duration::ZERO
    };
    let shutdown_grace = seconds("grace-s", bounds.grace_s, DEFAULT_GRACE_S, 1.0);
    let drain_time = seconds("drain-ms", bounds.drain_ms, DEFAULT_DRAIN_MS, 1e-3);
    let catch_up_time = seconds("contact-ms", bounds.contact_ms, DEFAULT_CONTACT_MS, 1e-3);
    let retry_window =
        seconds("retry-window-s", bounds.retry_window_s, DEFAULT_RETRY_WINDOW_S, 1.0);
    if !problems.is_empty() {
        return Err(HostSettingsError::Values(problems));
    }
    Ok(HostSettings {
        host: doc.node_name,
        zone: doc.zone,
        regions: doc.zones,
        caller_address,
        readiness_address,
        peer_address: doc.listen.control_plane.and_then(|text| text.parse().ok()),
        seed_peers: doc.seeds.iter().filter_map(|seed| seed.parse().ok()).collect(),
        store_address,
        shutdown_grace,
        drain_time,
        catch_up_time,
        retry_ratio: bounds.retry_ratio.unwrap_or(DEFAULT_RETRY_RATIO),
        retry_extra: bounds.retry_extra.unwrap_or(DEFAULT_RETRY_EXTRA),
        retry_window,
        exposure_share: bounds.exposure_share.unwrap_or(DEFAULT_EXPOSURE_SHARE),
        exposure_tolerance: bounds.exposure_tolerance.unwrap_or(DEFAULT_EXPOSURE_TOLERANCE),
        expects_overload: doc.contracts.iter().any(|contract| **contract == *PRESSURE_CONTRACT),
        memory_limit: doc.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB).saturating_mul(1 << 20),
        descriptor_limit: doc.limits.max_fds.unwrap_or(DEFAULT_MAX_FDS),
        duties,
    })
}

/// Settings of the duties, if the file names a duty service and a duty that is known here.
fn parse_duties(
    doc: Option<DutiesDoc>,
    bounds: &BoundsDoc,
    problems: &mut Vec<String>,
) -> Option<DutySettings> {
    let doc = doc.filter(|doc| doc.duties.iter().any(|duty| **duty == *USAGE_DUTY))?;
    let address = parse_address("cloud.address", doc.address.as_deref(), problems)?;
    let mut positive = |key: &str, value: Option<f64>, default: f64, max: f64| {
        let value = value.unwrap_or(default);
        if value > 0.0 && value <= max {
            return value;
        }
        problems.push(format!("{key} is {value}; expected a number above 0, at most {max}"));
        default
    };
    let max = MAX_SECONDS;
    let window =
        positive("bounds.report-window-s", bounds.report_window_s, DEFAULT_USAGE_WINDOW_S, max);
    let delay = positive("bounds.usage-delay-s", bounds.usage_delay_s, DEFAULT_USAGE_DELAY_S, max);
    let lease = positive("bounds.lease-ms", bounds.lease_ms, DEFAULT_LEASE_MS, max * 1e3) / 1e3;
    let calls_per_second =
        positive("cloud.duty-per-s", doc.duty_per_s, DEFAULT_DUTY_CALLS_PER_S, f64::MAX);
    Some(DutySettings {
        address,
        calls_per_second,
        lease: Duration::from_secs_f64(lease),
        usage_window: Duration::from_secs_f64(window),
        usage_delay: Duration::from_secs_f64(delay),
    })
}

fn parse_address(key: &str, value: Option<&str>, problems: &mut Vec<String>) -> Option<SocketAddr> {
    let Some(text) = value else {
        problems.push(format!("{key} is missing"));
        return None;
    };
    let parsed = text.parse().ok();
    if parsed.is_none() {
        problems.push(format!("{key} `{text}` is not an IP address with a port"));
    }
    parsed
}
