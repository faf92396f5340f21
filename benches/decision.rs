//! Cost of a routing decision by the size of the pool: `cargo bench --bench decision`.

use std::{collections::BTreeMap, time::Duration};

use divan::{Bencher, black_box};
use mintmoor::{
    load::slopes::decide_once,
    policy::{
        availability::{self, Availability},
        choice::Pool,
        place::Place,
        placement::{Candidate, PlacementConfig, PlacementRequest, place},
        rate_limit::{SlidingWindowLog, allowance},
        roll_out::takes_new_version,
    },
    resources::{Guard, RollOut, RollOutState},
    router::Member,
    routing::BackendServer,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const VERSIONS: usize = 17;

fn main() {
    divan::main();
}

fn roll_out() -> RollOut {
    RollOut {
        model: "m".into(),
        from: "1".into(),
        to: "2".into(),
        steps: vec![0.2],
        step: 0,
        state: RollOutState::Running,
        guard: Guard::default(),
    }
}

/// Chooses the version of a new session, then a server from the pool of that version.
#[divan::bench(args = [20, 200, 2100])]
fn decide(bencher: Bencher, engines: usize) {
    let names: Vec<String> = (0..engines).map(|i| format!("host-{i}")).collect();
    let pools: BTreeMap<usize, Pool> = (0..VERSIONS)
        .map(|version| (version, Pool::new(names.iter().map(String::as_str))))
        .collect();
    let spec = roll_out();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut key = 0u64;
    bencher.bench_local(|| {
        key = key.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let session = format!("{key:016x}");
        let new = takes_new_version(&spec, &session, false);
        let version = (key as usize + usize::from(new)) % VERSIONS;
        black_box(decide_once(&pools[&version], &mut rng, key))
    });
}

/// Places an attempt on the users' platform: builds the candidates from the servers' records and chooses one.
#[divan::bench(args = [20, 200, 2_100])]
fn place_an_attempt(bencher: Bencher, servers: usize) {
    bench_placement(bencher, servers, |_| 1.0);
}

/// The same where one server in four takes half of the usual time.
#[divan::bench(args = [20, 200, 2_100])]
fn place_on_uneven_servers(bencher: Bencher, servers: usize) {
    bench_placement(bencher, servers, |i| if i % 4 == 0 { 0.55 } else { 1.2 });
}

fn bench_placement(bencher: Bencher, servers: usize, time_factor: impl Fn(usize) -> f64 + Sync) {
    let members: Vec<Member> = (0..servers)
        .map(|i| Member::new(backend_server(i), Duration::ZERO, Duration::ZERO))
        .collect();
    let config = PlacementConfig::default();
    let request = PlacementRequest {
        affinity: Some(7),
        shared_tokens: 5_000,
        prefill_token_time: Duration::from_micros(3),
        bytes: 12_000,
        request_hash: 0,
        unshared_tokens: 6_000,
    };
    let now = Duration::from_secs(60);
    let candidate = |(i, member): (usize, &Member)| Candidate {
        time_factor: time_factor(i),
        ..member.candidate("zone-3", &[], now)
    };
    bencher.bench(|| {
        let candidates: Vec<_> = members.iter().enumerate().map(candidate).collect();
        place(&candidates, &request, &config)
    });
}

/// Determines which servers are available, before a placement.
#[divan::bench(args = [20, 200, 2_100])]
fn check_availability(bencher: Bencher, servers: usize) {
    let members: Vec<Member> = (0..servers)
        .map(|i| Member::new(backend_server(i), Duration::ZERO, Duration::ZERO))
        .collect();
    let now = Duration::from_secs(60);
    bencher.bench(|| {
        let open = members
            .iter()
            .filter(|m| availability::decide(&m.signals(now), now) == Availability::Open);
        open.count()
    });
}

/// Determines which rate-limited servers this entry may send a request to, before a placement.
#[divan::bench(args = [20, 200, 2_100])]
fn open_limited_servers(bencher: Bencher, servers: usize) {
    let place = Place { rank: 17, entries: 360 };
    let hashes: Vec<u64> =
        (0..servers as u64).map(|i| i.wrapping_mul(0x9e37_79b9_7f4a_7c15)).collect();
    let logs = vec![SlidingWindowLog::default(); servers];
    let now = Duration::from_secs(60);
    bencher.bench(|| {
        let allowed = hashes.iter().zip(&logs).filter(|(server, log)| {
            let allowance = allowance(black_box(1.9), place, **server);
            allowance.is_some_and(|allowance| log.may_send(&allowance, now))
        });
        allowed.count()
    });
}

fn backend_server(i: usize) -> BackendServer {
    BackendServer {
        id: format!("i-{i}").into(),
        started_at: None,
        service: "llm".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: format!("zone-{}", i % 16).into(),
        version: "v1".into(),
        slots: 32,
        is_draining: false,
        remaining_cold_time: Duration::ZERO,
        sequence: 1,
        written_at: mintmoor::ids::StoreVersion::default(),
        models: vec!["small".into(), "large".into()],
    }
}
