//! Parses the settings file that the platform writes for a process on one of its Hosts.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use crate::{
    platform::{
        settings_reader::{NO_DEFAULT, Number, SettingsReader},
        settings_values::{self, Found},
    },
    routing::Region,
    telemetry::event,
};

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
    /// Time after the acknowledgement of a configuration from which it must be in force.
    pub config_apply_time: Duration,
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

/// A value of the file that can't be used, and what is in force instead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IgnoredSetting {
    /// Path of its key, such as `limits.memory-mb`.
    pub key: Box<str>,
    /// Beginning of the value.
    pub value: Box<str>,
    /// What is in force instead, in the unit of the key; `none` if the part is left out.
    pub default: Box<str>,
}

/// Shortest of the times that are waited for or divided by, in seconds; one of zero is a mistake.
const MIN_SECONDS: f64 = 1e-3;
/// The same in milliseconds.
const MIN_MS: f64 = MIN_SECONDS * 1e3;
/// Fewest calls per second of a duty.
const MIN_CALLS_PER_S: f64 = 1e-3;
/// Longest duration in the file, in seconds; larger numbers are mistakes.
const MAX_SECONDS: f64 = 86_400.0;
/// The same in milliseconds.
const MAX_MS: f64 = MAX_SECONDS * 1e3;
/// Largest number of requests and requests per second.
const MAX_REQUESTS: f64 = 1e12;
/// Largest memory, in MB.
const MAX_MEMORY_MB: f64 = 1e9;
/// Largest number of descriptors.
const MAX_FDS: f64 = 1e9;
/// Bytes in a MB of the file.
const MB: f64 = 1_048_576.0;

const fn bound(key: &'static str, default: f64, min: f64, max: f64) -> Number {
    Number { section: "bounds", key, default, min, max }
}

const fn limit(key: &'static str, default: f64, max: f64) -> Number {
    Number { section: "limits", key, default, min: 1.0, max }
}

// The defaults are the values of the first two deployments.
const GRACE_S: Number = bound("grace-s", 8.0, 0.0, MAX_SECONDS);
const DRAIN_MS: Number = bound("drain-ms", 2_000.0, 0.0, MAX_MS);
const CONFIG_APPLY_MS: Number = bound("config-apply-ms", 2_000.0, 0.0, MAX_MS);
/// Time after a disruption from which the platform enforces all bounds again.
const CONTACT_MS: Number = bound("contact-ms", 3_000.0, MIN_MS, MAX_MS);
const RETRY_RATIO: Number = bound("retry-ratio", 0.1, 0.0, MAX_REQUESTS);
const RETRY_EXTRA: Number = bound("retry-extra", 20.0, 0.0, MAX_REQUESTS);
const RETRY_WINDOW_S: Number = bound("retry-window-s", 10.0, MIN_SECONDS, MAX_SECONDS);
const EXPOSURE_SHARE: Number = bound("exposure-share", 0.15, 0.0, 1.0);
const EXPOSURE_TOLERANCE: Number = bound("exposure-tolerance", 30.0, 0.0, MAX_REQUESTS);
const MEMORY_MB: Number = limit("memory-mb", 256.0, MAX_MEMORY_MB);
const DESCRIPTORS: Number = limit("max-fds", 4_096.0, MAX_FDS);
const LEASE_MS: Number = bound("lease-ms", 3_000.0, MIN_MS, MAX_MS);
const USAGE_WINDOW_S: Number = bound("report-window-s", 5.0, MIN_SECONDS, MAX_SECONDS);
const USAGE_DELAY_S: Number = bound("usage-delay-s", 10.0, MIN_SECONDS, MAX_SECONDS);
const DUTY_CALLS_PER_S: Number = Number {
    section: "cloud",
    key: "duty-per-s",
    default: 50.0,
    min: MIN_CALLS_PER_S,
    max: MAX_REQUESTS,
};

/// Part of the rules under which callers compete for capacity.
const PRESSURE_CONTRACT: &str = "pressure";
/// Name of the duty to report the usage of Organisations.
const USAGE_DUTY: &str = "usage";

/// Parses the text of the settings file, and logs each value that is ignored.
///
/// # Errors
/// As [`read`].
pub fn parse(text: &str) -> Result<HostSettings, HostSettingsError> {
    let (settings, ignored) = read(text)?;
    for IgnoredSetting { key, value, default } in ignored {
        event::SETTING_IGNORED.log(format_args!("key={key} value={value:?} default={default}"));
    }
    Ok(settings)
}

/// Reads the text of the settings file. An optional value that can't be read or is out of range has its default, and is
/// returned beside the settings: it must not keep a process from starting, nor a reload from taking the other values.
///
/// # Errors
/// Reports all required values that are missing or invalid together.
pub fn read(text: &str) -> Result<(HostSettings, Vec<IgnoredSetting>), HostSettingsError> {
    settings_values::check_syntax(text)
        .map_err(|e| HostSettingsError::Syntax(e.to_string().into()))?;
    let mut problems = Vec::new();
    let caller_address = required_address(text, "frontend", &mut problems);
    let readiness_address = required_address(text, "readiness", &mut problems);
    let store_address = required(text, "platform", "address", &mut problems);
    let (Some(caller_address), Some(readiness_address), Some(store_address)) =
        (caller_address, readiness_address, store_address)
    else {
        return Err(HostSettingsError::Values(problems));
    };
    let mut reader = SettingsReader { text, ignored: Vec::new() };
    reader.check_sections();
    let settings = HostSettings {
        host: reader.name("node-name"),
        zone: reader.name("zone"),
        regions: reader.regions(),
        caller_address,
        readiness_address,
        peer_address: reader.address("listen", "control-plane"),
        seed_peers: reader.seeds(),
        store_address,
        shutdown_grace: reader.seconds(&GRACE_S),
        drain_time: reader.milliseconds(&DRAIN_MS),
        config_apply_time: reader.milliseconds(&CONFIG_APPLY_MS),
        catch_up_time: reader.milliseconds(&CONTACT_MS),
        retry_ratio: reader.number(&RETRY_RATIO),
        retry_extra: reader.number(&RETRY_EXTRA),
        retry_window: reader.seconds(&RETRY_WINDOW_S),
        exposure_share: reader.number(&EXPOSURE_SHARE),
        exposure_tolerance: reader.number(&EXPOSURE_TOLERANCE),
        expects_overload: reader.texts(&["contracts"]).contains(&PRESSURE_CONTRACT.into()),
        memory_limit: (reader.number(&MEMORY_MB) * MB) as u64,
        descriptor_limit: reader.number(&DESCRIPTORS) as usize,
        duties: read_duties(&mut reader),
    };
    Ok((settings, reader.ignored))
}

/// A required value as text.
fn required(text: &str, section: &str, key: &str, problems: &mut Vec<String>) -> Option<Box<str>> {
    match settings_values::read(text, &[section, key]) {
        Found::Value(value) => return Some(value),
        Found::Missing => problems.push(format!("{section}.{key} is missing")),
        Found::Other(value) => problems.push(format!("{section}.{key} `{value}` is not a text")),
    }
    None
}

/// A required address on which the process listens.
fn required_address(text: &str, key: &str, problems: &mut Vec<String>) -> Option<SocketAddr> {
    let value = required(text, "listen", key, problems)?;
    let Ok(address) = value.parse() else {
        let value = settings_values::cut(&value);
        problems.push(format!("listen.{key} `{value}` is not an IP address with a port"));
        return None;
    };
    Some(address)
}

/// Settings of the duties, if the file names a duty service and a duty that is known here.
fn read_duties(reader: &mut SettingsReader<'_>) -> Option<DutySettings> {
    if !reader.texts(&["cloud", "duties"]).contains(&USAGE_DUTY.into()) {
        return None;
    }
    let Some(address) = reader.address("cloud", "address") else {
        reader.ignore(&["cloud", "duties"], USAGE_DUTY.into(), NO_DEFAULT);
        return None;
    };
    Some(DutySettings {
        address,
        calls_per_second: reader.number(&DUTY_CALLS_PER_S),
        lease: reader.milliseconds(&LEASE_MS),
        usage_window: reader.seconds(&USAGE_WINDOW_S),
        usage_delay: reader.seconds(&USAGE_DELAY_S),
    })
}
