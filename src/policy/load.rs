//! How loaded a BackendServer is believed to be, from its own reports and what was sent since.

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

/// Most that the prompts of other entries count. Without a bound, differences of seconds in an overload
/// drew all requests away from the servers that hold their shared parts, which made more to read
/// (docs/decisions/0010 has the figures).
const MAX_PEER_BACKLOG: Duration = Duration::from_millis(250);

/// Belief about one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadEstimate {
    /// Requests of this entry that are at the server.
    pub own_requests: u32,
    /// Requests of other entries at the last report.
    peer_requests: f64,
    /// When that was, on the entry's monotonic clock.
    reported_at: Duration,
    /// Time for the prompts of other entries that were not read yet, when they reported them.
    peer_backlog: Duration,
    /// When that was.
    backlog_reported_at: Duration,
}

impl LoadEstimate {
    /// Takes in a report that came with an answer to one of our requests.
    pub fn record_report(&mut self, report: ReportedLoad, now: Duration) {
        let all = report.running + report.waiting;
        self.peer_requests = f64::from(all.saturating_sub(self.own_requests));
        self.reported_at = now;
    }

    /// Takes in what the other entries say they have at the server.
    pub fn record_peer_load(&mut self, requests: u32, backlog: Duration, now: Duration) {
        self.peer_requests = f64::from(requests);
        self.reported_at = now;
        self.peer_backlog = backlog;
        self.backlog_reported_at = now;
    }

    /// Time for the prompts of other entries that are not read yet: what they reported, less the
    /// time since.
    pub fn peer_backlog(&self, now: Duration) -> Duration {
        self.peer_backlog.saturating_sub(now.saturating_sub(self.backlog_reported_at))
    }

    /// The same as far as it counts in the choice of a server.
    pub fn peer_backlog_for_placement(&self, now: Duration) -> Duration {
        self.peer_backlog(now).min(MAX_PEER_BACKLOG)
    }

    /// Requests believed to be at the server.
    pub fn estimated_requests(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        let weight = 0.5f64.powf(age / REPORT_HALF_LIFE.as_secs_f64());
        f64::from(self.own_requests) + self.peer_requests * weight
    }
}
