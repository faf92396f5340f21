//! One BackendServer in view, and what this entry has learned about it.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use serde_json::{Value, json};
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    policy::{
        announced::Announced,
        availability::Signals,
        failure_rate::FailureRate,
        kept::{KeptParts, PromptMark},
        load::LoadBelief,
        outlier::{Outlier, OutlierRules},
        placement::{Candidate, hash_id},
        quarantine::LifeHash,
        rate_limit::{Allowance, LimitedSends},
        send_window::SendWindow,
    },
    router::{connection::IdleConnection, server_ends::LostRequests},
    routing::BackendServer,
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

/// Least time between log lines on a header of one server that can't be read: each answer may have it.
const LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Whether something is to be logged again; then it is noted as logged.
fn should_log(logged_at: &mut Option<Duration>, now: Duration) -> bool {
    let should_log = logged_at.is_none_or(|at| now >= at + LOG_INTERVAL);
    if should_log {
        *logged_at = Some(now);
    }
    should_log
}

fn age_ms(since: Duration, now: Duration) -> u64 {
    now.saturating_sub(since).as_millis() as u64
}

/// What this entry has learned about one life of a server.
#[derive(Debug, Default)]
pub(crate) struct ServerState {
    /// Belief about its load.
    pub(crate) load: LoadBelief,
    /// Its failures in a row.
    pub(crate) outlier: Outlier,
    /// Its failures of late.
    pub(crate) failure_rate: FailureRate,
    /// Connections that wait for use, the longest idle first.
    pub(crate) idle_connections: Vec<IdleConnection>,
    /// Requests of this entry that it has not begun to answer.
    pub(crate) unanswered: u32,
    /// Time for the prompts it was sent and has not answered yet.
    pub(crate) backlog: Duration,
    /// Prompt parts it is believed to keep.
    pub(crate) kept: KeptParts,
    /// When anything last came from it, on the entry's clock.
    pub(crate) received_at: Duration,
    /// Whether another server answered at its address.
    pub(crate) is_replaced: bool,
    /// Sends of this entry while it took few.
    limited_sends: LimitedSends,
    /// When it last advertised a limit that could not be read.
    limit_unreadable_at: Option<Duration>,
    /// When it last asked for a pause that could not be read.
    retry_after_unreadable_at: Option<Duration>,
    /// What it has announced in its answers.
    pub(crate) announced: Announced,
    /// How many requests of this entry it may have at once.
    send_window: SendWindow,
    /// When nobody last listened at its address.
    unreachable_at: Option<Duration>,
}

/// A server in view.
#[derive(Debug)]
pub struct Member {
    /// As the platform lists it.
    pub server: BackendServer,
    id_hash: u64,
    held_until: Duration,
    /// Until when its row says that it is cold; later than it is by the row's age.
    cold_until: Duration,
    /// Since when its row says that it is draining.
    draining_since: Option<Duration>,
    incarnation: Arc<Incarnation>,
}

/// One life of a server, whatever is listed of it meanwhile.
#[derive(Debug, Default)]
struct Incarnation {
    state: Mutex<ServerState>,
    lost_requests: Mutex<LostRequests>,
    /// Held by whoever looks whether the server listens.
    probe_lock: tokio::sync::Mutex<()>,
    /// Turns true when the server has started again.
    has_ended: watch::Sender<bool>,
}

impl Member {
    /// A server seen for the first time, which gets nothing until then if others can serve.
    pub fn new(server: BackendServer, held_until: Duration, now: Duration) -> Self {
        let id_hash = hash_id(&server.id);
        // Nobody knows since when.
        let draining_since = server.is_draining.then_some(Duration::ZERO);
        let cold_until = now + server.cold_for;
        Self {
            server,
            id_hash,
            held_until,
            cold_until,
            draining_since,
            incarnation: Arc::default(),
        }
    }

    /// The same life of the server with a newer listing.
    pub(super) fn with_listing(&self, server: BackendServer, now: Duration) -> Self {
        if server.address != self.server.address {
            self.state().is_replaced = false;
        }
        let since = self.draining_since.unwrap_or(now);
        Self {
            id_hash: self.id_hash,
            held_until: self.held_until,
            cold_until: now + server.cold_for,
            draining_since: server.is_draining.then_some(since),
            incarnation: self.incarnation.clone(),
            server,
        }
    }

    /// Until when its row says that it is cold.
    pub(crate) fn cold_until(&self) -> Duration {
        self.cold_until
    }

    /// When nobody last listened at its address; none where somebody always did.
    pub(crate) fn unreachable_at(&self) -> Option<Duration> {
        self.state().unreachable_at
    }

    /// When this entry may send to it next while it takes few.
    pub(crate) fn next_limited_at(&self, allowance: &Allowance, now: Duration) -> Duration {
        self.state().limited_sends.next_at(allowance, now)
    }

    /// Takes a send to it from what this entry may send while it takes few; whether there was one.
    pub(crate) fn take_limited_send(&self, allowance: &Allowance, now: Duration) -> bool {
        let mut state = self.state();
        let may = state.limited_sends.may_send(allowance, now);
        if may {
            state.limited_sends.note(allowance, now);
        }
        may
    }

    /// Notes that it advertised a limit that can't be read; whether that is to be logged.
    pub(crate) fn record_unreadable_limit(&self, now: Duration) -> bool {
        should_log(&mut self.state().limit_unreadable_at, now)
    }

    /// Notes that it asked for a pause that can't be read; whether that is to be logged.
    pub(crate) fn record_unreadable_retry_after(&self, now: Duration) -> bool {
        should_log(&mut self.state().retry_after_unreadable_at, now)
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, ServerState> {
        self.incarnation.state.lock().expect("no panics under the lock")
    }

    /// Requests whose connection to it broke.
    pub(super) fn lost_requests(&self) -> MutexGuard<'_, LostRequests> {
        self.incarnation.lost_requests.lock().expect("no panics under the lock")
    }

    /// Waits for the turn to look whether the server listens.
    pub(super) async fn lock_probe(&self) -> tokio::sync::MutexGuard<'_, ()> {
        self.incarnation.probe_lock.lock().await
    }

    /// Waits until the list shows that the server has started again: what it ran is lost, though its
    /// connections may never say so, and a caller would wait for that until its deadline. For a server that
    /// was taken off the list in between, probes of its connections have to find out.
    pub(crate) async fn wait_until_ended(&self) {
        let mut has_ended = self.incarnation.has_ended.subscribe();
        if has_ended.wait_for(|ended| *ended).await.is_err() {
            // Without a sender nobody can report it any more.
            std::future::pending::<()>().await;
        }
    }

    /// Notes that this life has ended.
    pub(super) fn mark_ended(&self) {
        self.incarnation.has_ended.send_replace(true);
    }

    /// Drops what takes much memory and does not outlast a server that is out of view: its connections and what it
    /// is believed to keep.
    pub(super) fn release_memory(&self) {
        let mut state = self.state();
        state.idle_connections = Vec::new();
        state.kept = KeptParts::default();
    }

    /// Notes an answer that shows the server as healthy; whether it is the first one after a pause.
    pub(crate) fn record_answer(&self, now: Duration) -> bool {
        let mut state = self.state();
        state.outlier.note_answer(&OUTLIER_RULES);
        state.send_window.note_answer();
        state.failure_rate.note(false, now);
        state.announced.note_answer(now)
    }

    /// Notes a failure of the server.
    pub(crate) fn record_failure(&self, now: Duration) {
        let mut state = self.state();
        state.outlier.note_failure(&OUTLIER_RULES, now);
        state.failure_rate.note(true, now);
    }

    /// Notes that nobody listens at the server's address, which one refusal shows.
    pub(crate) fn record_unreachable(&self, now: Duration) {
        let mut state = self.state();
        state.unreachable_at = Some(now);
        state.outlier.note_unreachable(&OUTLIER_RULES, now);
        state.failure_rate.note(true, now);
    }

    /// Notes that something came from the server.
    pub(crate) fn record_received(&self, now: Duration) {
        self.state().received_at = now;
    }

    /// Time for prompts sent to it that are not read yet, of all entries.
    pub(crate) fn backlog(&self, now: Duration) -> Duration {
        let state = self.state();
        state.backlog + state.load.others_backlog(now)
    }

    /// The same as far as it counts in the choice of a server.
    pub(crate) fn backlog_for_choice(&self, now: Duration) -> Duration {
        let state = self.state();
        state.backlog + state.load.others_backlog_for_choice(now)
    }

    /// Hash of the server's life, cut to four bytes for the messages between entries: rarely two
    /// servers share it, and then both are believed to have what either has. What entries report of a
    /// former life finds no server.
    pub(crate) fn short_hash(&self) -> u32 {
        self.incarnation_hash() as u32
    }

    /// Hash of the server's life.
    pub(crate) fn incarnation_hash(&self) -> LifeHash {
        match self.server.born {
            Some(born) => xxh3_64_with_seed(&born.to_le_bytes(), self.id_hash),
            None => self.id_hash,
        }
    }

    /// Hash of its id.
    pub(crate) fn id_hash(&self) -> u64 {
        self.id_hash
    }

    /// Answers of this entry that are awaited there.
    pub(crate) fn outstanding(&self) -> u32 {
        self.state().load.own
    }

    /// When anything last came from it.
    pub(crate) fn received_at(&self) -> Duration {
        self.state().received_at
    }

    /// Whether it has announced that it is draining, in its row or in an answer.
    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some() || self.state().announced.draining_since().is_some()
    }

    /// Notes a pause that it asked for as it rejected a request; whether none was under way.
    pub(super) fn record_pause(&self, pause: Duration, now: Duration) -> bool {
        let mut state = self.state();
        let others = state.load.own.saturating_sub(1);
        state.send_window.note_rejection(others, now);
        state.announced.note_pause(pause, now)
    }

    /// Notes a drain notice in an answer; whether it is the first one. Idle connections to it are closed.
    pub(super) fn record_draining(&self, now: Duration) -> bool {
        let mut state = self.state();
        state.idle_connections.clear();
        state.announced.note_draining(now)
    }

    /// What this entry knows of it that speaks for or against a send.
    pub fn signals(&self, now: Duration) -> Signals {
        let state = self.state();
        Signals {
            is_replaced: state.is_replaced,
            row_draining_since: self.draining_since,
            announced: state.announced,
            unanswered: state.unanswered,
            at_server: state.load.own,
            window: state.send_window,
            is_ejected: state.outlier.is_passed_over(now),
            ..Signals::default()
        }
    }

    /// Whether the order of a roll-out to its version may not have been read yet.
    pub fn awaits_roll_out_order(&self, now: Duration) -> bool {
        now < self.held_until
    }

    /// The server as the choice sees it for a prompt with these shared parts.
    pub fn candidate(&self, zone: &str, marks: &[PromptMark], now: Duration) -> Candidate {
        let state = self.state();
        Candidate {
            id_hash: self.id_hash,
            load: state.load.estimate(now),
            slots: self.server.slots,
            backlog: state.backlog + state.load.others_backlog_for_choice(now),
            kept_tokens: state.kept.kept_tokens(marks),
            failure_rate: state.failure_rate.get(now),
            is_near: &*self.server.zone == zone,
        }
    }

    /// Whether two listings are of the same life of a server.
    pub(super) fn is_same_incarnation(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.incarnation, &other.incarnation)
    }

    /// Part of the state dump.
    pub(super) fn dump(&self, now: Duration) -> Value {
        let state = self.state();
        json!({
            "id": self.server.id,
            "service": self.server.service,
            "version": self.server.version,
            "zone": self.server.zone,
            "draining_row": self.server.is_draining,
            "load": state.load.estimate(now),
            "cold_ms": self.cold_until.saturating_sub(now).as_millis() as u64,
            "failure_rate": state.failure_rate.get(now),
            "out": state.outlier.is_out(now),
            "draining_ms": state.announced.draining_since().map(|since| age_ms(since, now)),
            "paused_ms": state.announced.paused_until().saturating_sub(now).as_millis() as u64,
            "idle_connections": state.idle_connections.len(),
            "kept_tokens": state.kept.total_tokens(),
        })
    }
}
