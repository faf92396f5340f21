//! The settings file that the platform writes for a process on one of its Hosts.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use serde::Deserialize;

use crate::routing::Region;

/// Environment variable that holds the path of the file.
pub const SETTINGS_VARIABLE: &str = "MINTMOOR_CONFIG";

/// What the platform's file says of a Host, in our words.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// Name of the Host.
    pub host: Box<str>,
    /// AvailabilityZone of the Host.
    pub zone: Box<str>,
    /// Region of each AvailabilityZone.
    pub regions: HashMap<Box<str>, Region>,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the balancer asks whether this process takes work.
    pub readiness_address: SocketAddr,
    /// Where the other entries connect; none where the role has no such address.
    pub peer_address: Option<SocketAddr>,
    /// Peer addresses of a few entries; they may be stale.
    pub seed_peers: Vec<SocketAddr>,
    /// Store, as `IP:PORT`.
    pub store_address: Box<str>,
    /// Time from the request to stop until the process is killed.
    pub shutdown_grace: Duration,
    /// Time for which a server that announces draining goes on serving.
    pub drain_time: Duration,
    /// Time after trouble in which a host has to have caught up.
    pub catch_up_time: Duration,
    /// Sends beyond the first of each request that are allowed per request.
    pub retry_ratio: f64,
    /// Sends allowed beyond that ratio in a window, over all entries.
    pub retry_extra: f64,
    /// Window the two are counted in.
    pub retry_window: Duration,
}

/// Why the platform's file can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HostSettingsError {
    /// Not the format.
    #[error("is not readable: {0}")]
    Syntax(Box<str>),
    /// A value has no default and is missing, or is wrong; all of them at once.
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
    #[serde(default)]
    bounds: BoundsDoc,
    #[serde(default)]
    platform: PlatformDoc,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ListenDoc {
    /// Where callers connect.
    frontend: Option<Box<str>>,
    readiness: Option<Box<str>>,
    /// Free for the entries among themselves.
    control_plane: Option<Box<str>>,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct BoundsDoc {
    grace_s: Option<f64>,
    drain_ms: Option<f64>,
    /// Time after trouble from which the host is held to all bounds.
    contact_ms: Option<f64>,
    retry_ratio: Option<f64>,
    retry_extra: Option<f64>,
    retry_window_s: Option<f64>,
}

#[derive(Default, Deserialize)]
struct PlatformDoc {
    /// The store's.
    address: Option<Box<str>>,
}

/// Defaults of bounds that a deployment leaves out; those of both first deployments.
const DEFAULT_GRACE_S: f64 = 8.0;
const DEFAULT_DRAIN_MS: f64 = 2_000.0;
const DEFAULT_CONTACT_MS: f64 = 3_000.0;
const DEFAULT_RETRY_RATIO: f64 = 0.1;
const DEFAULT_RETRY_EXTRA: f64 = 20.0;
const DEFAULT_RETRY_WINDOW_S: f64 = 10.0;

/// Reads the file's text.
///
/// # Errors
/// Everything that is wrong with it at once.
pub fn parse(text: &str) -> Result<HostSettings, HostSettingsError> {
    let doc: Doc = serde_saphyr::from_str(text)
        .map_err(|e| HostSettingsError::Syntax(e.to_string().into()))?;
    let mut problems = Vec::new();
    let caller_address = address("listen.frontend", doc.listen.frontend.as_deref(), &mut problems);
    let readiness_address =
        address("listen.readiness", doc.listen.readiness.as_deref(), &mut problems);
    if doc.platform.address.is_none() {
        problems.push("platform.address is missing".into());
    }
    let (Some(caller_address), Some(readiness_address), Some(store_address)) =
        (caller_address, readiness_address, doc.platform.address)
    else {
        return Err(HostSettingsError::Values(problems));
    };
    let bounds = doc.bounds;
    Ok(HostSettings {
        host: doc.node_name,
        zone: doc.zone,
        regions: doc.zones,
        caller_address,
        readiness_address,
        peer_address: doc.listen.control_plane.and_then(|text| text.parse().ok()),
        seed_peers: doc.seeds.iter().filter_map(|seed| seed.parse().ok()).collect(),
        store_address,
        shutdown_grace: Duration::from_secs_f64(bounds.grace_s.unwrap_or(DEFAULT_GRACE_S)),
        drain_time: Duration::from_secs_f64(bounds.drain_ms.unwrap_or(DEFAULT_DRAIN_MS) / 1e3),
        catch_up_time: Duration::from_secs_f64(
            bounds.contact_ms.unwrap_or(DEFAULT_CONTACT_MS) / 1e3,
        ),
        retry_ratio: bounds.retry_ratio.unwrap_or(DEFAULT_RETRY_RATIO),
        retry_extra: bounds.retry_extra.unwrap_or(DEFAULT_RETRY_EXTRA),
        retry_window: Duration::from_secs_f64(
            bounds.retry_window_s.unwrap_or(DEFAULT_RETRY_WINDOW_S),
        ),
    })
}

fn address(key: &str, value: Option<&str>, problems: &mut Vec<String>) -> Option<SocketAddr> {
    let Some(text) = value else {
        problems.push(format!("{key} is missing"));
        return None;
    };
    let parsed = text.parse().ok();
    if parsed.is_none() {
        problems.push(format!("{key} `{text}` is no IP address and port"));
    }
    parsed
}
