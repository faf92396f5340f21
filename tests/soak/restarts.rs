//! Starts of an entry while its addresses can't be bound yet: its former process is still in its grace, or something
//! else uses them.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::{
    net::TcpListener,
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{
    process::{Entry, GRACE_S},
    record::{DisruptionKind, DisruptionSpan},
    system::System,
};

/// Seeds with this remainder by [`SEED_INTERVAL`] have none; seeds that failed once are among them, and keep their
/// conditions.
const SEED_REMAINDER: u64 = 3;
const SEED_INTERVAL: u64 = 7;
/// Time after which a former process that was asked to stop has to be gone: its grace, and time to exit.
const MAX_STOP: Duration = Duration::from_millis((GRACE_S * 1e3) as u64 + 2_000);
/// Longest time for which the addresses are used by something else, in milliseconds.
const MAX_OCCUPIED_MS: u64 = 1_200;

/// Restarts one entry in series, until `duration` is over. Draws from a generator of its own, so that the disruptions
/// under a seed stay the same. Returns what went wrong.
pub async fn run(system: &Arc<System>, seed: u64, duration: Duration) -> Vec<String> {
    let mut violations = Vec::new();
    if seed % SEED_INTERVAL == SEED_REMAINDER {
        return violations;
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(32));
    let number = rng.random_range(0..system.entries.len());
    let until = Instant::now() + duration;
    while Instant::now() < until {
        let mut entry = system.entries[number].lock().await;
        let span = DisruptionSpan {
            entry: Some(number),
            kind: DisruptionKind::Planned,
            interrupts_process: true,
            from: Instant::now(),
            to: Instant::now() + Duration::from_secs(3_600),
        };
        let disruption = system.record.begin_disruption(span);
        match rng.random_range(0..2) {
            0 => replace_during_grace(&mut entry, &mut rng).await,
            _ => start_on_occupied_addresses(&mut entry, &mut rng).await,
        }
        if entry.has_exited() {
            violations.push(format!("entry {number} exited while it waited for its addresses"));
            entry.respawn().await;
        }
        system.record.end_disruption(disruption);
        drop(entry);
        sleep(Duration::from_millis(rng.random_range(50..400))).await;
    }
    violations
}

/// Starts successors while the former process is in its grace; all but the last are asked to stop again at once.
async fn replace_during_grace(entry: &mut Entry, rng: &mut impl Rng) {
    entry.signal(Signal::TERM);
    let former = entry.take_process();
    for _ in 0..rng.random_range(0..3) {
        entry.spawn();
        sleep(Duration::from_millis(rng.random_range(0..200))).await;
        entry.signal(Signal::TERM);
        entry.wait().await;
    }
    entry.spawn();
    if let Some(mut former) = former {
        let ended = timeout(MAX_STOP, former.wait()).await;
        ended.expect("the former process outlived its grace").unwrap();
    }
    entry.wait_until_listening().await;
}

/// Starts the process while some of its addresses are used by something that closes each connection unread.
async fn start_on_occupied_addresses(entry: &mut Entry, rng: &mut impl Rng) {
    entry.signal(Signal::TERM);
    entry.wait().await;
    let mut occupants = JoinSet::new();
    for address in entry.addresses() {
        if rng.random_range(0..2) == 0 {
            let listener = TcpListener::bind(address).await.unwrap();
            occupants.spawn(async move { while listener.accept().await.is_ok() {} });
        }
    }
    entry.spawn();
    sleep(Duration::from_millis(rng.random_range(0..MAX_OCCUPIED_MS))).await;
    occupants.shutdown().await;
    entry.wait_until_listening().await;
}
