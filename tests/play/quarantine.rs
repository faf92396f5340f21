//! A pool that receives a request which crashes every server that runs it, with and without the quarantine.

use std::{collections::HashSet, time::Duration};

use mintmoor::{
    policy::quarantine::{Note, Quarantine, QuarantineStatus, Suspect},
    routing::Fingerprint,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The request that crashes servers.
/// The request with this fingerprint.
const fn request(number: u128) -> Suspect {
    Suspect::Request(Fingerprint(number))
}

const CRASHING: Suspect = request(0);
/// Time step of the simulation.
const STEP_MS: u64 = 10;
const SIMULATED_MS: u64 = 30_000;
/// The crashing request arrives from the first to the second of these times, every third.
const CRASHING_ARRIVALS_MS: (u64, u64, u64) = (5_000, 20_000, 300);
/// Time from sending a request until it runs, and from running the crashing request until the server crashes.
const QUEUE_MS: u64 = 200;
const CRASH_AFTER_MS: u64 = 100;
/// Time from a server's crash until it is up again.
const RESTART_MS: u64 = 3_000;
/// Time until all entries know of a crash: a few heartbeats.
const REPORT_DELAY_MS: u64 = 300;
/// Maximum number of sends per request.
const MAX_SENDS: u32 = 3;

/// A request at a server.
struct RunningRequest {
    suspect: Suspect,
    server: usize,
    /// When it completes or crashes its server.
    ends_at: u64,
    sends: u32,
}

/// A server of the pool.
struct Server {
    incarnation: u64,
    /// When it is up again after a crash.
    up_at: u64,
}

/// Result of a simulation run; `requests` and `served` do not count the crashing request.
#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    served: usize,
    crashes: u64,
    /// Requests refused by the quarantine although they crash no server.
    refused_innocent: usize,
}

impl Outcome {
    fn served_ratio(&self) -> f64 {
        self.served as f64 / self.requests as f64
    }
}

/// State of a simulation run.
struct Pool {
    servers: Vec<Server>,
    running: Vec<RunningRequest>,
    quarantine: Quarantine,
    /// Reports of crashes that are still on their way to the entries, with the time of their delivery.
    reports: Vec<(u64, Note)>,
    has_quarantine: bool,
    outcome: Outcome,
    rng: ChaCha8Rng,
}

/// Time of the production code for a time of the simulation.
fn at(ms: u64) -> Duration {
    Duration::from_millis(1_000_000 + ms)
}

impl Pool {
    fn status(&self, suspect: Suspect, now: u64) -> QuarantineStatus {
        if !self.has_quarantine {
            return QuarantineStatus::Free;
        }
        self.quarantine.status(&suspect, at(now))
    }

    /// Sends a request to a server, unless it is refused, has used up its sends, or no server is up.
    fn send(&mut self, suspect: Suspect, sends: u32, now: u64) {
        if matches!(self.status(suspect, now), QuarantineStatus::Refused { .. }) {
            self.outcome.refused_innocent += usize::from(suspect != CRASHING);
            return;
        }
        let up: Vec<usize> =
            (0..self.servers.len()).filter(|s| self.servers[*s].up_at <= now).collect();
        if up.is_empty() || sends == MAX_SENDS {
            return;
        }
        let server = match self.status(suspect, now) {
            // Suspects are placed by a hash of their own. Any hash does for the simulation.
            QuarantineStatus::Suspect => {
                up[(suspect.to_bits() as usize * 7 + sends as usize) % up.len()]
            }
            _ => up[self.rng.random_range(0..up.len())],
        };
        let duration = if suspect == CRASHING { QUEUE_MS + CRASH_AFTER_MS } else { 1_000 };
        self.running.push(RunningRequest {
            suspect,
            server,
            ends_at: now + duration,
            sends: sends + 1,
        });
    }

    /// Crashes a server: reports its requests to the quarantine and sends them again.
    fn crash(&mut self, server: usize, now: u64) {
        self.outcome.crashes += 1;
        let incarnation = self.servers[server].incarnation;
        let (interrupted, elsewhere) = std::mem::take(&mut self.running)
            .into_iter()
            .partition::<Vec<_>, _>(|running| running.server == server);
        self.running = elsewhere;
        for RunningRequest { suspect, .. } in &interrupted {
            let note = Note::End { suspect: *suspect, incarnation, at: at(now) };
            self.reports.push((now + REPORT_DELAY_MS, note));
        }
        self.servers[server] = Server { incarnation: incarnation + 1_000, up_at: now + RESTART_MS };
        for RunningRequest { suspect, sends, .. } in interrupted {
            self.send(suspect, sends, now);
        }
    }

    /// Delivers due reports, crashes servers that run the crashing request, and completes requests.
    fn step(&mut self, now: u64) {
        let (due, later) =
            std::mem::take(&mut self.reports).into_iter().partition(|report| report.0 <= now);
        self.reports = later;
        let due: Vec<(u64, Note)> = due;
        for (_, note) in due {
            self.quarantine.add(note, at(now));
        }
        let is_crashing_now = |r: &&RunningRequest| r.suspect == CRASHING && r.ends_at <= now;
        let crashing_servers: HashSet<usize> =
            self.running.iter().filter(is_crashing_now).map(|r| r.server).collect();
        crashing_servers.into_iter().for_each(|server| self.crash(server, now));
        let before = self.running.len();
        self.running.retain(|running| running.ends_at > now);
        self.outcome.served += before - self.running.len();
    }
}

/// Simulates a pool under one seed, with or without the quarantine.
fn simulate(servers: usize, has_quarantine: bool, seed: u64) -> Outcome {
    let mut pool = Pool {
        servers: (0..servers).map(|i| Server { incarnation: i as u64, up_at: 0 }).collect(),
        running: Vec::new(),
        quarantine: Quarantine::default(),
        reports: Vec::new(),
        has_quarantine,
        outcome: Outcome::default(),
        rng: ChaCha8Rng::seed_from_u64(seed),
    };
    let mut next = 1;
    for now in (0..SIMULATED_MS).step_by(STEP_MS as usize) {
        pool.step(now);
        // Seven new requests per second and server.
        if pool.rng.random_range(0.0..1.0) < servers as f64 * 0.07 && now < SIMULATED_MS - 5_000 {
            pool.outcome.requests += 1;
            pool.send(request(next), 0, now);
            next += 1;
        }
        let (from, to, every) = CRASHING_ARRIVALS_MS;
        if from <= now && now < to && now % every == 0 {
            pool.send(CRASHING, 0, now);
        }
    }
    pool.outcome
}

/// Measured with nine servers and five seeds: without the quarantine 45 crashes in 15 s, and 0.33 to 0.35 of the
/// other requests are served; with it 5 or 6 crashes, and at least 0.996 are served.
#[test]
fn quarantine_keeps_other_requests_served_while_one_request_crashes_servers() {
    for seed in 0..5 {
        let (without, with) = (simulate(9, false, seed), simulate(9, true, seed));
        println!(
            "without {without:?} {:.3}\nwith {with:?} {:.3}",
            without.served_ratio(),
            with.served_ratio()
        );

        assert!(with.crashes <= 7 && with.crashes * 4 < without.crashes);
        assert!(with.served_ratio() >= 0.95 && with.served_ratio() > without.served_ratio());
        assert!(with.refused_innocent <= 1, "{} innocent requests refused", with.refused_innocent);
    }
}
