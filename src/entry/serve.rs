//! Serving a request: its stages, its charge and its one answer.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use crate::{
    entry::{
        ApiError, Entry,
        admission::{InFlight, OrganisationShare},
        answer::Answer,
        charges,
        claims::{self, Claimed, Grant},
        collector::Collector,
        explain::keep_story,
        failure::{StageError, describe_failure},
        link::Link,
        pick::best_estimate,
        rating::{POOR_BELOW, rate},
        request::ChatRequest,
        sessions::{RequestSession, version_for},
        stage::{Attempts, Finished, Job, JobCall, learn_stage_time, run_job},
        state::CascadePolicy,
        stream::{CHUNKS_WAITING, Reply, ReplyHead, StreamItem, as_chunks, pass_on},
        target::{Target, resolve},
    },
    ids::{ObjectId, VersionId, format_id},
    platform::RatingRequest,
    policy::{
        attempt::RequestOutcome,
        cascade::{EstimateKey, StageOutlook, is_good_enough, start_stage},
        charge::{ChargeRecord, ChargedAttempt, Delivery},
        claim::{ClaimState, SavedAnswer},
    },
    protocol::Usage,
    resources::Snapshot,
};

/// Times a request is decided anew because its version was withdrawn meanwhile.
const WITHDRAWN_TRIES: usize = 3;
const CATCH_UP: Duration = Duration::from_millis(300);

/// Serves a chat request; the work goes on by itself so that a lost caller is noticed.
pub(crate) async fn serve_chat(entry: Arc<Entry>, req: ChatRequest) -> Result<Reply, ApiError> {
    let (tx, rx) = oneshot::channel();
    tokio::spawn(async move {
        let _in_flight = InFlight::begin(&entry);
        let mut work = ChatWork::new(&entry, &req, tx);
        let res = work.run().await;
        work.close(res);
    });
    rx.await.unwrap_or_else(|_| Err(ApiError::outcome_unknown("the request was dropped")))
}

/// One request being served.
struct ChatWork<'a> {
    entry: &'a Arc<Entry>,
    req: &'a ChatRequest,
    reply: Option<oneshot::Sender<Result<Reply, ApiError>>>,
    stream: Option<mpsc::Sender<StreamItem>>,
    attempts: Attempts,
    charged: Vec<ChargedAttempt>,
    session: RequestSession,
    stage: usize,
    is_story_kept: bool,
}

/// An answer of a stage.
struct StageAnswer {
    answer: Answer,
    version: VersionId,
    finished: Finished,
    /// Whether its chunks have gone to the caller already.
    passed_on: bool,
}

impl<'a> ChatWork<'a> {
    fn new(
        entry: &'a Arc<Entry>,
        req: &'a ChatRequest,
        reply: oneshot::Sender<Result<Reply, ApiError>>,
    ) -> Self {
        let session = RequestSession::read(&req.head, entry.settings.session_key.as_bytes());
        Self {
            entry,
            req,
            reply: Some(reply),
            stream: None,
            attempts: Attempts::default(),
            charged: Vec::new(),
            session,
            stage: 0,
            is_story_kept: false,
        }
    }

    async fn run(&mut self) -> Result<(), ApiError> {
        let snapshot = self.entry.config.snapshot();
        let target = resolve(&snapshot, &self.req.head.organisation, &self.req.model)?;
        let _share = OrganisationShare::take(self.entry, &self.req.head, &snapshot)?;
        if self.entry.charges.is_full() {
            return Err(ApiError::not_run("too many charges wait for the object store"));
        }
        let Some(key) = self.req.head.claim_key()?.filter(|_| self.entry.policy.claims) else {
            return self.run_stages(&target).await.map(drop);
        };
        let (id, print) = (self.req.head.id, self.req.fingerprint());
        let deadline = self.req.head.time_left();
        match claims::claim(self.entry, key, id, print, deadline).await? {
            Claimed::Replay(answer) => {
                self.attempts.explain("answered from the saved result".into());
                self.keep_story("ok");
                self.send_reply(Ok(Reply::Saved(answer)));
                Ok(())
            }
            Claimed::Granted(grant) => self.run_claimed(&target, grant).await,
        }
    }

    async fn run_claimed(&mut self, target: &Target, grant: Grant) -> Result<(), ApiError> {
        let res = self.run_stages(target).await;
        let state = match (&res, self.attempts.verdict()) {
            (Ok(completion), _) => {
                let body = completion.to_string().into();
                ClaimState::Done(SavedAnswer { status: 200, body })
            }
            (Err(_), RequestOutcome::NotRun) => ClaimState::NotRun,
            (Err(_), _) => ClaimState::Unknown,
        };
        let entry = self.entry.clone();
        tokio::spawn(async move { claims::finish(&entry, grant, state).await });
        res.map(drop)
    }

    /// Goes through the stages until one is good enough, and delivers its answer.
    async fn run_stages(&mut self, target: &Target) -> Result<Value, ApiError> {
        let last = target.stages.len() - 1;
        let (mut stage, one_stage_only) = self.first_stage(target);
        loop {
            let is_last = stage == last || one_stage_only || self.stops_at_first();
            self.stage = stage;
            let res = self.run_stage(&target.stages[stage], is_last).await;
            let answer = match res {
                Ok(answer) => answer,
                // A pool that is full or gone spills to the next stage, if nothing has run.
                Err(StageError::NoServer | StageError::Full(_))
                    if stage < last && self.may_spill() =>
                {
                    self.attempts.explain(format!("stage {stage} has no capacity, next stage"));
                    stage += 1;
                    continue;
                }
                Err(e) => return Err(self.fail(e).await),
            };
            if is_last {
                self.rate_later(target, stage, &answer);
                return Ok(self.deliver(answer).await);
            }
            if self.passes(target, stage, &answer).await {
                return Ok(self.deliver(answer).await);
            }
            self.attempts.explain(format!("stage {stage} was not good enough, next stage"));
            stage += 1;
        }
    }

    fn may_spill(&self) -> bool {
        self.req.head.repeatable || self.attempts.verdict() == RequestOutcome::NotRun
    }

    fn stops_at_first(&self) -> bool {
        matches!(self.entry.policy.cascade, CascadePolicy::Cheapest | CascadePolicy::Costliest)
    }

    /// Stage to start at, and whether it has to be the only one.
    fn first_stage(&mut self, target: &Target) -> (usize, bool) {
        let last = target.stages.len() - 1;
        let Some(quality_target) = target.quality_target.filter(|_| last > 0) else {
            return (0, true);
        };
        match self.entry.policy.cascade {
            CascadePolicy::Cheapest => return (0, true),
            CascadePolicy::Costliest => return (last, true),
            CascadePolicy::Fixed if self.req.head.repeatable => return (0, false),
            CascadePolicy::Fixed | CascadePolicy::Learned => {}
        }
        let snapshot = self.entry.config.snapshot();
        let outlooks: Vec<StageOutlook> =
            (0..=last).map(|stage| self.outlook(&snapshot, target, stage)).collect();
        let one_stage_only = !self.req.head.repeatable || !self.holds_two(&snapshot, target);
        let start = start_stage(&outlooks, quality_target, one_stage_only);
        self.attempts.explain(format!(
            "start at stage {start} of {}: {outlooks:?}, one stage only: {one_stage_only}",
            last + 1
        ));
        (start, one_stage_only)
    }

    fn outlook(&self, snapshot: &Snapshot, target: &Target, stage: usize) -> StageOutlook {
        let name = &target.stages[stage];
        let version =
            if name.contains('@') { Some(name.clone()) } else { snapshot.stable_version(name) };
        let spec = version.and_then(|version| snapshot.versions.get(&version));
        let cost = spec.map_or(0, |v| v.cost(self.req.prompt_tokens, self.req.answer_tokens));
        let prior = spec.map_or(0.5, |v| v.quality);
        let key = self.estimate_key(target, stage);
        let estimates = self.entry.estimates.lock().expect("no panics under the lock");
        StageOutlook { cost: cost as f64, pass: estimates.pass_probability(&key, prior) }
    }

    /// Whether the time left holds the first stage and another after it.
    fn holds_two(&self, snapshot: &Snapshot, target: &Target) -> bool {
        let times = self.entry.stage_times.lock().expect("no panics under the lock");
        let time_of = |stage: &ObjectId| {
            let version = if stage.contains('@') {
                Some(stage.clone())
            } else {
                snapshot.stable_version(stage)
            };
            version.and_then(|version| times.get(&version).copied()).unwrap_or_default()
        };
        let two: Duration = target.stages.iter().take(2).map(time_of).sum();
        two <= self.time_left(target)
    }

    fn time_left(&self, target: &Target) -> Duration {
        let left = self.req.head.time_left();
        let declared = target.deadline.filter(|_| self.req.head.deadline.is_none());
        declared.map_or(left, |d| left.min(d.saturating_sub(self.req.head.arrived.elapsed())))
    }

    fn estimate_key(&self, target: &Target, stage: usize) -> EstimateKey {
        EstimateKey {
            cascade: target.name.clone(),
            organisation: self.req.head.organisation.clone(),
            task: self.req.head.task.clone(),
            size_class: self.req.prompt_tokens.max(1).ilog2(),
            stage,
        }
    }

    /// Runs one stage; a version withdrawn meanwhile is replaced by the one now in force.
    async fn run_stage(&mut self, stage: &str, is_last: bool) -> Result<StageAnswer, StageError> {
        for _ in 0..WITHDRAWN_TRIES {
            let version = version_for(self.entry, &mut self.session, stage)
                .await
                .ok_or(StageError::Withdrawn)?;
            match self.run_version(version, is_last).await {
                Err(StageError::Withdrawn) => self.wait_for_config().await,
                res => return res,
            }
        }
        Err(StageError::Withdrawn)
    }

    /// An agent knew of a newer revision; its heartbeat makes this entry pull it.
    async fn wait_for_config(&self) {
        let mut revision = self.entry.config.subscribe();
        let _ = tokio::time::timeout(CATCH_UP, revision.changed()).await;
    }

    async fn run_version(
        &mut self,
        version: VersionId,
        is_last: bool,
    ) -> Result<StageAnswer, StageError> {
        let (tx, rx) = mpsc::channel(CHUNKS_WAITING);
        let passes_on = self.req.stream && is_last;
        let job = Job {
            head: &self.req.head,
            call: JobCall::Chat { version: version.clone() },
            body: &self.req.body,
            prompt_tokens: self.req.prompt_tokens,
            answer_tokens: self.req.answer_tokens,
            ring_keys: [self.session.ring_key(), self.req.chain.first().copied().unwrap_or(0)],
            chain: &self.req.chain,
        };
        shed_early(self.entry, &job)?;
        let mut collector = Collector::Chat {
            answer: Answer::default(),
            sink: passes_on.then_some(tx),
            include_usage: self.req.include_usage,
        };
        let began = Instant::now();
        let res = if passes_on {
            let head = self.reply_head(&version);
            let reply = self.reply.take();
            let run = run_job(self.entry, &job, &mut self.attempts, &mut collector);
            let (res, reply, stream) = pass_on(run, rx, reply, head).await;
            self.reply = reply;
            self.stream = stream;
            res
        } else {
            run_job(self.entry, &job, &mut self.attempts, &mut collector).await
        };
        let Collector::Chat { answer, .. } = collector else {
            return Err(StageError::NoServer);
        };
        match res {
            Ok(finished) => {
                learn_stage_time(self.entry, &version, began);
                self.note_use(&version, &finished.link, finished.usage);
                let passed_on = self.stream.is_some();
                Ok(StageAnswer { answer, version, finished, passed_on })
            }
            Err(e) => {
                self.note_partial(&version, &answer, &e);
                Err(e)
            }
        }
    }

    fn note_use(&mut self, version: &VersionId, link: &Link, usage: Usage) {
        let snapshot = self.entry.config.snapshot();
        let cost =
            snapshot.versions.get(version).map_or(0, |v| v.cost(usage.tokens_in, usage.tokens_out));
        self.charged.push(ChargedAttempt {
            version: version.clone(),
            server: link.server.clone(),
            tokens_in: usage.tokens_in,
            tokens_out: usage.tokens_out,
            cost,
        });
    }

    /// A cut answer is charged for what the caller got of it.
    fn note_partial(&mut self, version: &VersionId, answer: &Answer, e: &StageError) {
        let (StageError::CallerGone(Some(link)) | StageError::Failed(Some(link))) = e else {
            return;
        };
        if self.stream.is_none() || answer.parts == 0 {
            return;
        }
        let usage = Usage { tokens_in: self.req.prompt_tokens, tokens_out: answer.parts };
        let link = link.clone();
        self.note_use(version, &link, usage);
    }

    /// Whether a stage's answer is passed on rather than escalated.
    async fn passes(&mut self, target: &Target, stage: usize, answer: &StageAnswer) -> bool {
        let quality_target = target.quality_target.unwrap_or(0.0);
        let key = self.estimate_key(target, stage);
        let req = rating_request(self.req, answer);
        let rating = rate(self.entry, req, &answer.finished.link, &answer.version).await;
        let mut estimates = self.entry.estimates.lock().expect("no panics under the lock");
        let Some(rating) = rating else {
            // Without ratings the last estimate decides, and it drifts to the safe side.
            estimates.record_unrated(&key);
            return estimates.pass_probability(&key, 0.0) >= quality_target;
        };
        let steering = estimates.quality_balance(&target.name, quality_target);
        let good = match self.entry.policy.cascade {
            CascadePolicy::Fixed => rating >= quality_target,
            _ => is_good_enough(rating, quality_target, steering),
        };
        estimates.record_pass(key, rating >= POOR_BELOW);
        if good {
            estimates.record_delivered(&target.name, quality_target, rating);
        }
        good
    }

    /// Rates the answer of a last stage without making the caller wait.
    fn rate_later(&self, target: &Target, stage: usize, answer: &StageAnswer) {
        let entry = self.entry.clone();
        let req = rating_request(self.req, answer);
        let link = answer.finished.link.clone();
        let version = answer.version.clone();
        let key = self.estimate_key(target, stage);
        let cascade = target.quality_target.map(|quality| (target.name.clone(), quality));
        tokio::spawn(async move {
            let Some(rating) = rate(&entry, req, &link, &version).await else {
                return;
            };
            let Some((name, quality)) = cascade else {
                return;
            };
            let mut estimates = entry.estimates.lock().expect("no panics under the lock");
            estimates.record_pass(key, rating >= POOR_BELOW);
            estimates.record_delivered(&name, quality, rating);
        });
    }

    /// Charges the request, then hands the caller the last part of its answer.
    async fn deliver(&mut self, answer: StageAnswer) -> Value {
        let head = self.reply_head(&answer.version);
        self.charge(Delivery::Whole, Some(&answer.finished.link)).await;
        let completion = answer.answer.clone().into_completion(self.req.head.id, &answer.version);
        self.keep_story("ok");
        if answer.passed_on {
            if let Some(stream) = self.stream.take() {
                let _ = stream.send(StreamItem::Done).await;
            }
        } else if self.req.stream {
            self.stream_whole(head, &completion).await;
        } else {
            self.send_reply(Ok(Reply::Whole(head, completion.clone())));
        }
        completion
    }

    /// Streams an answer that had to be complete before it could be passed on.
    async fn stream_whole(&mut self, head: ReplyHead, completion: &Value) {
        let (tx, rx) = mpsc::channel(CHUNKS_WAITING);
        self.send_reply(Ok(Reply::Stream(head, rx)));
        for chunk in as_chunks(completion, self.req.include_usage) {
            let _ = tx.send(StreamItem::Chunk(chunk)).await;
        }
        let _ = tx.send(StreamItem::Done).await;
    }

    async fn charge(&mut self, delivery: Delivery, winner: Option<&Arc<Link>>) {
        let attempts = std::mem::take(&mut self.charged);
        if attempts.is_empty() {
            return;
        }
        let record = ChargeRecord {
            request: self.req.head.id,
            organisation: self.req.head.organisation.clone(),
            attempts,
            delivery,
        };
        charges::charge(self.entry, record, winner).await;
    }

    /// Turns a stage's failure into what the caller is told.
    async fn fail(&mut self, e: StageError) -> ApiError {
        let link = match &e {
            StageError::CallerGone(link) | StageError::Failed(link) => link.clone(),
            _ => None,
        };
        if self.stream.is_some() {
            // Part of the answer is with the caller; that part is what it is charged for.
            self.charge(Delivery::Part, link.as_ref()).await;
        }
        describe_failure(&e, self.attempts.verdict(), &self.req.model)
    }

    fn reply_head(&self, version: &VersionId) -> ReplyHead {
        ReplyHead {
            request: format_id(self.req.head.id),
            session: self.session.token(self.entry.settings.session_key.as_bytes()),
            version: version.clone(),
            stage: self.stage,
        }
    }

    fn send_reply(&mut self, reply: Result<Reply, ApiError>) {
        if let Some(tx) = self.reply.take() {
            let _ = tx.send(reply);
        }
    }

    /// Counts the request and keeps its story, once. To be called before the caller has the whole answer, since the
    /// caller may ask for the story right after it.
    fn keep_story(&mut self, code: &str) {
        if !std::mem::replace(&mut self.is_story_kept, true) {
            keep_story(self.entry, &self.req.head, &self.req.model, code, &mut self.attempts);
        }
    }

    /// Keeps the story of a request that was not answered, and gives its failure as the final answer.
    fn close(&mut self, res: Result<(), ApiError>) {
        let code = res.as_ref().map_or_else(|e| e.code, |()| "ok");
        self.keep_story(code);
        let Err(e) = res else { return };
        if let Some(stream) = self.stream.take() {
            let body = e.body();
            tokio::spawn(async move { stream.send(StreamItem::Failed(body)).await });
            return;
        }
        self.send_reply(Err(e));
    }
}

/// Refuses at once what can't have its first token before its deadline.
fn shed_early(entry: &Entry, job: &Job<'_>) -> Result<(), StageError> {
    let Some(estimate) = best_estimate(entry, job) else {
        return Ok(());
    };
    if estimate > job.head.time_left() { Err(StageError::Full(estimate)) } else { Ok(()) }
}

fn rating_request(req: &ChatRequest, answer: &StageAnswer) -> RatingRequest {
    RatingRequest {
        task: req.head.task.clone(),
        version: answer.version.clone(),
        prompt: req.prompt.clone(),
        answer: answer.answer.text().into(),
    }
}
