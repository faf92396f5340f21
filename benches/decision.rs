//! One routing decision at growing pools: `cargo bench --bench decision`.

use std::collections::BTreeMap;

use divan::{Bencher, black_box};
use mintmoor::{
    load::slopes::decide_once,
    policy::{choice::Pool, roll_out::takes_new_version},
    resources::{Guard, RollOut, RollOutState},
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

/// Version of a new session, then a server out of that version's pool.
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
