//! Which requests are refused because servers end under them: the decision alone, with time handed in.

use std::{collections::HashSet, time::Duration};

use mintmoor::{
    policy::quarantine::{IncarnationHash, Note, Quarantine, QuarantineStatus, REFUSED_AFTER},
    routing::Fingerprint,
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;

const GUILTY: Fingerprint = Fingerprint(1);
const START: Duration = Duration::from_secs(1_000);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn end(fingerprint: Fingerprint, incarnation: IncarnationHash, at_ms: u64) -> Note {
    Note::End { fingerprint, incarnation, at: START + ms(at_ms) }
}

fn with(notes: impl IntoIterator<Item = Note>) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for note in notes {
        quarantine.add(note, START);
    }
    quarantine
}

fn is_refused(quarantine: &Quarantine, fingerprint: Fingerprint) -> bool {
    let standing = quarantine.status(&fingerprint, START + ms(60_000));
    matches!(standing, QuarantineStatus::Refused { .. })
}

#[test]
fn a_request_is_refused_from_the_third_end_on() {
    let ends: Vec<Note> = (0..3).map(|i| end(GUILTY, i, i * 1_000)).collect();

    assert_eq!(with([]).status(&GUILTY, START), QuarantineStatus::Free);
    assert_eq!(with(ends[..2].to_vec()).status(&GUILTY, START), QuarantineStatus::Suspect);
    assert!(is_refused(&with(ends), GUILTY));
}

#[test]
fn one_end_told_by_many_counts_once() {
    let ends = (0..20).map(|i| end(GUILTY, 7, i * 1_000));

    assert_eq!(with(ends).status(&GUILTY, START), QuarantineStatus::Suspect);
}

#[test]
fn a_whole_answer_clears_it_for_good() {
    let mut quarantine = with((0..3).map(|i| end(GUILTY, i, i * 1_000)));

    for note in quarantine.clearing_notes(GUILTY) {
        assert!(quarantine.add(note, START));
    }

    assert_eq!(quarantine.status(&GUILTY, START), QuarantineStatus::Free);
    assert!(
        !quarantine.add(end(GUILTY, 2, 2_000), START),
        "told once more by one who has not heard"
    );
    assert_eq!(quarantine.status(&GUILTY, START), QuarantineStatus::Free);
}

/// A server was back and ended again before the list told of its next life; each end was seen by an entry that
/// had not heard of the other one.
#[test]
fn two_lives_under_one_listing_are_told_apart_whoever_tells_first() {
    let lives = |quarantine: &Quarantine| {
        let cases = quarantine.cases(false, START + ms(3_000));
        cases[0].ends.iter().map(|(incarnation, _)| *incarnation).collect::<Vec<_>>()
    };
    let case = |quarantine: &Quarantine| quarantine.cases(false, START + ms(3_000))[0].clone();
    let mut first = with([end(GUILTY, 7, 0)]);
    let mut second = with([end(GUILTY, 7, 1_500)]);

    let of_first = case(&first);
    assert!(second.merge_case(&of_first, ms(10), START));
    let of_second = case(&second);
    assert!(first.merge_case(&of_second, ms(10), START));

    assert_eq!(lives(&first).len(), 2);
    assert_eq!(lives(&first), lives(&second));
    assert!(!second.merge_case(&case(&first), ms(10), START), "both know the same");
}

/// Five servers of a rack end at once, and a request that many callers send ran on four of them.
#[test]
fn a_racks_loss_is_one_event_for_what_ran_on_some_of_it() {
    let popular = (0..4).map(|incarnation| end(Fingerprint(2), incarnation, incarnation * 20));
    let other = end(Fingerprint(3), 4, 50);

    let quarantine = with(popular.chain([other]));

    assert_eq!(quarantine.status(&Fingerprint(2), START), QuarantineStatus::Suspect);
}

/// The same request under way three times ends three servers at once, and no other server ends.
#[test]
fn three_servers_that_end_at_once_under_one_request_alone_count_three() {
    let quarantine = with((0..3).map(|incarnation| end(GUILTY, incarnation, incarnation * 20)));

    assert!(is_refused(&quarantine, GUILTY));
}

/// Two requests that end servers at the same time don't cover each other up for long.
#[test]
fn two_that_end_servers_meanwhile_are_both_found() {
    let mut quarantine = Quarantine::default();
    let mut ends = 0;
    for incarnation in 0.. {
        let fingerprint = Fingerprint(u128::from(incarnation % 2));
        quarantine.add(end(fingerprint, incarnation, incarnation * 100), START);
        ends += 1;
        if is_refused(&quarantine, Fingerprint(0)) && is_refused(&quarantine, Fingerprint(1)) {
            break;
        }
        assert!(incarnation < 20, "never");
    }

    assert!(ends <= 14, "{ends} ends, six at least");
}

#[test]
fn trials_are_two_and_further_and_further_apart() {
    let mut quarantine = with((0..3).map(|i| end(GUILTY, i, i)));
    let trial_in = |quarantine: &Quarantine, now| match quarantine.status(&GUILTY, now) {
        QuarantineStatus::Refused { trial_in } => trial_in,
        standing => panic!("{standing:?}"),
    };

    let first = trial_in(&quarantine, START).unwrap();
    assert!(first > Duration::from_secs(60), "nobody else was there");
    let tried_at = START + first;
    quarantine.begin_trial(&GUILTY, tried_at).unwrap();
    let second = trial_in(&quarantine, tried_at).unwrap();
    quarantine.begin_trial(&GUILTY, tried_at + second).unwrap();

    assert!(second >= 4 * first);
    assert_eq!(trial_in(&quarantine, tried_at + second), None);
}

/// One that many callers send was wherever the guilty one was, and nothing tells them apart but a trial.
#[test]
fn a_request_that_may_be_innocent_is_tried_soon() {
    let popular = Fingerprint(2);
    let both = (0..3).flat_map(|i| [end(GUILTY, i, i * 400), end(popular, i, i * 400)]);
    let mut quarantine = with(both);
    let trial_in = |quarantine: &Quarantine, now| match quarantine.status(&popular, now) {
        QuarantineStatus::Refused { trial_in } => trial_in.unwrap(),
        standing => panic!("{standing:?}"),
    };

    let first = trial_in(&quarantine, START + ms(800));
    assert!(first <= Duration::from_millis(2_500));
    let tried_at = START + ms(800) + first;
    quarantine.begin_trial(&popular, tried_at).unwrap();

    assert!(trial_in(&quarantine, tried_at) > Duration::from_secs(60));
}

/// It was answered whole a moment ago, and its connections broke at servers that had ended before, which nobody could
/// see: no other request was at those ends.
#[test]
fn so_is_one_that_servers_have_answered_whole() {
    let popular = Fingerprint(2);
    let mut quarantine = with([end(popular, 1, 0)]);
    for note in quarantine.clearing_notes(popular) {
        quarantine.add(note, START + ms(500));
    }

    for (incarnation, at_ms) in [(2, 1_000), (3, 1_400), (4, 1_800)] {
        quarantine.add(end(popular, incarnation, at_ms), START + ms(at_ms));
    }

    let standing = quarantine.status(&popular, START + ms(1_800));
    let QuarantineStatus::Refused { trial_in: Some(trial_in) } = standing else {
        panic!("{standing:?}");
    };
    assert!(trial_in <= ms(2_500), "{trial_in:?}");
}

#[test]
fn a_trial_that_another_entry_made_is_known_from_the_store() {
    let mut here = with((0..3).map(|i| end(GUILTY, i, i)));
    let mut there = with((0..3).map(|i| end(GUILTY, i, i)));
    let case = here.begin_trial(&GUILTY, START + ms(400_000)).unwrap();

    assert!(there.merge_case(&case, Duration::ZERO, START));
    assert!(!there.merge_case(&case, Duration::ZERO, START), "it is no news any more");

    let now = START + ms(400_000);
    assert_eq!(here.status(&GUILTY, now), there.status(&GUILTY, now));
}

#[test]
fn what_is_known_is_bounded_and_the_refused_are_forgotten_last() {
    let mut quarantine = with((0..3).map(|i| end(GUILTY, i, i)));

    for i in 0..10_000u64 {
        let innocent = Fingerprint(u128::from(i) + 100);
        quarantine.add(end(innocent, 1_000 + i, 10_000 + i), START + ms(10_000 + i));
    }

    assert!(is_refused(&quarantine, GUILTY));
    assert!(quarantine.cases(false, START).len() <= 4_096);
}

#[test]
fn what_is_old_is_forgotten() {
    let mut quarantine = with([end(GUILTY, 1, 0)]);

    assert!(!quarantine.expire(START + Duration::from_secs(60)));
    assert!(quarantine.expire(START + Duration::from_secs(2 * 60 * 60)));
    assert!(quarantine.is_empty());
}

fn any_note() -> impl Strategy<Value = Note> {
    // A life ends once: its time follows from it.
    let about = (0u128..4, 0u64..8);
    prop_oneof![
        4 => about.clone().prop_map(|(f, incarnation)| end(Fingerprint(f), incarnation, incarnation * 150)),
        1 => about.prop_map(|(f, incarnation)| Note::Cleared { fingerprint: Fingerprint(f), incarnation }),
    ]
}

fn standings(quarantine: &Quarantine) -> Vec<QuarantineStatus> {
    (0..4).map(|f| quarantine.status(&Fingerprint(f), START + ms(60_000))).collect()
}

proptest! {
    /// Notes come late, twice, and in any order.
    #[test]
    fn the_order_of_the_news_does_not_matter(
        notes in proptest::collection::vec(any_note(), 0..40),
        seed in any::<u64>(),
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut others: Vec<Note> = notes.iter().chain(&notes).copied().collect();
        others.shuffle(&mut rng);

        let (one, other) = (with(notes), with(others));

        // The time of an end that was annulled first is that of the news, and counts nowhere.
        prop_assert_eq!(standings(&one), standings(&other));
    }
}

/// Entries that tell the seeds what is new to them, and seeds that tell it to all; each takes an end for some
/// milliseconds later than whoever told it.
struct Fleet {
    entries: Vec<Quarantine>,
    /// Notes that each entry has yet to tell.
    news: Vec<Vec<Note>>,
    told: usize,
}

const SEEDS: usize = 3;

impl Fleet {
    fn of(entries: usize) -> Self {
        Self {
            entries: vec![Quarantine::default(); entries],
            news: vec![Vec::new(); entries],
            told: 0,
        }
    }

    fn see(&mut self, entry: usize, note: Note) {
        if self.entries[entry].add(note, START) {
            self.news[entry].push(note);
        }
    }

    /// Everybody tells what is new; whether anybody had something.
    fn exchange_notes(&mut self, rng: &mut ChaCha8Rng) -> bool {
        let news: Vec<Vec<Note>> = self.news.iter_mut().map(std::mem::take).collect();
        for (from, notes) in news.iter().enumerate() {
            let listeners = if from < SEEDS { self.entries.len() } else { SEEDS };
            for to in (0..listeners).filter(|to| *to != from) {
                for note in notes {
                    self.told += 1;
                    self.see(to, later(*note, rng.random_range(0..900)));
                }
            }
        }
        news.iter().any(|notes| !notes.is_empty())
    }
}

fn later(note: Note, by_ms: u64) -> Note {
    match note {
        Note::End { fingerprint, incarnation, at } => {
            Note::End { fingerprint, incarnation, at: at + ms(by_ms) }
        }
        annulled => annulled,
    }
}

/// News that each entry takes for newer than the one before would go round without end, as many a second as
/// links bear.
#[test]
fn what_entries_tell_each_other_comes_to_rest_with_all_of_one_mind() {
    for (entries, seed) in [(3, 1), (17, 2), (103, 3), (360, 4)] {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Fleet::of(entries);
        for i in 0..12 {
            let entry = rng.random_range(0..entries);
            fleet.see(entry, end(Fingerprint(u128::from(i % 3)), i, 2_000 * i));
        }
        while fleet.exchange_notes(&mut rng) {}
        let clearing = rng.random_range(0..entries);
        for note in fleet.entries[clearing].clearing_notes(Fingerprint(0)) {
            fleet.see(clearing, note);
        }

        let mut rounds = 0;
        while fleet.exchange_notes(&mut rng) {
            rounds += 1;
            assert!(rounds < 5, "it never comes to rest");
        }

        let free = |q: &Quarantine| q.status(&Fingerprint(0), START) == QuarantineStatus::Free;
        let refused = |q: &Quarantine| (1..3).all(|f| is_refused(q, Fingerprint(f)));
        assert!(fleet.entries.iter().all(|q| free(q) && refused(q)), "{entries} entries");
        // Each note crosses each link between a seed and an entry twice at most.
        assert!(fleet.told <= 2 * 16 * SEEDS * entries, "{} told", fleet.told);
    }
}

/// A pool under one guilty request, beside innocent ones that go on elsewhere when a server ends: how often the
/// guilty one is sent, and how many innocent ones are refused.
fn play(servers: usize, beside: usize, seed: u64) -> (usize, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut quarantine = Quarantine::default();
    let mut at: Vec<usize> = (0..beside * servers).map(|i| i % servers).collect();
    let (mut incarnation, mut sent, mut now) = (0, 0, 0);
    while !is_refused(&quarantine, GUILTY) {
        let ends = rng.random_range(0..servers);
        quarantine.add(end(GUILTY, incarnation, now), START);
        for (i, server) in at.iter_mut().enumerate().filter(|(_, server)| **server == ends) {
            let innocent = Fingerprint(100 + i as u128);
            quarantine.add(end(innocent, incarnation, now), START);
            // Suspects are placed by a hash of their own.
            *server = (ends + rng.random_range(1..servers)) % servers;
        }
        (incarnation, sent, now) = (incarnation + 1, sent + 1, now + 400);
    }
    let innocents = 100..100 + at.len() as u128;
    let refused = innocents.filter(|f| is_refused(&quarantine, Fingerprint(*f))).count();
    (sent, refused)
}

#[test]
fn the_guilty_is_told_from_what_runs_beside_it() {
    for (servers, beside) in [(3, 10), (9, 10), (160, 16)] {
        let played: Vec<_> = (0..100).map(|seed| play(servers, beside, seed)).collect();
        let most_sent = played.iter().map(|(sent, _)| *sent).max().unwrap();
        let refused: usize = played.iter().map(|(_, refused)| *refused).sum();
        let innocents = 100 * servers * beside;

        println!("{servers} servers: {refused} of {innocents} innocent requests refused");
        assert_eq!(most_sent, REFUSED_AFTER);
        // One of the ten at an end is at the next one too where there are nine servers.
        let share = refused as f64 / innocents as f64;
        assert!(share <= 1.5 / (servers * servers) as f64, "{share}");
    }
}

/// What an Organisation sends is never taken for what another one sent.
#[test]
fn fingerprints_tell_apart_what_differs_in_anything_that_matters() {
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
    assert_eq!(tries[0], tries[1], "another id is the same work");
}

mod fixture {
    use http::{HeaderMap, Method};
    use mintmoor::{
        platform::headers::read_request,
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
        let head = read_request(&Method::POST, &path.parse().unwrap(), &headers).unwrap();
        let organisation =
            Organisation { name: organisation.into(), priority: None, homes: Vec::new() };
        Fingerprint::of(&Request { head, body: body.into() }, Some(&organisation))
    }
}
