//! Parses the documents that the operator and the BackendServers keep in the store, and builds those that
//! report to the operator.

use std::{net::SocketAddr, num::NonZeroU32, time::Duration};

use serde::{Deserialize, Deserializer, Serialize};

use crate::{
    platform::{
        Error, Result,
        configuration::{MAX_COLD_MS, parse_configuration},
        store::{Row, Table},
    },
    routing::{
        BackendServer, RollOutOrder, RollOutProgress, RollOutStatus, RoutingTable, StartTime,
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

/// Upper bound for durations in documents, in seconds: a day.
const MAX_SECONDS: f64 = 86_400.0;
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
    let table = parse_configuration(&row.value)
        .ok_or_else(|| unreadable(row, &"no object with a version and a list of routes"))?;
    Ok(Some(OperatorChange::Configuration(Box::new(table))))
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

/// A duration of a document. Numbers below 0 and above a day are cut to that range: no such time is meant, and a
/// larger one would overflow when it is added to a clock.
pub(crate) fn milliseconds(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1e3).clamp(0.0, MAX_SECONDS))
}
