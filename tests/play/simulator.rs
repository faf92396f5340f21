//! Simulates entries that place requests on engines, with the production code for placement and escalation.

use std::{collections::HashMap, ops::Range, time::Duration};

use mintmoor::policy::{
    escalation::{EscalationConfig, StageAnswer},
    load::LoadEstimate,
    placement::{Candidate, PlacementConfig, PlacementRequest, hash_id, place},
    prefix_cache::{CachedPrefixes, PromptPrefix},
    reservation::{Reservation, ReservationConfig, StageDecision, decide},
};

use crate::{
    engine::{Engine, EngineEvent, EngineProfile},
    workload::{Arrival, LARGE, Model, RequestClass, SMALL},
};

/// Seconds until the other entries have received a report of a cached prefix.
const REPORT_DELAY: f64 = 0.5;

/// Seconds between two exchanges of engine load among the entries.
const LOAD_REPORT_INTERVAL: f64 = 0.4;
/// Initial mean wait in seconds and smoothing factor of the mean, as in the previous escalation rule.
const INITIAL_MEAN_WAIT: f64 = 0.2;
const MEAN_WAIT_WEIGHT: f64 = 0.05;

/// The previous escalation rule, which did not estimate waits: the confidence threshold falls from 52 at a mean
/// wait of 0.2 of the objective to about 31 at 0.6, and is 30 if reading the prompt alone makes the answer late.
fn escalates_by_mean_wait(
    arrival: &Arrival,
    elapsed: f64,
    prefill_time: f64,
    mean: f64,
    first_token_objective: f64,
) -> bool {
    let pressure = ((mean / first_token_objective - 0.2) / 0.4).clamp(0.0, 1.0);
    let threshold = if elapsed + prefill_time > first_token_objective {
        30.0
    } else {
        52.0 - 32.0 * pressure * 2.0 / 3.0
    };
    f64::from(arrival.confidence) < threshold
}

/// Configuration of one simulation run.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub classes: Vec<RequestClass>,
    pub engine_profiles: Vec<EngineProfile>,
    pub entries: usize,
    /// Number of AvailabilityZones; entries and engines are assigned to them round robin.
    pub zones: usize,
    pub escalation: EscalationRule,
    pub placement: PlacementConfig,
    /// Whether the engines report how long work takes on their machines.
    pub reports_speeds: bool,
    /// Indices of the engines that are lost, and the time of the loss in seconds.
    pub engine_loss: Option<(Range<usize>, Range<f64>)>,
}

/// Placement costs of the previous policy: a fixed cost for leaving the zone, which depends neither on the size of
/// the body nor on the backlog of the servers.
pub fn flat_placement_costs() -> PlacementConfig {
    PlacementConfig {
        far: Duration::from_millis(30),
        far_kilobyte: Duration::ZERO,
        spare_backlog: Duration::from_secs(1_000),
        ..PlacementConfig::default()
    }
}

/// What entries know about the prompt prefixes that engines have cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheKnowledge {
    /// Nothing; requests with the same shared prefix are placed by its hash.
    HashOnly,
    /// Entries record where they sent prefixes and report it to each other.
    Reported,
}

/// Rule by which a request is escalated from the small model to the large one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EscalationRule {
    /// By the recent mean wait for the large model.
    MeanWait,
    /// By the currently expected wait.
    ExpectedWait,
    /// By the currently expected wait, with the large model reserved for urgent classes.
    Reserved,
}

/// Result of a simulation run; `requests`, `on_time` and `late` are counted by request class.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub requests: Vec<u32>,
    pub on_time: Vec<u32>,
    pub late: Vec<u32>,
    /// Summed value of the answers; a late answer counts 0.3 of its value, and one that is not good 0.05.
    pub value: f64,
    /// Shared prompt tokens that were read although some engine had read them before.
    pub reread_tokens: u64,
    /// Bytes of request bodies sent to another zone.
    pub cross_zone_bytes: u64,
    /// Requests sent to each engine.
    pub requests_by_engine: Vec<u32>,
    /// Seconds from arrival to the first token of the answers, summed.
    pub first_token_seconds: f64,
    /// Seconds that the requests of each engine have added to its steps.
    pub work_by_engine: Vec<f64>,
    /// Shared tokens of all prompts sent, except the first occurrence of each prefix.
    pub reused_shared_tokens: u64,
    /// Class, arrival time and part of the full value of each answer.
    pub answers: Vec<(usize, f64, f64)>,
}

impl Outcome {
    /// Requests of the busiest engine as a multiple of the mean.
    pub fn peak_to_mean_requests(&self) -> f64 {
        let total: u32 = self.requests_by_engine.iter().sum();
        f64::from(*self.requests_by_engine.iter().max().unwrap())
            * self.requests_by_engine.len() as f64
            / f64::from(total)
    }

    /// Ratio of the reused shared tokens that were still cached.
    pub fn cache_hit_ratio(&self) -> f64 {
        1.0 - self.reread_tokens as f64 / self.reused_shared_tokens as f64
    }

    /// Ratio of the requests that were answered on time.
    pub fn on_time_ratio(&self) -> f64 {
        let sum = |counts: &[u32]| f64::from(counts.iter().sum::<u32>());
        sum(&self.on_time) / sum(&self.requests)
    }
}

/// What one entry knows about one engine.
#[derive(Clone, Debug, Default)]
struct EngineView {
    cached: CachedPrefixes,
    load: LoadEstimate,
    backlog: f64,
}

impl EngineView {
    /// Creates the view of an engine whose cache size is known from the configuration.
    fn of(profile: &EngineProfile) -> Self {
        let mut view = Self::default();
        view.cached.set_capacity(profile.cache_tokens);
        view
    }

    /// Expected time to read the prompts that this entry has waiting at the engine.
    fn own_backlog(&self) -> Duration {
        Duration::from_secs_f64(self.backlog.max(0.0))
    }

    /// Expected time to read all prompts that are waiting at the engine, those of other entries included.
    fn backlog(&self, now: Duration) -> Duration {
        self.own_backlog() + self.load.peer_backlog(now)
    }
}

/// One send of a request to an engine.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    arrival: usize,
    model: Model,
    engine: usize,
    sent_at: f64,
    prefill_time: f64,
    first_token_at: Option<f64>,
    is_escalated: bool,
}

/// An entry's report that an engine has cached a prefix.
struct PrefixReport {
    at: f64,
    from: usize,
    engine: usize,
    prefix: PromptPrefix,
}

/// State of a simulation run; `views` is indexed by entry and engine.
struct Simulator<'a> {
    scenario: &'a Scenario,
    cache_knowledge: CacheKnowledge,
    engines: Vec<Engine>,
    views: Vec<Vec<EngineView>>,
    attempts: Vec<Attempt>,
    reports: Vec<PrefixReport>,
    next_load_report: f64,
    /// Mean wait for the large model, by entry.
    mean_wait: Vec<f64>,
    /// Tokens of every distinct shared prefix that was sent, by its hash.
    distinct_shared_tokens: HashMap<u32, u64>,
    outcome: Outcome,
}

/// Runs the arrivals through the system until 60 s after the last one.
pub fn simulate(
    scenario: &Scenario,
    arrivals: &[Arrival],
    cache_knowledge: CacheKnowledge,
) -> Outcome {
    let classes = scenario.classes.len();
    let mut simulator = Simulator {
        scenario,
        cache_knowledge,
        engines: scenario.engine_profiles.iter().map(|profile| Engine::new(*profile)).collect(),
        views: vec![
            scenario.engine_profiles.iter().map(EngineView::of).collect();
            scenario.entries
        ],
        attempts: Vec::new(),
        reports: Vec::new(),
        distinct_shared_tokens: HashMap::new(),
        outcome: Outcome {
            requests: vec![0; classes],
            on_time: vec![0; classes],
            late: vec![0; classes],
            value: 0.0,
            reread_tokens: 0,
            cross_zone_bytes: 0,
            requests_by_engine: vec![0; scenario.engine_profiles.len()],
            first_token_seconds: 0.0,
            work_by_engine: Vec::new(),
            reused_shared_tokens: 0,
            answers: Vec::new(),
        },
        next_load_report: 0.0,
        mean_wait: vec![INITIAL_MEAN_WAIT; scenario.entries],
    };
    for (i, arrival) in arrivals.iter().enumerate() {
        simulator.advance_to(arrival.at, arrivals);
        simulator.outcome.requests[arrival.class] += 1;
        simulator.place(i, arrival, SMALL, arrival.at);
    }
    let end = arrivals.last().map_or(0.0, |arrival| arrival.at) + 60.0;
    simulator.advance_to(end, arrivals);
    simulator.outcome.work_by_engine =
        simulator.engines.iter().map(|engine| engine.work_seconds).collect();
    let read: u64 = simulator.engines.iter().map(|engine| engine.shared_tokens_read).sum();
    let first: u64 = simulator.distinct_shared_tokens.values().sum();
    simulator.outcome.reread_tokens = read - first;
    simulator.outcome.reused_shared_tokens -= first;
    simulator.outcome
}

impl Simulator<'_> {
    fn is_lost(&self, engine: usize, now: f64) -> bool {
        self.scenario
            .engine_loss
            .as_ref()
            .is_some_and(|(lost, time)| lost.contains(&engine) && time.contains(&now))
    }

    fn is_same_zone_as_entry(&self, engine: usize, entry: usize) -> bool {
        engine % self.scenario.zones == entry % self.scenario.zones
    }

    /// Runs the engines until the given time, handles their events and delivers the reports that are due.
    fn advance_to(&mut self, now: f64, arrivals: &[Arrival]) {
        for engine in 0..self.engines.len() {
            let mut events = Vec::new();
            if !self.is_lost(engine, now) {
                self.engines[engine].advance_to(now, &mut events);
            }
            for event in events {
                self.handle_event(event, arrivals);
            }
        }
        let is_due = |report: &PrefixReport| report.at + REPORT_DELAY <= now;
        if now >= self.next_load_report {
            self.next_load_report = now + LOAD_REPORT_INTERVAL;
            self.exchange_loads(Duration::from_secs_f64(now));
        }
        let (due_reports, waiting) =
            std::mem::take(&mut self.reports).into_iter().partition(is_due);
        self.reports = waiting;
        for report in due_reports {
            self.deliver_report(&report);
        }
    }

    /// Tells each entry the load that the others have put on the engines.
    fn exchange_loads(&mut self, now: Duration) {
        for engine in 0..self.engines.len() {
            let reported = |view: &EngineView| (view.load.own_requests, view.own_backlog());
            let loads: Vec<_> = self.views.iter().map(|views| reported(&views[engine])).collect();
            let requests: u32 = loads.iter().map(|(requests, _)| requests).sum();
            let backlog: Duration = loads.iter().map(|(_, backlog)| backlog).sum();
            for (entry, (own, own_backlog)) in loads.iter().enumerate() {
                let load = &mut self.views[entry][engine].load;
                load.record_peer_load(requests - own, backlog - *own_backlog, now);
            }
        }
    }

    /// Records a report at all entries except the one that sent it.
    fn deliver_report(&mut self, report: &PrefixReport) {
        for entry in (0..self.scenario.entries).filter(|entry| *entry != report.from) {
            self.views[entry][report.engine]
                .cached
                .record_peer_report(report.prefix.hash, report.prefix.tokens);
        }
    }

    fn handle_event(&mut self, event: EngineEvent, arrivals: &[Arrival]) {
        match event {
            EngineEvent::FirstToken(id, at) => self.handle_first_token(id, at, arrivals),
            EngineEvent::Ended(id, _) => self.handle_end(id, arrivals),
        }
    }

    /// Escalates a request of the small model if its answer is not good enough.
    fn handle_first_token(&mut self, id: usize, at: f64, arrivals: &[Arrival]) {
        self.attempts[id].first_token_at = Some(at);
        let Attempt { arrival: i, model, engine, sent_at, prefill_time, .. } = self.attempts[id];
        let arrival = &arrivals[i];
        self.views[arrival.entry][engine].backlog -= prefill_time;
        if model.time_factor == LARGE.time_factor {
            let mean = &mut self.mean_wait[arrival.entry];
            *mean += (at - sent_at - *mean) * MEAN_WAIT_WEIGHT;
        } else if self.should_escalate(arrival, at) {
            self.attempts[id].is_escalated = true;
            self.engines[engine].cancel(id);
            self.place(i, arrival, LARGE, at);
        }
    }

    /// Counts the answer, unless the request was escalated.
    fn handle_end(&mut self, id: usize, arrivals: &[Arrival]) {
        let attempt = &self.attempts[id];
        let arrival = &arrivals[attempt.arrival];
        self.views[arrival.entry][attempt.engine].load.own_requests -= 1;
        if attempt.is_escalated {
            return;
        }
        let class = &self.scenario.classes[arrival.class];
        let first_token_seconds = attempt.first_token_at.unwrap_or(f64::MAX) - arrival.at;
        let is_late = first_token_seconds > class.first_token_objective;
        let is_good =
            arrival.small_model_suffices || attempt.model.time_factor == LARGE.time_factor;
        let part = if is_late { 0.3 } else { 1.0 } * if is_good { 1.0 } else { 0.05 };
        let outcome = &mut self.outcome;
        outcome.first_token_seconds += first_token_seconds;
        let counts = if is_late { &mut outcome.late } else { &mut outcome.on_time };
        counts[arrival.class] += 1;
        outcome.value += class.value * part;
        outcome.answers.push((arrival.class, arrival.at, part));
    }

    /// Returns whether a request that the small model answers is escalated to the large model.
    fn should_escalate(&self, arrival: &Arrival, now: f64) -> bool {
        let class = &self.scenario.classes[arrival.class];
        let (engine, unread_tokens) = self.choose_engine(arrival, &LARGE, now);
        let prefill_time = unread_tokens as f64 * self.prefill_token_time(&LARGE);
        let view = &self.views[arrival.entry][engine];
        let backlog = view.backlog(Duration::from_secs_f64(now)).as_secs_f64();
        if self.scenario.escalation == EscalationRule::MeanWait {
            let mean = self.mean_wait[arrival.entry];
            return escalates_by_mean_wait(
                arrival,
                now - arrival.at,
                prefill_time,
                mean,
                class.first_token_objective,
            );
        }
        let time_factor = self.known_time_factor(engine);
        let answer = StageAnswer {
            stage: 0,
            stages: 2,
            confidence: Some(arrival.confidence),
            attempts_left: 2,
            time_left: Duration::from_secs(5),
            objective: Duration::from_secs_f64(class.first_token_objective),
            expected_first_event: Duration::from_secs_f64((prefill_time + backlog) * time_factor),
            expected_idle_first_event: Duration::from_secs_f64(prefill_time * time_factor),
            elapsed: Duration::from_secs_f64(now - arrival.at),
            priority: class.priority,
        };
        let objectives = self.scenario.classes.iter().map(|class| class.first_token_objective);
        let reservation = Reservation {
            config: ReservationConfig::default(),
            shortest_objective: Duration::from_secs_f64(objectives.fold(f64::MAX, f64::min)),
        };
        let is_reserved = self.scenario.escalation == EscalationRule::Reserved;
        let reservation = is_reserved.then_some(&reservation);
        let decision = decide(&answer, &EscalationConfig::default(), reservation);
        matches!(decision, StageDecision::Escalate(_))
    }

    fn prefill_token_time(&self, model: &Model) -> f64 {
        model.time_factor / self.scenario.engine_profiles[0].prefill_rate
    }

    /// How long work takes at an engine compared with the first one, as far as entries know it.
    fn known_time_factor(&self, engine: usize) -> f64 {
        let profiles = &self.scenario.engine_profiles;
        if !self.scenario.reports_speeds {
            return 1.0;
        }
        profiles[engine].step_time / profiles[0].step_time
    }

    /// Chooses an engine for a request and sends it there.
    fn place(&mut self, i: usize, arrival: &Arrival, model: Model, now: f64) {
        let (engine, unread_tokens) = self.choose_engine(arrival, &model, now);
        let prefill_time = unread_tokens as f64 * self.prefill_token_time(&model);
        let (first_token_at, is_escalated) = (None, false);
        let attempt = Attempt {
            arrival: i,
            model,
            engine,
            sent_at: now,
            prefill_time,
            first_token_at,
            is_escalated,
        };
        self.send(arrival, attempt, unread_tokens);
    }

    /// Returns the chosen engine and the number of prompt tokens that it is expected to read.
    fn choose_engine(&self, arrival: &Arrival, model: &Model, now: f64) -> (usize, u64) {
        let prefixes = arrival.prefixes(model);
        let request = PlacementRequest {
            affinity: prefixes.last().map(|prefix| u64::from(prefix.hash)),
            shared_tokens: prefixes.iter().map(|prefix| prefix.tokens).sum(),
            prefill_token_time: Duration::from_secs_f64(self.prefill_token_time(model)),
            // The simulation counts one byte per token.
            bytes: arrival.prompt_tokens() as usize,
            request_hash: 0,
            unshared_tokens: arrival.unique_tokens,
        };
        let views = &self.views[arrival.entry];
        let at = Duration::from_secs_f64(now);
        let known_cached_tokens = |view: &EngineView| match self.cache_knowledge {
            CacheKnowledge::HashOnly => 0,
            CacheKnowledge::Reported => view.cached.cached_tokens(&prefixes),
        };
        let candidate = |engine: usize| Candidate {
            id_hash: hash_id(&format!("engine-{engine}")),
            load: views[engine].load.estimated_requests(at),
            slots: 64,
            backlog: views[engine].own_backlog()
                + views[engine].load.peer_backlog_for_placement(at),
            cached_tokens: known_cached_tokens(&views[engine]),
            failure_rate: 0.0,
            is_same_zone: self.is_same_zone_as_entry(engine, arrival.entry),
            time_factor: self.known_time_factor(engine),
        };
        let engines: Vec<usize> =
            (0..self.engines.len()).filter(|engine| !self.is_lost(*engine, now)).collect();
        let candidates: Vec<Candidate> = engines.iter().copied().map(candidate).collect();
        let chosen =
            place(&candidates, &request, &self.scenario.placement).expect("there are engines");
        let engine = engines[chosen];
        (engine, arrival.prompt_tokens() - known_cached_tokens(&views[engine]))
    }

    /// Starts an attempt at its engine and updates the entry's view of it.
    fn send(&mut self, arrival: &Arrival, attempt: Attempt, unread_tokens: u64) {
        let Attempt { engine, model, sent_at: now, .. } = attempt;
        let prefixes = arrival.prefixes(&model);
        self.distinct_shared_tokens
            .extend(prefixes.iter().map(|prefix| (prefix.hash, prefix.tokens)));
        self.outcome.reused_shared_tokens +=
            prefixes.iter().map(|prefix| prefix.tokens).sum::<u64>();
        self.outcome.requests_by_engine[engine] += 1;
        if !self.is_same_zone_as_entry(engine, arrival.entry) {
            self.outcome.cross_zone_bytes += arrival.prompt_tokens();
        }
        let view = &mut self.views[arrival.entry][engine];
        view.load.own_requests += 1;
        view.backlog += attempt.prefill_time;
        view.cached.record_sent(&prefixes, unread_tokens);
        if let Some(prefix) = view.cached.take_report(&prefixes, Duration::from_secs_f64(now)) {
            self.reports.push(PrefixReport { at: now, from: arrival.entry, engine, prefix });
        }
        let id = self.attempts.len();
        self.attempts.push(attempt);
        let unique_tokens = arrival.unique_tokens;
        self.engines[engine].start(
            id,
            model.time_factor,
            &prefixes,
            unique_tokens,
            arrival.answer_tokens,
        );
    }
}
