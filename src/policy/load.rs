//! How loaded a BackendServer is believed to be, from its own word and what was sent since.

use std::time::Duration;

/// Load as a server reports it with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests it runs.
    pub running: u32,
    /// Requests it keeps waiting.
    pub waiting: u32,
    /// Requests it can run at a time.
    pub slots: u32,
}

/// Time in which half of a report's worth is lost; streams here last a second or a few.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(1);

/// Belief about one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadBelief {
    /// Requests of this entry that are at the server.
    pub own: u32,
    /// Requests of other entries at the last report.
    others: f64,
    /// When that was, on the entry's monotonic clock.
    reported_at: Duration,
}

impl LoadBelief {
    /// Takes in a report that came with an answer to one of our requests.
    pub fn note_report(&mut self, report: ReportedLoad, now: Duration) {
        let all = report.running + report.waiting;
        self.others = f64::from(all.saturating_sub(self.own));
        self.reported_at = now;
    }

    /// Requests believed to be at the server.
    pub fn estimate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        let worth = 0.5f64.powf(age / REPORT_HALF_LIFE.as_secs_f64());
        f64::from(self.own) + self.others * worth
    }
}
