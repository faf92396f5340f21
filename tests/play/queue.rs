//! Simulates one server's queue for the largest model, to which many entries admit requests by old reports of it.

use std::{collections::VecDeque, time::Duration};

use mintmoor::policy::{
    escalation::{EscalationConfig, StageAnswer},
    load::LoadEstimate,
    reservation::{Reservation, ReservationConfig, StageDecision, decide},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Seconds between two reports of an entry's share of the queue, and until the others have received one.
const REPORT_INTERVAL: f64 = 0.4;
const REPORT_DELAY: f64 = 0.5;
/// Seconds of work in a request, of a time step, of the warm-up and of the simulation.
const WORK: f64 = 0.02;
const STEP: f64 = 0.004;
const WARM_UP: f64 = 2.0;
const LENGTH: f64 = 20.0;

/// Result after the warm-up.
#[derive(Clone, Copy, Debug)]
pub struct QueueOutcome {
    /// Longest queue in seconds.
    pub max_queue: f64,
    /// Part of the time in which the server worked.
    pub busy: f64,
    /// Part of the requests that were let in, by priority.
    pub admitted: [f64; 3],
}

/// Plays requests with the given demand, by priority as a multiple of the server's capacity. All requests need the
/// largest model; their confidence is spread evenly below the usual threshold.
pub fn play_queue(
    entries: usize,
    demand: [f64; 3],
    objective: Duration,
    is_reserved: bool,
) -> QueueOutcome {
    let reservation =
        Reservation { config: ReservationConfig::default(), shortest_objective: objective };
    let config = EscalationConfig::default();
    let mut rng = StdRng::seed_from_u64(7);
    // Entry and remaining work of each request.
    let mut queue: VecDeque<(usize, f64)> = VecDeque::new();
    let mut own_work = vec![0.0f64; entries];
    let mut loads = vec![LoadEstimate::default(); entries];
    let mut reports: VecDeque<(f64, Vec<f64>)> = VecDeque::new();
    let (mut max_queue, mut busy) = (0.0f64, 0.0);
    let (mut asked, mut admitted) = ([0.0; 3], [0.0; 3]);
    for step in 0..(LENGTH / STEP) as usize {
        let at = step as f64 * STEP;
        let now = Duration::from_secs_f64(at);
        let is_counted = at >= WARM_UP;
        busy += if is_counted && !queue.is_empty() { STEP } else { 0.0 };
        let mut time_left = STEP;
        while let Some((entry, work)) = queue.front_mut().filter(|_| time_left > 0.0) {
            let done = work.min(time_left);
            (*work, time_left) = (*work - done, time_left - done);
            own_work[*entry] = (own_work[*entry] - done).max(0.0);
            if *work <= 0.0 {
                queue.pop_front();
            }
        }
        if step % (REPORT_INTERVAL / STEP) as usize == 0 {
            reports.push_back((at + REPORT_DELAY, own_work.clone()));
        }
        if let Some((_, report)) = reports.pop_front_if(|(due, _)| *due <= at) {
            let total: f64 = report.iter().sum();
            for (load, own) in loads.iter_mut().zip(report) {
                load.record_peer_load(0, Duration::from_secs_f64((total - own).max(0.0)), now);
            }
        }
        for priority in 0..3 {
            if rng.random::<f64>() >= demand[priority] / WORK * STEP {
                continue;
            }
            let entry = rng.random_range(0..entries);
            let prefill = Duration::from_secs_f64(WORK);
            let own = Duration::from_secs_f64(own_work[entry]);
            let answer = StageAnswer {
                stage: 0,
                stages: 2,
                confidence: Some(rng.random_range(0..config.confident as u8)),
                attempts_left: 2,
                time_left: objective * 4,
                objective,
                expected_first_event: prefill + own + loads[entry].peer_backlog(now),
                expected_idle_first_event: prefill,
                elapsed: Duration::ZERO,
                priority: priority as u8,
            };
            let decision = decide(&answer, &config, is_reserved.then_some(&reservation));
            let is_admitted = matches!(decision, StageDecision::Escalate(_));
            if is_admitted {
                queue.push_back((entry, WORK));
                own_work[entry] += WORK;
            }
            asked[priority] += f64::from(u8::from(is_counted));
            admitted[priority] += f64::from(u8::from(is_counted && is_admitted));
        }
        if is_counted {
            max_queue = max_queue.max(own_work.iter().sum());
        }
    }
    let admitted = [0, 1, 2].map(|priority| admitted[priority] / asked[priority]);
    QueueOutcome { max_queue, busy: busy / (LENGTH - WARM_UP), admitted }
}
