//! The BackendServers in view, and what this entry has learned about each.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use serde_json::{Value, json};
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    policy::{
        failure_rate::FailureRate,
        kept::{KeptParts, PromptMark},
        load::LoadBelief,
        outlier::{Outlier, OutlierRules},
        placement::{Candidate, hash_id},
        quarantine::LifeHash,
        rate_limit::{Allowance, LimitedSends},
    },
    router::{breaks::Breaks, connection::IdleConnection},
    routing::{BackendServer, ServerVersion},
    telemetry::event,
};

/// Rules by which a server is passed over. Out after two failures in a row: one lost answer is
/// common here, and a third of a second request's time is too much to wait for a third.
const OUTLIER_RULES: OutlierRules = OutlierRules {
    out_after: 2,
    first_out: Duration::from_millis(500),
    longest_out: Duration::from_secs(4),
    back_after: 6,
    most_out: 0.7,
};

/// Time after which it is told again that a server's limit can't be read: each answer may name it.
const TOLD_AGAIN: Duration = Duration::from_secs(60);

/// What this entry has learned about one life of a server.
#[derive(Debug, Default)]
pub(crate) struct Record {
    /// Belief about its load.
    pub(crate) load: LoadBelief,
    /// Its failures in a row.
    pub(crate) outlier: Outlier,
    /// Its failures of late.
    pub(crate) failures: FailureRate,
    /// Connections that wait for use, the longest idle first.
    pub(crate) idle: Vec<IdleConnection>,
    /// Time for the prompts it was sent and has not answered yet.
    pub(crate) backlog: Duration,
    /// Prompt parts it is believed to keep.
    pub(crate) kept: KeptParts,
    /// When anything last came from it, on the entry's clock.
    pub(crate) heard_at: Duration,
    /// Whether another server answered at its address.
    pub(crate) is_replaced: bool,
    /// Sends of this entry while it took few.
    limited_sends: LimitedSends,
    /// When it last named a limit that could not be read.
    limit_unreadable_at: Option<Duration>,
    /// When nobody last listened at its address.
    unreachable_at: Option<Duration>,
}

/// A server in view.
#[derive(Debug)]
pub struct Member {
    /// As the platform lists it.
    pub server: BackendServer,
    id_hash: u64,
    waits_until: Duration,
    /// Until when its row tells it to be cold; later than it is by the row's age.
    cold_until: Duration,
    life: Arc<Life>,
}

/// One life of a server, whatever is listed of it meanwhile.
#[derive(Debug, Default)]
struct Life {
    record: Mutex<Record>,
    breaks: Mutex<Breaks>,
    /// Held by whoever looks whether the server listens.
    look: tokio::sync::Mutex<()>,
    /// Turns true when the server has started again.
    has_ended: watch::Sender<bool>,
}

impl Member {
    /// A server seen for the first time, which gets nothing until then if others can serve.
    pub fn new(server: BackendServer, waits_until: Duration, now: Duration) -> Self {
        let id_hash = hash_id(&server.id);
        let cold_until = now + server.cold_for;
        Self { server, id_hash, waits_until, cold_until, life: Arc::default() }
    }

    /// The same life of the server with a newer listing.
    fn renewed(&self, server: BackendServer, now: Duration) -> Self {
        let (id_hash, waits_until) = (self.id_hash, self.waits_until);
        let cold_until = now + server.cold_for;
        Self { server, id_hash, waits_until, cold_until, life: self.life.clone() }
    }

    /// Until when its row tells it to be cold.
    pub(crate) fn cold_until(&self) -> Duration {
        self.cold_until
    }

    /// When nobody last listened at its address; none where somebody always did.
    pub(crate) fn unreachable_at(&self) -> Option<Duration> {
        self.record().unreachable_at
    }

    /// Whether this entry may send to it while it takes few.
    pub(crate) fn may_send_limited(&self, allowance: &Allowance, now: Duration) -> bool {
        self.record().limited_sends.may_send(allowance, now)
    }

    /// When this entry may send to it next while it takes few.
    pub(crate) fn next_limited_at(&self, allowance: &Allowance, now: Duration) -> Duration {
        self.record().limited_sends.next_at(allowance, now)
    }

    /// Takes a send to it from what this entry may send while it takes few; whether there was one.
    pub(crate) fn take_limited_send(&self, allowance: &Allowance, now: Duration) -> bool {
        let mut record = self.record();
        let may = record.limited_sends.may_send(allowance, now);
        if may {
            record.limited_sends.note(allowance, now);
        }
        may
    }

    /// Notes that it named a limit that can't be read; whether that is to be told.
    pub(crate) fn note_unreadable_limit(&self, now: Duration) -> bool {
        let mut record = self.record();
        let is_due = record.limit_unreadable_at.is_none_or(|at| now >= at + TOLD_AGAIN);
        if is_due {
            record.limit_unreadable_at = Some(now);
        }
        is_due
    }

    pub(crate) fn record(&self) -> MutexGuard<'_, Record> {
        self.life.record.lock().expect("no panics under the lock")
    }

    /// Requests whose connection to it broke.
    pub(super) fn breaks(&self) -> MutexGuard<'_, Breaks> {
        self.life.breaks.lock().expect("no panics under the lock")
    }

    /// Waits for the turn to look whether the server listens.
    pub(super) async fn look(&self) -> tokio::sync::MutexGuard<'_, ()> {
        self.life.look.lock().await
    }

    /// Waits until the list tells that the server has started again: what it ran is lost, though its
    /// connections may never say so, and a caller would wait for that until its deadline. For a server that
    /// was taken off the list in between, probes of its connections have to tell.
    pub(crate) async fn until_ended(&self) {
        let mut has_ended = self.life.has_ended.subscribe();
        if has_ended.wait_for(|ended| *ended).await.is_err() {
            // Without a sender nobody can tell any more.
            std::future::pending::<()>().await;
        }
    }

    fn end(&self) {
        self.life.has_ended.send_replace(true);
    }

    /// Notes an answer that shows the server as sound.
    pub(crate) fn note_answer(&self, now: Duration) {
        let mut record = self.record();
        record.outlier.note_answer(&OUTLIER_RULES);
        record.failures.note(false, now);
    }

    /// Notes a failure of the server.
    pub(crate) fn note_failure(&self, now: Duration) {
        let mut record = self.record();
        record.outlier.note_failure(&OUTLIER_RULES, now);
        record.failures.note(true, now);
    }

    /// Notes that nobody listens at the server's address, which one refusal shows.
    pub(crate) fn note_unreachable(&self, now: Duration) {
        let mut record = self.record();
        record.unreachable_at = Some(now);
        record.outlier.note_unreachable(&OUTLIER_RULES, now);
        record.failures.note(true, now);
    }

    /// Notes that something came from the server.
    pub(crate) fn note_heard(&self, now: Duration) {
        self.record().heard_at = now;
    }

    /// Time for prompts sent to it that are not read yet, of all entries.
    pub(crate) fn backlog(&self, now: Duration) -> Duration {
        let record = self.record();
        record.backlog + record.load.others_backlog(now)
    }

    /// The same as far as it counts in the choice of a server.
    pub(crate) fn backlog_for_choice(&self, now: Duration) -> Duration {
        let record = self.record();
        record.backlog + record.load.others_backlog_for_choice(now)
    }

    /// Hash of the server's life, cut to four bytes for the messages between entries: rarely two
    /// servers share it, and then both are believed to have what either has. What entries tell of a
    /// former life finds no server.
    pub(crate) fn short_hash(&self) -> u32 {
        self.life_hash() as u32
    }

    /// Hash of the server's life.
    pub(crate) fn life_hash(&self) -> LifeHash {
        match self.server.born {
            Some(born) => xxh3_64_with_seed(&born.to_le_bytes(), self.id_hash),
            None => self.id_hash,
        }
    }

    /// Hash of its id.
    pub(crate) fn id_hash(&self) -> u64 {
        self.id_hash
    }

    /// Whether it should be passed over while others can serve.
    pub(crate) fn is_passed_over(&self, now: Duration) -> bool {
        self.record().outlier.is_passed_over(now)
    }

    /// Answers of this entry that are awaited there.
    pub(crate) fn awaited(&self) -> u32 {
        self.record().load.own
    }

    /// When anything last came from it.
    pub(crate) fn heard_at(&self) -> Duration {
        self.record().heard_at
    }

    /// Whether a new request may be sent to it.
    pub fn takes_requests(&self) -> bool {
        !self.server.is_leaving && !self.record().is_replaced
    }

    /// Whether the order of a roll-out to its version may not have been read yet.
    pub fn is_unannounced(&self, now: Duration) -> bool {
        now < self.waits_until
    }

    /// The server as the choice sees it for a prompt with these shared parts.
    pub fn candidate(&self, zone: &str, marks: &[PromptMark], now: Duration) -> Candidate {
        let record = self.record();
        Candidate {
            id_hash: self.id_hash,
            load: record.load.estimate(now),
            slots: self.server.slots,
            backlog: record.backlog + record.load.others_backlog_for_choice(now),
            kept_tokens: record.kept.kept_tokens(marks),
            failure_rate: record.failures.get(now),
            is_near: &*self.server.zone == zone,
            is_suspect: record.outlier.is_passed_over(now),
        }
    }
}

/// Time for which the servers of a version that is new to its service get nothing while others can
/// serve: the order of its roll-out is read up to 250 ms later than the list of servers. Without it two
/// sessions ran on a new version within 30 ms (32 entries, a configuration changed 5 ms before the
/// order).
const ORDERS_LAG: Duration = Duration::from_millis(500);

/// All servers in view; replaced as a whole when the list changes.
#[derive(Debug, Default)]
pub struct Fleet {
    members: HashMap<Box<str>, Arc<Member>>,
    by_service: HashMap<Box<str>, Vec<Arc<Member>>>,
    by_short_hash: HashMap<u32, Arc<Member>>,
    /// Until when versions wait that came into view beside others, by service and version.
    waiting: HashMap<(Box<str>, ServerVersion), Duration>,
}

impl Fleet {
    /// The fleet of these servers, which keeps what is known about those already in view.
    #[must_use]
    pub fn with(&self, servers: impl Iterator<Item = BackendServer>, now: Duration) -> Self {
        let waiting = self.waiting.iter().filter(|(_, until)| now < **until);
        let waiting = waiting.map(|(version, until)| (version.clone(), *until)).collect();
        let mut next = Self { waiting, ..Self::default() };
        for server in servers {
            let member = match self.members.get(&server.id) {
                Some(known) if known.server == server => known.clone(),
                Some(known) if known.server.born == server.born => {
                    Arc::new(known.renewed(server, now))
                }
                known => {
                    if let Some(known) = known {
                        known.end();
                        event::SERVER_REBORN
                            .log(format_args!("server={} born={:?}", server.id, server.born));
                    }
                    let waits_until = next.note_version(self, &server, now);
                    Arc::new(Member::new(server, waits_until, now))
                }
            };
            let service = member.server.service.clone();
            next.by_short_hash.insert(member.short_hash(), member.clone());
            next.by_service.entry(service).or_default().push(member.clone());
            next.members.insert(member.server.id.clone(), member);
        }
        next
    }

    /// Until when a server waits that has come into view after this fleet's `before`.
    fn note_version(&mut self, before: &Self, server: &BackendServer, now: Duration) -> Duration {
        let version = (server.service.clone(), server.version.clone());
        if let Some(until) = self.waiting.get(&version) {
            return *until;
        }
        let others = before.of_service(&server.service);
        if others.is_empty() || others.iter().any(|m| m.server.version == server.version) {
            return Duration::ZERO;
        }
        self.waiting.insert(version, now + ORDERS_LAG);
        now + ORDERS_LAG
    }

    /// Whether a server's life is in view.
    pub(crate) fn has_life(&self, member: &Member) -> bool {
        let listed = self.members.get(&member.server.id);
        listed.is_some_and(|listed| Arc::ptr_eq(&listed.life, &member.life))
    }

    /// The server whose life has this hash.
    pub(crate) fn by_life(&self, life: LifeHash) -> Option<&Arc<Member>> {
        self.by_short_hash(life as u32).filter(|member| member.life_hash() == life)
    }

    /// Whether a server of this id is in view.
    pub(crate) fn has_id(&self, id: &str) -> bool {
        self.members.contains_key(id)
    }

    /// Servers whose life is not in view in a later fleet.
    pub(crate) fn gone_in<'a>(&'a self, later: &'a Self) -> impl Iterator<Item = &'a Arc<Member>> {
        self.members.values().filter(|member| !later.has_life(member))
    }

    /// Servers of a service.
    pub fn of_service(&self, service: &str) -> &[Arc<Member>] {
        self.by_service.get(service).map(Vec::as_slice).unwrap_or_default()
    }

    /// Takes in how many tokens the servers of each service have memory for.
    pub(crate) fn set_memories(&self, memories: &HashMap<Box<str>, u64>) {
        for member in self.members.values() {
            if let Some(tokens) = memories.get(&member.server.service) {
                member.record().kept.set_memory(*tokens);
            }
        }
    }

    /// The server whose id has this short hash.
    pub(crate) fn by_short_hash(&self, hash: u32) -> Option<&Arc<Member>> {
        self.by_short_hash.get(&hash)
    }

    /// All servers in view.
    pub(crate) fn members(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.members.values()
    }

    /// Servers in view.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Part of the state dump.
    pub fn dump(&self, now: Duration) -> Value {
        let one = |member: &Arc<Member>| {
            let record = member.record();
            json!({
                "id": member.server.id,
                "service": member.server.service,
                "version": member.server.version,
                "zone": member.server.zone,
                "leaving": member.server.is_leaving,
                "load": record.load.estimate(now),
                "cold_ms": member.cold_until.saturating_sub(now).as_millis() as u64,
                "failure_rate": record.failures.get(now),
                "out": record.outlier.is_out(now),
                "idle_connections": record.idle.len(),
                "kept_tokens": record.kept.total_tokens(),
            })
        };
        Value::Array(self.members.values().map(one).collect())
    }
}
