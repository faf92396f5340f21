//! One BackendServer of the fleet, and what this entry has learned about it.

use std::{
    sync::{Arc, MutexGuard},
    time::Duration,
};

use serde_json::{Value, json};
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    policy::{
        address_owner::{AddressChange, AddressOwner},
        announcements::Announcements,
        availability::Signals,
        failure_rate::FailureRate,
        load::LoadEstimate,
        misdirected_by::{MisdirectedBy, RejectionEvidence},
        outlier::{OutlierConfig, OutlierDetector},
        placement::{Candidate, hash_id},
        prefix_cache::{CachedPrefixes, PromptPrefix},
        quarantine::IncarnationHash,
        rate_limit::{Allowance, SlidingWindowLog},
        send_window::SendWindow,
        server_speed::{ServerSpeed, TimeFactor},
    },
    router::servers::{
        connection::{Connection, IdleConnection},
        lost_requests::LostRequests,
    },
    routing::BackendServer,
    sync::Mutex,
};

/// Outlier ejection of servers. A server is ejected after two consecutive failures: a single lost response is common
/// here, and waiting for a third failure would cost a third of another request's time.
const OUTLIER_CONFIG: OutlierConfig = OutlierConfig {
    consecutive_failures: 2,
    base_ejection: Duration::from_millis(500),
    max_ejection: Duration::from_secs(4),
    recovery_answers: 6,
    max_ejected_share: 0.7,
};

/// Minimum time between log lines about an unreadable header of one server, since every response may have it.
const LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Whether an event is due to be logged again; if so, records it as logged now.
pub(crate) fn should_log(logged_at: &mut Option<Duration>, now: Duration) -> bool {
    let should_log = logged_at.is_none_or(|at| now >= at + LOG_INTERVAL);
    if should_log {
        *logged_at = Some(now);
    }
    should_log
}

fn age_ms(since: Duration, now: Duration) -> u64 {
    now.saturating_sub(since).as_millis() as u64
}

/// What this entry has learned about one incarnation of a server.
#[derive(Debug, Default)]
pub(crate) struct ServerState {
    /// Estimated load.
    pub(crate) load: LoadEstimate,
    /// Speed of its machine.
    pub(crate) speed: ServerSpeed,
    /// Consecutive failures, for outlier ejection.
    pub(crate) outlier: OutlierDetector,
    /// Recent rate of failures.
    pub(crate) failure_rate: FailureRate,
    /// Idle connections, the one idle longest first.
    pub(crate) idle_connections: Vec<IdleConnection>,
    /// Requests of this entry to which it has not begun to respond.
    pub(crate) unanswered: u32,
    /// Prefill time of the prompts of those requests.
    pub(crate) backlog: Duration,
    /// Prompt prefixes that are presumably in its cache.
    pub(crate) prefixes: CachedPrefixes,
    /// When data was last received from it, on the entry's clock.
    pub(crate) received_at: Duration,
    /// Whether requests were lost and no data was received since.
    awaits_recovery: bool,
    /// Whether it still has its address.
    pub(crate) address: AddressOwner,
    /// Recent sends of this entry while the server was rate-limited.
    limited_sends: SlidingWindowLog,
    /// When an unreadable rate limit of it was last logged.
    unreadable_limit_logged_at: Option<Duration>,
    /// When an unreadable `Retry-After` of it was last logged.
    unreadable_retry_after_logged_at: Option<Duration>,
    /// When an unreadable speed of it was last logged.
    unreadable_pace_logged_at: Option<Duration>,
    /// Drain notice and pause that it announced in its responses.
    pub(crate) announced: Announcements,
    /// How many requests of this entry it may have in flight.
    send_window: SendWindow,
    /// When a connection to its address was last refused.
    unreachable_at: Option<Duration>,
}

/// A known server: its listing and its state, which is shared between successive listings.
#[derive(Debug)]
pub struct Member {
    /// The server as the platform lists it.
    pub server: BackendServer,
    id_hash: u64,
    held_until: Duration,
    /// Until when it is cold according to its row. This is too late by the age that the row had when it was read.
    cold_until: Duration,
    /// Since when its row has said that it is draining.
    draining_since: Option<Duration>,
    incarnation: Arc<Incarnation>,
}

/// State of one incarnation of a server, that is, one run of its process. It outlives changes of the listing.
#[derive(Debug, Default)]
struct Incarnation {
    state: Mutex<ServerState>,
    lost_requests: Mutex<LostRequests>,
    /// Held while a task checks whether the server still listens.
    probe_lock: tokio::sync::Mutex<()>,
    /// Turns true when the server has restarted.
    has_ended: watch::Sender<bool>,
}

impl Member {
    /// A server seen for the first time. Until `held_until`, it is used only if no other server can serve.
    pub fn new(server: BackendServer, held_until: Duration, now: Duration) -> Self {
        let id_hash = hash_id(&server.id);
        // It is unknown since when, so assume the longest time.
        let draining_since = server.is_draining.then_some(Duration::ZERO);
        let cold_until = now + server.remaining_cold_time;
        Self {
            server,
            id_hash,
            held_until,
            cold_until,
            draining_since,
            incarnation: Arc::default(),
        }
    }

    /// The same incarnation with a newer listing.
    pub(crate) fn with_listing(&self, server: BackendServer, now: Duration) -> Self {
        if server.address != self.server.address {
            self.state().address.record_move();
        }
        let since = self.draining_since.unwrap_or(now);
        Self {
            id_hash: self.id_hash,
            held_until: self.held_until,
            cold_until: now + server.remaining_cold_time,
            draining_since: server.is_draining.then_some(since),
            incarnation: self.incarnation.clone(),
            server,
        }
    }

    /// Until when it is cold according to its row.
    pub(crate) fn cold_until(&self) -> Duration {
        self.cold_until
    }

    /// When a connection to its address was last refused, if ever.
    pub(crate) fn unreachable_at(&self) -> Option<Duration> {
        self.state().unreachable_at
    }

    /// When this entry may next send to it within its share of the rate limit.
    pub(crate) fn next_limited_at(&self, allowance: &Allowance, now: Duration) -> Duration {
        self.state().limited_sends.next_at(allowance, now)
    }

    /// Takes one send from this entry's share of the rate limit; false if the share is used up.
    pub(crate) fn take_limited_send(&self, allowance: &Allowance, now: Duration) -> bool {
        let mut state = self.state();
        let may = state.limited_sends.may_send(allowance, now);
        if may {
            state.limited_sends.record(allowance, now);
        }
        may
    }

    /// Records that it advertised an unreadable limit; returns whether to log that.
    pub(crate) fn record_unreadable_limit(&self, now: Duration) -> bool {
        should_log(&mut self.state().unreadable_limit_logged_at, now)
    }

    /// Records that it reported an unreadable speed; returns whether to log that.
    pub(crate) fn record_unreadable_pace(&self, now: Duration) -> bool {
        should_log(&mut self.state().unreadable_pace_logged_at, now)
    }

    /// Records that it sent an unreadable `Retry-After`; returns whether to log that.
    pub(crate) fn record_unreadable_retry_after(&self, now: Duration) -> bool {
        should_log(&mut self.state().unreadable_retry_after_logged_at, now)
    }

    /// Locks the state of this incarnation.
    pub(crate) fn state(&self) -> MutexGuard<'_, ServerState> {
        self.incarnation.state.lock()
    }

    /// Locks the list of requests that got no response from it.
    pub(crate) fn lost_requests(&self) -> MutexGuard<'_, LostRequests> {
        self.incarnation.lost_requests.lock()
    }

    /// Acquires the right to check whether the server listens, so that one task checks at a time.
    pub(crate) async fn lock_probe(&self) -> tokio::sync::MutexGuard<'_, ()> {
        self.incarnation.probe_lock.lock().await
    }

    /// Waits until the list shows that the server has restarted since a request was sent to it. The requests it ran are
    /// lost then, but its connections may never report an error, and callers would wait until their deadlines. If the
    /// server was removed from the list in between, this never completes, and TCP keepalive has to detect the loss.
    pub(crate) async fn wait_until_ended(&self, sent_at: Duration) {
        let mut has_ended = self.incarnation.has_ended.subscribe();
        let is_ended = has_ended.wait_for(|ended| *ended).await.is_ok();
        // If the sender is gone, the end can no longer be reported.
        if !is_ended || self.ended_before(sent_at) {
            std::future::pending::<()>().await;
        }
    }

    /// Whether this incarnation is known to have ended before a request was sent to its address. A later one runs the
    /// request then, which the list may not show yet.
    pub(crate) fn ended_before(&self, sent_at: Duration) -> bool {
        self.lost_requests().ended_before(sent_at)
    }

    /// Records that this incarnation has ended.
    pub(crate) fn mark_ended(&self) {
        self.incarnation.has_ended.send_replace(true);
    }

    /// Drops the idle connections and the record of cached prompts, which take much memory and are of no use for
    /// a server that is no longer listed.
    pub(crate) fn release_memory(&self) {
        let mut state = self.state();
        state.idle_connections = Vec::new();
        state.prefixes = CachedPrefixes::default();
    }

    /// Records a response that shows the server as healthy; returns whether it is the first one after a pause.
    pub(crate) fn record_answer(&self, now: Duration) -> bool {
        let mut state = self.state();
        state.outlier.record_answer(&OUTLIER_CONFIG);
        state.send_window.record_answer();
        state.failure_rate.record(false, now);
        state.announced.record_answer(now)
    }

    /// Records a failure of the server.
    pub(crate) fn record_failure(&self, now: Duration) {
        let mut state = self.state();
        state.outlier.record_failure(&OUTLIER_CONFIG, now);
        state.failure_rate.record(true, now);
    }

    /// Records that the server's address refused a connection. One refusal proves that nothing listens there.
    pub(crate) fn record_unreachable(&self, now: Duration) {
        let mut state = self.state();
        state.unreachable_at = Some(now);
        state.outlier.record_unreachable(&OUTLIER_CONFIG, now);
        state.failure_rate.record(true, now);
    }

    /// Whether a request of this entry waits for the server to begin its response.
    pub(crate) fn is_awaited(&self) -> bool {
        self.state().unanswered > 0
    }

    /// Records that data was received from the server's address.
    pub(crate) fn record_received(&self, now: Duration) {
        self.receive(self.state(), now);
    }

    fn receive(&self, mut state: MutexGuard<'_, ServerState>, now: Duration) {
        state.received_at = now;
        let awaits_recovery = state.awaits_recovery;
        drop(state);
        if awaits_recovery && self.lost_requests().record_received(now) {
            self.state().awaits_recovery = false;
        }
    }

    /// Records that data of a signed response was received, which proves that the server has its address.
    pub(crate) fn record_signed(&self, now: Duration) -> Option<AddressChange> {
        let mut state = self.state();
        let change = state.address.record_signed(now);
        self.receive(state, now);
        change
    }

    /// Records a 421 response.
    pub(crate) fn record_misdirected(
        &self,
        by: MisdirectedBy,
        now: Duration,
    ) -> Option<AddressChange> {
        self.state().address.record_misdirected(by, now)
    }

    /// Identifies the sender of a 421 response on this connection, which names this id or none.
    pub(crate) fn identify_rejection(
        &self,
        connection: &Connection,
        named: Option<&str>,
    ) -> MisdirectedBy {
        MisdirectedBy::identify(&RejectionEvidence {
            expected: &self.server.id,
            named,
            is_signed_connection: connection.is_signed,
            opened_at: connection.opened_at,
            signed_at: self.state().address.signed_at(),
        })
    }

    /// Whether nothing was received from the server since a request was sent.
    pub(crate) fn is_silent(&self, sent_at: Duration) -> bool {
        self.received_at() <= sent_at
    }

    /// Records that requests were lost, so that the next data shows that the server runs again.
    pub(crate) fn await_recovery(&self) {
        self.state().awaits_recovery = true;
    }

    /// How long work takes on its machine, as a multiple of the usual time; 1 if it never reported that.
    pub(crate) fn time_factor(&self) -> TimeFactor {
        self.state().speed.lasting()
    }

    /// Prefill time of the prompts that all entries have sent to it and that it has not processed.
    pub(crate) fn backlog(&self, now: Duration) -> Duration {
        let state = self.state();
        state.backlog + state.load.peer_backlog(now)
    }

    /// The same for server selection, where the prompts of other entries count only up to a bound.
    pub(crate) fn backlog_for_placement(&self, now: Duration) -> Duration {
        let state = self.state();
        state.backlog + state.load.peer_backlog_for_placement(now)
    }

    /// Hash of the incarnation, cut to four bytes for the messages between entries. In the rare case that two servers
    /// share it, what is reported of one counts for both. Reports about an earlier incarnation match no server.
    pub(crate) fn short_hash(&self) -> u32 {
        self.incarnation_hash() as u32
    }

    /// Hash of the server's id and start time.
    pub(crate) fn incarnation_hash(&self) -> IncarnationHash {
        match self.server.started_at {
            Some(born) => xxh3_64_with_seed(&born.to_le_bytes(), self.id_hash),
            None => self.id_hash,
        }
    }

    /// Hash of the server's id.
    pub(crate) fn id_hash(&self) -> u64 {
        self.id_hash
    }

    /// Number of this entry's requests in flight at the server.
    pub(crate) fn outstanding(&self) -> u32 {
        self.state().load.own_requests
    }

    /// When data was last received from it.
    pub(crate) fn received_at(&self) -> Duration {
        self.state().received_at
    }

    /// Whether it has announced that it is draining, in its row or in a response.
    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some() || self.state().announced.draining_since().is_some()
    }

    /// Records a pause that it requested when it rejected a request; returns whether no pause was in effect.
    pub(crate) fn record_pause(&self, pause: Duration, now: Duration) -> bool {
        let mut state = self.state();
        let others = state.load.own_requests.saturating_sub(1);
        state.send_window.record_rejection(others, now);
        state.announced.record_pause(pause, now)
    }

    /// Records a drain notice in a response and closes the idle connections; returns whether it is the first notice.
    pub(crate) fn record_draining(&self, now: Duration) -> bool {
        let mut state = self.state();
        state.idle_connections.clear();
        state.announced.record_draining(now)
    }

    /// Takes over what was announced at its address after the former incarnation's end, before its row was read.
    pub(crate) fn adopt_announcements(&self, former: &Self, ended_at: Duration) {
        let announced = former.state().announced.since(ended_at);
        self.state().announced = announced;
    }

    /// What this entry knows about it that decides its availability.
    pub fn signals(&self, now: Duration) -> Signals {
        let state = self.state();
        Signals {
            address: state.address,
            row_draining_since: self.draining_since,
            announced: state.announced,
            unanswered: state.unanswered,
            in_flight: state.load.own_requests,
            window: state.send_window,
            is_ejected: state.outlier.should_skip(now),
            ..Signals::default()
        }
    }

    /// Whether its version is new and the order of the version's roll-out may not have been read yet.
    pub fn awaits_roll_out_order(&self, now: Duration) -> bool {
        now < self.held_until
    }

    /// Its properties for server selection, for a prompt with these shared parts.
    pub fn candidate(&self, zone: &str, prefixes: &[PromptPrefix], now: Duration) -> Candidate {
        let state = self.state();
        Candidate {
            id_hash: self.id_hash,
            load: state.load.estimated_requests(now),
            slots: self.server.slots,
            backlog: state.backlog + state.load.peer_backlog_for_placement(now),
            cached_tokens: state.prefixes.cached_tokens(prefixes),
            failure_rate: state.failure_rate.get(now),
            is_same_zone: &*self.server.zone == zone,
            time_factor: state.speed.lasting(),
        }
    }

    /// Whether two listings belong to the same incarnation of a server.
    pub(crate) fn is_same_incarnation(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.incarnation, &other.incarnation)
    }

    /// Part of the state dump.
    pub(crate) fn dump(&self, now: Duration) -> Value {
        let state = self.state();
        json!({
            "id": self.server.id,
            "service": self.server.service,
            "version": self.server.version,
            "zone": self.server.zone,
            "draining_row": self.server.is_draining,
            "load": state.load.estimated_requests(now),
            "time_factor": state.speed.is_known().then(|| state.speed.lasting()),
            "cold_ms": self.cold_until.saturating_sub(now).as_millis() as u64,
            "failure_rate": state.failure_rate.get(now),
            "out": state.outlier.is_ejected(now),
            "replaced_ms": state.address.closed_until(now).map(|until| age_ms(now, until)),
            "unidentified": state.address.is_doubted(now),
            "draining_ms": state.announced.draining_since().map(|since| age_ms(since, now)),
            "paused_ms": state.announced.paused_until().saturating_sub(now).as_millis() as u64,
            "idle_connections": state.idle_connections.len(),
            "kept_tokens": state.prefixes.total_tokens(),
        })
    }
}
