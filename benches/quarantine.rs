//! Cost of the quarantine by the number of suspects and of ended servers: `cargo bench --bench quarantine`.

use std::time::Duration;

use divan::{Bencher, black_box};
use mintmoor::{
    policy::quarantine::{Case, Note, Quarantine, Suspect},
    routing::Fingerprint,
};

/// Suspects, and server ends: a pool crashes in part again and again, each time with what ran there.
const SIZES: [(usize, u64); 4] = [(64, 32), (512, 32), (4_096, 32), (4_096, 620)];
/// Number of cases in the store's row.
const ROW_CASES: usize = 192;
/// Servers that end in one event, and the time between events.
const SERVERS_PER_EVENT: u64 = 8;
const EVENT_INTERVAL_MS: u64 = 1_500;
const NOW: Duration = Duration::from_secs(2_000);

fn main() {
    divan::main();
}

fn suspect(number: usize) -> Suspect {
    let is_part = number.is_multiple_of(4);
    let part = Suspect::Part(number as u64 + 1);
    if is_part { part } else { Suspect::Request(Fingerprint((number as u128 + 1) << 64)) }
}

fn end(number: usize, incarnation: u64) -> Note {
    let event = incarnation / SERVERS_PER_EVENT;
    let at = Duration::from_secs(1_000)
        + Duration::from_millis(event * EVENT_INTERVAL_MS + incarnation % SERVERS_PER_EVENT);
    Note::End { suspect: suspect(number), incarnation, at }
}

/// A quarantine in which each suspect was present at one to five of the ends.
fn quarantine((suspects, ends): (usize, u64)) -> Quarantine {
    let mut quarantine = Quarantine::default();
    let presence =
        |number: usize| (0..=number as u64 % 5).map(move |i| (number as u64 * 7 + i * 13) % ends);
    let notes = (0..suspects)
        .flat_map(|number| presence(number).map(move |incarnation| end(number, incarnation)));
    quarantine.add_all(notes, NOW);
    quarantine
}

/// Merges notes into a quarantine that doesn't know them.
fn bench_notes(bencher: Bencher, quarantine: &Quarantine, notes: &[Note]) {
    bencher
        .with_inputs(|| quarantine.clone())
        .bench_local_refs(|quarantine| quarantine.add_all(notes.to_vec(), NOW));
}

/// A complete answer clears a suspect that many requests have.
#[divan::bench(args = SIZES)]
fn clear_by_answer(bencher: Bencher, size: (usize, u64)) {
    let quarantine = quarantine(size);
    let notes = quarantine.answer_notes(suspect(4));
    bench_notes(bencher, &quarantine, &notes);
}

/// A server ends on which eight suspects ran.
#[divan::bench(args = SIZES)]
fn record_end(bencher: Bencher, size: (usize, u64)) {
    let quarantine = quarantine(size);
    let notes: Vec<Note> = (0..8).map(|number| end(number, size.1 + 8)).collect();
    bench_notes(bencher, &quarantine, &notes);
}

/// A row of the store with cases that are all new.
#[divan::bench(args = SIZES)]
fn merge_new_row(bencher: Bencher, size: (usize, u64)) {
    let quarantine = quarantine(size);
    let cases = row(10_000, size.1);
    bencher
        .with_inputs(|| quarantine.clone())
        .bench_local_refs(|quarantine| merge(quarantine, &cases));
}

/// A row of the store with nothing new.
#[divan::bench(args = SIZES)]
fn merge_known_row(bencher: Bencher, size: (usize, u64)) {
    let mut quarantine = quarantine(size);
    let cases = row(0, size.1);
    merge(&mut quarantine, &cases);
    bencher.bench_local(|| merge(&mut quarantine, &cases));
}

fn row(first: usize, ends: u64) -> Vec<Case> {
    let case = |number: usize| {
        let ends = (0..4).map(|i| match end(number, (number as u64 * 7 + i * 13) % ends) {
            Note::End { incarnation, at, .. } => (incarnation, at),
            Note::Cleared { .. } | Note::Answered { .. } => unreachable!("`end` builds ends"),
        });
        let (suspect, trials, tried_at) = (suspect(number), 0, Duration::ZERO);
        Case { suspect, ends: ends.collect(), trials, tried_at }
    };
    (first..first + ROW_CASES).map(case).collect()
}

fn merge(quarantine: &mut Quarantine, cases: &[Case]) {
    black_box(quarantine.merge_cases(cases, Duration::from_millis(10), NOW));
}

/// A request with two suspects asks whether it may be sent.
#[divan::bench(args = SIZES)]
fn look_up(bencher: Bencher, size: (usize, u64)) {
    let quarantine = quarantine(size);
    bencher
        .bench_local(|| black_box([1, 4].map(|number| quarantine.status(&suspect(number), NOW))));
}
