//! Which requests are refused because servers end under them.
//!
//! What ends a server may be a property of the work: a request whose prompt crashes whoever runs it comes
//! again under other ids, at any entry, and would end one server after the other (a "query of death" in
//! Beyer et al., Site Reliability Engineering, 2016, chapter 22; message queues set such "poison messages"
//! aside). So ends of servers are counted by what was at work there. One end shows little, since all that
//! ran there looks alike; what was there at three ends is refused. What a server answers whole is cleared.
//!
//! The notes of all entries are merged: in whatever order they come, and however often, the outcome is the
//! same (docs/decisions/0015).

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::routing::Fingerprint;

/// One incarnation of one server, hashed.
pub type IncarnationHash = u64;

/// Ends of servers at which a request has to have been at work to be refused. With two, a request beside
/// the guilty one is refused as soon as both are sent to the same server again.
pub const REFUSED_AFTER: usize = 3;
/// Ends within this time may have one cause, such as a rack's loss. They count as one for a request if a
/// server ended meanwhile where it was not; under a request that ends servers they are further apart, since
/// each has to be sent it and begin to run it.
const CORRELATION_WINDOW: Duration = Duration::from_millis(250);
/// Time within which all connections to a server that ends are seen to break, a busy Host included; servers
/// take a second or more to start again.
const DETECTION_WINDOW: Duration = Duration::from_millis(400);
/// Requests that are remembered, at most; 0.5 MB. A zone with 700 servers of four requests each fits.
const MAX_REQUESTS: usize = 4_096;
/// Ends remembered of one request; what it was at before no longer matters.
const MAX_ENDS_PER_REQUEST: usize = 16;
/// Time after the last end for which a request that is not refused is remembered: one that comes every few
/// minutes is still found.
const SUSPECT_TTL: Duration = Duration::from_secs(60 * 60);
/// The same for one that is refused.
const REFUSED_TTL: Duration = Duration::from_secs(24 * 60 * 60);
/// Time from the last end or trial to the next trial. A version that was repaired is rolled out in minutes.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(5 * 60);
const LAST_TRIAL_DELAY: Duration = Duration::from_secs(40 * 60);
/// Time to one more trial before these, where the request may be innocent, as another one was at all the same ends or
/// a server answered it whole before: one that many callers send was refused for minutes after it had been at three ends beside a
/// guilty one, half of an entry's requests in the soak.
const EARLY_TRIAL_DELAY: Duration = Duration::from_secs(1);
/// Time over which such trials are spread by fingerprint: two that ran beside each other would show nothing.
const EARLY_TRIAL_SPREAD: Duration = Duration::from_millis(1_500);

/// What is known of one request, as entries report it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Note {
    /// A server's incarnation ended while the request was at work there.
    End {
        /// The request.
        fingerprint: Fingerprint,
        /// The incarnation that ended.
        incarnation: IncarnationHash,
        /// When, on the clock of whoever holds the note.
        at: Duration,
    },
    /// That end speaks no longer against the request: a server answered it whole since, or an operator let it
    /// go. It names the end and not a time, which each entry would take for a little later than the one
    /// before, and pass on as news without end.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
        /// The incarnation that ended.
        incarnation: IncarnationHash,
    },
}

impl Note {
    /// The request it is about.
    pub fn fingerprint(&self) -> Fingerprint {
        let (Self::End { fingerprint, .. } | Self::Cleared { fingerprint, .. }) = self;
        *fingerprint
    }
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// Nothing speaks against it.
    Free,
    /// Servers ended under it, too few to refuse it.
    Suspect,
    /// It is refused.
    Refused {
        /// Time to its next trial; none where only an operator can let it go.
        trial_in: Option<Duration>,
    },
}

/// The end of a server under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct End {
    incarnation: IncarnationHash,
    at: Duration,
    is_cleared: bool,
}

/// What is known of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct RequestRecord {
    /// The earliest first.
    ends: Vec<End>,
    trials: u32,
    tried_at: Duration,
}

impl RequestRecord {
    /// Takes an end in; whether that is new.
    fn add_end(&mut self, incarnation: IncarnationHash, at: Duration, is_cleared: bool) -> bool {
        if let Some(end) = self.ends.iter_mut().find(|end| end.incarnation == incarnation) {
            let is_new = is_cleared && !end.is_cleared;
            end.is_cleared |= is_cleared;
            return is_new;
        }
        let place = self.ends.partition_point(|end| (end.at, end.incarnation) < (at, incarnation));
        self.ends.insert(place, End { incarnation, at, is_cleared });
        if self.ends.len() > MAX_ENDS_PER_REQUEST {
            self.ends.remove(0);
        }
        true
    }

    /// The ends that speak against it.
    fn counted_ends(&self) -> impl Iterator<Item = (IncarnationHash, Duration)> {
        self.ends.iter().filter(|end| !end.is_cleared).map(|end| (end.incarnation, end.at))
    }

    /// Whether an end was annulled: a server answered it whole, or an operator let it go.
    fn has_cleared_end(&self) -> bool {
        self.ends.iter().any(|end| end.is_cleared)
    }

    fn last_activity(&self) -> Duration {
        self.ends.last().map_or(Duration::ZERO, |end| end.at).max(self.tried_at)
    }

    fn was_at(&self, incarnation: IncarnationHash) -> bool {
        self.ends.iter().any(|end| end.incarnation == incarnation)
    }

    /// Whether it may be refused; the least that is known decides what is forgotten.
    fn is_refusable(&self) -> bool {
        self.counted_ends().count() >= REFUSED_AFTER
    }
}

/// The name of the incarnation after this one where the list shows neither.
fn next_incarnation(name: IncarnationHash, listed: IncarnationHash) -> IncarnationHash {
    xxh3_64_with_seed(&name.to_le_bytes(), listed)
}

/// A refused request, or one that is suspected, as it is kept in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Case {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Lives that ended under it and when.
    pub ends: Vec<(IncarnationHash, Duration)>,
    /// Trials made since.
    pub trials: u32,
    /// When the last of them began.
    pub tried_at: Duration,
}

/// All that is known of requests under which servers ended.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    requests: HashMap<Fingerprint, RequestRecord>,
    /// When each incarnation ended.
    ended_at: HashMap<IncarnationHash, Duration>,
}

impl Quarantine {
    /// Whether nothing at all is known.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Takes a note in; whether it says something new.
    pub fn add(&mut self, note: Note, now: Duration) -> bool {
        match note {
            Note::End { fingerprint, incarnation, at } => {
                self.evict_if_full(&fingerprint);
                let is_new =
                    self.requests.entry(fingerprint).or_default().add_end(incarnation, at, false);
                let ended_at = self.ended_at.entry(incarnation).or_insert(at);
                *ended_at = (*ended_at).min(at);
                is_new
            }
            Note::Cleared { fingerprint, incarnation } => {
                self.evict_if_full(&fingerprint);
                self.requests.entry(fingerprint).or_default().add_end(incarnation, now, true)
            }
        }
    }

    /// The name of an incarnation that ended now. A server may be back, and end again, before the list shows its next
    /// incarnation: an end that comes later than the one known is that of another incarnation.
    pub fn incarnation_of_end(&self, listed: IncarnationHash, now: Duration) -> IncarnationHash {
        let mut name = listed;
        while self.ended_at.get(&name).is_some_and(|at| *at + DETECTION_WINDOW < now) {
            name = next_incarnation(name, listed);
        }
        name
    }

    /// The name of an incarnation that ended at a time under this listing. The earliest has the listed name, whoever
    /// shows it first: those known that ended later move on to the next names.
    fn resolve_incarnation(&mut self, listed: IncarnationHash, at: Duration) -> IncarnationHash {
        let mut names = vec![listed];
        let mut times = Vec::new();
        while let Some(ended_at) = self.ended_at.get(&names[times.len()]) {
            times.push(*ended_at);
            names.push(next_incarnation(names[names.len() - 1], listed));
        }
        if let Some(same) =
            times.iter().position(|ended_at| ended_at.abs_diff(at) <= DETECTION_WINDOW)
        {
            return names[same];
        }
        let place = times.partition_point(|ended_at| *ended_at < at);
        for record in self.requests.values_mut() {
            for end in &mut record.ends {
                if let Some(i) =
                    names[place..times.len()].iter().position(|n| *n == end.incarnation)
                {
                    end.incarnation = names[place + i + 1];
                }
            }
        }
        for i in (place..times.len()).rev() {
            self.ended_at.insert(names[i + 1], times[i]);
        }
        self.ended_at.remove(&names[place]);
        names[place]
    }

    /// The ends that count against a request.
    pub fn ends(&self, request: &Fingerprint) -> Vec<Note> {
        let fingerprint = *request;
        let counted = self.requests.get(request).into_iter().flat_map(RequestRecord::counted_ends);
        counted.map(|(incarnation, at)| Note::End { fingerprint, incarnation, at }).collect()
    }

    /// What annuls all that is known against a request.
    pub fn clearing_notes(&self, fingerprint: Fingerprint) -> Vec<Note> {
        let counted =
            self.requests.get(&fingerprint).into_iter().flat_map(RequestRecord::counted_ends);
        counted.map(|(incarnation, _)| Note::Cleared { fingerprint, incarnation }).collect()
    }

    /// Takes in what the store keeps of a request, its times `error` off at most; whether that says something
    /// new. Two entries that learn of each other through the store alone may each have seen a server end under
    /// the same listing: the times resolve_incarnation the two lives, which counted as one end before.
    pub fn merge_case(&mut self, case: &Case, error: Duration, now: Duration) -> bool {
        let fingerprint = case.fingerprint;
        let mut is_new = false;
        for (incarnation, at) in &case.ends {
            let incarnation = if error < DETECTION_WINDOW / 2 {
                self.resolve_incarnation(*incarnation, *at)
            } else {
                *incarnation
            };
            is_new |= self.add(Note::End { fingerprint, incarnation, at: *at }, now);
        }
        let Some(record) = self.requests.get_mut(&fingerprint) else {
            return false;
        };
        let has_more_trials = case.trials > record.trials;
        if has_more_trials {
            (record.trials, record.tried_at) = (case.trials, case.tried_at);
        }
        is_new || has_more_trials
    }

    /// What may be done with a request.
    pub fn status(&self, fingerprint: &Fingerprint, now: Duration) -> QuarantineStatus {
        let Some(record) = self.requests.get(fingerprint) else {
            return QuarantineStatus::Free;
        };
        match self.count_events(record) {
            0 => QuarantineStatus::Free,
            count if count < REFUSED_AFTER => QuarantineStatus::Suspect,
            _ => {
                let trial_at = self.trial_at(fingerprint, record);
                QuarantineStatus::Refused { trial_in: trial_at.map(|at| at.saturating_sub(now)) }
            }
        }
    }

    /// When a refused request may be tried once more; none after the last trial. Three sends over all entries
    /// are what a fleet may cost after the third end.
    fn trial_at(&self, fingerprint: &Fingerprint, record: &RequestRecord) -> Option<Duration> {
        let spread =
            EARLY_TRIAL_SPREAD.mul_f64(f64::from(fingerprint.0 as u8) / f64::from(u8::MAX));
        let early = self.may_be_harmless(fingerprint, record).then_some(EARLY_TRIAL_DELAY + spread);
        let mut delays = early.into_iter().chain([FIRST_TRIAL_DELAY, LAST_TRIAL_DELAY]);
        let last_end = record.counted_ends().last().map_or(Duration::ZERO, |(_, at)| at);
        Some(last_end.max(record.tried_at) + delays.nth(record.trials as usize)?)
    }

    /// Whether it may be innocent: a server answered it whole before, or another request was at all the ends that
    /// count against it. One that many callers send is at most servers, also at those that ended unseen before.
    fn may_be_harmless(&self, fingerprint: &Fingerprint, record: &RequestRecord) -> bool {
        if record.has_cleared_end() {
            return true;
        }
        let was_there = |other: &RequestRecord| {
            record.counted_ends().all(|(incarnation, _)| other.was_at(incarnation))
        };
        self.requests.iter().any(|(other, ends)| other != fingerprint && was_there(ends))
    }

    /// How many ends count against a request: ends that may be one event with an end elsewhere count once.
    fn count_events(&self, record: &RequestRecord) -> usize {
        let mut counted = 0;
        let mut began: Option<Duration> = None;
        for (_, at) in record.counted_ends() {
            let is_same = began.is_some_and(|began| {
                at <= began + CORRELATION_WINDOW && self.ended_elsewhere(record, began, at)
            });
            if !is_same {
                counted += 1;
                began = Some(at);
            }
        }
        counted
    }

    /// Whether a server ended about this time where the request was not at work.
    fn ended_elsewhere(&self, record: &RequestRecord, from: Duration, to: Duration) -> bool {
        let (from, to) = (from.saturating_sub(CORRELATION_WINDOW), to + CORRELATION_WINDOW);
        let mut incarnations = self.ended_at.iter();
        incarnations
            .any(|(incarnation, at)| from <= *at && *at <= to && !record.was_at(*incarnation))
    }

    /// Notes that a trial of a request begins; the case to be kept.
    pub fn begin_trial(&mut self, fingerprint: &Fingerprint, now: Duration) -> Option<Case> {
        let record = self.requests.get_mut(fingerprint)?;
        (record.trials, record.tried_at) = (record.trials + 1, now);
        self.case(fingerprint)
    }

    /// Requests that are known and not cleared, the one with the latest end first.
    pub fn cases(&self, only_refused: bool, now: Duration) -> Vec<Case> {
        let is_wanted = |fingerprint: &&Fingerprint| match self.status(fingerprint, now) {
            QuarantineStatus::Free => false,
            QuarantineStatus::Suspect => !only_refused,
            QuarantineStatus::Refused { .. } => true,
        };
        let wanted = self.requests.keys().filter(is_wanted);
        let mut cases: Vec<Case> = wanted.filter_map(|f| self.case(f)).collect();
        let last = |case: &Case| case.ends.last().map_or(Duration::ZERO, |(_, at)| *at);
        cases.sort_by_key(|case| std::cmp::Reverse((last(case), case.fingerprint)));
        cases
    }

    fn case(&self, fingerprint: &Fingerprint) -> Option<Case> {
        let record = self.requests.get(fingerprint)?;
        Some(Case {
            fingerprint: *fingerprint,
            ends: record.counted_ends().collect(),
            trials: record.trials,
            tried_at: record.tried_at,
        })
    }

    /// Forgets the least of what is known where there is no room for one more: what is not refused and
    /// oldest. An eighth goes at once, since looking for it takes a look at all.
    fn evict_if_full(&mut self, wanted: &Fingerprint) {
        if self.requests.len() < MAX_REQUESTS || self.requests.contains_key(wanted) {
            return;
        }
        let rank = |record: &RequestRecord| (record.is_refusable(), record.last_activity());
        let mut all: Vec<_> = self.requests.iter().map(|(f, record)| (rank(record), *f)).collect();
        all.sort_unstable();
        for (_, fingerprint) in &all[..MAX_REQUESTS / 8] {
            self.requests.remove(fingerprint);
        }
        self.prune_incarnations();
    }

    /// Forgets what is too old; whether there was any.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.requests.len();
        self.requests.retain(|_, record| {
            now < record.last_activity()
                + if record.is_refusable() { REFUSED_TTL } else { SUSPECT_TTL }
        });
        if self.requests.len() == before {
            return false;
        }
        self.prune_incarnations();
        true
    }

    fn prune_incarnations(&mut self) {
        let ends = self.requests.values().flat_map(|record| &record.ends);
        let needed: HashSet<IncarnationHash> = ends.map(|end| end.incarnation).collect();
        self.ended_at.retain(|incarnation, _| needed.contains(incarnation));
    }
}
