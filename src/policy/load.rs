//! Estimate of a BackendServer's load, from its own reports, those of other entries and the requests in flight.

use std::time::Duration;

/// Load that a server reports with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of requests that it runs.
    pub running: u32,
    /// Number of requests in its queue.
    pub waiting: u32,
    /// Number of requests that it can run at the same time.
    pub slots: u32,
    /// How long work takes on its machine.
    pub pace: ReportedPace,
}

/// How long work takes on a server's machine, as the server reports it with its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportedPace {
    /// The report has no such figure.
    #[default]
    Absent,
    /// Time that work takes, in percent of the usual time.
    Percent(u32),
    /// The figure is not a positive number, or there are too many figures.
    Unreadable,
}

/// Time in which the weight of a report halves; streams last from one to a few seconds.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(1);

/// Upper bound on the other entries' backlog in placement. Without it, differences of seconds in an overload
/// drew all requests away from the servers that have their shared parts cached, which added prefill work
/// (docs/decisions/0010 has the figures).
const MAX_PEER_BACKLOG: Duration = Duration::from_millis(250);

/// Load estimate of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadEstimate {
    /// Number of this entry's requests at the server.
    pub own_requests: u32,
    /// Number of the other entries' requests at the last report.
    peer_requests: f64,
    /// Time of that report, on the entry's monotonic clock.
    reported_at: Duration,
    /// Prefill time of the other entries' pending prompts when they reported it.
    peer_backlog: Duration,
    /// Time of that report.
    backlog_reported_at: Duration,
}

impl LoadEstimate {
    /// Records a report that came with an answer to one of this entry's requests.
    pub fn record_report(&mut self, report: ReportedLoad, now: Duration) {
        let all = report.running + report.waiting;
        self.peer_requests = f64::from(all.saturating_sub(self.own_requests));
        self.reported_at = now;
    }

    /// Records the number and the backlog of the other entries' requests at the server.
    pub fn record_peer_load(&mut self, requests: u32, backlog: Duration, now: Duration) {
        self.peer_requests = f64::from(requests);
        self.reported_at = now;
        self.peer_backlog = backlog;
        self.backlog_reported_at = now;
    }

    /// Remaining prefill time of the other entries' prompts: the reported time less the time elapsed.
    pub fn peer_backlog(&self, now: Duration) -> Duration {
        self.peer_backlog.saturating_sub(now.saturating_sub(self.backlog_reported_at))
    }

    /// The same, bounded for use in placement.
    pub fn peer_backlog_for_placement(&self, now: Duration) -> Duration {
        self.peer_backlog(now).min(MAX_PEER_BACKLOG)
    }

    /// Estimated number of requests at the server; the weight of the last report decays with its age.
    pub fn estimated_requests(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        let weight = 0.5f64.powf(age / REPORT_HALF_LIFE.as_secs_f64());
        f64::from(self.own_requests) + self.peer_requests * weight
    }
}
