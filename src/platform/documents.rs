//! Documents the operator and the BackendServers keep in the store, read into our types.

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

const CONFIGURATION: &str = "config";
const ROLL_OUT_PREFIX: &str = "rollout/";
/// The rest of the key is the AvailabilityZone.
const EVACUATION_PREFIX: &str = "evacuate/";

/// What the operator changed.
#[derive(Clone, Debug)]
pub enum OperatorChange {
    /// A new version of the configuration.
    Configuration(Box<RoutingTable>),
    /// An order to roll a version out.
    RollOut(RollOutOrder),
    /// The order for this service is gone.
    RollOutWithdrawn(Box<str>),
    /// Nothing may be sent to the servers of this AvailabilityZone.
    ZoneEvacuated(Box<str>),
    /// This AvailabilityZone is taken back.
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
    /// Missing where no model runs.
    engine: Option<EngineDoc>,
    /// Requests a second that a cold server takes; 0 or missing where they start warm.
    #[serde(default)]
    cold_per_s: f64,
    /// How long a server is cold after its start.
    #[serde(default)]
    cold_start_s: f64,
}

/// Longest time that a server is believed to be cold, where it takes seconds: a row may have another writer, and a
/// number without bounds is no time.
const MAX_COLD_MS: f64 = 3_600_000.0;

impl ServiceDoc {
    fn cold(&self) -> Option<ColdStartLimit> {
        let duration = milliseconds((self.cold_start_s * 1e3).min(MAX_COLD_MS));
        (self.cold_per_s > 0.0)
            .then_some(ColdStartLimit { sends_per_second: self.cold_per_s, duration })
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct EngineDoc {
    /// Tokens that running requests and kept parts have room for, not bytes.
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
    /// Longest pause between events, though its name speaks of tokens.
    itl_target_ms: Option<f64>,
    #[serde(default)]
    priority: u8,
    /// Models of the cascade, smallest first.
    #[serde(default)]
    sizes: Vec<Box<str>>,
    /// The only service; absent where `split` names several.
    service: Option<Box<str>>,
    #[serde(default)]
    split: Vec<SplitDoc>,
    max_attempts: Option<u32>,
    /// Regions, not single zones.
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
    /// Time in which the roll-out is to be done.
    duration_s: f64,
}

#[derive(Serialize, Deserialize)]
struct StatusDoc {
    state: Box<str>,
    to: Box<str>,
}

/// A server writes all of these about itself: a row that lacks one, or has one of another type, is not
/// its own and names no server.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ServerDoc {
    service: Box<str>,
    address: SocketAddr,
    zone: Box<str>,
    version: Box<str>,
    slots: NonZeroU32,
    state: StateDoc,
    /// How much longer it is cold, as of when it wrote.
    cold_remaining_ms: f64,
    /// Counts what the server wrote or accepted in this life.
    sequence: u64,
    /// Missing where no model runs.
    #[serde(default)]
    models: Vec<NameDoc>,
    /// Missing on platforms whose servers have a new id after each start.
    #[serde(default, deserialize_with = "whole_number")]
    born: Option<StartTime>,
}

#[derive(Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
enum StateDoc {
    Ready,
    /// About to leave.
    Draining,
}

/// Reads a number that may be missing but not null.
fn whole_number<'de, D: Deserializer<'de>>(from: D) -> std::result::Result<Option<u64>, D::Error> {
    u64::deserialize(from).map(Some)
}

#[derive(Deserialize)]
struct NameDoc {
    name: Box<str>,
}

/// Timeout of a route that sets none.
const DEFAULT_TIMEOUT_MS: f64 = 30_000.0;

/// Reads a row the operator wrote; nothing for kinds of rows not known here.
///
/// # Errors
/// When the document can't be read.
pub fn parse_operator_row(row: &Row) -> Result<Option<OperatorChange>> {
    if let Some(service) = row.key.strip_prefix(ROLL_OUT_PREFIX) {
        if row.is_removed {
            return Ok(Some(OperatorChange::RollOutWithdrawn(service.into())));
        }
        let doc: RollOutDoc = parse(row)?;
        return Ok(Some(OperatorChange::RollOut(RollOutOrder {
            service: doc.service,
            to: doc.to,
            duration: Duration::from_secs_f64(doc.duration_s.max(0.0)),
            written_at: row.written_at(),
        })));
    }
    if let Some(zone) = evacuated_zone(&row.key) {
        // What the document says is of no use: the row itself is the order.
        return Ok(Some(match row.is_removed {
            true => OperatorChange::EvacuationWithdrawn(zone.into()),
            false => OperatorChange::ZoneEvacuated(zone.into()),
        }));
    }
    if !is_config_key(&row.key) || row.is_removed {
        return Ok(None);
    }
    let doc: ConfigDoc = parse(row)?;
    Ok(Some(OperatorChange::Configuration(Box::new(read_config(doc)))))
}

/// The kind of an operator's row that nothing here reads: what its key begins with.
pub fn unknown_row_kind(key: &str) -> Option<&str> {
    let is_known = is_config_key(key)
        || key.starts_with(ROLL_OUT_PREFIX)
        || key.starts_with(EVACUATION_PREFIX);
    (!is_known).then(|| key.split('/').next().unwrap_or(key))
}

/// Whether a row of the operator's holds the configuration.
pub fn is_config_key(key: &str) -> bool {
    key == CONFIGURATION
}

/// AvailabilityZone that an operator's row orders to evacuate.
pub fn evacuated_zone(key: &str) -> Option<&str> {
    key.strip_prefix(EVACUATION_PREFIX)
}

/// Reads the row of a BackendServer.
///
/// # Errors
/// When the document can't be read, or has what no server reports of itself.
pub fn parse_server_row(row: &Row) -> Result<BackendServer> {
    let doc: ServerDoc = parse(row)?;
    if doc.address.ip().is_unspecified()
        || doc.address.ip().is_multicast()
        || doc.address.port() == 0
    {
        return Err(unreadable(row, &"nobody can listen at its address"));
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
        cold_for: milliseconds(doc.cold_remaining_ms.min(MAX_COLD_MS)),
        sequence: doc.sequence,
        written_at: row.written_at(),
        models: doc.models.into_iter().map(|model| model.name).collect(),
    })
}

/// Reads what was last reported about a roll-out.
///
/// # Errors
/// When the document can't be read.
pub fn parse_status_row(row: &Row) -> Result<RollOutStatus> {
    let doc: StatusDoc = parse(row)?;
    let progress = match &*doc.state {
        "completed" => RollOutProgress::Completed,
        "rolled_back" => RollOutProgress::RolledBack,
        _ => RollOutProgress::Running,
    };
    Ok(RollOutStatus { to: doc.to, progress })
}

/// Key of the row about a service's roll-out.
pub fn roll_out_status_key(service: &str) -> Box<str> {
    format!("{ROLL_OUT_PREFIX}{service}").into()
}

/// Service a status row is about.
pub fn service_of_status_key(key: &str) -> Option<&str> {
    key.strip_prefix(ROLL_OUT_PREFIX)
}

/// The document about a roll-out.
pub fn encode_status(status: &RollOutStatus) -> Vec<u8> {
    let state = match status.progress {
        RollOutProgress::Running => "in_progress",
        RollOutProgress::Completed => "completed",
        RollOutProgress::RolledBack => "rolled_back",
    };
    let doc = StatusDoc { state: state.into(), to: status.to.clone() };
    serde_json::to_vec(&doc).expect("a document of texts can be written")
}

fn parse<T: for<'de> Deserialize<'de>>(row: &Row) -> Result<T> {
    serde_json::from_slice(&row.value).map_err(|e| unreadable(row, &e))
}

fn unreadable(row: &Row, e: &dyn std::fmt::Display) -> Error {
    let table: Table = row.table;
    Error::Unreadable(format!("{table:?} row {}: {e}", row.key).into())
}

fn read_config(doc: ConfigDoc) -> RoutingTable {
    let mut routes: HashMap<Box<str>, Vec<Arc<Route>>> = HashMap::new();
    for route in doc.routes {
        let host = route.host.clone();
        routes.entry(host).or_default().push(Arc::new(read_route(route)));
    }
    for of_host in routes.values_mut() {
        of_host.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }
    let cold_starts =
        doc.services.iter().filter_map(|s| Some((s.name.clone(), s.cold()?))).collect();
    let memory = |service: ServiceDoc| Some((service.name, service.engine?.kv_capacity?));
    RoutingTable {
        version: doc.version,
        routes,
        kv_cache_tokens: doc.services.into_iter().filter_map(memory).collect(),
        cold_starts,
        organisations_by_key: doc.tenants.map(read_keys),
        limits: doc.limits.as_ref().map(read_limits),
    }
}

fn read_route(doc: RouteDoc) -> Route {
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
            // An unknown kind is served with the most care.
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

fn read_keys(docs: Vec<OrganisationDoc>) -> HashMap<Box<str>, Arc<Organisation>> {
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

fn read_limits(doc: &LimitsDoc) -> CallerLimits {
    CallerLimits {
        header_bytes: doc.max_header_bytes,
        body_bytes: doc.max_body_bytes,
        header_timeout: Duration::from_millis(doc.header_timeout_ms),
        idle_timeout: Duration::from_millis(doc.idle_timeout_ms),
    }
}

fn milliseconds(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1e3).max(0.0))
}
