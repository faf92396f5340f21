//! Metrics that are computed on demand, and the state dump of an entry.

use std::{net::SocketAddr, sync::Arc};

use serde_json::{Value, json};

use crate::{
    policy::{quarantine::Suspect, server_speed::ServerSpeed},
    router::{Router, callers::caller_connection::CutReason},
    telemetry::{admin::AdminHandlers, event, log::dropped_lines, metrics::ServiceLabels, panics},
};

impl Router {
    /// Counts a connection that was closed before its response was complete, and logs the first in each second.
    pub(crate) fn record_cut(&self, caller: SocketAddr, reason: CutReason) {
        self.metrics.count_caller_cut(reason.name());
        if let Some(unlogged) = self.cut_log.admit(self.now()) {
            let (reason, held) = (reason.name(), self.held_bytes());
            event::CALLER_CUT.log(format_args!(
                "caller={caller} reason={reason} held={held} connections={} unlogged={unlogged}",
                self.connections.len()
            ));
        }
    }

    /// Updates the gauges that are not maintained as events occur.
    fn refresh_gauges(&self) {
        let now = self.now();
        let age = now.saturating_sub(self.table_views.answered_at()).as_millis();
        self.metrics.feed_age_ms.set(i64::try_from(age).unwrap_or(i64::MAX));
        let dropped = i64::try_from(dropped_lines()).unwrap_or(i64::MAX);
        self.metrics.log_lines_dropped.set(dropped);
        self.metrics.panics.set(i64::try_from(panics::count()).unwrap_or(i64::MAX));
        self.metrics.entries.set(self.entries().into());
        let lost = i64::try_from(self.prefix_reports.lost()).unwrap_or(i64::MAX);
        self.metrics.kept_notes_lost.set(lost);
        let lost = i64::try_from(self.quarantine.lost()).unwrap_or(i64::MAX);
        self.metrics.quarantine_notes_lost.set(lost);
        self.refresh_quarantine_cost();
        let refused = self.quarantine.cases(true);
        let parts = refused.iter().filter(|case| matches!(case.suspect, Suspect::Part(_))).count();
        let requests = refused.len() - parts;
        self.metrics.quarantined.set(i64::try_from(requests).unwrap_or(i64::MAX));
        self.metrics.quarantined_parts.set(i64::try_from(parts).unwrap_or(i64::MAX));
        let terms = self.retry_limits();
        let mut retry_budgets = self.retry_budgets.lock();
        for (service, budget) in retry_budgets.iter_mut() {
            let labels = ServiceLabels { service: service.to_string() };
            self.metrics
                .repeats_left
                .get_or_create(&labels)
                .set(budget.remaining(&terms, now) as i64);
        }
        let evacuated = self.evacuations.zones().len();
        self.metrics.evacuated_zones.set(i64::try_from(evacuated).unwrap_or(i64::MAX));
        let rate_limited = i64::try_from(self.shared_limits.rate_limited()).unwrap_or(i64::MAX);
        self.metrics.servers_rate_limited.set(rate_limited);
        let fleet = self.fleet.load();
        let announced: Vec<_> = fleet.members().map(|m| m.state().announced).collect();
        let draining = announced.iter().filter(|a| a.draining_since().is_some()).count();
        let paused = announced.iter().filter(|a| a.is_paused(now)).count();
        self.metrics.servers_draining.set(i64::try_from(draining).unwrap_or(i64::MAX));
        self.metrics.servers_paused.set(i64::try_from(paused).unwrap_or(i64::MAX));
        let speeds = fleet.members().map(|m| m.state().speed);
        let factors: Vec<f64> = speeds.filter(ServerSpeed::is_known).map(|s| s.lasting()).collect();
        self.metrics.set_server_speeds(&factors);
        self.metrics.held_bytes.set(i64::try_from(self.held_bytes()).unwrap_or(i64::MAX));
        let open = i64::try_from(self.connections.len()).unwrap_or(i64::MAX);
        self.metrics.caller_connections.set(open);
        self.roll_outs.update_metrics(&self.metrics);
    }

    fn refresh_quarantine_cost(&self) {
        let usage = self.quarantine.lock_usage();
        let gauges = [
            (&self.metrics.quarantine_lock_acquired, usage.acquired.into()),
            (&self.metrics.quarantine_lock_waited_us, usage.waited.as_micros()),
            (&self.metrics.quarantine_lock_held_us, usage.held.as_micros()),
            (&self.metrics.quarantine_records_examined, self.quarantine.records_examined().into()),
        ];
        for (gauge, value) in gauges {
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        }
    }

    /// Handlers for the admin address.
    pub(crate) fn admin(self: &Arc<Self>) -> AdminHandlers {
        let (readiness, dump_state, metrics_state) = (self.clone(), self.clone(), self.clone());
        AdminHandlers {
            render_metrics: Arc::new(move || {
                metrics_state.refresh_gauges();
                metrics_state.metrics.render()
            }),
            is_ready: Arc::new(move || readiness.is_ready()),
            dump_state: Arc::new(move || dump_state.dump()),
        }
    }

    /// The state dump. It contains no keys of Organisations.
    pub fn dump(&self) -> Value {
        let table = self.table.load();
        json!({
            "host": self.settings.load().host,
            "configuration": table.as_ref().as_ref().map(|t| t.version),
            "in_flight": self.in_flight(),
            "entries": self.entries(),
            "controls_overload": self.controls_overload(),
            "follows_another_entry": self.follows_link(),
            "quarantine": self.quarantine.dump(),
            "era": self.table_views.era(),
            "place": self.place().map(|place| json!([place.rank, place.entries])),
            "evacuated": self.evacuations.dump(self.now()),
            "limits": self.dump_limits(),
            "roll_outs": self.roll_outs.dump(),
            "servers": self.fleet.load().dump(self.now()),
        })
    }
}
