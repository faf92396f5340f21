//! Reserves the largest model of a cascade for the most urgent requests while its servers are overloaded.
//!
//! Under overload the prefill time of the largest model runs out first. Each priority may use that model only while
//! the queue for it is below a bound of its own, and the bound falls with the urgency: trunk reservation, by which a
//! network keeps its last circuits for the calls that matter most (Key, Optimal control and trunk reservation in
//! loss networks, 1990). A less urgent priority gives way completely before the next one gives way at all. Within a
//! priority, the answers with the highest confidence and the longest prompts give way first, so that the demand
//! falls gradually as the queue grows: entries act on reports of the queue that are up to a second old, and a
//! sudden limit would make all of them stop and start together.

use std::time::Duration;

use crate::policy::escalation::{
    EscalationConfig, StageAnswer, escalate_below, late_threshold, threshold,
};

/// Number of priorities that are told apart; all less urgent ones share the last bound.
const PRIORITY_LEVELS: u8 = 3;
/// Fraction of [`ReservationConfig::full`] from which the most urgent priority gives way. Until half of the objective
/// is spent in the queue, the rest is enough for the smaller model's answer and for all but the longest prompts.
const MOST_URGENT_FROM: f64 = 0.5;
/// Least value of [`ReservationConfig::from`] that is used, a fraction; the ranges grow from it by multiplication.
const MIN_FROM: f64 = 1e-3;
/// Least ratio of the two ends of a priority's range, so that a range is never empty.
const MIN_RATIO: f64 = 1.001;

/// Queue for the largest model at which priorities give way, as fractions of [`Reservation::shortest_objective`];
/// settings under `overload`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReservationConfig {
    /// Queue at which the least urgent priority begins to give way.
    pub from: f64,
    /// Queue at which all priorities have given way.
    pub full: f64,
}

impl Default for ReservationConfig {
    fn default() -> Self {
        Self {
            // About one step of a server: if even the best of those compared has a prompt waiting, all are busy.
            from: 0.005,
            // Nobody who waits longer than that is answered in time.
            full: 1.0,
        }
    }
}

/// The reservation for one request. It exists only where overload control is in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    /// When priorities give way.
    pub config: ReservationConfig,
    /// Shortest objective among the routes that share the servers. All bounds are fractions of it: as fractions of
    /// each route's own objective, a patient route could outlast a more urgent one.
    pub shortest_objective: Duration,
}

/// Why a request that needs the largest model was not given it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldReason {
    /// Its time is reserved for more urgent requests, or for those of the same priority that need it more.
    Reserved,
    /// Its answer would be late while others wait for the model.
    Late,
}

impl HoldReason {
    /// Name for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Reserved => "reserved",
            Self::Late => "late",
        }
    }
}

/// What to do with the answer of a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageDecision {
    /// The answer is passed on because it is good enough or may not be replaced.
    PassOn,
    /// The stage with this index is asked next.
    Escalate(usize),
    /// The answer is passed on, although a larger model would be asked if its servers were idle.
    HoldBack(HoldReason),
}

/// Decides whether to escalate a request. Without a reservation, as [`escalate`](crate::policy::escalation::escalate)
/// does.
pub fn decide(
    answer: &StageAnswer,
    config: &EscalationConfig,
    reservation: Option<&Reservation>,
) -> StageDecision {
    let late = late_threshold(answer, config);
    let threshold = match reservation {
        Some(reservation) => {
            late.unwrap_or_else(|| reserved_threshold(answer, config, reservation))
        }
        None => threshold(answer, config),
    };
    if let Some(stage) = escalate_below(threshold, answer) {
        return StageDecision::Escalate(stage);
    }
    if escalate_below(config.confident, answer).is_none() {
        return StageDecision::PassOn;
    }
    let reason = if late.is_some() { HoldReason::Late } else { HoldReason::Reserved };
    StageDecision::HoldBack(reason)
}

/// Confidence from which an answer that would not be late is passed on.
pub fn reserved_threshold(
    answer: &StageAnswer,
    config: &EscalationConfig,
    reservation: &Reservation,
) -> f64 {
    let objective = reservation.shortest_objective.as_secs_f64().max(1e-3);
    let prefill = answer.expected_idle_first_event.as_secs_f64() / objective;
    let queue = answer.queueing().as_secs_f64() / objective;
    let (from, to) = bounds(answer.priority, &reservation.config);
    let excess = (queue - from).max(0.0);
    // Long prompts give way at half of the excess at which short ones do, but never before the less urgent.
    let pressure = ((excess + prefill.min(excess)) / (to - from)).min(1.0);
    config.confident * (1.0 - pressure)
}

/// Queue from which a priority begins to give way, and at which it has given way, as fractions of the shortest
/// objective. The ranges grow by the same ratio: reports of the queue are old, so that it swings, and a swing around
/// the range of one priority should not reach far into that of a more urgent one.
fn bounds(priority: u8, config: &ReservationConfig) -> (f64, f64) {
    let from = config.from.max(MIN_FROM);
    let ratio = (config.full.max(from) / from).powf(1.0 / f64::from(PRIORITY_LEVELS));
    let ratio = ratio.max(MIN_RATIO);
    let less_urgent = PRIORITY_LEVELS - 1 - priority.min(PRIORITY_LEVELS - 1);
    let begin = from * ratio.powi(less_urgent.into());
    let end = begin * ratio;
    if priority == 0 { (begin.max(end * MOST_URGENT_FROM), end) } else { (begin, end) }
}
