//! Records the load and the speed that servers report with their responses.

use std::sync::atomic::Ordering;

use crate::{
    policy::load::{ReportedLoad, ReportedPace},
    router::{Member, Router},
    telemetry::event,
};

impl Router {
    /// Whether overload control is in force.
    pub(crate) fn controls_overload(&self) -> bool {
        let expects_overload = self.settings.load().expects_overload;
        let has_shared_machines = self.has_shared_machines.load(Ordering::Relaxed);
        self.policy.overload_control.is_in_force(expects_overload, has_shared_machines)
    }

    /// Records the load in a server's response, and the speed of its machine if the report has it.
    pub(crate) fn record_load(&self, member: &Member, load: ReportedLoad) {
        let now = self.now();
        let mut state = member.state();
        state.load.record_report(load, now);
        let is_readable = match load.pace {
            ReportedPace::Absent => true,
            ReportedPace::Percent(percent) => {
                self.has_shared_machines.store(true, Ordering::Relaxed);
                state.speed.record(f64::from(percent) / 100.0, now)
            }
            ReportedPace::Unreadable => false,
        };
        drop(state);
        if !is_readable && member.record_unreadable_pace(now) {
            event::SERVER_PACE_UNREADABLE
                .log(format_args!("server={} figure={:?}", member.server.id, load.pace));
        }
    }
}
