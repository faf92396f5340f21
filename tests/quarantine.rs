//! The quarantine for requests that crash servers, on simulated time.

use std::{collections::HashSet, time::Duration};

use mintmoor::{
    policy::quarantine::{
        IncarnationHash, Note, Quarantine, QuarantineStatus, REFUSED_AFTER, Suspect,
    },
    routing::Fingerprint,
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;

/// The request with this fingerprint.
const fn request(number: u128) -> Suspect {
    Suspect::Request(Fingerprint(number))
}

const CRASHING: Suspect = request(1);
const START: Duration = Duration::from_secs(1_000);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn end(suspect: Suspect, incarnation: IncarnationHash, at_ms: u64) -> Note {
    Note::End { suspect, incarnation, at: START + ms(at_ms) }
}

fn quarantine_of(notes: impl IntoIterator<Item = Note>) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for note in notes {
        quarantine.add(note, START);
    }
    quarantine
}

fn is_refused(quarantine: &Quarantine, suspect: Suspect) -> bool {
    let status = quarantine.status(&suspect, START + ms(60_000));
    matches!(status, QuarantineStatus::Refused { .. })
}

#[test]
fn a_request_is_refused_from_the_third_end_on() {
    let ends: Vec<Note> = (0..3).map(|i| end(CRASHING, i, i * 1_000)).collect();

    assert_eq!(quarantine_of([]).status(&CRASHING, START), QuarantineStatus::Free);
    assert_eq!(
        quarantine_of(ends[..2].to_vec()).status(&CRASHING, START),
        QuarantineStatus::Suspect
    );
    assert!(is_refused(&quarantine_of(ends), CRASHING));
}

#[test]
fn one_end_reported_by_many_counts_once() {
    let ends = (0..20).map(|i| end(CRASHING, 7, i * 1_000));

    assert_eq!(quarantine_of(ends).status(&CRASHING, START), QuarantineStatus::Suspect);
}

#[test]
fn a_complete_answer_clears_a_request_for_good() {
    let mut quarantine = quarantine_of((0..3).map(|i| end(CRASHING, i, i * 1_000)));

    for note in quarantine.clearing_notes(CRASHING) {
        assert!(quarantine.add(note, START));
    }

    assert_eq!(quarantine.status(&CRASHING, START), QuarantineStatus::Free);
    assert!(
        !quarantine.add(end(CRASHING, 2, 2_000), START),
        "reported again by an entry that does not know of the answer"
    );
    assert_eq!(quarantine.status(&CRASHING, START), QuarantineStatus::Free);
}

/// A server restarted and ended again before the server list showed its next incarnation. Each end
/// was seen by an entry that did not know of the other one.
#[test]
fn two_incarnations_under_one_listing_are_distinguished_in_any_order() {
    let incarnations = |quarantine: &Quarantine| {
        let cases = quarantine.cases(false);
        cases[0].ends.iter().map(|(incarnation, _)| *incarnation).collect::<Vec<_>>()
    };
    let case = |quarantine: &Quarantine| quarantine.cases(false)[0].clone();
    let mut first = quarantine_of([end(CRASHING, 7, 0)]);
    let mut second = quarantine_of([end(CRASHING, 7, 1_500)]);

    let first_case = case(&first);
    assert!(second.merge_case(&first_case, ms(10), START));
    let second_case = case(&second);
    assert!(first.merge_case(&second_case, ms(10), START));

    assert_eq!(incarnations(&first).len(), 2);
    assert_eq!(incarnations(&first), incarnations(&second));
    assert!(!second.merge_case(&case(&first), ms(10), START), "both have the same records");
}

/// Five servers of a rack end at once, and a request that many callers send was running on four of
/// them.
#[test]
fn a_rack_failure_counts_once_for_a_request_on_some_of_its_servers() {
    let popular = (0..4).map(|incarnation| end(request(2), incarnation, incarnation * 20));
    let other = end(request(3), 4, 50);

    let quarantine = quarantine_of(popular.chain([other]));

    assert_eq!(quarantine.status(&request(2), START), QuarantineStatus::Suspect);
}

/// Three concurrent copies of a request end three servers at once, and no other server ends.
#[test]
fn simultaneous_ends_under_one_request_alone_count_separately() {
    let quarantine =
        quarantine_of((0..3).map(|incarnation| end(CRASHING, incarnation, incarnation * 20)));

    assert!(is_refused(&quarantine, CRASHING));
}

/// Two requests crash servers at the same time, so their ends may be counted as one event. Both
/// must still be refused after a limited number of ends.
#[test]
fn two_crashing_requests_at_the_same_time_are_both_refused() {
    let mut quarantine = Quarantine::default();
    let mut ends = 0;
    for incarnation in 0.. {
        let suspect = request(u128::from(incarnation % 2));
        quarantine.add(end(suspect, incarnation, incarnation * 100), START);
        ends += 1;
        if is_refused(&quarantine, request(0)) && is_refused(&quarantine, request(1)) {
            break;
        }
        assert!(incarnation < 20, "never");
    }

    assert!(ends <= 14, "{ends} ends, six at least");
}

#[test]
fn two_trials_follow_with_growing_delays() {
    let mut quarantine = quarantine_of((0..3).map(|i| end(CRASHING, i, i)));
    let trial_in = |quarantine: &Quarantine, now| match quarantine.status(&CRASHING, now) {
        QuarantineStatus::Refused { trial_in } => trial_in,
        status => panic!("{status:?}"),
    };

    let first = trial_in(&quarantine, START).unwrap();
    assert!(first > Duration::from_secs(60), "no other request was present");
    let tried_at = START + first;
    quarantine.begin_trial(&CRASHING, tried_at).unwrap();
    let second = trial_in(&quarantine, tried_at).unwrap();
    quarantine.begin_trial(&CRASHING, tried_at + second).unwrap();

    assert!(second >= 4 * first);
    assert_eq!(trial_in(&quarantine, tried_at + second), None);
}

/// A request that many callers send was running on every server that the crashing one ended. Only a
/// trial distinguishes the two.
#[test]
fn a_request_that_may_be_harmless_is_tried_early() {
    let popular = request(2);
    let both = (0..3).flat_map(|i| [end(CRASHING, i, i * 400), end(popular, i, i * 400)]);
    let mut quarantine = quarantine_of(both);
    let trial_in = |quarantine: &Quarantine, now| match quarantine.status(&popular, now) {
        QuarantineStatus::Refused { trial_in } => trial_in.unwrap(),
        status => panic!("{status:?}"),
    };

    let first = trial_in(&quarantine, START + ms(800));
    assert!(first <= Duration::from_millis(2_500));
    let tried_at = START + ms(800) + first;
    quarantine.begin_trial(&popular, tried_at).unwrap();

    assert!(trial_in(&quarantine, tried_at) > Duration::from_secs(60));
}

/// A harmless request was answered completely shortly before. Its connections then broke at servers
/// that had already ended unnoticed, so no other request was present at those ends.
#[test]
fn a_request_with_a_complete_answer_is_tried_early() {
    let popular = request(2);
    let mut quarantine = quarantine_of([end(popular, 1, 0)]);
    for note in quarantine.clearing_notes(popular) {
        quarantine.add(note, START + ms(500));
    }

    for (incarnation, at_ms) in [(2, 1_000), (3, 1_400), (4, 1_800)] {
        quarantine.add(end(popular, incarnation, at_ms), START + ms(at_ms));
    }

    let status = quarantine.status(&popular, START + ms(1_800));
    let QuarantineStatus::Refused { trial_in: Some(trial_in) } = status else {
        panic!("{status:?}");
    };
    assert!(trial_in <= ms(2_500), "{trial_in:?}");
}

/// Guards against a popular request that is refused beside several crashing ones (soak seed 5000).
#[test]
fn a_request_that_was_answered_before_is_refused_only_for_ends_that_no_other_explains() {
    let popular = request(2);
    let of = |f, first: u64| (first..first + 3).map(move |i| end(f, i, i * 1_000));
    let mut quarantine =
        quarantine_of(of(CRASHING, 0).chain(of(request(3), 3)).chain(of(popular, 1)));
    assert!(is_refused(&quarantine, popular), "it was never answered");

    quarantine.add(Note::Answered { suspect: popular }, START);
    assert!(!is_refused(&quarantine, popular));
    assert!(is_refused(&quarantine, CRASHING) && is_refused(&quarantine, request(3)));

    quarantine.add(end(popular, 10, 10_000), START);
    assert!(is_refused(&quarantine, popular), "a server ended under it alone");
}

/// Guards against a harmless request that stays refused: its early trial was used up by an earlier refusal.
#[test]
fn a_request_that_is_refused_again_after_an_answer_is_tried_early_again() {
    let mut quarantine = quarantine_of((0..3).map(|i| end(CRASHING, i, i * 1_000)));
    quarantine.begin_trial(&CRASHING, START + ms(4_000)).unwrap();
    quarantine.add_all(quarantine.clearing_notes(CRASHING), START + ms(4_500));

    quarantine.add_all((10..13).map(|i| end(CRASHING, i, i * 1_000)), START);

    let status = quarantine.status(&CRASHING, START + ms(15_000));
    assert_eq!(status, QuarantineStatus::Refused { trial_in: Some(Duration::ZERO) });
}

#[test]
fn a_trial_by_another_entry_is_learned_from_the_store() {
    let mut here = quarantine_of((0..3).map(|i| end(CRASHING, i, i)));
    let mut there = quarantine_of((0..3).map(|i| end(CRASHING, i, i)));
    let case = here.begin_trial(&CRASHING, START + ms(400_000)).unwrap();

    assert!(there.merge_case(&case, Duration::ZERO, START));
    assert!(!there.merge_case(&case, Duration::ZERO, START), "it is not new the second time");

    let now = START + ms(400_000);
    assert_eq!(here.status(&CRASHING, now), there.status(&CRASHING, now));
}

#[test]
fn records_are_bounded_and_refused_requests_are_evicted_last() {
    let mut quarantine = quarantine_of((0..3).map(|i| end(CRASHING, i, i)));

    for i in 0..10_000u64 {
        let harmless = request(u128::from(i) + 100);
        quarantine.add(end(harmless, 1_000 + i, 10_000 + i), START + ms(10_000 + i));
    }

    assert!(is_refused(&quarantine, CRASHING));
    assert!(quarantine.cases(false).len() <= 4_096);
}

/// A quarantine after a mass crash: eight suspects were present at each three ends of one event, too few events to refuse
/// them. A request that was present at three ends of its own is refused.
fn after_mass_crash(suspects: u64) -> Quarantine {
    let mut quarantine = Quarantine::default();
    let ends_of = |i: u64| {
        (0..3).map(move |end_of_event| {
            end(request(u128::from(i) + 100), 100 + 3 * (i / 8) + end_of_event, i / 8)
        })
    };
    quarantine.add_all((0..suspects).flat_map(ends_of), START);
    quarantine.add_all((0..3).map(|i| end(CRASHING, i, 60_000 + i * 1_000)), START);
    quarantine
}

/// Records that are examined by an operation on such a quarantine.
fn examined_by(suspects: u64, operation: impl Fn(&mut Quarantine)) -> u64 {
    let mut quarantine = after_mass_crash(suspects);
    let before = quarantine.records_examined();
    operation(&mut quarantine);
    quarantine.records_examined() - before
}

/// Guards against requests that wait while all known suspects are gone through for each of them (review/1).
#[track_caller]
fn assert_cost_does_not_grow(operation: impl Fn(&mut Quarantine)) {
    let [few, many] = [64, 3_200].map(|suspects| examined_by(suspects, &operation));

    assert!(many <= 2 * few.max(8), "{few} records examined among 64 suspects, {many} among 3,200");
}

#[test]
fn a_look_up_examines_no_more_records_when_more_suspects_are_known() {
    assert_cost_does_not_grow(|quarantine| assert!(is_refused(quarantine, CRASHING)));
}

#[test]
fn an_answer_examines_no_more_records_when_more_suspects_are_known() {
    assert_cost_does_not_grow(|quarantine| {
        let notes = quarantine.answer_notes(request(105));
        quarantine.add_all(notes, START + ms(70_000));
        assert_eq!(quarantine.status(&request(105), START), QuarantineStatus::Free);
    });
}

/// The store's row, which is compared after each change, holds refused suspects only.
#[test]
fn the_cases_of_the_row_examine_no_more_records_when_more_suspects_are_known() {
    assert_cost_does_not_grow(|quarantine| assert_eq!(quarantine.cases(true).len(), 1));
}

/// Guards against records that are all gone through at each change, to remove those that have expired (review/1).
#[test]
fn expiry_examines_no_records_before_the_first_one_expires() {
    let examined = examined_by(3_200, |quarantine| {
        for i in 0..100 {
            assert!(!quarantine.expire(START + ms(70_000 + i * 10)));
        }
    });

    assert!(examined <= 2 * 3_201, "{examined} records examined by 100 calls among 3,201");
}

/// A refused suspect is remembered for a day, and for an hour once it is no longer refused.
#[test]
fn a_suspect_that_is_no_longer_refused_expires_after_an_hour() {
    let mut quarantine = quarantine_of((0..3).map(|i| end(CRASHING, i, i * 1_000)));
    let hour = Duration::from_secs(60 * 60);
    assert!(!quarantine.expire(START + 2 * hour));

    let cleared = quarantine.clearing_notes(CRASHING);
    quarantine.add_all(cleared, START + 2 * hour);

    assert!(quarantine.expire(START + 2 * hour + ms(1)));
}

#[test]
fn old_records_expire() {
    let mut quarantine = quarantine_of([end(CRASHING, 1, 0)]);

    assert!(!quarantine.expire(START + Duration::from_secs(60)));
    assert!(quarantine.expire(START + Duration::from_secs(2 * 60 * 60)));
    assert!(quarantine.is_empty());
}

fn any_note() -> impl Strategy<Value = Note> {
    // An incarnation ends once, so the time is derived from it.
    let about = (0u128..4, 0u64..8);
    prop_oneof![
        4 => about
            .clone()
            .prop_map(|(f, incarnation)| end(request(f), incarnation, incarnation * 150)),
        1 => about
            .prop_map(|(f, incarnation)| Note::Cleared { suspect: request(f), incarnation }),
    ]
}

fn statuses(quarantine: &Quarantine) -> Vec<QuarantineStatus> {
    (0..4).map(|f| quarantine.status(&request(f), START + ms(60_000))).collect()
}

proptest! {
    /// Notes arrive late, repeatedly and in any order.
    #[test]
    fn the_order_of_the_notes_does_not_matter(
        notes in proptest::collection::vec(any_note(), 0..40),
        seed in any::<u64>(),
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut others: Vec<Note> = notes.iter().chain(&notes).copied().collect();
        others.shuffle(&mut rng);

        let (one, other) = (quarantine_of(notes), quarantine_of(others));

        // If the clearing note of an end arrives first, the end gets the time of that note, which
        // affects no status.
        prop_assert_eq!(statuses(&one), statuses(&other));
    }
}

/// Entries that send new notes to the seeds, and seeds that send them to all. Each receiver takes
/// an end for some milliseconds later than the sender does.
struct Fleet {
    entries: Vec<Quarantine>,
    /// Notes that each entry has not sent yet.
    pending: Vec<Vec<Note>>,
    sent: usize,
}

const SEEDS: usize = 3;

impl Fleet {
    fn of(entries: usize) -> Self {
        Self {
            entries: vec![Quarantine::default(); entries],
            pending: vec![Vec::new(); entries],
            sent: 0,
        }
    }

    fn observe(&mut self, entry: usize, note: Note) {
        if self.entries[entry].add(note, START) {
            self.pending[entry].push(note);
        }
    }

    /// Delivers all notes not sent yet and returns whether there were any.
    fn exchange_notes(&mut self, rng: &mut ChaCha8Rng) -> bool {
        let pending: Vec<Vec<Note>> = self.pending.iter_mut().map(std::mem::take).collect();
        for (from, notes) in pending.iter().enumerate() {
            let receivers = if from < SEEDS { self.entries.len() } else { SEEDS };
            for to in (0..receivers).filter(|to| *to != from) {
                for note in notes {
                    self.sent += 1;
                    self.observe(to, delayed(*note, rng.random_range(0..900)));
                }
            }
        }
        pending.iter().any(|notes| !notes.is_empty())
    }
}

fn delayed(note: Note, by_ms: u64) -> Note {
    match note {
        Note::End { suspect, incarnation, at } => {
            Note::End { suspect, incarnation, at: at + ms(by_ms) }
        }
        annulled => annulled,
    }
}

/// If each entry took a forwarded note for a new one, notes would circulate indefinitely at the
/// highest rate that the links allow.
#[test]
fn the_exchange_of_notes_converges_and_ends() {
    for (entries, seed) in [(3, 1), (17, 2), (103, 3), (360, 4)] {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Fleet::of(entries);
        for i in 0..12 {
            let entry = rng.random_range(0..entries);
            fleet.observe(entry, end(request(u128::from(i % 3)), i, 2_000 * i));
        }
        while fleet.exchange_notes(&mut rng) {}
        let clearing = rng.random_range(0..entries);
        for note in fleet.entries[clearing].clearing_notes(request(0)) {
            fleet.observe(clearing, note);
        }

        let mut rounds = 0;
        while fleet.exchange_notes(&mut rng) {
            rounds += 1;
            assert!(rounds < 5, "the exchange does not end");
        }

        let free = |q: &Quarantine| q.status(&request(0), START) == QuarantineStatus::Free;
        let refused = |q: &Quarantine| (1..3).all(|f| is_refused(q, request(f)));
        assert!(fleet.entries.iter().all(|q| free(q) && refused(q)), "{entries} entries");
        // Each note crosses each link between a seed and an entry twice at most.
        assert!(fleet.sent <= 2 * 16 * SEEDS * entries, "{} sent", fleet.sent);
    }
}

/// Simulates a pool with one crashing request and harmless ones that are retried on other servers
/// when a server ends. Returns how often the crashing request was sent and how many harmless ones
/// are refused.
fn simulate(servers: usize, harmless_per_server: usize, seed: u64) -> (usize, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut quarantine = Quarantine::default();
    let mut at: Vec<usize> = (0..harmless_per_server * servers).map(|i| i % servers).collect();
    let (mut incarnation, mut sent, mut now) = (0, 0, 0);
    while !is_refused(&quarantine, CRASHING) {
        let ends = rng.random_range(0..servers);
        quarantine.add(end(CRASHING, incarnation, now), START);
        for (i, server) in at.iter_mut().enumerate().filter(|(_, server)| **server == ends) {
            let harmless = request(100 + i as u128);
            quarantine.add(end(harmless, incarnation, now), START);
            // The server of a suspect is chosen by a hash of the suspect itself.
            *server = (ends + rng.random_range(1..servers)) % servers;
        }
        (incarnation, sent, now) = (incarnation + 1, sent + 1, now + 400);
    }
    let harmless = 100..100 + at.len() as u128;
    let refused = harmless.filter(|f| is_refused(&quarantine, request(*f))).count();
    (sent, refused)
}

#[test]
fn a_crashing_request_is_distinguished_from_harmless_ones() {
    for (servers, harmless_per_server) in [(3, 10), (9, 10), (160, 16)] {
        let runs: Vec<_> =
            (0..100).map(|seed| simulate(servers, harmless_per_server, seed)).collect();
        let most_sent = runs.iter().map(|(sent, _)| *sent).max().unwrap();
        let refused: usize = runs.iter().map(|(_, refused)| *refused).sum();
        let harmless = 100 * servers * harmless_per_server;

        println!("{servers} servers: {refused} of {harmless} harmless requests refused");
        assert_eq!(most_sent, REFUSED_AFTER);
        // With nine servers, about one of the ten harmless requests at an end is also present at
        // the next one.
        let share = refused as f64 / harmless as f64;
        assert!(share <= 1.5 / (servers * servers) as f64, "{share}");
    }
}

/// Requests of different Organisations must never share a fingerprint.
#[test]
fn fingerprints_differ_by_organisation_path_and_body() {
    let texts = ["a", "b", "ab", "a\0b", ""];
    let mut seen = HashSet::new();
    for organisation in texts {
        for path in ["/chat/a", "/chat/b", "/chat/a?x=1"] {
            for body in texts {
                seen.insert(fixture::fingerprint(organisation, path, body, "r-1"));
            }
        }
    }

    assert_eq!(seen.len(), texts.len() * 3 * texts.len());
    let tries = ["r-1", "r-2"].map(|id| fixture::fingerprint("a", "/chat/a", "b", id));
    assert_eq!(tries[0], tries[1], "another id is the same request");
}

mod fixture {
    use http::{HeaderMap, Method};
    use mintmoor::{
        platform::request_headers::parse_request_head,
        routing::{Fingerprint, Organisation, Request},
    };

    pub fn fingerprint(
        organisation: &str,
        path: &str,
        body: &'static str,
        id: &str,
    ) -> Fingerprint {
        let mut headers = HeaderMap::new();
        headers.insert("x-request-id", id.parse().unwrap());
        headers.insert("host", "h.example".parse().unwrap());
        let head = parse_request_head(&Method::POST, &path.parse().unwrap(), &headers).unwrap();
        let organisation = Organisation {
            name: organisation.into(),
            priority: None,
            permitted_regions: Vec::new(),
        };
        Fingerprint::of(&Request { head, body: body.into() }, Some(&organisation))
    }
}
