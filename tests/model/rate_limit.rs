//! A server that advertises a limit: two entries that learn it from its answers and inform each other.

use std::{collections::BTreeSet, time::Duration};

use mintmoor::policy::{
    known_limit::{KnownLimit, LimitReport},
    place::Place,
    rate_limit::{AdvertisedLimit, allowance},
};

use crate::explore::{Found, Step, assert_found, assert_holds, explore};

const ENTRIES: usize = 2;
const MOST_WORDS: u8 = 3;
const MOST_KILLS: u8 = 1;
const MOST_LINK_LOSSES: u8 = 1;
/// Requests a second that the server may name.
const RATES: [u8; 2] = [1, 3];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    ShareIsNotDivided,
    EndIsNotTold,
    OldWordWins,
    LifeIsIgnored,
}

/// What is known of one life, or news of it: the life, the count of changes, and the rate.
type Word = (u8, u32, Option<u8>);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    /// What it knows of the lives it has heard of.
    known: BTreeSet<Word>,
    /// News on its way to the other one.
    untold: BTreeSet<Word>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    entries: [Entry; ENTRIES],
    /// What the server names.
    says: Option<u8>,
    life: u8,
    /// Limits that this life has named.
    named: BTreeSet<u8>,
    words: u8,
    kills: u8,
    link_losses: u8,
    wrong: Option<&'static str>,
}

fn start() -> State {
    let entry = Entry { known: BTreeSet::new(), untold: BTreeSet::new() };
    State {
        entries: [entry.clone(), entry],
        says: None,
        life: 0,
        named: BTreeSet::new(),
        words: 0,
        kills: 0,
        link_losses: 0,
        wrong: None,
    }
}

/// Production's belief about a life.
fn belief(entry: &Entry, life: u8, mutation: Mutation) -> KnownLimit {
    let mut belief = KnownLimit::default();
    let is_about = |of: u8| of == life || mutation == Mutation::LifeIsIgnored;
    for (of, change, rate) in &entry.known {
        if is_about(*of) {
            let news = LimitReport { changes: *change, repeats: 0, rate: rate.map(f64::from) };
            belief.merge(news, Duration::ZERO);
        }
    }
    belief
}

fn word(life: u8, news: LimitReport) -> Word {
    (life, news.changes, news.rate.map(|rate| rate as u8))
}

/// Puts what is known of a life in the place of what was.
fn put(entry: &mut Entry, word: Word) {
    entry.known.retain(|(life, ..)| *life != word.0);
    entry.known.insert(word);
}

/// An answer reaches an entry.
fn answer(state: &mut State, i: usize, mutation: Mutation) {
    let said =
        state.says.map_or(AdvertisedLimit::Nothing, |rate| AdvertisedLimit::Rate(f64::from(rate)));
    let mut belief = belief(&state.entries[i], state.life, mutation);
    let change = belief.record_answer(said, Duration::ZERO, Duration::ZERO);
    let (Some(_), Some(news)) = (change, belief.report()) else {
        return;
    };
    let word = word(state.life, news);
    put(&mut state.entries[i], word);
    if mutation != Mutation::EndIsNotTold || news.rate.is_some() {
        state.entries[i].untold.insert(word);
    }
}

/// News reaches an entry.
fn learn(entry: &mut Entry, (life, change, rate): Word, mutation: Mutation) {
    let news = LimitReport { changes: change, repeats: 0, rate: rate.map(f64::from) };
    let mut known = belief(entry, life, Mutation::None);
    let is_new = known.merge(news, Duration::ZERO).is_some();
    if is_new || mutation == Mutation::OldWordWins {
        put(entry, (life, change, rate));
    }
}

/// All news arrives.
fn settle(state: &mut State, mutation: Mutation) {
    for i in 0..ENTRIES {
        for word in std::mem::take(&mut state.entries[i].untold) {
            learn(&mut state.entries[1 - i], word, mutation);
        }
    }
}

fn rates(state: &State, mutation: Mutation) -> [Option<u8>; ENTRIES] {
    let rate = |entry| belief(entry, state.life, mutation).rate().map(|rate| rate as u8);
    [rate(&state.entries[0]), rate(&state.entries[1])]
}

/// Requests a second that all entries together may send under a limit.
fn sent(rate: u8, mutation: Mutation) -> f64 {
    let share = |rank: u32| {
        let place = match mutation {
            Mutation::ShareIsNotDivided => Place::ALONE,
            _ => Place { rank, entries: ENTRIES as u32 },
        };
        let allowance = allowance(f64::from(rate), place, 7);
        allowance.map_or(0.0, |a| f64::from(a.sends) / a.window.as_secs_f64())
    };
    (0..ENTRIES as u32).map(share).sum()
}

/// What is wrong in a state as it is.
fn judge(state: &State, mutation: Mutation) -> Option<&'static str> {
    let rates = rates(state, mutation);
    if rates.iter().flatten().any(|rate| !state.named.contains(rate)) {
        return Some("an entry believes a limit that this life never named");
    }
    if rates[0] == rates[1] && rates[0].is_some_and(|rate| sent(rate, mutation) > f64::from(rate)) {
        return Some("the entries together send more than the server takes");
    }
    for i in 0..ENTRIES {
        let mut after = state.clone();
        settle(&mut after, mutation);
        answer(&mut after, i, mutation);
        settle(&mut after, mutation);
        if self::rates(&after, mutation) != [state.says; ENTRIES] {
            return Some("an answer does not settle what entries believe");
        }
    }
    None
}

fn next(state: &State, mutation: Mutation) -> Vec<Step<State>> {
    let mut steps = Vec::new();
    if state.wrong.is_some() {
        return steps;
    }
    for i in 0..ENTRIES {
        let mut answered = state.clone();
        answer(&mut answered, i, mutation);
        steps.push(("an answer comes", answered));
        for word in &state.entries[i].untold {
            let mut told = state.clone();
            told.entries[i].untold.remove(word);
            learn(&mut told.entries[1 - i], *word, mutation);
            steps.push(("news arrives", told));
        }
        if state.kills < MOST_KILLS {
            let mut killed = state.clone();
            killed.kills += 1;
            killed.entries[i] = start().entries[i].clone();
            // The new link begins with all that is known.
            killed.entries[1 - i].untold = killed.entries[1 - i].known.clone();
            steps.push(("an entry starts again", killed));
        }
    }
    if state.link_losses < MOST_LINK_LOSSES {
        let mut lost = state.clone();
        lost.link_losses += 1;
        lost.entries.iter_mut().for_each(|entry| entry.untold = entry.known.clone());
        steps.push(("the link is lost", lost));
    }
    speak(state, &mut steps);
    for (_, next) in &mut steps {
        next.wrong = judge(next, mutation);
    }
    steps
}

/// The server names another limit, or none, or starts again.
fn speak(state: &State, steps: &mut Vec<Step<State>>) {
    if state.words == MOST_WORDS {
        return;
    }
    let others = RATES.iter().copied().map(Some).chain([None]);
    for says in others.filter(|says| *says != state.says) {
        let mut spoken = state.clone();
        (spoken.words, spoken.says) = (state.words + 1, says);
        spoken.named.extend(says);
        steps.push(("the server names another limit", spoken));
    }
    if state.life == 0 {
        let mut reborn = state.clone();
        (reborn.words, reborn.says, reborn.life) = (state.words + 1, None, 1);
        reborn.named.clear();
        steps.push(("the server starts again", reborn));
    }
}

fn run(mutation: Mutation) -> Found {
    explore(&start(), |state| next(state, mutation), |state| state.wrong)
}

#[test]
fn entries_agree_on_a_limit_and_keep_to_it() {
    assert_holds("rate limit", &run(Mutation::None), 1_000);
}

#[test]
fn every_mutation_of_the_rate_limit_is_found() {
    for mutation in [
        Mutation::ShareIsNotDivided,
        Mutation::EndIsNotTold,
        Mutation::OldWordWins,
        Mutation::LifeIsIgnored,
    ] {
        assert_found("rate limit", &format!("{mutation:?}"), &run(mutation));
    }
}
