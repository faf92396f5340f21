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

/// The queue, and what the entries know of it.
struct Queue {
    /// Entry and remaining work of each request.
    requests: VecDeque<(usize, f64)>,
    /// Work in the queue, by entry.
    own_work: Vec<f64>,
    /// Reports that are under way, with the time at which they arrive.
    reports: VecDeque<(f64, Vec<f64>)>,
    loads: Vec<LoadEstimate>,
}

impl Queue {
    fn new(entries: usize) -> Self {
        Self {
            requests: VecDeque::new(),
            own_work: vec![0.0; entries],
            reports: VecDeque::new(),
            loads: vec![LoadEstimate::default(); entries],
        }
    }

    /// Does the work of one step.
    fn work(&mut self) {
        let mut time_left = STEP;
        while let Some((entry, work)) = self.requests.front_mut().filter(|_| time_left > 0.0) {
            let done = work.min(time_left);
            (*work, time_left) = (*work - done, time_left - done);
            self.own_work[*entry] = (self.own_work[*entry] - done).max(0.0);
            if *work <= 0.0 {
                self.requests.pop_front();
            }
        }
    }

    /// Sends the reports of this step and delivers those that are due.
    fn report(&mut self, step: usize) {
        let at = step as f64 * STEP;
        if step.is_multiple_of((REPORT_INTERVAL / STEP) as usize) {
            self.reports.push_back((at + REPORT_DELAY, self.own_work.clone()));
        }
        if self.reports.front().is_none_or(|(due, _)| *due > at) {
            return;
        }
        let (_, report) = self.reports.pop_front().expect("there is a report");
        let total: f64 = report.iter().sum();
        for (load, own) in self.loads.iter_mut().zip(report) {
            let others = Duration::from_secs_f64((total - own).max(0.0));
            load.record_peer_load(0, others, Duration::from_secs_f64(at));
        }
    }

    /// Expected wait of a request of an entry, as the entry knows it.
    fn expected_wait(&self, entry: usize, now: Duration) -> Duration {
        Duration::from_secs_f64(self.own_work[entry]) + self.loads[entry].peer_backlog(now)
    }

    fn admit(&mut self, entry: usize) {
        self.requests.push_back((entry, WORK));
        self.own_work[entry] += WORK;
    }
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
    let reservation = is_reserved.then_some(&reservation);
    let config = EscalationConfig::default();
    let mut rng = StdRng::seed_from_u64(7);
    let mut queue = Queue::new(entries);
    let (mut max_queue, mut busy) = (0.0f64, 0.0);
    let (mut asked, mut admitted) = ([0.0; 3], [0.0; 3]);
    for step in 0..(LENGTH / STEP) as usize {
        let at = step as f64 * STEP;
        let counted = if at >= WARM_UP { 1.0 } else { 0.0 };
        busy += if queue.requests.is_empty() { 0.0 } else { STEP * counted };
        queue.work();
        queue.report(step);
        for priority in 0..3 {
            if rng.random::<f64>() >= demand[priority] / WORK * STEP {
                continue;
            }
            let entry = rng.random_range(0..entries);
            let confidence = rng.random_range(0..config.confident as u8);
            let wait = queue.expected_wait(entry, Duration::from_secs_f64(at));
            let answer = answer(confidence, wait, objective, priority as u8);
            asked[priority] += counted;
            if matches!(decide(&answer, &config, reservation), StageDecision::Escalate(_)) {
                queue.admit(entry);
                admitted[priority] += counted;
            }
        }
        max_queue = max_queue.max(queue.own_work.iter().sum::<f64>() * counted);
    }
    let admitted = [0, 1, 2].map(|priority| admitted[priority] / asked[priority]);
    QueueOutcome { max_queue, busy: busy / (LENGTH - WARM_UP), admitted }
}

fn answer(confidence: u8, wait: Duration, objective: Duration, priority: u8) -> StageAnswer {
    let prefill = Duration::from_secs_f64(WORK);
    StageAnswer {
        stage: 0,
        stages: 2,
        confidence: Some(confidence),
        attempts_left: 2,
        time_left: objective * 4,
        objective,
        expected_first_event: prefill + wait,
        expected_idle_first_event: prefill,
        elapsed: Duration::ZERO,
        priority,
    }
}
