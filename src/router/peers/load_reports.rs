//! Exchange of the load that entries put on BackendServers.
//!
//! A server reports its load in its answers, but with many entries each of them gets an answer of a
//! given server only every few seconds. So each entry reports the load that it puts on each server
//! to the seeds, and the seeds add the reports up and pass the sums on (docs/decisions/0010).

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    policy::place::{ObservedEntry, Place, place_among},
    router::Fleet,
    sync::Mutex,
};

/// Time after which a report is ignored: three missed reports.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_200);
/// Maximum number of servers in a report, the busiest first; 3 KB at 2,100 servers. Servers that
/// are left out look idle, so the limit covers a pool of a few hundred servers.
const MAX_REPORTED_SERVERS: usize = 256;

/// Load that one entry, or all entries together, have put on a server. It is encoded as three
/// numbers without field names, 11 bytes instead of 40.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, u32)", into = "(u32, u32, u32)")]
pub(crate) struct ServerLoad {
    /// Short hash of the server's id.
    server: u32,
    requests: u32,
    /// Time that the server needs to process the prompts in its queue, in milliseconds.
    backlog_ms: u32,
}

impl From<(u32, u32, u32)> for ServerLoad {
    fn from((server, requests, backlog_ms): (u32, u32, u32)) -> Self {
        Self { server, requests, backlog_ms }
    }
}

impl From<ServerLoad> for (u32, u32, u32) {
    fn from(load: ServerLoad) -> Self {
        (load.server, load.requests, load.backlog_ms)
    }
}

/// The latest report of one entry.
#[derive(Debug)]
struct ReceivedReport {
    at: Duration,
    /// Id of the link that delivered it.
    link: u64,
    /// Whether the entry knows its rank.
    is_settled: bool,
    loads: Vec<ServerLoad>,
}

impl ReceivedReport {
    fn is_fresh(&self, now: Duration) -> bool {
        now < self.at + REPORT_LIFETIME
    }
}

#[derive(Debug, Default)]
struct Inner {
    /// Latest reports by Host.
    reports: HashMap<Box<str>, ReceivedReport>,
    /// Id of the newest link that delivers reports.
    last_link_id: u64,
    /// Latest report of this entry itself.
    own: Vec<ServerLoad>,
}

/// Load reports of other entries and of this one.
#[derive(Debug, Default)]
pub(crate) struct LoadReports {
    inner: Mutex<Inner>,
}

/// The busiest servers, at most [`MAX_REPORTED_SERVERS`].
fn busiest(mut loads: Vec<ServerLoad>) -> Vec<ServerLoad> {
    if loads.len() > MAX_REPORTED_SERVERS {
        loads.sort_by_key(|load| std::cmp::Reverse((load.backlog_ms, load.requests)));
        loads.truncate(MAX_REPORTED_SERVERS);
    }
    loads
}

impl LoadReports {
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock()
    }

    /// Collects and stores the load that this entry has on the servers, for its next report.
    pub(crate) fn collect_own(&self, fleet: &Fleet) -> Vec<ServerLoad> {
        let loads = fleet.members().filter_map(|member| {
            let state = member.state();
            let requests = state.load.own_requests;
            let backlog_ms = u32::try_from(state.backlog.as_millis()).unwrap_or(u32::MAX);
            let server = member.short_hash();
            (requests > 0).then_some(ServerLoad { server, requests, backlog_ms })
        });
        let own = busiest(loads.collect());
        self.lock().own.clone_from(&own);
        own
    }

    /// Allocates an id for a link that delivers reports.
    pub(crate) fn next_link_id(&self) -> u64 {
        let mut inner = self.lock();
        inner.last_link_id += 1;
        inner.last_link_id
    }

    /// Stores another entry's report.
    pub(crate) fn apply_report(
        &self,
        host: &str,
        link: u64,
        loads: Vec<ServerLoad>,
        is_settled: bool,
        now: Duration,
    ) {
        let mut inner = self.lock();
        inner.reports.retain(|_, report| report.is_fresh(now));
        inner.reports.insert(host.into(), ReceivedReport { at: now, link, is_settled, loads });
    }

    /// Removes the report of an entry whose link has ended, unless it has reported over a newer
    /// link. Its process is gone; without this, its report would count until it expires about a
    /// second later.
    pub(crate) fn remove_report(&self, host: &str, link: u64) {
        let mut inner = self.lock();
        if inner.reports.get(host).is_some_and(|report| report.link == link) {
            inner.reports.remove(host);
        }
    }

    /// Number of entries that report here, including this one.
    pub(crate) fn entry_count(&self, now: Duration) -> usize {
        let inner = self.lock();
        inner.reports.values().filter(|report| report.is_fresh(now)).count() + 1
    }

    /// Rank of an entry that reports here, or of this one, among all entries.
    pub(crate) fn place(&self, host: &str, own: ObservedEntry<'_>, now: Duration) -> Option<Place> {
        let inner = self.lock();
        let fresh = inner.reports.iter().filter(|(_, report)| report.is_fresh(now));
        let others =
            fresh.map(|(host, report)| ObservedEntry { host, is_settled: report.is_settled });
        let sharers: Vec<_> = others.chain([own]).collect();
        place_among(host, &sharers)
    }

    /// Sum of all reports, including this entry's own.
    pub(crate) fn sums(&self, now: Duration) -> Vec<ServerLoad> {
        let inner = self.lock();
        let fresh = inner.reports.values().filter(|report| report.is_fresh(now));
        let mut sums: HashMap<u32, ServerLoad> = HashMap::new();
        for load in fresh.flat_map(|report| &report.loads).chain(&inner.own) {
            let sum = sums.entry(load.server).or_insert(ServerLoad {
                server: load.server,
                requests: 0,
                backlog_ms: 0,
            });
            sum.requests = sum.requests.saturating_add(load.requests);
            sum.backlog_ms = sum.backlog_ms.saturating_add(load.backlog_ms);
        }
        busiest(sums.into_values().collect())
    }

    /// Updates the servers' records with the load of the other entries: the sums minus this entry's
    /// own load.
    pub(crate) fn apply(&self, sums: &[ServerLoad], fleet: &Fleet, now: Duration) {
        let inner = self.lock();
        let own: HashMap<u32, &ServerLoad> = inner.own.iter().map(|l| (l.server, l)).collect();
        let all: HashMap<u32, &ServerLoad> = sums.iter().map(|l| (l.server, l)).collect();
        for member in fleet.members() {
            let server = member.short_hash();
            let reported = |of: &HashMap<u32, &ServerLoad>| {
                of.get(&server).map_or((0, 0), |load| (load.requests, load.backlog_ms))
            };
            let (requests, backlog_ms) = reported(&all);
            let (own_requests, own_backlog_ms) = reported(&own);
            let backlog = Duration::from_millis(backlog_ms.saturating_sub(own_backlog_ms).into());
            let requests = requests.saturating_sub(own_requests);
            member.state().load.record_peer_load(requests, backlog, now);
        }
    }
}
