//! Exchange of the speed of servers' machines between entries.
//!
//! With hundreds of entries, each of them hears from a given server only every few seconds, and one
//! answer in several comes while neighbours slow its machine. So each entry reports figures that
//! are news to the others to the seeds, and the seeds pass them on with their heartbeats. Where
//! servers don't report their speed, nothing is sent.

use std::{
    collections::{BTreeMap, HashMap},
    sync::MutexGuard,
    time::Duration,
};

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};

use crate::{
    policy::server_speed::{SharedSpeed, TimeFactor, is_believed},
    router::{Fleet, Member, servers::member::should_log},
    sync::Mutex,
};

/// Maximum number of speeds in one message, 5 KB; the others follow in the next messages, so that
/// an entry that has just started knows the speeds of 2,100 servers after five heartbeats.
const MAX_PER_MESSAGE: usize = 512;
/// Maximum number of servers outside the fleet whose speed is kept: a starting entry may receive
/// the speeds of a whole fleet of the largest size before it has read the list of servers.
const MAX_UNLISTED: usize = 4_096;
/// Time for which the speed of a server outside the fleet is kept: the list of servers may be late,
/// or reports in transit.
const RETENTION: Duration = Duration::from_secs(60);

/// Short hash of a server's incarnation. Two of 2,100 servers share it in one deployment of 2,000,
/// and then one of them gets too much or too little work; the long hash would make reports half as
/// large again. A report on an earlier incarnation matches no server.
type ShortHash = u32;

/// Reported speed of a server: the hash of its incarnation, and the time that work takes there in
/// percent of the usual time. Encoded without field names it takes 9 bytes. The number is a float
/// because messages with another kind of number could not be decoded, and the link would end.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct SpeedReport(ShortHash, f32);

impl SpeedReport {
    fn encode(server: ShortHash, factor: TimeFactor) -> Self {
        // Whole percents, as servers report them, are encoded in 3 bytes.
        Self(server, (factor * 100.0).round() as f32)
    }

    /// The hash of the server's incarnation, and its factor.
    pub(crate) fn decode(self) -> (u32, TimeFactor) {
        (self.0, f64::from(self.1) / 100.0)
    }
}

#[derive(Clone, Copy, Debug)]
struct KnownSpeed {
    shared: SharedSpeed,
    /// Sequence number of the report.
    sequence: u64,
    /// Whether the report came with an answer to this entry, not from another entry.
    is_own: bool,
}

#[derive(Debug, Default)]
struct Inner {
    servers: HashMap<ShortHash, KnownSpeed>,
    /// The servers by the sequence numbers of their reports.
    by_sequence: BTreeMap<u64, ShortHash>,
    /// Sequence number of the next report.
    next_sequence: u64,
    /// When a report that is not believed was last logged.
    disbelief_logged_at: Option<Duration>,
}

impl Inner {
    /// Records a factor if it is news; returns whether it is.
    fn record(
        &mut self,
        server: ShortHash,
        factor: TimeFactor,
        is_own: bool,
        now: Duration,
    ) -> bool {
        let known = self.servers.get(&server);
        if known.is_some_and(|known| !known.shared.is_news(factor, now)) {
            return false;
        }
        let shared = SharedSpeed { factor, told_at: now };
        let sequence = self.next_sequence;
        let former = self.servers.insert(server, KnownSpeed { shared, sequence, is_own });
        if let Some(former) = former {
            self.by_sequence.remove(&former.sequence);
        }
        self.by_sequence.insert(sequence, server);
        self.next_sequence += 1;
        true
    }

    /// Whether there is room for one more server outside the fleet.
    fn has_room_for_unlisted(&mut self, fleet: &Fleet, now: Duration) -> bool {
        if self.servers.len() < MAX_UNLISTED {
            return true;
        }
        self.forget_departed(fleet, now);
        let is_unlisted = |server: &&ShortHash| fleet.by_short_hash(**server).is_none();
        self.servers.keys().filter(is_unlisted).count() < MAX_UNLISTED
    }

    /// Removes speeds of servers outside the fleet that were told more than [`RETENTION`] ago.
    fn forget_departed(&mut self, fleet: &Fleet, now: Duration) {
        self.servers.retain(|server, known| {
            fleet.by_short_hash(*server).is_some() || now < known.shared.told_at + RETENTION
        });
        let servers = &self.servers;
        self.by_sequence.retain(|_, server| servers.contains_key(server));
    }
}

/// What became of the reports in one message, by number.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AppliedReports {
    /// Reports that were news.
    pub(crate) news: u64,
    /// Reports that said what was known.
    pub(crate) known: u64,
    /// Reports on servers outside the fleet, for which there was no room.
    pub(crate) dropped: u64,
    /// Reports that are not believed.
    pub(crate) disbelieved: u64,
    /// One that is not believed, if that is to be logged.
    pub(crate) to_log: Option<SpeedReport>,
}

/// Speeds of servers that this entry reported or received.
#[derive(Debug, Default)]
pub(crate) struct SpeedReports {
    inner: Mutex<Inner>,
}

impl SpeedReports {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock()
    }

    /// Records the factor in a server's answer to this entry; returns whether it is news to the
    /// other entries.
    pub(crate) fn record_own(&self, member: &Member, factor: TimeFactor, now: Duration) -> bool {
        self.lock().record(member.short_hash(), factor, true, now)
    }

    /// Applies another entry's reports to the fleet in force. Those on servers outside the fleet
    /// are kept, since the list of servers may be late.
    pub(crate) fn apply(
        &self,
        reports: &[SpeedReport],
        fleet: &ArcSwap<Fleet>,
        now: Duration,
    ) -> AppliedReports {
        let mut applied = AppliedReports::default();
        if reports.is_empty() {
            return applied;
        }
        let mut inner = self.lock();
        let fleet = fleet.load();
        for report in reports {
            let (server, factor) = report.decode();
            let member = fleet.by_short_hash(server);
            if !is_believed(factor) {
                applied.disbelieved += 1;
                if should_log(&mut inner.disbelief_logged_at, now) {
                    applied.to_log = Some(*report);
                }
            } else if member.is_none() && !inner.has_room_for_unlisted(&fleet, now) {
                applied.dropped += 1;
            } else if !inner.record(server, factor, false, now) {
                applied.known += 1;
            } else {
                applied.news += 1;
                if let Some(member) = member {
                    member.state().speed.record_reported(factor, now);
                }
            }
        }
        applied
    }

    /// Applies what was reported of servers before they were listed, and forgets those that have
    /// long departed.
    pub(crate) fn apply_to_new_servers(&self, fleet: &ArcSwap<Fleet>, now: Duration) {
        let mut inner = self.lock();
        if inner.servers.is_empty() {
            return;
        }
        let fleet = fleet.load();
        inner.forget_departed(&fleet, now);
        for member in fleet.members() {
            let mut state = member.state();
            if state.speed.is_known() {
                continue;
            }
            if let Some(known) = inner.servers.get(&member.short_hash()) {
                state.speed.record_reported(known.shared.factor, now);
            }
        }
    }

    /// Speeds that servers reported to this entry, starting at `sequence`, and the sequence number
    /// to continue from.
    pub(crate) fn own_since(&self, sequence: u64) -> (Vec<SpeedReport>, u64) {
        self.since(sequence, |known| known.is_own)
    }

    /// The same, including those that other entries reported.
    pub(crate) fn all_since(&self, sequence: u64) -> (Vec<SpeedReport>, u64) {
        self.since(sequence, |_| true)
    }

    fn since(
        &self,
        sequence: u64,
        is_reported: impl Fn(&KnownSpeed) -> bool,
    ) -> (Vec<SpeedReport>, u64) {
        let inner = self.lock();
        let told = inner.by_sequence.range(sequence..);
        let told = told.filter_map(|(sequence, server)| {
            let known = inner.servers.get(server).filter(|known| is_reported(known))?;
            Some((*sequence, SpeedReport::encode(*server, known.shared.factor)))
        });
        let mut told: Vec<(u64, SpeedReport)> = told.take(MAX_PER_MESSAGE + 1).collect();
        let omitted = told.split_off(told.len().min(MAX_PER_MESSAGE));
        let next = omitted.first().map_or(inner.next_sequence, |(sequence, _)| *sequence);
        (told.into_iter().map(|(_, report)| report).collect(), next)
    }
}
