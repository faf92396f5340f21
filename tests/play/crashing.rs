//! A pool under a request that ends every server that begins to run it: what other callers get, with what
//! ended servers remembered, and without.

use std::{collections::HashSet, time::Duration};

use mintmoor::{
    policy::quarantine::{Note, Quarantine, QuarantineStatus},
    routing::Fingerprint,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const GUILTY: Fingerprint = Fingerprint(0);
/// Step of the play, milliseconds.
const STEP: u64 = 10;
const LASTS: u64 = 30_000;
/// The guilty request comes each 0.3 s, from 5 s to 20 s.
const INSISTS: (u64, u64, u64) = (5_000, 20_000, 300);
/// From being sent to running, and from running to the server's end.
const WAITS: u64 = 200;
const ENDS_AFTER: u64 = 100;
/// From its end until a server is back.
const DOWN: u64 = 3_000;
/// Time until all entries know of an end; a few heartbeats.
const NEWS: u64 = 300;
/// Servers that a request is sent to at most.
const MOST_SENDS: u32 = 3;

struct Running {
    fingerprint: Fingerprint,
    server: usize,
    /// When it ends by itself, or ends its server.
    until: u64,
    sends: u32,
}

struct Server {
    life: u64,
    back_at: u64,
}

/// What became of the play.
#[derive(Debug, Default)]
struct Outcome {
    asked: usize,
    served: usize,
    ends: u64,
    /// Innocent requests that were refused.
    refused: usize,
}

impl Outcome {
    fn share(&self) -> f64 {
        self.served as f64 / self.asked as f64
    }
}

struct Pool {
    servers: Vec<Server>,
    running: Vec<Running>,
    quarantine: Quarantine,
    /// Ends that not all entries know of yet.
    news: Vec<(u64, Note)>,
    remembers: bool,
    outcome: Outcome,
    rng: ChaCha8Rng,
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(1_000_000 + ms)
}

impl Pool {
    fn standing(&self, fingerprint: Fingerprint, now: u64) -> QuarantineStatus {
        if !self.remembers {
            return QuarantineStatus::Free;
        }
        self.quarantine.status(&fingerprint, at(now))
    }

    /// Sends a request to a server, if it is not refused and one is up.
    fn send(&mut self, fingerprint: Fingerprint, sends: u32, now: u64) {
        if matches!(self.standing(fingerprint, now), QuarantineStatus::Refused { .. }) {
            self.outcome.refused += usize::from(fingerprint != GUILTY);
            return;
        }
        let up: Vec<usize> =
            (0..self.servers.len()).filter(|s| self.servers[*s].back_at <= now).collect();
        if up.is_empty() || sends == MOST_SENDS {
            return;
        }
        let server = match self.standing(fingerprint, now) {
            // By a hash of its own; any will do here.
            QuarantineStatus::Suspect => {
                up[(fingerprint.0 as usize * 7 + sends as usize) % up.len()]
            }
            _ => up[self.rng.random_range(0..up.len())],
        };
        let lasts = if fingerprint == GUILTY { WAITS + ENDS_AFTER } else { 1_000 };
        self.running.push(Running { fingerprint, server, until: now + lasts, sends: sends + 1 });
    }

    fn end(&mut self, server: usize, now: u64) {
        self.outcome.ends += 1;
        let life = self.servers[server].life;
        let (here, elsewhere) = std::mem::take(&mut self.running)
            .into_iter()
            .partition::<Vec<_>, _>(|running| running.server == server);
        self.running = elsewhere;
        for Running { fingerprint, .. } in &here {
            let note = Note::End { fingerprint: *fingerprint, incarnation: life, at: at(now) };
            self.news.push((now + NEWS, note));
        }
        self.servers[server] = Server { life: life + 1_000, back_at: now + DOWN };
        for Running { fingerprint, sends, .. } in here {
            self.send(fingerprint, sends, now);
        }
    }

    fn step(&mut self, now: u64) {
        let (heard, later) = std::mem::take(&mut self.news).into_iter().partition(|n| n.0 <= now);
        self.news = later;
        let heard: Vec<(u64, Note)> = heard;
        for (_, note) in heard {
            self.quarantine.add(note, at(now));
        }
        let guilty = |r: &&Running| r.fingerprint == GUILTY && r.until <= now;
        let ending: HashSet<usize> = self.running.iter().filter(guilty).map(|r| r.server).collect();
        ending.into_iter().for_each(|server| self.end(server, now));
        let before = self.running.len();
        self.running.retain(|running| running.until > now);
        self.outcome.served += before - self.running.len();
    }
}

fn play(servers: usize, remembers: bool, seed: u64) -> Outcome {
    let mut pool = Pool {
        servers: (0..servers).map(|i| Server { life: i as u64, back_at: 0 }).collect(),
        running: Vec::new(),
        quarantine: Quarantine::default(),
        news: Vec::new(),
        remembers,
        outcome: Outcome::default(),
        rng: ChaCha8Rng::seed_from_u64(seed),
    };
    let mut next = 1;
    for now in (0..LASTS).step_by(STEP as usize) {
        pool.step(now);
        // Seven new requests a second for each server.
        if pool.rng.random_range(0.0..1.0) < servers as f64 * 0.07 && now < LASTS - 5_000 {
            pool.outcome.asked += 1;
            pool.send(Fingerprint(next), 0, now);
            next += 1;
        }
        let (from, to, every) = INSISTS;
        if from <= now && now < to && now % every == 0 {
            pool.send(GUILTY, 0, now);
        }
    }
    pool.outcome
}

/// Nine servers, five seeds: without a memory of what ended them 45 ends in 15 s, and 0.33 to 0.35 of the other
/// requests served; with it 5 or 6 ends, and 0.996 and more served.
#[test]
fn others_are_served_beside_a_request_that_ends_servers() {
    for seed in 0..5 {
        let (without, with) = (play(9, false, seed), play(9, true, seed));
        println!("without {without:?} {:.3}\nwith {with:?} {:.3}", without.share(), with.share());

        assert!(with.ends <= 7 && with.ends * 4 < without.ends);
        assert!(with.share() >= 0.95 && with.share() > without.share());
        assert!(with.refused <= 1, "{} innocent requests refused", with.refused);
    }
}
