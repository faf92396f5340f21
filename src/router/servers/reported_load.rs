//! Records the load and the speed that servers report with their responses, and the speeds that
//! other entries report.

use std::{sync::Arc, time::Duration};

use crate::{
    policy::load::{ReportedLoad, ReportedPace},
    router::{Member, Router, peers::speed_reports::SpeedReport},
    telemetry::event,
};

impl Router {
    /// Records the load in a server's response to a request that was sent at `sent_at`, and the
    /// speed of its machine if the report has it.
    pub(crate) fn record_load(&self, member: &Member, load: ReportedLoad, sent_at: Duration) {
        let now = self.now();
        member.state().load.record_report(load, now);
        let is_readable = match load.pace {
            ReportedPace::Absent => true,
            ReportedPace::Percent(percent) => self.record_pace(member, percent, sent_at, now),
            ReportedPace::Unreadable => false,
        };
        if !is_readable && member.record_unreadable_pace(now) {
            event::SERVER_PACE_UNREADABLE
                .log(format_args!("server={} figure={:?}", member.server.id, load.pace));
        }
    }

    /// Records the time that work takes on a server's machine, in percent of the usual time; false
    /// if it is not believed.
    fn record_pace(&self, member: &Member, percent: u32, sent_at: Duration, now: Duration) -> bool {
        let factor = f64::from(percent) / 100.0;
        let Some(running) = self.listed_sender(member, sent_at) else {
            return true;
        };
        if !running.state().speed.record(factor, now) {
            return false;
        }
        if self.speed_reports.record_own(&running, factor, now) {
            self.metrics.count_speed_reports("own", 1);
        }
        true
    }

    /// The listed incarnation of a server that answered a request which was sent to this one at
    /// `sent_at`. `None` if the list doesn't show that incarnation any more, or not yet: its machine
    /// may be another one than that of the incarnation that is listed (docs/incidents/0018).
    fn listed_sender(&self, member: &Member, sent_at: Duration) -> Option<Arc<Member>> {
        let fleet = self.fleet.load();
        let listed = fleet.member(&member.server.id)?;
        let is_next = member.ended_before(sent_at);
        (listed.is_same_incarnation(member) != is_next).then(|| listed.clone())
    }

    /// Applies the speeds of servers that another entry reports.
    pub(crate) fn apply_speed_reports(&self, reports: &[SpeedReport], peer: &str) {
        let applied = self.speed_reports.apply(reports, &self.fleet, self.now());
        let outcomes = [
            ("news", applied.news),
            ("known", applied.known),
            ("dropped", applied.dropped),
            ("disbelieved", applied.disbelieved),
        ];
        for (outcome, reports) in outcomes {
            self.metrics.count_speed_reports(outcome, reports);
        }
        if let Some(report) = applied.to_log {
            let (server, factor) = report.decode();
            event::PEER_SPEED_UNREADABLE
                .log(format_args!("peer={peer} server_hash={server:08x} factor={factor}"));
        }
    }
}
