//! The budget of repeated sends that all entries share, played on whole fleets.

use std::time::Duration;

use mintmoor::policy::send_budget::{SendBudget, SendTerms};

/// What a deployment of this size allows.
const TERMS: SendTerms = SendTerms { ratio: 0.9, extra: 104.0, window: Duration::from_secs(10) };
/// Time between two rounds in which callers ask.
const ROUND: Duration = Duration::from_millis(50);

/// One entry's process as far as the budget goes.
struct Process {
    budget: SendBudget,
}

impl Process {
    fn start(_now: Duration) -> Self {
        Self { budget: SendBudget::default() }
    }

    /// Lets it know how many entries there are.
    fn hear(&mut self, _entries: u32, _now: Duration) {}

    fn note_request(&mut self, now: Duration) {
        self.budget.note_request(&TERMS, now);
    }

    fn try_repeat(&mut self, now: Duration) -> bool {
        self.budget.try_repeat(&TERMS, now)
    }
}

/// What a fleet did: when callers asked, and when requests were sent again.
#[derive(Default)]
struct Played {
    requests: Vec<Duration>,
    repeats: Vec<Duration>,
}

impl Played {
    /// Repeats in the worst window beyond what its requests, or those of the window before or half
    /// before, allow; at most the extra, if the promise is kept.
    fn worst_excess(&self) -> f64 {
        let within = |all: &[Duration], from: Duration| {
            let after = all.partition_point(|at| *at < from);
            all.partition_point(|at| *at < from + TERMS.window) - after
        };
        let excess = |from: &Duration| {
            let earlier = [Duration::ZERO, TERMS.window / 2, TERMS.window];
            let asked = earlier.map(|by| within(&self.requests, from.saturating_sub(by)));
            let asked = asked.into_iter().max().unwrap_or_default();
            within(&self.repeats, *from) as f64 - TERMS.ratio * asked as f64
        };
        self.repeats.iter().map(excess).fold(0.0, f64::max)
    }
}

/// A fleet of so many entries; callers ask `rate` times a second in all, from when the entries have
/// run for `lead`, and each request would be sent again twice. At each time in `restarts` nine
/// entries in ten are killed and start anew.
fn play(entries: u32, rate: f64, lead: Duration, restarts: &[Duration]) -> Played {
    let mut fleet: Vec<Process> = (0..entries).map(|_| Process::start(Duration::ZERO)).collect();
    let mut played = Played::default();
    let (mut now, mut owed, mut turn) = (Duration::ZERO, 0.0, 0);
    while now < lead + Duration::from_secs(30) {
        if restarts.iter().any(|at| (now..now + ROUND).contains(&(lead + *at))) {
            for (i, process) in fleet.iter_mut().enumerate() {
                if i % 10 != 0 {
                    *process = Process::start(now);
                }
            }
        }
        for process in &mut fleet {
            process.hear(entries, now);
        }
        if now >= lead {
            owed += rate * ROUND.as_secs_f64();
        }
        while owed >= 1.0 {
            owed -= 1.0;
            turn = (turn + 1) % fleet.len();
            fleet[turn].note_request(now);
            played.requests.push(now);
            let sent = (0..2).filter(|_| fleet[turn].try_repeat(now)).count();
            played.repeats.extend(std::iter::repeat_n(now, sent));
        }
        now += ROUND;
    }
    played
}

const LEAD: Duration = Duration::from_secs(14);
const TWICE: [Duration; 2] = [Duration::from_secs(6), Duration::from_secs(10)];

/// What servers saw: while most of them failed and entries were restarted, requests reached them
/// again more often than the deployment allows: 4,403 repeats for 4,615 requests in 10 s, where 4,258
/// are allowed.
///
/// Order of events: nine servers in ten fail; each entry sends again as much as it thinks it may; nine
/// entries in ten are killed and start anew, twice within a window, and each new process sends again
/// as if nothing had been sent before.
///
/// Cause: each process took a fixed eighth of the extra for its own, whatever the number of entries,
/// and a new one took the whole of its part at once, though the one before it had used it up.
///
/// Evidence: what was sent beyond the used part of the ratio, 1,080, is near three lives of 32
/// entries with an eighth of 104 each, 1,248; without restarts the same day stayed within.
#[test]
fn repeats_stay_within_the_budget_of_many_entries_that_are_restarted() {
    for entries in [3, 8, 32, 360] {
        for restarts in [&[][..], &TWICE] {
            let played = play(entries, 460.0, LEAD, restarts);

            let excess = played.worst_excess();
            let restarts = restarts.len();
            assert!(
                excess <= TERMS.extra,
                "{entries} entries, {restarts} restarts: {excess:.0} beyond the ratio"
            );
        }
    }
}

/// With few requests the ratio allows nearly nothing, and the extra is all there is: it has to be
/// there for a fleet of any size, not only for as many entries as someone assumed.
#[test]
fn a_small_fleet_can_use_the_extra() {
    let entries = 3;

    let played = play(entries, 20.0, LEAD, &[]);

    // All requests of a window are repeated twice if the budget allows it: 400 repeats.
    let used = played.worst_excess() + (1.0 - 0.8) * TERMS.ratio * 200.0;
    assert!(used > 0.9 * TERMS.extra, "{used:.0} of {} used", TERMS.extra);
}
