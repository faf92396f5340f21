//! One link to an agent: its frames, its load and what is believed about its engine.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

use crate::{
    entry::request::CHAIN_WORDS,
    ids::{ServerId, VersionId},
    platform::{Host, InsertOutcome},
    policy::{
        attempt::AttemptKey,
        choice::ServerLoad,
        gate::RefuseReason,
        outlier::{OutlierConfig, OutlierDetector},
    },
    protocol::{
        AgentHeartbeat, AgentLoad, FrameSender, Peer, RowWrite, StartAttempt, ToAgent, Usage,
        VersionEvidence, encode,
    },
};

/// Prefix links remembered for one engine.
const MAX_BELIEFS: usize = 4_096;
/// Time a row's write may take before its outcome counts as lost.
const ROW_WAIT: Duration = Duration::from_secs(3);
/// One-way distances by class: same zone, same region, other region.
const DISTANCES: [Duration; 3] =
    [Duration::from_micros(100), Duration::from_millis(1), Duration::from_millis(20)];

/// What a link brings for one attempt.
#[derive(Debug)]
pub(crate) enum AttemptFrame {
    Refused(RefuseReason),
    Started,
    Chunk { sequence: u64, payload: Vec<u8> },
    End { count: u64, digest: u64, status: u16, usage: Usage },
    Failed { problem: Box<str>, status: u16 },
    Lost,
}

#[derive(Debug, Default)]
struct LinkState {
    beat: AgentHeartbeat,
    loaded: Vec<VersionId>,
    evidence: BTreeMap<VersionId, VersionEvidence>,
    starts_sent: u64,
    ended_since_beat: u32,
    beliefs: HashMap<u64, u64>,
    belief_clock: u64,
    outlier: OutlierDetector,
}

/// One link that is up, or was.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) host: Host,
    pub(crate) server: ServerId,
    pub(crate) peer: Peer,
    distance: Duration,
    tx: FrameSender,
    up: AtomicBool,
    waiters: Mutex<HashMap<AttemptKey, mpsc::UnboundedSender<AttemptFrame>>>,
    questions: Mutex<HashMap<u64, oneshot::Sender<Option<VersionId>>>>,
    row_questions: Mutex<HashMap<u64, oneshot::Sender<InsertOutcome>>>,
    next_question: AtomicU64,
    state: Mutex<LinkState>,
}

impl Link {
    pub(crate) fn new(host: Host, class: u8, peer: Peer, tx: FrameSender) -> Self {
        Self {
            server: peer.server.clone(),
            host,
            peer,
            distance: DISTANCES[usize::from(class.min(2))],
            tx,
            up: AtomicBool::new(true),
            waiters: Mutex::default(),
            questions: Mutex::default(),
            row_questions: Mutex::default(),
            next_question: AtomicU64::new(0),
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().expect("no panics under the lock")
    }

    /// Whether attempts can be sent.
    pub(crate) fn is_up(&self) -> bool {
        self.up.load(Ordering::Relaxed)
    }

    /// Whether the agent takes new work.
    pub(crate) fn takes_work(&self) -> bool {
        self.is_up() && !self.lock().beat.leaving
    }

    /// Versions the engine has loaded.
    pub(crate) fn loaded(&self) -> Vec<VersionId> {
        self.lock().loaded.clone()
    }

    /// Last heartbeat.
    pub(crate) fn beat(&self) -> AgentHeartbeat {
        self.lock().beat.clone()
    }

    /// Attempts waiting for an answer on this link.
    pub(crate) fn in_flight(&self) -> usize {
        self.waiters.lock().expect("no panics under the lock").len()
    }

    /// Evidence of the agent about a version under one revision of its roll-out.
    pub(crate) fn evidence(&self, version: &str, epoch: u64) -> crate::policy::roll_out::Evidence {
        let state = self.lock();
        let held = state.evidence.get(version).filter(|held| held.epoch == epoch);
        held.map(|held| held.sums).unwrap_or_default()
    }

    /// Load for a choice, corrected by what has happened since the last heartbeat.
    pub(crate) fn load(&self, chain: &[u64]) -> ServerLoad {
        let state = self.lock();
        let beat = &state.beat;
        let sent_since = state.starts_sent.saturating_sub(beat.starts_seen);
        let known = chain.iter().take_while(|link| state.beliefs.contains_key(link)).count();
        ServerLoad {
            running: beat.running.saturating_sub(state.ended_since_beat),
            queued: beat.queued,
            sent_since_report: u32::try_from(sent_since).unwrap_or(u32::MAX),
            limit: beat.limit,
            service_time: Duration::from_micros(beat.service_time_us),
            token_time: Duration::from_micros(beat.token_interval_us),
            prefill_rate: f64::from(beat.prefill_rate),
            one_way_latency: self.distance,
            cached_tokens: (known * CHAIN_WORDS) as u64,
        }
    }

    /// Running and queued attempts as last reported, uncorrected.
    pub(crate) fn reported_load(&self) -> u32 {
        let state = self.lock();
        state.beat.running + state.beat.queued
    }

    /// Takes a heartbeat; true when the loaded versions or readiness changed.
    pub(crate) fn note_beat(&self, beat: AgentHeartbeat) -> bool {
        let mut state = self.lock();
        let mut changed = state.beat.leaving != beat.leaving;
        if let Some(loaded) = &beat.loaded {
            changed |= state.loaded != *loaded;
            state.loaded = loaded.clone();
        }
        for item in &beat.evidence {
            state.evidence.insert(item.version.clone(), item.clone());
        }
        state.ended_since_beat = 0;
        state.beat = beat;
        changed
    }

    /// Takes the load that came with an answer.
    pub(crate) fn note_load(&self, load: AgentLoad) {
        let mut state = self.lock();
        state.ended_since_beat = 0;
        state.beat.running = load.running;
        state.beat.queued = load.queued;
        state.beat.starts_seen = load.starts_seen;
    }

    /// Whether the server is out of the choice now.
    pub(crate) fn is_out(&self, now: Duration) -> bool {
        self.lock().outlier.is_ejected(now)
    }

    /// Whether the server should be passed over: out, or on trial with a request under way.
    pub(crate) fn is_passed_over(&self, now: Duration) -> bool {
        self.lock().outlier.should_skip(now)
    }

    /// Notes that the server was chosen, which begins its trial if it is on one.
    pub(crate) fn note_chosen(&self, now: Duration) {
        self.lock().outlier.record_selection(now);
    }

    /// Notes how an attempt on this server ended.
    pub(crate) fn note_outcome(&self, answered: bool, rules: &OutlierConfig, now: Duration) {
        let mut state = self.lock();
        if answered {
            state.outlier.record_answer(rules);
        } else {
            state.outlier.record_failure(rules, now);
        }
    }

    /// Notes that the engine has seen a prompt.
    pub(crate) fn believe(&self, chain: &[u64]) {
        let mut state = self.lock();
        state.belief_clock += 1;
        let clock = state.belief_clock;
        for link in chain {
            state.beliefs.insert(*link, clock);
        }
        if state.beliefs.len() > MAX_BELIEFS {
            let mut clocks: Vec<u64> = state.beliefs.values().copied().collect();
            clocks.sort_unstable();
            let cut = clocks[clocks.len() / 2];
            state.beliefs.retain(|_, at| *at > cut);
        }
    }

    /// Sends a start and returns the channel its frames come on.
    pub(crate) async fn start(
        &self,
        start: Box<StartAttempt>,
    ) -> Option<mpsc::UnboundedReceiver<AttemptFrame>> {
        let key = start.key;
        let (tx, rx) = mpsc::unbounded_channel();
        self.waiters.lock().expect("no panics under the lock").insert(key, tx);
        // A link that went down in between has already told its waiters.
        if !self.is_up() {
            self.forget(key);
            return None;
        }
        self.lock().starts_sent += 1;
        if self.send(&ToAgent::Start(start)).await { Some(rx) } else { None }
    }

    /// Stops waiting for an attempt's frames.
    pub(crate) fn forget(&self, key: AttemptKey) {
        if self.waiters.lock().expect("no panics under the lock").remove(&key).is_some() {
            self.lock().ended_since_beat += 1;
        }
    }

    /// Hands a frame to the attempt that waits for it; false when none does.
    pub(crate) fn deliver(&self, key: AttemptKey, frame: AttemptFrame) -> bool {
        let waiters = self.waiters.lock().expect("no panics under the lock");
        waiters.get(&key).is_some_and(|tx| tx.send(frame).is_ok())
    }

    /// Sends a frame; false when the link is down.
    pub(crate) async fn send(&self, frame: &ToAgent) -> bool {
        self.tx.send(encode(frame)).await
    }

    /// Sends a frame and waits until it has left this process; false when the link is down.
    pub(crate) async fn send_written(&self, frame: &ToAgent) -> bool {
        self.tx.send_written(encode(frame)).await
    }

    /// Sends an encoded control frame.
    pub(crate) async fn send_encoded(&self, buf: Bytes) -> bool {
        self.tx.send(buf).await
    }

    /// Asks the agent which version it remembers for a session.
    pub(crate) async fn ask_pin(&self, session: &str, model: &str) -> Option<VersionId> {
        let question = self.next_question.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        self.questions.lock().expect("no panics under the lock").insert(question, tx);
        let frame = ToAgent::AskPin { question, session: session.into(), model: model.into() };
        self.send(&frame).await;
        let answer = tokio::time::timeout(Duration::from_millis(200), rx).await;
        self.questions.lock().expect("no panics under the lock").remove(&question);
        answer.ok()?.ok()?
    }

    /// Has the agent write a row; a link that goes away leaves the outcome open.
    pub(crate) async fn write_row(
        &self,
        key: Box<str>,
        expected: Option<u64>,
        value: &serde_json::Value,
    ) -> InsertOutcome {
        let question = self.next_question.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        self.row_questions.lock().expect("no panics under the lock").insert(question, tx);
        let row = RowWrite { question, key, expected, value: value.to_string().into() };
        // A link that went down in between has already dropped its questions.
        if !self.is_up() || !self.send(&ToAgent::WriteRow(Box::new(row))).await {
            self.take_row_question(question);
            return InsertOutcome::Lost;
        }
        let answer = tokio::time::timeout(ROW_WAIT, rx).await;
        self.take_row_question(question);
        answer.ok().and_then(Result::ok).unwrap_or(InsertOutcome::Lost)
    }

    fn take_row_question(&self, question: u64) -> Option<oneshot::Sender<InsertOutcome>> {
        self.row_questions.lock().expect("no panics under the lock").remove(&question)
    }

    /// Answers a row's question.
    pub(crate) fn note_row(&self, question: u64, outcome: InsertOutcome) {
        if let Some(tx) = self.take_row_question(question) {
            let _ = tx.send(outcome);
        }
    }

    /// Answers a question about a pin.
    pub(crate) fn answer_question(&self, question: u64, version: Option<VersionId>) {
        let asked = self.questions.lock().expect("no panics under the lock").remove(&question);
        if let Some(tx) = asked {
            let _ = tx.send(version);
        }
    }

    /// Marks the link as down and tells every attempt on it.
    pub(crate) fn close(&self) {
        self.up.store(false, Ordering::Relaxed);
        self.row_questions.lock().expect("no panics under the lock").clear();
        let waiters = std::mem::take(&mut *self.waiters.lock().expect("no panics under the lock"));
        for tx in waiters.into_values() {
            let _ = tx.send(AttemptFrame::Lost);
        }
    }
}
