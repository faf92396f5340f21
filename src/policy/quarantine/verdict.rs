//! Decides which suspects are refused.
//!
//! Many requests and parts run on a server that ends, and most are there by chance. So a part is judged by how many
//! ends it explains beside how often it was answered, as statistical debugging ranks parts of a program by the failed
//! and passed runs that contain them (Jones and Harrold, Tarantula, ASE 2005; Abreu et al., Ochiai, PRDC 2006). Ends
//! that a refused part explains no longer count against what else was there (docs/decisions/0020).

use std::{cmp::Reverse, collections::HashSet, time::Duration};

use crate::policy::quarantine::{
    CORRELATION_WINDOW, IncarnationHash, REFUSED_AFTER, Suspect, end_times::EndTimes,
    records::Records, suspect_record::SuspectRecord,
};

/// Number of ends at which a part must have been present to be refused. One more than for a request: a request that
/// crashes servers by itself is refused before its parts, which other requests need. The platform tolerates five.
pub const PART_REFUSED_AFTER: usize = 4;
/// Number of these ends that no other refused part explains.
const MIN_UNEXPLAINED: usize = 2;
/// Number of separate events among these ends: a rack that fails ends all its servers in one.
const MIN_EVENTS: usize = 2;
/// Ends of servers within this time may be one event. All entries notice them sooner, and a crashing part is sent to
/// further servers after that.
const PART_CORRELATION_WINDOW: Duration = Duration::from_millis(100);
/// Time over which a part that was answered before must have had ends and no answer to be refused. Its answers are
/// more frequent unless hardly any server is up.
const MIN_SILENCE: Duration = Duration::from_secs(8);
/// Number of separate events that count against such a part.
const MIN_EVENTS_AFTER_ANSWERS: usize = 8;
/// Share of all ends during that time at which such a part must have been present. A part that many requests have is
/// present at most ends of a busy pool, whatever their cause; one that crashes servers is present at all.
const MIN_COVERAGE: f64 = 0.9;

/// Number of separate events among the ends of a request that was never answered at which it is refused, though refused
/// suspects explain them all: it may crash servers beside them. More than a request and its retries reach by themselves.
const REFUSED_THOUGH_EXPLAINED_AFTER: usize = REFUSED_AFTER + 1;

type Ends = HashSet<IncarnationHash>;

/// Whether enough ends count against a suspect to refuse it, whatever else was present at them.
pub(super) fn is_strong(suspect: &Suspect, record: &SuspectRecord) -> bool {
    let count = record.counted_ends().count();
    match suspect {
        Suspect::Request(_) => count >= REFUSED_AFTER,
        Suspect::Part(_) => count >= PART_REFUSED_AFTER,
    }
}

/// The suspects that are refused, given when each incarnation ended.
pub(super) fn refused_suspects(records: &Records, ended_at: &EndTimes) -> HashSet<Suspect> {
    let strong: Vec<_> = records.strong().collect();
    let mut refused = HashSet::new();
    let mut explained = refuse_parts(&strong, ended_at, &mut refused);
    // A request that was answered before is a weaker explanation than one that never was.
    for was_cleared in [false, true] {
        let is_refused = |(suspect, record): &(&Suspect, &SuspectRecord)| {
            matches!(suspect, Suspect::Request(_))
                && record.was_cleared() == was_cleared
                && is_request_refusable(record, ended_at, &explained)
        };
        let requests: Vec<_> = strong.iter().copied().filter(is_refused).collect();
        refuse(&requests, &mut refused, &mut explained);
    }
    refused
}

/// Whether the ends that count against a request suffice to refuse it, given those that refused suspects explain.
fn is_request_refusable(record: &SuspectRecord, ended_at: &EndTimes, explained: &Ends) -> bool {
    let events = count_request_events(record, ended_at);
    let is_explained = unexplained(record, explained).next().is_none();
    events >= if is_explained { REFUSED_THOUGH_EXPLAINED_AFTER } else { REFUSED_AFTER }
        && !(is_explained && record.was_cleared())
}

/// Refuses suspects, which then explain the ends at which they were present.
fn refuse(
    suspects: &[(&Suspect, &SuspectRecord)],
    refused: &mut HashSet<Suspect>,
    explained: &mut Ends,
) {
    for (suspect, record) in suspects {
        refused.insert(**suspect);
        explained.extend(record.ends.iter().map(|end| end.incarnation));
    }
}

/// Refuses parts, starting with the most suspicious, and returns the ends that they explain.
fn refuse_parts(
    strong: &[(&Suspect, &SuspectRecord)],
    ended_at: &EndTimes,
    refused: &mut HashSet<Suspect>,
) -> Ends {
    let strength = |record: &SuspectRecord| (!record.was_answered(), record.counted_ends().count());
    let parts = strong.iter().copied().filter(|(suspect, _)| matches!(suspect, Suspect::Part(_)));
    let mut parts: Vec<_> = parts.collect();
    parts.sort_unstable_by_key(|(suspect, record)| Reverse((strength(record), **suspect)));
    let mut explained = Ends::new();
    // Parts of the same strength can't be told apart, so none of them explains the ends of another.
    for equals in parts.chunk_by(|(_, a), (_, b)| strength(a) == strength(b)) {
        let refusable: Vec<_> = equals
            .iter()
            .filter(|(_, record)| is_part_refusable(record, ended_at, &explained))
            .copied()
            .collect();
        refuse(&refusable, refused, &mut explained);
    }
    explained
}

/// Whether the ends that count against a part, [`PART_REFUSED_AFTER`] or more, suffice to refuse it, given those that
/// more suspicious parts explain.
fn is_part_refusable(record: &SuspectRecord, ended_at: &EndTimes, explained: &Ends) -> bool {
    let remaining: Vec<Duration> = unexplained(record, explained).collect();
    if !record.was_answered() {
        let is_same_event = |from, at| at <= from + PART_CORRELATION_WINDOW;
        let times = record.counted_ends().map(|(_, at)| at);
        return remaining.len() >= MIN_UNEXPLAINED
            && count_events(times, is_same_event) >= MIN_EVENTS;
    }
    let (Some(first), Some(last)) = (remaining.first().copied(), remaining.last().copied()) else {
        return false;
    };
    let is_same_event = |from, at| at <= from + CORRELATION_WINDOW;
    let all = ended_at.within(first..=last).filter(|end| !explained.contains(end)).count();
    last - first >= MIN_SILENCE
        && remaining.len() as f64 >= MIN_COVERAGE * all as f64
        && count_events(remaining.into_iter(), is_same_event) >= MIN_EVENTS_AFTER_ANSWERS
}

/// Times of the ends that count against a suspect and that no refused part explains.
fn unexplained(record: &SuspectRecord, explained: &Ends) -> impl Iterator<Item = Duration> {
    let ends = record.counted_ends();
    ends.filter(|(incarnation, _)| !explained.contains(incarnation)).map(|(_, at)| at)
}

/// Number of separate events among ends in the order of time, of which those for which `is_same_event` is true of the
/// first one's time and their own are the same.
fn count_events(
    ends: impl Iterator<Item = Duration>,
    is_same_event: impl Fn(Duration, Duration) -> bool,
) -> usize {
    let mut counted = 0;
    let mut first_at: Option<Duration> = None;
    for at in ends {
        if !first_at.is_some_and(|first_at| is_same_event(first_at, at)) {
            counted += 1;
            first_at = Some(at);
        }
    }
    counted
}

/// Number of events among the ends that count against a request. Ends that may have a common cause with the end of a
/// server that was not running it count once.
pub(super) fn count_request_events(record: &SuspectRecord, ended_at: &EndTimes) -> usize {
    let ended_elsewhere = |from: Duration, to: Duration| {
        let (from, to) = (from.saturating_sub(CORRELATION_WINDOW), to + CORRELATION_WINDOW);
        ended_at.within(from..=to).any(|incarnation| !record.was_running_on(incarnation))
    };
    count_events(record.counted_ends().map(|(_, at)| at), |from, at| {
        at <= from + CORRELATION_WINDOW && ended_elsewhere(from, at)
    })
}
