//! Parses the documents that the operator and the BackendServers keep in the store, and builds those that
//! report to the operator.

use std::{collections::HashMap, net::SocketAddr, num::NonZeroU32, sync::Arc, time::Duration};

use serde::{Deserialize, Deserializer, Serialize};

use crate::{
    ids::Revision,
    platform::{
        Error, Result,
        store::{Row, Table},
    },
    policy::cold_start::ColdStartLimit,
    routing::{
        BackendServer, CallerLimits, Organisation, RollOutOrder, RollOutProgress, RollOutStatus,
        Route, RouteKind, RoutingTable, StartTime, Target,
    },
};

const CONFIG_KEY: &str = "config";
const ROLL_OUT_PREFIX: &str = "rollout/";
/// Prefix of the keys of evacuation orders; the rest of the key names the AvailabilityZone.
const EVACUATION_PREFIX: &str = "evacuate/";

/// A change by the operator.
#[derive(Clone, Debug)]
pub enum OperatorChange {
    /// A new version of the configuration.
    Configuration(Box<RoutingTable>),
    /// A new or changed order to roll out a version.
    RollOut(RollOutOrder),
    /// The roll-out order for this service was deleted.
    RollOutWithdrawn(Box<str>),
    /// The servers of this AvailabilityZone must not receive requests.
    ZoneEvacuated(Box<str>),
    /// The evacuation order for this AvailabilityZone was deleted; its servers may receive requests again.
    EvacuationWithdrawn(Box<str>),
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ConfigDoc {
    version: Revision,
    #[serde(default)]
    routes: Vec<RouteDoc>,
    #[serde(default)]
    services: Vec<ServiceDoc>,
    limits: Option<LimitsDoc>,
    tenants: Option<Vec<OrganisationDoc>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ServiceDoc {
    name: Box<str>,
    /// Missing for services that run no model.
    engine: Option<EngineDoc>,
    /// Requests per second that a cold server accepts; 0 or missing if servers start warm.
    #[serde(default)]
    cold_per_s: f64,
    /// Time for which a server is cold after its start.
    #[serde(default)]
    cold_start_s: f64,
}

/// Upper bound for durations in documents, in seconds: a day.
const MAX_SECONDS: f64 = 86_400.0;
/// Upper bound for cold times, which are seconds in practice. A row may come from another writer, and an
/// unbounded number can't be converted to a duration.
const MAX_COLD_MS: f64 = 3_600_000.0;

impl ServiceDoc {
    fn cold_start_limit(&self) -> Option<ColdStartLimit> {
        let duration = milliseconds((self.cold_start_s * 1e3).min(MAX_COLD_MS));
        (self.cold_per_s > 0.0)
            .then_some(ColdStartLimit { sends_per_second: self.cold_per_s, duration })
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct EngineDoc {
    /// Capacity in tokens, not bytes; shared by running requests and cached prompt parts.
    kv_capacity: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RouteDoc {
    name: Box<str>,
    host: Box<str>,
    prefix: Box<str>,
    route_kind: Option<Box<str>>,
    timeout_ms: Option<f64>,
    target_latency_ms: Option<f64>,
    /// Maximum pause between events, although the name refers to inter-token latency.
    itl_target_ms: Option<f64>,
    #[serde(default)]
    priority: u8,
    /// Models of the cascade, from smallest to largest.
    #[serde(default)]
    sizes: Vec<Box<str>>,
    /// Single target service; missing if `split` lists several.
    service: Option<Box<str>>,
    #[serde(default)]
    split: Vec<SplitDoc>,
    max_attempts: Option<u32>,
    /// Names of regions, not of zones.
    #[serde(default)]
    allowed_regions: Vec<Box<str>>,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    sticky: bool,
    #[serde(default)]
    resumable: bool,
}

#[derive(Deserialize)]
struct SplitDoc {
    service: Box<str>,
    weight: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct LimitsDoc {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: u64,
    idle_timeout_ms: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct OrganisationDoc {
    name: Box<str>,
    #[serde(default)]
    api_keys: Vec<Box<str>>,
    priority: Option<u8>,
    #[serde(default)]
    allowed_regions: Vec<Box<str>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RollOutDoc {
    service: Box<str>,
    to: Box<str>,
    /// Time within which the roll-out should complete.
    duration_s: f64,
}

#[derive(Serialize, Deserialize)]
struct StatusDoc {
    state: Box<str>,
    to: Box<str>,
}

/// Row that a server writes about itself. Servers always write the required fields, so a row in which one
/// is missing or has another type comes from another writer and is rejected.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ServerDoc {
    service: Box<str>,
    address: SocketAddr,
    zone: Box<str>,
    version: Box<str>,
    slots: NonZeroU32,
    state: StateDoc,
    /// Remaining cold time when the row was written.
    cold_remaining_ms: f64,
    /// Counter that the server increases with what it writes or accepts; orders the rows of one process.
    sequence: u64,
    /// Missing for services that run no model.
    #[serde(default)]
    models: Vec<NameDoc>,
    /// Start time; missing on platforms whose servers get a new id with each start.
    #[serde(default, deserialize_with = "whole_number")]
    born: Option<StartTime>,
}

#[derive(Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
enum StateDoc {
    Ready,
    /// About to stop.
    Draining,
}

/// Deserializes a number; the field may be missing but must not be null.
fn whole_number<'de, D: Deserializer<'de>>(from: D) -> std::result::Result<Option<u64>, D::Error> {
    u64::deserialize(from).map(Some)
}

#[derive(Deserialize)]
struct NameDoc {
    name: Box<str>,
}

/// Timeout of routes that don't set one.
const DEFAULT_TIMEOUT_MS: f64 = 30_000.0;

/// Parses a row of the operator; `None` for unknown kinds of rows and a deleted configuration.
///
/// # Errors
/// When the document can't be parsed.
pub fn parse_operator_row(row: &Row) -> Result<Option<OperatorChange>> {
    if let Some(service) = row.key.strip_prefix(ROLL_OUT_PREFIX) {
        if row.is_removed {
            return Ok(Some(OperatorChange::RollOutWithdrawn(service.into())));
        }
        let doc: RollOutDoc = parse(row)?;
        return Ok(Some(OperatorChange::RollOut(RollOutOrder {
            service: doc.service,
            to: doc.to,
            duration: milliseconds(doc.duration_s * 1e3),
            written_at: row.written_at(),
        })));
    }
    if let Some(zone) = evacuated_zone(&row.key) {
        // The existence of the row is the order; its document is not used.
        return Ok(Some(match row.is_removed {
            true => OperatorChange::EvacuationWithdrawn(zone.into()),
            false => OperatorChange::ZoneEvacuated(zone.into()),
        }));
    }
    if !is_config_key(&row.key) || row.is_removed {
        return Ok(None);
    }
    let doc: ConfigDoc = parse(row)?;
    Ok(Some(OperatorChange::Configuration(Box::new(build_routing_table(doc)))))
}

/// Kind of an operator's row, the first segment of its key, if this adapter doesn't know it.
pub fn unknown_row_kind(key: &str) -> Option<&str> {
    let is_known = is_config_key(key)
        || key.starts_with(ROLL_OUT_PREFIX)
        || key.starts_with(EVACUATION_PREFIX);
    (!is_known).then(|| key.split('/').next().unwrap_or(key))
}

/// Whether this is the key of the operator's configuration.
pub fn is_config_key(key: &str) -> bool {
    key == CONFIG_KEY
}

/// AvailabilityZone that the operator's row with this key evacuates.
pub fn evacuated_zone(key: &str) -> Option<&str> {
    key.strip_prefix(EVACUATION_PREFIX)
}

/// Parses the row of a BackendServer.
///
/// # Errors
/// When the document can't be parsed or has values that no server reports.
pub fn parse_server_row(row: &Row) -> Result<BackendServer> {
    let doc: ServerDoc = parse(row)?;
    if doc.address.ip().is_unspecified()
        || doc.address.ip().is_multicast()
        || doc.address.port() == 0
    {
        return Err(unreadable(row, &"no server can listen at its address"));
    }
    Ok(BackendServer {
        id: row.key.clone(),
        started_at: doc.born,
        service: doc.service,
        address: doc.address,
        zone: doc.zone,
        version: doc.version,
        slots: doc.slots.get(),
        is_draining: doc.state == StateDoc::Draining,
        remaining_cold_time: milliseconds(doc.cold_remaining_ms.min(MAX_COLD_MS)),
        sequence: doc.sequence,
        written_at: row.written_at(),
        models: doc.models.into_iter().map(|model| model.name).collect(),
    })
}

/// Parses the last reported status of a roll-out.
///
/// # Errors
/// When the document can't be parsed.
pub fn parse_status_row(row: &Row) -> Result<RollOutStatus> {
    let doc: StatusDoc = parse(row)?;
    let progress = match &*doc.state {
        "completed" => RollOutProgress::Completed,
        "rolled_back" => RollOutProgress::RolledBack,
        _ => RollOutProgress::Running,
    };
    Ok(RollOutStatus { to: doc.to, progress })
}

/// Key of the status row of a service's roll-out.
pub fn roll_out_status_key(service: &str) -> Box<str> {
    format!("{ROLL_OUT_PREFIX}{service}").into()
}

/// Service of the status row with this key.
pub fn service_of_status_key(key: &str) -> Option<&str> {
    key.strip_prefix(ROLL_OUT_PREFIX)
}

/// Serializes the status of a roll-out.
pub fn encode_status(status: &RollOutStatus) -> Vec<u8> {
    let state = match status.progress {
        RollOutProgress::Running => "in_progress",
        RollOutProgress::Completed => "completed",
        RollOutProgress::RolledBack => "rolled_back",
    };
    let doc = StatusDoc { state: state.into(), to: status.to.clone() };
    serde_json::to_vec(&doc).expect("a document of strings can be serialized")
}

fn parse<T: for<'de> Deserialize<'de>>(row: &Row) -> Result<T> {
    serde_json::from_slice(&row.value).map_err(|e| unreadable(row, &e))
}

fn unreadable(row: &Row, e: &dyn std::fmt::Display) -> Error {
    let table: Table = row.table;
    Error::Unreadable(format!("{table:?} row {}: {e}", row.key).into())
}

fn build_routing_table(doc: ConfigDoc) -> RoutingTable {
    let mut routes: HashMap<Box<str>, Vec<Arc<Route>>> = HashMap::new();
    for route in doc.routes {
        let host = route.host.clone();
        routes.entry(host).or_default().push(Arc::new(build_route(route)));
    }
    for routes_of_host in routes.values_mut() {
        routes_of_host.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }
    let cold_starts =
        doc.services.iter().filter_map(|s| Some((s.name.clone(), s.cold_start_limit()?))).collect();
    let kv_cache = |service: ServiceDoc| Some((service.name, service.engine?.kv_capacity?));
    RoutingTable {
        version: doc.version,
        shortest_objectives: shortest_objectives(routes.values().flatten()),
        routes,
        kv_cache_tokens: doc.services.into_iter().filter_map(kv_cache).collect(),
        cold_starts,
        organisations_by_key: doc.tenants.map(index_organisations),
        limits: doc.limits.as_ref().map(build_limits),
    }
}

/// The shortest objective of the routes with a cascade, by the service that they go to.
fn shortest_objectives<'a>(
    routes: impl Iterator<Item = &'a Arc<Route>>,
) -> HashMap<Box<str>, Duration> {
    let mut shortest = HashMap::new();
    for route in routes.filter(|route| !route.cascade.is_empty()) {
        for target in &route.targets {
            let objective = shortest.entry(target.service.clone()).or_insert(route.objective);
            *objective = route.objective.min(*objective);
        }
    }
    shortest
}

fn build_route(doc: RouteDoc) -> Route {
    let mut targets: Vec<Target> =
        doc.split.into_iter().map(|s| Target { service: s.service, weight: s.weight }).collect();
    if let Some(service) = doc.service {
        targets.push(Target { service, weight: 1.0 });
    }
    let timeout = doc.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
    Route {
        name: doc.name,
        prefix: doc.prefix,
        targets,
        kind: match doc.route_kind.as_deref() {
            Some("safe") => RouteKind::Idempotent,
            Some("stream") => RouteKind::Stream,
            // Unknown kinds are treated as non-idempotent, the safest assumption.
            _ => RouteKind::AtMostOnce,
        },
        timeout: milliseconds(timeout),
        objective: milliseconds(doc.target_latency_ms.unwrap_or(timeout)),
        max_event_gap: doc.itl_target_ms.map(milliseconds),
        priority: doc.priority,
        max_attempts: doc.max_attempts.unwrap_or(1).max(1),
        is_public: doc.public,
        is_sticky: doc.sticky,
        is_resumable: doc.resumable,
        permitted_regions: doc.allowed_regions,
        cascade: doc.sizes,
    }
}

fn index_organisations(docs: Vec<OrganisationDoc>) -> HashMap<Box<str>, Arc<Organisation>> {
    let mut keys = HashMap::new();
    for doc in docs {
        let organisation = Arc::new(Organisation {
            name: doc.name,
            priority: doc.priority,
            permitted_regions: doc.allowed_regions,
        });
        for key in doc.api_keys {
            keys.insert(key, organisation.clone());
        }
    }
    keys
}

fn build_limits(doc: &LimitsDoc) -> CallerLimits {
    CallerLimits {
        header_bytes: doc.max_header_bytes,
        body_bytes: doc.max_body_bytes,
        header_timeout: Duration::from_millis(doc.header_timeout_ms),
        idle_timeout: Duration::from_millis(doc.idle_timeout_ms),
    }
}

/// A duration of a document. Numbers below 0 and above a day are cut to that range: no such time is meant, and a
/// larger one would overflow when it is added to a clock.
fn milliseconds(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1e3).clamp(0.0, MAX_SECONDS))
}
