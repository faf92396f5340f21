//! A pool under 1.5 times its capacity whose servers reject excess requests and ask for a pause.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use mintmoor::policy::{
    announcements::Announcements,
    availability::{Availability, Signals, decide, retain_first_tier},
    outlier::{OutlierConfig, OutlierDetector},
    send_window::SendWindow,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVERS: usize = 6;
const SLOTS: usize = 16;
/// Time that a server needs for a request.
const SERVICE_TIME: Duration = Duration::from_millis(400);
const PAUSE: Duration = Duration::from_secs(1);
const SIMULATED_TIME: Duration = Duration::from_secs(1_000);
/// Load as a multiple of the pool's capacity.
const LOAD_FACTOR: f64 = 1.5;
const ENTRIES: usize = 4;
/// Maximum number of sends per request.
const MAX_SENDS: usize = 5;
/// Time after a rejection in which requests that were already in transit may still arrive.
const IN_TRANSIT: Duration = Duration::from_millis(500);

/// Configuration of the outlier ejection.
const OUTLIER_CONFIG: OutlierConfig = OutlierConfig {
    consecutive_failures: 2,
    base_ejection: Duration::from_millis(500),
    max_ejection: Duration::from_secs(4),
    recovery_answers: 6,
    max_ejected_share: 0.7,
};

/// What makes an entry stop sending to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// Ejection after consecutive failures; rejections count as failures.
    Ejection,
    /// The pauses that servers request.
    Pauses,
    /// The requested pauses and a send window that shrinks after rejections.
    Windows,
}

/// What one entry knows about a server.
#[derive(Default)]
struct ServerView {
    announced: Announcements,
    outlier: OutlierDetector,
    window: SendWindow,
    /// When each of the entry's requests at the server ends.
    in_flight: BinaryHeap<Reverse<Duration>>,
    /// Times of the rejections within the last pause.
    recent_rejections: VecDeque<Duration>,
}

impl ServerView {
    fn availability(&mut self, policy: Policy, now: Duration) -> Availability {
        remove_finished(&mut self.in_flight, now);
        let mut signals = Signals::default();
        match policy {
            Policy::Ejection => signals.is_ejected = self.outlier.should_skip(now),
            Policy::Pauses => signals.announced = self.announced,
            Policy::Windows => {
                signals.announced = self.announced;
                signals.in_flight = self.in_flight.len() as u32;
                signals.window = self.window;
            }
        }
        decide(&signals, now)
    }

    fn note_answer(&mut self, now: Duration) {
        self.in_flight.push(Reverse(now + SERVICE_TIME));
        self.outlier.record_answer(&OUTLIER_CONFIG);
        self.announced.record_answer(now);
        self.window.record_answer();
    }

    fn note_rejection(&mut self, now: Duration) {
        self.outlier.record_failure(&OUTLIER_CONFIG, now);
        self.announced.record_pause(PAUSE, now);
        self.window.record_rejection(self.in_flight.len() as u32, now);
        self.recent_rejections.push_back(now);
    }

    /// Returns whether a send now falls into a requested pause and cannot have been in transit when it began.
    fn is_send_during_pause(&mut self, now: Duration) -> bool {
        while self.recent_rejections.front().is_some_and(|at| *at + PAUSE <= now) {
            self.recent_rejections.pop_front();
        }
        self.recent_rejections.front().is_some_and(|at| *at + IN_TRANSIT < now)
    }
}

/// Removes the requests that have ended.
fn remove_finished(running: &mut BinaryHeap<Reverse<Duration>>, now: Duration) {
    while running.peek().is_some_and(|end| end.0 <= now) {
        running.pop();
    }
}

/// Result of a simulation run.
#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    served: usize,
    sends: usize,
    /// Sends to a server during its pause.
    sends_during_pause: usize,
}

impl Outcome {
    /// Ratio of served requests to the pool's capacity.
    fn utilization(&self) -> f64 {
        self.served as f64 * LOAD_FACTOR / self.requests as f64
    }
}

/// Simulates a pool whose entries follow the given policy.
fn simulate(policy: Policy) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut views: Vec<Vec<ServerView>> =
        (0..ENTRIES).map(|_| (0..SERVERS).map(|_| ServerView::default()).collect()).collect();
    let mut running = vec![BinaryHeap::new(); SERVERS];
    let mut outcome = Outcome::default();
    let mut now = Duration::from_secs(1);
    while now < SIMULATED_TIME {
        let load = LOAD_FACTOR * (SERVERS * SLOTS) as f64 / SERVICE_TIME.as_secs_f64();
        now += Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() / load);
        outcome.requests += 1;
        let views = &mut views[rng.random_range(0..ENTRIES)];
        for _ in 0..MAX_SENDS {
            let with_availability =
                |(i, view): (usize, &mut ServerView)| (i, view.availability(policy, now));
            let mut usable: Vec<_> = views.iter_mut().enumerate().map(with_availability).collect();
            retain_first_tier(&mut usable);
            if usable.is_empty() {
                break;
            }
            let (chosen, _) = usable[rng.random_range(0..usable.len())];
            let (view, running) = (&mut views[chosen], &mut running[chosen]);
            outcome.sends += 1;
            outcome.sends_during_pause += usize::from(view.is_send_during_pause(now));
            remove_finished(running, now);
            if running.len() < SLOTS {
                running.push(Reverse(now + SERVICE_TIME));
                view.note_answer(now);
                outcome.served += 1;
                break;
            }
            view.note_rejection(now);
        }
    }
    outcome
}

#[test]
fn send_windows_use_an_overloaded_pool_without_retry_amplification() {
    let ejection = simulate(Policy::Ejection);
    let pauses = simulate(Policy::Pauses);
    let windows = simulate(Policy::Windows);

    for (name, outcome) in [("ejection", &ejection), ("pauses", &pauses), ("windows", &windows)] {
        println!("{name}: {outcome:?}, utilization {:.3}", outcome.utilization());
    }
    assert!(ejection.sends_during_pause > 0);
    assert_eq!((pauses.sends_during_pause, windows.sends_during_pause), (0, 0));
    assert!(windows.sends < windows.requests, "more sends than requests");
    assert!(windows.utilization() > 0.8, "{windows:?}");
    assert!(windows.utilization() > 2.0 * pauses.utilization(), "{pauses:?}");
}

#[test]
fn a_send_window_expires_30_s_after_the_last_rejection() {
    let mut window = SendWindow::default();
    let now = Duration::from_secs(1);
    assert!(window.allows_another(1_000, now));

    window.record_rejection(10, now);

    assert!(window.allows_another(8, now));
    assert!(!window.allows_another(9, now));
    (0..160).for_each(|_| window.record_answer());
    assert!(window.allows_another(9, now), "the window did not grow with the answers");
    assert!(!window.allows_another(100, now + Duration::from_secs(29)));
    assert!(window.allows_another(100, now + Duration::from_secs(30)));
}
