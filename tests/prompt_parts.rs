//! The quarantine of prompt parts that crash servers, on simulated time.

use std::{collections::HashMap, time::Duration};

use mintmoor::{
    policy::quarantine::{
        AnsweredParts, IncarnationHash, Note, PART_REFUSED_AFTER, Quarantine, QuarantineStatus,
        Suspect,
    },
    routing::{Fingerprint, PartId},
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;

const CRASHING: Suspect = Suspect::Part(0xbad);
/// A part that all requests have.
const COMMON: Suspect = Suspect::Part(0xc0);
/// A part that few requests have.
const RARE: Suspect = Suspect::Part(0x5b);
const START: Duration = Duration::from_secs(1_000);

fn ms(ms: u64) -> Duration {
    START + Duration::from_millis(ms)
}

fn request(number: u128) -> Suspect {
    Suspect::Request(Fingerprint((1 << 100) + number))
}

fn end(suspect: Suspect, incarnation: IncarnationHash, at_ms: u64) -> Note {
    Note::End { suspect, incarnation, at: ms(at_ms) }
}

/// Ends of servers, numbered from `first`, 300 ms apart, with these suspects present at each.
fn ends(suspects: &[Suspect], first: u64, count: u64) -> Vec<Note> {
    let numbers = first..first + count;
    numbers.flat_map(|i| suspects.iter().map(move |s| end(*s, i, i * 300))).collect()
}

fn quarantine_of(notes: impl IntoIterator<Item = Note>) -> Quarantine {
    let mut quarantine = Quarantine::default();
    quarantine.add_all(notes, START);
    quarantine
}

const ENOUGH: u64 = PART_REFUSED_AFTER as u64;

#[test]
fn a_part_is_refused_from_the_fourth_end_on() {
    assert!(!quarantine_of(ends(&[CRASHING], 0, ENOUGH - 1)).is_refused(&CRASHING));
    assert!(quarantine_of(ends(&[CRASHING], 0, ENOUGH)).is_refused(&CRASHING));
}

#[test]
fn a_common_part_that_was_answered_before_is_not_refused_beside_the_crashing_one() {
    let notes = ends(&[CRASHING, COMMON], 0, 6);

    let quarantine = quarantine_of(notes.into_iter().chain([Note::Answered { suspect: COMMON }]));

    assert!(quarantine.is_refused(&CRASHING));
    assert!(!quarantine.is_refused(&COMMON));
}

#[test]
fn parts_that_are_always_together_are_refused_until_one_is_answered() {
    let mut quarantine = quarantine_of(ends(&[CRASHING, RARE], 0, ENOUGH));
    assert!(quarantine.is_refused(&CRASHING) && quarantine.is_refused(&RARE));
    let status = quarantine.status(&RARE, ms(10_000));
    assert_eq!(status, QuarantineStatus::Refused { trial_in: Some(Duration::ZERO) }, "no trial");

    quarantine.add_all(quarantine.clearing_notes(RARE), ms(10_000));

    assert!(quarantine.is_refused(&CRASHING) && !quarantine.is_refused(&RARE));
}

#[test]
fn a_rack_that_fails_refuses_no_part() {
    let notes = (0..20).map(|i| end(COMMON, i, i * 4));

    assert!(!quarantine_of(notes).is_refused(&COMMON));
}

#[test]
fn a_part_that_was_answered_before_is_refused_if_it_is_at_all_ends_for_seconds() {
    let answered = [Note::Answered { suspect: CRASHING }];
    let of = |ends: Vec<Note>| quarantine_of(ends.into_iter().chain(answered));

    assert!(!of(ends(&[CRASHING], 0, 15)).is_refused(&CRASHING), "ends over 4.2 s");
    let all: Vec<Note> = (0..10).map(|i| end(CRASHING, i, i * 1_000)).collect();
    assert!(of(all.clone()).is_refused(&CRASHING), "ends over 9 s");
    let elsewhere = (0..3).map(|i| end(RARE, 100 + i, i * 2_000 + 500));
    assert!(!of(all.into_iter().chain(elsewhere).collect()).is_refused(&CRASHING));
}

#[test]
fn an_answer_between_the_ends_keeps_a_part_in_service() {
    let mut quarantine = Quarantine::default();
    for i in 0..30 {
        quarantine.add_all(ends(&[COMMON], i, 1), ms(i * 300));
        if i % 3 == 2 {
            quarantine.add_all(quarantine.clearing_notes(COMMON), ms(i * 300 + 100));
        }
        assert!(!quarantine.is_refused(&COMMON), "after end {i}");
    }
}

#[test]
fn requests_whose_ends_a_refused_part_explains_are_not_refused() {
    let mut quarantine = quarantine_of(ends(&[CRASHING], 0, ENOUGH));
    quarantine.add_all(ends(&[request(1)], 0, 3), START);
    assert!(!quarantine.is_refused(&request(1)));

    quarantine.add_all(ends(&[request(1)], 20, 1), START);

    assert!(quarantine.is_refused(&request(1)), "it was at an end without the part as well");
}

/// Guards against a crashing request that goes on beside a crashing part, which explains all of its ends (soak seed
/// 6101): without an answer it is tried before it is sent to everyone's servers again.
#[test]
fn a_request_without_an_answer_is_tried_first_though_a_part_explains_its_four_ends() {
    let mut quarantine = quarantine_of(ends(&[CRASHING], 0, 6));
    quarantine.add_all(ends(&[request(1)], 1, 4), START);
    let last_end = ms(4 * 300);

    let status = quarantine.status(&request(1), last_end);
    let QuarantineStatus::Refused { trial_in: Some(trial_in) } = status else {
        panic!("{status:?}");
    };
    assert!(trial_in <= Duration::from_millis(2_500), "{trial_in:?}");

    quarantine.add(Note::Answered { suspect: request(1) }, last_end);
    assert!(!quarantine.is_refused(&request(1)));
}

#[test]
fn a_request_that_crashes_servers_by_itself_is_refused_before_its_parts() {
    let quarantine = quarantine_of(ends(&[request(1), RARE], 0, 3));

    assert!(quarantine.is_refused(&request(1)) && !quarantine.is_refused(&RARE));
}

/// The operator may be wrong: servers end under the part again.
#[test]
fn a_released_part_that_still_crashes_servers_is_refused_at_the_fourth_end_again() {
    let mut quarantine = quarantine_of(ends(&[CRASHING], 0, ENOUGH));
    quarantine.add_all(quarantine.clearing_notes(CRASHING), ms(5_000));
    assert!(!quarantine.is_refused(&CRASHING));

    quarantine.add_all(ends(&[CRASHING], 20, ENOUGH), ms(10_000));

    assert!(quarantine.is_refused(&CRASHING));
}

/// A trial by a request that has another strong suspect would be used up for nothing.
#[test]
fn a_trial_is_made_without_other_strong_suspects() {
    let both = ends(&[COMMON], 0, 9);
    let mut quarantine = quarantine_of(both.into_iter().chain(ends(&[CRASHING], 0, 6)));
    assert!(quarantine.is_refused(&COMMON) && !quarantine.is_refused(&CRASHING));

    assert!(!quarantine.is_trial_conclusive(&[request(1), COMMON, CRASHING]));
    assert!(quarantine.is_trial_conclusive(&[request(1), COMMON, RARE]));

    quarantine.add_all(quarantine.clearing_notes(COMMON), ms(4_000));
    assert!(quarantine.is_refused(&CRASHING), "the common part does not explain its ends");
}

#[test]
fn three_trials_are_made_at_most() {
    for is_answered in [false, true] {
        let answered = is_answered.then_some(Note::Answered { suspect: CRASHING });
        let mut quarantine = quarantine_of(ends(&[CRASHING], 0, 16).into_iter().chain(answered));
        quarantine.add_all((16..26).map(|i| end(CRASHING, i, i * 1_000)), START);
        let mut trials = 0;
        for second in 0..24 * 60 * 60 {
            let now = ms(second * 1_000);
            let is_due = QuarantineStatus::Refused { trial_in: Some(Duration::ZERO) };
            if quarantine.status(&CRASHING, now) == is_due {
                quarantine.begin_trial(&CRASHING, now).unwrap();
                quarantine
                    .add(Note::End { suspect: CRASHING, incarnation: 100 + second, at: now }, now);
                trials += 1;
            }
        }
        assert!((2..=3).contains(&trials), "{trials} trials, answered before: {is_answered}");
    }
}

/// Guards against notes that circulate between entries forever: each took an end that it had forgotten for a new one.
#[test]
fn an_end_older_than_all_that_are_remembered_is_not_new() {
    let mut quarantine = quarantine_of(ends(&[COMMON], 1, 40));

    assert!(!quarantine.add(end(COMMON, 0, 0), START));
}

#[test]
fn answered_parts_are_bounded_and_expire() {
    let mut answered = AnsweredParts::default();
    for part in 0..20_000 {
        answered.record(part, ms(part));
    }
    let known = (0..20_000).filter(|part| answered.last(*part, ms(20_000)).is_some()).count();

    assert!((2_000..=4_096).contains(&known), "{known}");
    assert!(answered.last(19_999, ms(20_000)).is_some());
    assert!(answered.last(19_999, ms(3_600_000)).is_none());
}

fn any_note() -> impl Strategy<Value = Note> {
    let suspect = prop_oneof![(1u64..5).prop_map(Suspect::Part), (1u128..4).prop_map(request),];
    let about = (suspect.clone(), 0u64..12);
    prop_oneof![
        // An incarnation ends once, so the time is derived from it.
        8 => about.clone().prop_map(|(suspect, i)| end(suspect, i, i * 130)),
        1 => about.prop_map(|(suspect, incarnation)| Note::Cleared { suspect, incarnation }),
        1 => suspect.prop_map(|suspect| Note::Answered { suspect }),
    ]
}

proptest! {
    /// Notes arrive late, repeatedly and in any order.
    #[test]
    fn the_order_of_the_notes_does_not_matter(
        notes in proptest::collection::vec(any_note(), 0..80),
        seed in any::<u64>(),
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut others: Vec<Note> = notes.iter().chain(&notes).copied().collect();
        others.shuffle(&mut rng);

        let (one, other) = (quarantine_of(notes), quarantine_of(others));

        let suspects = (1..5).map(Suspect::Part).chain((1..4).map(request));
        for suspect in suspects {
            prop_assert_eq!(one.is_refused(&suspect), other.is_refused(&suspect), "{}", suspect);
        }
    }
}

proptest! {
    /// The verdict is left as it is where notes can't change it. A far later end brings it up to date in any case.
    #[test]
    fn a_verdict_is_never_outdated(notes in proptest::collection::vec(any_note(), 0..80)) {
        let mut quarantine = Quarantine::default();
        for note in notes {
            quarantine.add(note, START);

            let mut judged = quarantine.clone();
            judged.add(end(request(99), 99, 100_000_000), START);
            for suspect in (1..5).map(Suspect::Part).chain((1..4).map(request)) {
                let (is_refused, expected) =
                    (quarantine.is_refused(&suspect), judged.is_refused(&suspect));
                prop_assert_eq!(is_refused, expected, "{}", suspect);
            }
        }
    }
}

/// A request at a server.
struct Running {
    suspects: Vec<Suspect>,
    server: usize,
    ends_at: u64,
    sends: u32,
    is_crashing: bool,
}

/// What crashes servers in a simulation run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// One part that all crashing requests have.
    Part,
    /// Something of each request itself; its other parts are shared.
    Request,
    /// Nothing in the requests.
    Rack,
}

/// Counts of a simulation run; refusals are those of sound requests.
#[derive(Debug, Default)]
struct Outcome {
    crashes: usize,
    sound: usize,
    refused: usize,
    refused_late: usize,
}

const STEP_MS: u64 = 10;
const SIMULATED_MS: u64 = 40_000;
/// When crashes begin and end.
const CRASHING_MS: std::ops::Range<u64> = 5_000..25_000;
const RESTART_MS: u64 = 4_000;
/// Time until a note is known at all entries.
const REPORT_MS: u64 = 200;

/// Begins the trial of a request's refused suspects if it is due for all of them.
fn begin_trial(quarantine: &mut Quarantine, suspects: &[Suspect], now: Duration) -> bool {
    let is_due = |suspect: &Suspect| {
        let due = QuarantineStatus::Refused { trial_in: Some(Duration::ZERO) };
        quarantine.status(suspect, now) == due
    };
    let refused: Vec<Suspect> =
        suspects.iter().copied().filter(|suspect| quarantine.is_refused(suspect)).collect();
    if refused.is_empty()
        || !refused.iter().all(is_due)
        || !quarantine.is_trial_conclusive(suspects)
    {
        return false;
    }
    for suspect in &refused {
        quarantine.begin_trial(suspect, now).unwrap();
    }
    true
}

/// Nine servers behind entries that know of each note a moment later.
struct Pool {
    cause: Cause,
    rng: ChaCha8Rng,
    quarantine: Quarantine,
    answered: AnsweredParts,
    up_at: [u64; 9],
    incarnation: [IncarnationHash; 9],
    running: Vec<Running>,
    /// Notes that are not known yet, each with the time when it will be.
    reports: Vec<(u64, Note)>,
    outcome: Outcome,
    arrived: u128,
}

impl Pool {
    fn new(cause: Cause, seed: u64) -> Self {
        Self {
            cause,
            rng: ChaCha8Rng::seed_from_u64(seed),
            quarantine: Quarantine::default(),
            answered: AnsweredParts::default(),
            up_at: [0; 9],
            incarnation: std::array::from_fn(|i| i as u64),
            running: Vec::new(),
            reports: Vec::new(),
            outcome: Outcome::default(),
            arrived: 0,
        }
    }

    /// The request that arrives now, if any, and whether it crashes servers. Sound ones arrive forty times a second,
    /// with a common part and one of thirty subjects.
    fn arrival(&mut self, now: u64) -> Option<(Vec<Suspect>, bool)> {
        self.arrived += 1;
        let own = request(self.arrived);
        let (a, b) = (self.rng.random_range(0..30), self.rng.random_range(0..30));
        let subject = Suspect::Part(100 + a * b / 29);
        let is_crashing =
            CRASHING_MS.contains(&now) && self.cause != Cause::Rack && now.is_multiple_of(600);
        match (is_crashing, self.cause) {
            (true, Cause::Part) => Some((vec![own, COMMON, CRASHING, subject], true)),
            (true, _) => Some((vec![own, COMMON, subject], true)),
            _ if self.rng.random_range(0..10) < 4 => {
                self.outcome.sound += 1;
                Some((vec![own, COMMON, subject], false))
            }
            _ => None,
        }
    }

    /// The servers that crash now.
    fn crashing_servers(&self, now: u64) -> Vec<usize> {
        let loses_rack =
            self.cause == Cause::Rack && CRASHING_MS.contains(&now) && now.is_multiple_of(5_000);
        let crashes = |server: &usize| {
            let runs = |r: &Running| r.server == *server && r.is_crashing && r.ends_at <= now;
            self.running.iter().any(runs)
                || (loses_rack && *server < 6 && self.up_at[*server] <= now)
        };
        (0..9).filter(crashes).collect()
    }

    /// Crashes a server and returns what was running there.
    fn crash(&mut self, server: usize, now: u64) -> Vec<Running> {
        self.outcome.crashes += 1;
        self.up_at[server] = now + RESTART_MS;
        let incarnation = std::mem::replace(&mut self.incarnation[server], 0);
        self.incarnation[server] = incarnation + 100;
        let lost: Vec<Running> = self.running.extract_if(.., |r| r.server == server).collect();
        for suspect in lost.iter().flat_map(|request| &request.suspects).copied() {
            self.reports.push((now + REPORT_MS, Note::End { suspect, incarnation, at: ms(now) }));
            if let Suspect::Part(part) = suspect
                && self.answered.last(part, ms(now)).is_some()
            {
                self.reports.push((now + REPORT_MS, Note::Answered { suspect }));
            }
        }
        lost
    }

    /// Completes the requests whose time has come.
    fn complete(&mut self, now: u64) {
        for request in self.running.extract_if(.., |r| r.ends_at <= now) {
            for suspect in request.suspects.iter().filter(|_| request.sends == 1) {
                if let Suspect::Part(part) = suspect {
                    self.answered.record(*part, ms(now));
                }
                let notes = self.quarantine.answer_notes(*suspect).into_iter();
                self.reports.extend(notes.map(|note| (now + REPORT_MS, note)));
            }
        }
    }

    /// Sends a request to a server, unless it is refused, has used up its sends, or no server is up.
    fn send(&mut self, suspects: Vec<Suspect>, is_crashing: bool, sent: u32, now: u64) {
        let is_trial = begin_trial(&mut self.quarantine, &suspects, ms(now));
        if !is_trial && suspects.iter().any(|suspect| self.quarantine.is_refused(suspect)) {
            let is_late = now > CRASHING_MS.end + 3_000;
            self.outcome.refused += usize::from(!is_crashing);
            self.outcome.refused_late += usize::from(!is_crashing && is_late);
            return;
        }
        let up: Vec<usize> = (0..9).filter(|server| self.up_at[*server] <= now).collect();
        if up.is_empty() || sent == 3 {
            return;
        }
        let server = match self.quarantine.placing_suspect(&suspects) {
            Some(suspect) => up[suspect.to_bits() as usize % up.len()],
            None => up[self.rng.random_range(0..up.len())],
        };
        let duration = if is_crashing { 150 } else { self.rng.random_range(300..4_000) };
        let ends_at = now + duration;
        self.running.push(Running { suspects, server, ends_at, sends: sent + 1, is_crashing });
    }

    fn step(&mut self, now: u64) {
        let due = self.reports.extract_if(.., |(at, _)| *at <= now).map(|(_, note)| note);
        self.quarantine.add_all(due, ms(now));
        let arrival = self.arrival(now);
        let servers = self.crashing_servers(now);
        let lost: Vec<Running> = servers.into_iter().flat_map(|s| self.crash(s, now)).collect();
        self.complete(now);
        if let Some((suspects, is_crashing)) = arrival {
            self.send(suspects, is_crashing, 0, now);
        }
        for Running { suspects, is_crashing, sends, .. } in lost {
            self.send(suspects, is_crashing, sends, now);
        }
    }
}

fn simulate(cause: Cause, seed: u64) -> Outcome {
    let mut pool = Pool::new(cause, seed);
    (0..SIMULATED_MS).step_by(STEP_MS as usize).for_each(|now| pool.step(now));
    pool.outcome
}

#[test]
fn a_crashing_part_is_told_apart_from_the_parts_beside_it() {
    for seed in 0..20 {
        let outcome = simulate(Cause::Part, seed);
        println!("{seed}: {outcome:?}");

        assert!((4..=8).contains(&outcome.crashes), "{outcome:?}");
        assert!(outcome.refused * 100 <= outcome.sound, "{outcome:?}");
    }
}

#[test]
fn parts_stay_in_service_while_servers_crash_for_another_reason() {
    for cause in [Cause::Request, Cause::Rack] {
        for seed in 0..20 {
            let outcome = simulate(cause, seed);
            println!("{cause:?} {seed}: {outcome:?}");

            assert!(outcome.crashes >= 20, "{outcome:?}");
            assert!(outcome.refused * 10 <= outcome.sound, "{cause:?}: {outcome:?}");
            assert!(outcome.refused_late * 50 <= outcome.sound, "{cause:?}: {outcome:?}");
        }
    }
}

/// Entries of a fleet that learn of each note in different orders agree on what is refused.
#[test]
fn all_entries_refuse_the_same_parts() {
    for (entries, seed) in [(3, 1), (30, 2), (103, 3), (385, 4)] {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut notes = ends(&[CRASHING, COMMON], 0, 5);
        notes.extend(ends(&[RARE], 1, 2));
        notes.push(Note::Answered { suspect: COMMON });
        notes.extend((0..4).map(|incarnation| Note::Cleared { suspect: COMMON, incarnation }));
        let mut refused: HashMap<PartId, usize> = HashMap::new();
        for _ in 0..entries {
            notes.shuffle(&mut rng);
            let quarantine = quarantine_of(notes.iter().copied());
            for suspect in [CRASHING, COMMON, RARE] {
                let Suspect::Part(part) = suspect else { unreachable!() };
                *refused.entry(part).or_default() += usize::from(quarantine.is_refused(&suspect));
            }
        }
        assert_eq!([refused[&0xbad], refused[&0xc0], refused[&0x5b]], [entries, 0, 0]);
    }
}
