//! The operator's orders in the store: configuration, roll-outs and evacuations.

use std::collections::BTreeSet;

use crate::{
    platform::{
        documents::{
            OperatorChange, evacuated_zone, parse_operator_row, roll_out_status_key,
            unknown_row_kind,
        },
        store::{Rows, StoreClient, Table},
    },
    policy::lifecycle::LifecycleEvent,
    router::{
        Router,
        servers::server_table::record_versions,
        store::{feed::follow_table, restore::Extent},
    },
    routing::RoutingTable,
    telemetry::event,
};

/// Maximum number of unknown kinds of orders that are logged.
const MAX_UNKNOWN_KINDS: usize = 32;

/// Follows the table of orders and applies changes.
pub(crate) async fn follow_orders(router: &Router, store: &StoreClient) {
    let mut logged = BTreeSet::new();
    follow_table(router, store, Table::Orders, |rows, extent, _| {
        log_unknown_kinds(&rows, &mut logged);
        if extent.is_whole() {
            withdraw_missing(router, &rows);
        }
        let is_start = router.table.load().is_none();
        // The first configuration admits requests, so orders that exclude servers are applied
        // before it.
        let (configuration, others): (Vec<_>, Vec<_>) =
            parse_changes(&rows).partition(|c| matches!(c, OperatorChange::Configuration(_)));
        for change in others.into_iter().chain(configuration) {
            if extent == Extent::Restored && is_withdrawn(router, &change) {
                continue;
            }
            apply_change(router, change, is_start);
        }
    })
    .await;
}

/// Logs each unknown kind of order once.
fn log_unknown_kinds(rows: &Rows, logged: &mut BTreeSet<Box<str>>) {
    for kind in rows.rows.iter().filter_map(|row| unknown_row_kind(&row.key)) {
        if logged.len() < MAX_UNKNOWN_KINDS && logged.insert(kind.into()) {
            event::ORDER_UNREAD.log(format_args!("kind={kind}"));
        }
    }
}

/// Whether a change is a roll-out that was withdrawn, but is back because the store was restored
/// from a backup.
fn is_withdrawn(router: &Router, change: &OperatorChange) -> bool {
    matches!(change, OperatorChange::RollOut(order) if router.roll_outs.was_withdrawn(order))
}

fn parse_changes(rows: &Rows) -> impl Iterator<Item = OperatorChange> {
    rows.rows.iter().filter_map(|row| match parse_operator_row(row) {
        Ok(change) => change,
        Err(e) => {
            event::DOCUMENT_UNREADABLE.log(format_args!("cause=\"{e}\""));
            None
        }
    })
}

/// Ends the evacuations and roll-outs that are missing from the complete list of rows.
fn withdraw_missing(router: &Router, rows: &Rows) {
    for zone in router.evacuations.zones() {
        if !rows.rows.iter().any(|row| evacuated_zone(&row.key) == Some(&zone)) {
            router.evacuations.end(&zone, router.now());
        }
    }
    for order in router.roll_outs.orders() {
        let key = roll_out_status_key(&order.service);
        if !rows.rows.iter().any(|row| row.key == key) {
            router.roll_outs.withdraw(&order.service);
        }
    }
}

fn apply_change(router: &Router, change: OperatorChange, is_start: bool) {
    match change {
        OperatorChange::Configuration(table) => apply_configuration(router, *table),
        OperatorChange::RollOut(order) => {
            let details =
                format!("service={} to={} within={:?}", order.service, order.to, order.duration);
            if router.roll_outs.add_order(order, router.now(), is_start) {
                event::ROLL_OUT_ORDERED.log(format_args!("{details}"));
                record_versions(router);
            }
        }
        OperatorChange::RollOutWithdrawn(service) => router.roll_outs.withdraw(&service),
        OperatorChange::ZoneEvacuated(zone) => router.evacuations.begin(&zone, router.now()),
        OperatorChange::EvacuationWithdrawn(zone) => router.evacuations.end(&zone, router.now()),
    }
}

/// Applies a configuration if it is newer than the current one.
pub(crate) fn apply_configuration(router: &Router, table: RoutingTable) {
    let current = router.table.load().as_ref().as_ref().map_or(0, |t| t.version);
    let version = table.version;
    if version < current {
        event::CONFIG_OLDER_SHOWN.log(format_args!("shown={version} in_force={current}"));
        return;
    }
    if version == current {
        return;
    }
    router.metrics.config_revision.set(i64::try_from(version).unwrap_or(i64::MAX));
    router.set_table(table);
    event::CONFIG_ADVANCED.log(format_args!("version={version} before={current}"));
    if current == 0 {
        router.advance(LifecycleEvent::Ready);
        event::PROCESS_READY.log(format_args!("version={version}"));
    }
}
